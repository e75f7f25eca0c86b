package director

import (
	"testing"
	"time"
)

// After a stall of the process, timers must wait until bytes that arrived during the stall are read, and these bytes must count
// as arrived at the earliest possible time.
func TestArrivalTimeAfterStall(t *testing.T) {
	c := newClock()
	c.start = c.start.Add(-time.Hour)
	if at := c.arrivalTime(); at != 0 {
		t.Errorf("before the timers' goroutine woke: arrived at %v, want 0", at)
	}
	if wait := c.noteWake(2 * time.Hour); wait != stallCatchUp {
		t.Errorf("timers wait for %v, want %v", wait, stallCatchUp)
	}
	if at := c.arrivalTime(); at != 0 {
		t.Errorf("while catching up: arrived at %v, want 0", at)
	}
	if wait := c.noteWake(2*time.Hour + stallCatchUp); wait > 0 {
		t.Errorf("after the catch-up: timers wait for %v, want no wait", wait)
	}
	c.catchUpUntil = 0
	if at := c.arrivalTime(); at < time.Hour {
		t.Errorf("without a stall: arrived at %v, want now", at)
	}
}
