package capacity

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"testing/quick"
	"time"

	"indigochute.example/indigochute/internal/topology"
)

// TestRunCountsEveryRequestOnce simulates random demands with random failures. Each request of the counted span must be counted
// exactly once.
func TestRunCountsEveryRequestOnce(t *testing.T) {
	network := testTopology(t)
	check := func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 2))
		demand := randomDemand(network, 50+100*random.Float64(), 25*time.Second, 50+random.IntN(800), seed)
		// At the lowest rate a run has 275 requests, more than minRunRequests.
		setup := Setup{Factor: 0.5 + random.Float64()*1.5, Seed: seed, Warmup: time.Second, Span: 10 * time.Second}
		setup.Failure = randomFailure(network, random)
		result, err := Run(network, demand, setup)
		if err != nil {
			t.Log(err)
			return false
		}
		_, requests, warmup, span, err := demand.Window(setup.Factor, setup.Warmup, setup.Span)
		if err != nil {
			t.Log(err)
			return false
		}
		want := 0
		for _, request := range requests {
			if request.At >= warmup && request.At < warmup+span {
				want++
			}
		}
		all := result.Tally(allClassesIndex)
		if all.Requests != want {
			t.Logf("seed %d: got %d requests, want %d", seed, all.Requests, want)
			return false
		}
		if outcomes := all.Met + all.Late + all.Rejected + all.Failed; outcomes != all.Requests {
			t.Logf("seed %d: got %d outcomes, want one for each of %d requests: %+v", seed, outcomes, all.Requests, all)
			return false
		}
		return true
	}
	if err := quick.Check(check, quickConfig(25)); err != nil {
		t.Error(err)
	}
}

// randomFailure returns a failure that restarts and removes some machines other than the origin. In one of three cases it also
// contains the loss of a zone.
func randomFailure(network *topology.Topology, random *rand.Rand) (failure Failure) {
	machines := network.Machines()
	for _, machine := range machines[:len(machines)-1] {
		switch random.IntN(6) {
		case 0:
			failure.Restarted = append(failure.Restarted, machine.ID)
		case 1:
			failure.Removed = append(failure.Removed, machine.ID)
		}
	}
	if random.IntN(3) == 0 {
		failure.LostZones = []int{random.IntN(2)}
	}
	return failure
}

// TestAnswerDeterministicForSeed compares the answers of two planners with the same seed. They must be equal.
func TestAnswerDeterministicForSeed(t *testing.T) {
	const goal = "all 95% in its aim also while a fifth returns cold"
	network := testTopology(t)
	demand := randomDemand(network, 60, 40*time.Second, 300, 1)
	first, err := testPlanner(t, network, demand, goal, 3).Answer()
	if err != nil {
		t.Fatal(err)
	}
	second, err := testPlanner(t, network, demand, goal, 3).Answer()
	if err != nil {
		t.Fatal(err)
	}
	for _, compared := range []struct {
		name          string
		first, second any
	}{
		{"points of the break", first.FirstBreak.Points, second.FirstBreak.Points},
		{"limits", first.Limits, second.Limits},
		{"share over time after the loss", first.Losses[0].ShareOverTime, second.Losses[0].ShareOverTime},
		{"break under the loss", first.Losses[0].Break.Factor, second.Losses[0].Break.Factor},
	} {
		if !reflect.DeepEqual(compared.first, compared.second) {
			t.Errorf("%s: got %v and %v from the same seed, want equal values", compared.name, compared.first, compared.second)
		}
	}
}
