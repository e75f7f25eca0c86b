package director

import (
	"sync"
	"time"
)

// This file has the director's clock and the detection of stalls of its process. A stall is a time in which the process was
// paused or got no core. Bytes that are read after a stall may have arrived during it, so their arrival must not be dated to
// the time of the read, and they must not count as missing. Timers are in timers.go.

const (
	stallThreshold = 60 * time.Millisecond // the process counts as stalled if the timers' goroutine did not run for longer
	stallCatchUp   = 10 * time.Millisecond // after a stall, timers wait this long so that bytes that arrived are read first
	// backlogTimeout is how long after a stall, or after a connection was accepted, its reader may need to read the bytes
	// that were waiting. Bytes read later count as just arrived. Otherwise a client that writes without a pause would always
	// count as late.
	backlogTimeout = 250 * time.Millisecond
	// recentStallTime is how long after a stall bytes that arrived during it may still be unread, if cores are busy.
	recentStallTime = 100 * time.Millisecond
)

// clock measures the time since the director's start with the monotonic clock. It also records the last stall and holds
// routing's timers, which the director's mutex guards.
type clock struct {
	start  time.Time
	timers timers
	sooner chan struct{} // signalled when a timer is set that is due before all others

	mu           sync.Mutex
	lastWake     time.Duration // when the timers' goroutine last woke
	stalledFrom  time.Duration // when the last stall began
	catchUpUntil time.Duration // bytes read until then may have arrived during the last stall; 0: there was no stall
	backlogFrom  time.Duration // the start of the earliest stall whose bytes may still be unread on a connection
}

// newClock returns a clock that starts now.
func newClock() *clock { return &clock{start: time.Now(), sooner: make(chan struct{}, 1)} }

// now returns the time since the director's start.
func (c *clock) now() time.Duration { return time.Since(c.start) }

// at converts a time since the director's start into a time.Time with a monotonic reading.
func (c *clock) at(sinceStart time.Duration) time.Time { return c.start.Add(sinceStart) }

// noteWake records that the timers' goroutine runs now, and detects a stall that ended just before. It returns how long timers
// must wait for readers to catch up: stallCatchUp if it has just detected a stall, 0 or less if there is no need to wait.
func (c *clock) noteWake(now time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isStalled(now) {
		if c.catchUpUntil == 0 || now > c.catchUpUntil+backlogTimeout {
			c.backlogFrom = c.lastWake
		}
		c.stalledFrom, c.catchUpUntil = c.lastWake, now+stallCatchUp
	}
	c.lastWake = now
	return c.catchUpUntil - now
}

// isStalled returns whether a stall lasted until now that the timers' goroutine has not detected yet. Called under mu.
func (c *clock) isStalled(now time.Duration) bool { return now-c.lastWake > stallThreshold }

// arrivalTime returns the earliest time at which bytes that are read now may have arrived.
func (c *clock) arrivalTime() time.Duration {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.isStalled(now):
		return c.lastWake
	case now < c.catchUpUntil:
		return c.stalledFrom
	}
	return now
}

// arrivalTimeSince returns the earliest time at which bytes that are read now from a connection may have arrived, given that
// the connection had no unread bytes at emptyAt. After a stall, bytes count as arrived at the beginning of the stall until the
// connection was seen empty once or backlogTimeout has passed.
func (c *clock) arrivalTimeSince(emptyAt time.Duration) time.Duration {
	arrival := c.arrivalTime()
	c.mu.Lock()
	defer c.mu.Unlock()
	resumedAt := c.catchUpUntil - stallCatchUp
	if c.catchUpUntil > 0 && emptyAt < resumedAt && c.now() < resumedAt+backlogTimeout {
		return min(arrival, max(c.backlogFrom, emptyAt))
	}
	return arrival
}

// arrivalTimeOfCall returns the earliest time at which the result of a blocking call may have arrived, if the call began at
// the given time and returned just now. If cores are busy, a call that waited during a stall may return some time after the
// stall, although its result arrived during the stall.
func (c *clock) arrivalTimeOfCall(called time.Duration) time.Duration {
	arrival := c.arrivalTime()
	c.mu.Lock()
	defer c.mu.Unlock()
	resumedAt := c.catchUpUntil - stallCatchUp
	if c.catchUpUntil > 0 && called < resumedAt && c.now() < c.catchUpUntil+recentStallTime {
		return min(arrival, max(c.stalledFrom, called))
	}
	return arrival
}

// catchUpTime returns how long writers must wait so that readers run first. It is 0 unless a stall has just ended.
func (c *clock) catchUpTime() time.Duration {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isStalled(now) {
		return stallCatchUp
	}
	return max(0, c.catchUpUntil-now)
}

// stalledRecently returns whether a stall ended so recently that readers may not have read everything yet.
func (c *clock) stalledRecently() bool {
	now := c.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isStalled(now) || c.catchUpUntil > 0 && now < c.catchUpUntil+recentStallTime
}

// stalledJustNow returns whether a stall has just ended, so that bytes that arrived during it may still be unread.
func (c *clock) stalledJustNow() bool { return c.arrivalTime() < c.now()-stallCatchUp }
