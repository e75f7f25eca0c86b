package poll

import (
	"testing"
	"time"
)

// Until returns as soon as the condition holds.
func TestUntilReturnsWhenConditionHolds(t *testing.T) {
	checks := 0
	took, ok := Until(time.Minute, time.Millisecond, func() bool { checks++; return checks == 3 })
	if !ok || checks != 3 {
		t.Errorf("ok %v after %d checks, want true after 3", ok, checks)
	}
	if took < 2*time.Millisecond || took > time.Minute {
		t.Errorf("took %v, want 2 ms to 1 min", took)
	}
}

// A condition that never holds is checked until the given time has passed.
func TestUntilTimesOut(t *testing.T) {
	const within = 10 * time.Millisecond
	checks := 0
	took, ok := Until(within, time.Millisecond, func() bool { checks++; return false })
	if ok || checks < 2 {
		t.Errorf("ok %v after %d checks, want false after at least 2", ok, checks)
	}
	if took != within {
		t.Errorf("took %v, want %v", took, within)
	}
}
