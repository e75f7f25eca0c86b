//go:build gapread

package changefeed

import (
	"strings"
	"testing"
)

// TestSimulationFindsGapTakenAsRead checks that the simulation detects an injected bug: readers and control machines accept an event
// after a gap, as if they had read the missing events. The simulation must report it as skipped events.
func TestSimulationFindsGapTakenAsRead(t *testing.T) {
	acceptsGaps = true
	t.Cleanup(func() { acceptsGaps = false })
	for seed := range uint64(*schedules) {
		sim := smallSimulation(seed)
		if len(sim.violations) == 0 {
			continue
		}
		t.Logf("seed %d: %s", seed, sim.violations[0])
		if !strings.Contains(sim.violations[0], "skipped") {
			t.Errorf("got violation %q, want one that reports skipped events", sim.violations[0])
		}
		return
	}
	t.Errorf("got no violation in %d schedules, want one", *schedules)
}
