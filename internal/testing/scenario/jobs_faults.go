package scenario

// This file holds the faults of the scenario "duties", and measures how long the jobs of a lost director do not run.

import (
	"slices"
	"time"

	"indigochute.example/indigochute/internal/testing/faultproxy"
	"indigochute.example/indigochute/internal/testing/testcluster"
)

// Bounds of the random lengths and strengths of faults. The minimum is 0 unless there is a constant for it.
const (
	maxLossLength      = 1500 * time.Millisecond // from when all jobs run elsewhere until the lost directors recover
	minLinkFault       = 500 * time.Millisecond
	maxLinkFault       = 3 * time.Second
	minLatency         = 50 * time.Millisecond
	maxLatency         = 500 * time.Millisecond
	maxJitter          = 300 * time.Millisecond
	corruptProbability = 0.1 // for each chunk that a link forwards
	maxBytesUntilReset = 300
	maxBetweenRestarts = 600 * time.Millisecond
	maxBetweenLosses   = time.Second
)

const (
	takeoverAllowance = 2 * time.Second // added to maxTakeover, so that a takeover that is slightly late is still measured

	// A director counts as disturbed until disturbanceTail after the end of its fault, as calls may still be on their way.
	disturbanceTail = 3 * time.Second
	openDisturbance = time.Minute // length of a disturbance that has not ended yet

	resumeAfterRelease = 50 * time.Millisecond // so that a delayed call arrives before its sender runs again
)

// peerLinks is the pattern of all links between directors.
const peerLinks = "n*>n*"

// randomProcess returns a random process that is not one of the exceptions.
func (run *jobsRun) randomProcess(except ...*testcluster.Process) *testcluster.Process {
	for {
		p := run.cluster.Processes[run.random.IntN(len(run.cluster.Processes))]
		if !slices.Contains(except, p) {
			return p
		}
	}
}

// randomDuration returns a random duration between two bounds.
func (run *jobsRun) randomDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(run.random.Float64()*float64(longest-shortest))
}

// loseAndRecover calls lose, which makes the given directors unavailable. It measures how long it takes until each of their jobs
// runs elsewhere, and then calls recoverAll, which ends the fault.
func (run *jobsRun) loseAndRecover(lose, recoverAll func(), directors ...*testcluster.Process) {
	jobs := run.jobsOf(directors)
	from := run.cluster.Now()
	lose()
	for _, p := range directors {
		run.disturbances[p.Name] = append(run.disturbances[p.Name], interval{from, from + openDisturbance})
	}
	run.awaitTakeover(jobs, from, directors[0].Name)
	run.losses++
	time.Sleep(run.randomDuration(0, maxLossLength))
	recoverAll()
	for _, p := range directors {
		disturbances := run.disturbances[p.Name]
		disturbances[len(disturbances)-1].to = run.cluster.Now() + disturbanceTail
	}
}

// jobsOf returns the set of jobs that the given directors own.
func (run *jobsRun) jobsOf(processes []*testcluster.Process) map[string]bool {
	jobs := map[string]bool{}
	for job, owners := range run.cluster.Owners() {
		for _, p := range processes {
			if slices.Contains(owners, p.Name) {
				jobs[job] = true
			}
		}
	}
	return jobs
}

// awaitTakeover waits until each job of a lost director has run under a fencing token that is higher than before the loss. It
// records how long each job took. A job that does not run in time is a violation.
func (run *jobsRun) awaitTakeover(jobs map[string]bool, lostAt time.Duration, director string) {
	var first map[string]time.Duration
	_, err := run.cluster.Await("every job of "+director+" runs again", maxTakeover+takeoverAllowance, func() bool {
		first = firstStarts(run.cluster.Counter.Calls(), lostAt, func(call *testcluster.Call, highestToken uint64) bool {
			return jobs[call.Job] && call.FencingToken > highestToken
		})
		return len(first) == len(jobs)
	})
	if err != nil {
		run.addViolation("%v\n%s", err, run.cluster.Diagnostics())
	}
	for _, at := range first {
		run.worstTakeover = max(run.worstTakeover, at-lostAt)
		run.takeovers = append(run.takeovers, at-lostAt)
	}
}

// disturbed reports whether a director was disturbed at a time.
func (run *jobsRun) disturbed(name string, at time.Duration) bool {
	return slices.ContainsFunc(run.disturbances[name], func(d interval) bool { return at >= d.from && at <= d.to })
}

// kill kills one director and starts it again.
func (run *jobsRun) kill() {
	p := run.randomProcess()
	run.loseAndRecover(p.Kill, func() { p.Start() }, p)
}

// pause stops one director for a while. Its connections stay open.
func (run *jobsRun) pause() {
	p := run.randomProcess()
	run.loseAndRecover(func() { p.Pause() }, func() { p.Resume() }, p)
}

// cutOff partitions one director from the others.
func (run *jobsRun) cutOff() {
	p := run.randomProcess()
	run.loseAndRecover(func() { run.cluster.Isolate(p) }, func() { run.cluster.Network.Heal("n*") }, p)
}

// shutDown shuts one director down gracefully, as operators do, and starts it again.
func (run *jobsRun) shutDown() {
	p := run.randomProcess()
	run.loseAndRecover(func() {
		if err := p.Shutdown(maxTakeover); err != nil {
			run.addViolation("%v\n%s", err, run.cluster.Diagnostics())
			p.Kill()
		}
	}, func() { p.Start() }, p)
}

// breakOneWay drops all bytes that one director sends to another, or resets their connection in the middle of a frame.
func (run *jobsRun) breakOneWay() {
	p := run.randomProcess()
	link := p.Name + ">" + run.randomProcess(p).Name
	if run.random.IntN(2) == 0 {
		run.cluster.Network.SetFault(link, faultproxy.Forward, faultproxy.Fault{Drop: true})
	} else {
		run.cluster.Network.ResetAfter(link, 1+run.random.IntN(maxBytesUntilReset))
	}
	time.Sleep(run.randomDuration(minLinkFault, maxLinkFault))
	run.cluster.Network.Heal(peerLinks)
}

// degrade adds latency to the links that one director dialed or, in one case of three, corrupts the bytes that pass over them.
func (run *jobsRun) degrade() {
	p := run.randomProcess()
	fault := faultproxy.Fault{Latency: run.randomDuration(minLatency, maxLatency), Jitter: run.randomDuration(0, maxJitter)}
	if run.random.IntN(3) == 0 {
		fault = faultproxy.Fault{CorruptProbability: corruptProbability}
	}
	run.cluster.Network.SetFault(p.Name+">n*", faultproxy.Both, fault)
	time.Sleep(run.randomDuration(minLinkFault, maxLinkFault))
	run.cluster.Network.Heal(peerLinks)
}

// delayStaleCall holds the calls of one director to the counter and pauses the director until its lease has expired. The calls
// reach the counter before the director resumes.
func (run *jobsRun) delayStaleCall() {
	p := run.randomProcess()
	run.cluster.Counter.HoldCalls(p)
	time.Sleep(2 * jobPeriod)
	run.loseAndRecover(func() { p.Pause() }, func() {
		run.cluster.Counter.ReleaseCalls(p)
		time.Sleep(resumeAfterRelease)
		p.Resume()
	}, p)
}

// restartTwice restarts one director twice within the duration of a lease.
func (run *jobsRun) restartTwice() {
	p := run.randomProcess()
	run.loseAndRecover(func() {
		p.Restart()
		time.Sleep(run.randomDuration(0, maxBetweenRestarts))
		p.Restart()
	}, func() {}, p)
}

// loseLeaderAndAnother pauses the leader and kills another director within the same second.
func (run *jobsRun) loseLeaderAndAnother() {
	leader := run.cluster.Leader()
	if leader == nil {
		leader = run.randomProcess()
	}
	other := run.randomProcess(leader)
	run.loseAndRecover(func() {
		leader.Pause()
		time.Sleep(run.randomDuration(0, maxBetweenLosses))
		other.Kill()
	}, func() {
		other.Start()
		leader.Resume()
	}, leader, other)
}
