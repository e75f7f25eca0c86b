package simulation

import (
	"testing"
	"time"
)

// TestOverloadInSlowStart sends requests to a cache in slow start. If their work exceeds the overload multiple, the cache must
// fail, lose its open requests and restart. Below the multiple it must not fail.
func TestOverloadInSlowStart(t *testing.T) {
	for _, test := range []struct {
		name         string
		interval     time.Duration // between requests
		wantFailures int
	}{
		{name: "below the multiple", interval: 200 * time.Millisecond, wantFailures: 0},
		{name: "above the multiple", interval: 10 * time.Millisecond, wantFailures: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			w, cache, _, _ := newTestWorld(t)
			w.Kill(cache)
			w.Restart(cache)
			lost := 0
			for i := uint64(1); w.now < 1900*time.Millisecond; i++ {
				for _, response := range w.Advance(w.now + test.interval) {
					if response.Status == Lost {
						lost++
					}
				}
				w.Insert(cache, 1, 0, 10000, 2, w.now)
				w.Submit(cache, Request{ID: i, Object: 1, Bytes: 10000})
			}
			if got := w.Failures() - 1; got != test.wantFailures { // one failure is the Kill above
				t.Errorf("got %d failures by overload, want %d", got, test.wantFailures)
			}
			if wantLost := test.wantFailures > 0; (lost > 0) != wantLost {
				t.Errorf("got %d lost requests, want any lost: %t", lost, wantLost)
			}
			w.Advance(w.now + 2*time.Second)
			if up, restarted, _ := w.Up(cache); !up || !restarted {
				t.Errorf("after the down time: got up %t and restarted %t, want true and true", up, restarted)
			}
		})
	}
}

// TestMachineStates takes a machine through its states: up until it is killed, down until it restarts, in slow start during
// the ramp, and up after it. Changed must return each of these changes except the end of the ramp.
func TestMachineStates(t *testing.T) {
	for _, test := range []struct {
		name   string
		parent bool // otherwise a cache
	}{
		{name: "cache"},
		{name: "parent", parent: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			w, node, parent, _ := newTestWorld(t)
			if test.parent {
				node = parent
			}
			check := func(wantState machineState, wantShare float64, wantChanges int) {
				t.Helper()
				m := w.machines[node]
				if m.state != wantState {
					t.Errorf("got state %d, want %d", m.state, wantState)
				}
				if share := w.capacityShare(m); share != wantShare {
					t.Errorf("got a capacity share of %g, want %g", share, wantShare)
				}
				if changes := len(w.Changed()); changes != wantChanges {
					t.Errorf("got %d changes, want %d", changes, wantChanges)
				}
			}
			check(machineUp, 1, 0)
			w.Restart(node) // ignored, because the machine is up
			check(machineUp, 1, 0)
			w.Kill(node)
			w.Kill(node) // ignored, because the machine is down
			check(machineDown, 1, 1)
			w.Restart(node)
			check(machineInSlowStart, 0.5, 1) // at the floor
			w.Advance(2 * time.Second)        // half of the ramp
			check(machineInSlowStart, 0.75, 0)
			w.Advance(5 * time.Second)
			check(machineUp, 1, 0)
		})
	}
}
