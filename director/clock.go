package director

import (
	"container/heap"
	"time"
)

// clock tells the time since the director's start, and holds the module's timers. The timers belong to the
// director's lock.
type clock struct {
	start  time.Time
	timers timers
	sooner chan struct{} // the next timer is earlier than it was
}

func newClock() *clock { return &clock{start: time.Now(), sooner: make(chan struct{}, 1)} }

func (c *clock) now() time.Duration { return time.Since(c.start) }

// since turns a Unix time into the time since the start; it may be negative.
func (c *clock) since(unixMilli int64) time.Duration {
	return time.UnixMilli(unixMilli).Sub(c.start.Round(0))
}

// after sets a timer of the module's.
func (c *clock) after(wait time.Duration, token uint32) {
	t := timer{due: c.now() + max(0, wait), token: token}
	heap.Push(&c.timers, t)
	if c.timers[0] == t {
		select {
		case c.sooner <- struct{}{}:
		default:
		}
	}
}

// due takes a timer that has fallen due; else it tells how long the next one has left.
func (c *clock) due(now time.Duration) (token uint32, ok bool, left time.Duration) {
	if len(c.timers) == 0 {
		return 0, false, time.Hour
	}
	if left = c.timers[0].due - now; left > 0 {
		return 0, false, left
	}
	return heap.Pop(&c.timers).(timer).token, true, 0
}

type timer struct {
	due   time.Duration
	token uint32
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// run hands the module its timers until the director stops.
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
		wake.Reset(d.fire())
	}
}

// fire hands over all timers that are due, and tells how long the next one has left.
func (d *Director) fire() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.now() // fixed, so that a timer set meanwhile waits for the next round
	for {
		token, ok, left := d.clock.due(now)
		if !ok {
			return left
		}
		d.timer(now, token)
	}
}

// timer hands one over. A panic is a defect; it must not take all reqs with it.
func (d *Director) timer(now time.Duration, token uint32) {
	defer d.defect("timer")
	d.dir.Timer(now, token)
}
