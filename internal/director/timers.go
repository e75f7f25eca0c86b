package director

import (
	"container/heap"
	"time"
)

// This file has routing's timers and the goroutine that fires them and detects stalls of the process.

const (
	timerInterval = 20 * time.Millisecond // longest time between two wakes of the timers' goroutine
	noTimerWait   = time.Hour             // the time left that due returns if no timer is set
)

// setTimer sets a timer that calls routing with the token after the wait. Called under the director's mutex.
func (c *clock) setTimer(wait time.Duration, token uint32) {
	next := timer{due: c.now() + max(0, wait), token: token}
	heap.Push(&c.timers, next)
	if c.timers[0] == next {
		select {
		case c.sooner <- struct{}{}:
		default:
		}
	}
}

// due removes a timer that is due and returns its token. If none is due, it returns the time left until the next one. Called
// under the director's mutex.
func (c *clock) due(now time.Duration) (token uint32, ok bool, left time.Duration) {
	if len(c.timers) == 0 {
		return 0, false, noTimerWait
	}
	if left = c.timers[0].due - now; left > 0 {
		return 0, false, left
	}
	return heap.Pop(&c.timers).(timer).token, true, 0
}

// timer is a scheduled call to routing.
type timer struct {
	due   time.Duration // since the director's start
	token uint32        // passed to routing.Director.HandleTimer
}

// timers is a heap of timers, the earliest first; see container/heap.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(next any)     { *t = append(*t, next.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// runTimers fires routing's timers until the director stops. After a stall it first lets readers read the bytes that arrived
// during it.
func (d *Director) runTimers(stop <-chan struct{}) {
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		select {
		case <-stop:
			return
		case <-wake.C:
		case <-d.clock.sooner:
		}
		wake.Reset(min(d.wakeTimers(), timerInterval))
	}
}

// wakeTimers fires the timers that are due, or handles a stall that it detects. It returns the time until the next wake.
func (d *Director) wakeTimers() time.Duration {
	now := d.clock.now()
	catchUp := d.clock.noteWake(now)
	if catchUp <= 0 {
		return d.fireTimers()
	}
	if catchUp == stallCatchUp { // the stall was detected just now
		d.noteStall(now)
	}
	return catchUp
}

// noteStall logs a stall that has just ended, and records which client connections received nothing during it.
func (d *Director) noteStall(now time.Duration) {
	d.clients.each((*clientConn).noteIfEmpty)
	d.connectionLog.line(d.log.WithField("for", now-d.clock.stalledFrom), "process was stalled")
}

// fireTimers fires all timers that are due, and returns the time left until the next one.
func (d *Director) fireTimers() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.now() // taken once, so that timers set by the loop wait for the next round
	for {
		token, ok, left := d.clock.due(now)
		if !ok {
			return left
		}
		d.fireTimer(now, token)
	}
}

// fireTimer fires one timer. It recovers from a panic, so that a defect in one timer does not end the process.
func (d *Director) fireTimer(now time.Duration, token uint32) {
	defer d.recoverDefect("timer")
	d.router.HandleTimer(now, token)
}
