package capacity

import (
	"slices"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/topology"
)

// TestWorstRestartExhaustiveAndSampled selects the worst restart of few caches, for which all sets must be tried, and of many
// caches, for which a sample must be tried. The restart of a larger share must not cost less.
func TestWorstRestartExhaustiveAndSampled(t *testing.T) {
	network := testTopology(t)
	planner := testPlanner(t, network, randomDemand(network, 60, 30*time.Second, 300, 1), "all 95% in its aim", 1)
	lastCost := -1.0
	for _, share := range []float64{0.2, 0.4, 0.6, 1} {
		set := planner.WorstRestart(share, 2)
		selection := set.Selection
		if !selection.Exhaustive || len(set.Machines) != selection.Restarted {
			t.Errorf("share %g: got %+v, want all sets tried, and as many machines as a set has", share, set)
		}
		if selection.WorstCost < lastCost {
			t.Errorf("share %g: got a cost of %g, want at least the cost of a smaller share, %g", share, selection.WorstCost, lastCost)
		}
		if selection.P95Cost > selection.WorstCost || selection.MedianCost > selection.P95Cost {
			t.Errorf("share %g: got %+v, want percentiles in ascending order", share, selection)
		}
		lastCost = selection.WorstCost
	}

	network.Kinds[0].CountByZone["west"], network.Kinds[0].CountByZone["east"] = 30, 20
	set := planner.WorstRestart(0.2, 2)
	if set.Selection.Exhaustive || set.Selection.SetsTried < sampledSets {
		t.Errorf("50 caches: got %+v, want a sample of at least %d sets", set.Selection, sampledSets)
	}
	if len(set.Machines) != 10 || !slices.IsSorted(set.Machines) {
		t.Errorf("50 caches: got machines %v, want 10 in order", set.Machines)
	}
}

// TestLossNamesSlowStartAsCause restarts caches that would meet the goal if they were warm. Loss must name slow start as the
// cause.
func TestLossNamesSlowStartAsCause(t *testing.T) {
	network := testTopology(t)
	network.SlowStart.Floor, network.SlowStart.Ramp = 0.05, topology.Duration(12*time.Second)
	demand := randomDemand(network, 60, 90*time.Second, 300, 2)
	planner := testPlanner(t, network, demand, "all 95% in its aim also while half returns cold", 1)
	result, err := planner.Loss(planner.Goal.Losses[0], 1)
	if err != nil {
		t.Fatal(err)
	}
	without, err := planner.Break(network, Failure{})
	if err != nil {
		t.Fatal(err)
	}
	if result.Cause == nil || result.Cause.Limit.Resource != limitSlowStart {
		t.Errorf("cause: got %+v, want slow start", result.Cause)
	}
	if result.Break.Factor >= without.Factor {
		t.Errorf("break under the loss: got %g, want less than without the loss, %g", result.Break.Factor, without.Factor)
	}
}

// TestCachedAndReadCountPartsByZone reads a part in two zones. It must count as cached once in each of them.
func TestCachedAndReadCountPartsByZone(t *testing.T) {
	network := testTopology(t)
	demand := DemandFromRequests([]Request{
		{Object: 7, Bytes: 1000, Zone: 0},
		{At: 100 * time.Millisecond, Object: 7, Bytes: 1000, Zone: 1},
		{At: 200 * time.Millisecond, Object: 7, Bytes: 1000, Zone: 1},
	})
	cached, read := cachedAndRead(network, demand)
	if read[0] != 1000 || read[1] != 2000 {
		t.Errorf("bytes read by zone: got %v, want 1000 and 2000", read)
	}
	byZone := make([]float64, len(network.Zones))
	for _, machine := range network.Machines() {
		byZone[machine.Zone] += cached[machine.ID]
	}
	if byZone[0] != 1000 || byZone[1] != 1000 {
		t.Errorf("bytes cached by zone: got %v, want 1000 in each", byZone[:2])
	}
}
