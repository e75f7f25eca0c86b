package simulation

// Processor cores of a cache, shared by its responses.

import (
	"math"
	"time"
)

// completionTolerance is the remaining work, in core seconds, at which a job counts as done. It covers the rounding of
// times to nanoseconds.
const completionTolerance = 1e-9

// job is a piece of work on the cores of a cache. Its key is the value of cores.attained at which the job is done.
type job = queued[float64]

// cores models the processor cores of a cache by processor sharing: all jobs share the cores evenly, and a job uses at most
// one core. All jobs run at the same rate. A job therefore ends when the attained service reaches a value that is known when
// the job starts.
type cores struct {
	count     float64       // number of cores
	speed     float64       // share of full speed, 0 to 1; less than 1 in slow start
	attained  float64       // core seconds that a job would have received if it had run since the world began
	settledAt time.Duration // time up to which attained and busy are counted
	jobs      priorityQueue[float64]
	busy      float64 // core seconds used so far
}

// rate returns the core seconds that each job receives in a second.
func (c *cores) rate() float64 {
	if len(c.jobs) == 0 {
		return 0
	}
	return c.speed * min(1, c.count/float64(len(c.jobs)))
}

// settle adds the work done up to now to attained and busy. It must be called before each change of the jobs or the speed,
// because the rate depends on them.
func (c *cores) settle(now time.Duration) {
	work := c.rate() * (now - c.settledAt).Seconds()
	c.attained += work
	c.busy += work * float64(len(c.jobs))
	c.settledAt = now
}

// setSpeed sets the share of full speed at which the cores run, 0 to 1.
func (c *cores) setSpeed(now time.Duration, speed float64) {
	c.settle(now)
	c.speed = speed
}

// add starts a job that takes the given work in core seconds. When the job is done, the caller of takeDone calls done.
func (c *cores) add(now time.Duration, work float64, done func()) *job {
	c.settle(now)
	newJob := &job{key: c.attained + work, run: done}
	c.jobs.insert(newJob)
	return newJob
}

// remove cancels a job. It ignores a job that is done.
func (c *cores) remove(now time.Duration, target *job) {
	c.settle(now)
	c.jobs.remove(target)
}

// nextCompletion returns the time at which the next job will be done if the jobs and the speed do not change before. It
// returns false if there is no job.
func (c *cores) nextCompletion() (time.Duration, bool) {
	if len(c.jobs) == 0 {
		return 0, false
	}
	remaining := c.jobs.first().key - c.attained
	return c.settledAt + durationOf(remaining/c.rate()), true
}

// takeDone removes and returns the jobs that are done.
func (c *cores) takeDone(now time.Duration) (done []*job) {
	c.settle(now)
	for len(c.jobs) > 0 && c.jobs.first().key <= c.attained+completionTolerance {
		done = append(done, c.jobs.takeFirst())
	}
	return done
}

// durationOf converts seconds to a duration, rounded up by at most 2 ns. Work that takes this number of seconds is therefore
// done when the duration has passed.
func durationOf(seconds float64) time.Duration {
	return time.Duration(math.Ceil(max(0, seconds)*1e9)) + 1
}
