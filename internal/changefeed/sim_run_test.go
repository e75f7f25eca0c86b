package changefeed

import "testing"

// failOnViolation fails the test if the simulation has recorded a violation.
func (sim *simulation) failOnViolation(t *testing.T, seed uint64) {
	t.Helper()
	if len(sim.violations) > 0 {
		t.Fatalf("seed %d: got %d violations, want none; the first: %s", seed, len(sim.violations), sim.violations[0])
	}
}

// TestWallClocksStepped restarts control machines with wall clocks an hour behind, an hour ahead, and at the same millisecond as the
// previous incarnation. No epoch may be used twice, no event of a new incarnation may be mistaken for one of an old incarnation, and
// all other rules must hold.
func TestWallClocksStepped(t *testing.T) {
	ahead, behind, equal, restarts, renewed := 0, 0, 0, 0, 0
	for seed := range uint64(*schedules) {
		sim := newSimulation(seed, 3+2*int(seed%2), 2+int(seed%13), 2+int(seed%3))
		sim.clocksStepped = true
		for _, control := range sim.controls {
			control.epoch = 0
			sim.start(control)
		}
		sim.publishInterval, sim.faultInterval = 2+int(seed%11), 4
		sim.run(600)
		sim.failOnViolation(t, seed)
		ahead, behind, equal, restarts = ahead+sim.clocksAhead, behind+sim.clocksBehind, equal+sim.clocksEqual, restarts+sim.restarts
		renewed += sim.renewed
	}
	if *schedules >= 80 && renewed == 0 {
		t.Error("got no epoch renewed after settling, want at least one")
	}
	if min(ahead, behind, equal, restarts) < *schedules {
		t.Errorf("got %d starts an hour ahead, %d an hour behind, %d in the same epoch and %d restarts, want at least %d of each",
			ahead, behind, equal, restarts, *schedules)
	}
}

// smallSimulation runs a schedule of an installation of 3 or 5 control machines and up to 14 directors.
func smallSimulation(seed uint64) *simulation {
	sim := newSimulation(seed, 3+2*int(seed%2), 2+int(seed%13), 2+int(seed%3))
	if seed%5 == 4 { // with so few entries, events are evicted
		sim.maxEntries = 30
		for _, control := range sim.controls {
			sim.start(control)
		}
	}
	sim.publishInterval = 2 + int(seed%11)
	sim.run(400)
	return sim
}

// TestRandomFaultSchedules runs schedules of message loss, reordering, duplication, partitions between regions, restarts of control
// machines and directors, moves, and claims that no machine can answer. No director may accept an event twice, out of order or after
// its lifetime, or skip a live one. After the faults all must catch up within maxRecoverySteps.
func TestRandomFaultSchedules(t *testing.T) {
	skipped, losses, gaps, forgedClaims, restarts, superseded, withExpected := 0, 0, 0, 0, 0, 0, 0
	for seed := range uint64(*schedules) {
		sim := smallSimulation(seed)
		sim.failOnViolation(t, seed)
		skipped, losses, gaps = skipped+sim.skipped, losses+sim.losses, gaps+sim.gaps
		forgedClaims, restarts, superseded = forgedClaims+sim.forgedClaims, restarts+sim.restarts, superseded+sim.superseded
		if sim.expected > 0 {
			withExpected++
		}
	}
	// In a few schedules all control machines restart at about the same time, so that no event is expected at the end.
	if withExpected < *schedules*9/10 {
		t.Errorf("got %d of %d schedules with expected events at the end, want at least nine tenths", withExpected, *schedules)
	}
	if min(skipped, losses, gaps, forgedClaims, restarts, superseded) == 0 {
		t.Errorf("got %d events skipped, %d of them evicted, %d gaps, %d claims, %d restarts, %d superseded by a fencing number, want some of each",
			skipped, losses, gaps, forgedClaims, restarts, superseded)
	}
}

// TestLargeInstallation runs one schedule with 580 directors in seven regions and nine control machines. The rules of
// TestRandomFaultSchedules must hold.
func TestLargeInstallation(t *testing.T) {
	const seed = 1
	sim := newSimulation(seed, 9, *directors, 7)
	sim.faultInterval, sim.codecInterval = 10, 16
	sim.run(*steps)
	sim.failOnViolation(t, seed)
	if len(sim.events) < *steps || sim.restarts == 0 || sim.moves < 2**directors || sim.expected == 0 {
		t.Errorf("got %d events, %d of them expected, %d restarts, %d moves, want at least %d events, some expected, some restarts and %d moves",
			len(sim.events), sim.expected, sim.restarts, sim.moves, *steps, 2**directors)
	}
	t.Logf("%d events, %d restarts, %d moves, %d gaps met, caught up at %v", len(sim.events), sim.restarts, sim.moves, sim.gaps, sim.now)
}
