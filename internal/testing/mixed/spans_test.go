package mixed

import (
	"slices"
	"testing"
	"time"
)

// interval is the time between two instants.
type interval struct{ from, to time.Time }

// overlap returns how long two intervals overlap.
func (s interval) overlap(other interval) time.Duration {
	return max(0, earlier(s.to, other.to).Sub(later(s.from, other.from)))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// timeWithoutCPU returns how long within an interval the director's process did not run, without the trial's own pauses.
func (t *trial) timeWithoutCPU(s interval) (sum time.Duration) {
	for _, stall := range t.stalls {
		sum += stall.overlap(s)
		for _, pause := range t.pauses {
			sum -= pause.overlap(interval{later(stall.from, s.from), earlier(stall.to, s.to)})
		}
	}
	return max(0, sum)
}

// longestTimeWithoutCPU returns the longest time for which the director's process did not run, without the trial's own pauses.
func (t *trial) longestTimeWithoutCPU() (longest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, stall := range t.stalls {
		longest = max(longest, t.timeWithoutCPU(stall))
	}
	return longest
}

// undisturbedTime returns how long within an interval the trial let the director answer a client: its process was not paused, and
// no fault delayed a write to that client. No single pause or delay is longer than maxAnswerDelay, but several in a row may be.
func (t *trial) undisturbedTime(s interval, client string) time.Duration {
	disturbances := slices.Concat(t.pauses, t.delayedWrites[client])
	slices.SortFunc(disturbances, func(a, b interval) int { return a.from.Compare(b.from) })
	undisturbed, at := time.Duration(0), s.from
	for _, disturbance := range disturbances {
		if disturbance.from.After(at) {
			undisturbed += max(0, earlier(disturbance.from, s.to).Sub(at))
		}
		at = later(at, disturbance.to)
	}
	return undisturbed + max(0, s.to.Sub(at))
}

// slowLogging returns how long within an interval slow log lines were being written.
func (t *trial) slowLogging(s interval) (sum time.Duration) {
	for _, line := range t.slowLines {
		sum += line.overlap(s)
	}
	return sum
}

// Pauses, and delays of writes to the same client, do not count as undisturbed time. Delays of other clients do.
func TestUndisturbedTimeExcludesPausesAndDelays(t *testing.T) {
	begin := time.Unix(1000, 0)
	between := func(from, to int) interval {
		return interval{begin.Add(time.Duration(from) * time.Millisecond), begin.Add(time.Duration(to) * time.Millisecond)}
	}
	const client, other = "127.0.0.1:1", "127.0.0.1:2"
	for _, test := range []struct {
		name    string
		pauses  []interval
		delayed map[string][]interval
		want    time.Duration
	}{
		{"no disturbance", nil, nil, 600 * time.Millisecond},
		{"a pause and a delay cover the interval", []interval{between(-50, 260)}, map[string][]interval{client: {between(260, 700)}}, 0},
		{"a gap between a pause and a delay", []interval{between(0, 200)}, map[string][]interval{client: {between(300, 600)}},
			100 * time.Millisecond},
		{"a pause and a delay overlap", []interval{between(0, 400)}, map[string][]interval{client: {between(100, 500)}}, 100 * time.Millisecond},
		{"a delay within a pause", []interval{between(0, 500)}, map[string][]interval{client: {between(100, 200)}}, 100 * time.Millisecond},
		{"delays of another client", nil, map[string][]interval{other: {between(0, 600)}}, 600 * time.Millisecond},
		{"pauses before and after the interval", []interval{between(-300, -100), between(600, 900)}, nil, 600 * time.Millisecond},
		{"pauses recorded out of order", []interval{between(400, 600), between(0, 200)}, nil, 200 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			trial := &trial{pauses: test.pauses, delayedWrites: test.delayed}
			if got := trial.undisturbedTime(between(0, 600), client); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
