package capacity

import (
	"math"
	"testing"
	"testing/quick"
	"time"

	"indigochute.example/indigochute/internal/topology"
)

// TestIsotonicSharesAndCrossingsNeverRise fits isotonic shares to random points. The shares must not rise with load, and a
// higher wanted share must not be crossed at a higher load.
func TestIsotonicSharesAndCrossingsNeverRise(t *testing.T) {
	check := func(shares []float64) bool {
		var points []Point
		for i, share := range shares {
			points = append(points, Point{Factor: float64(i + 1), Share: math.Abs(math.Mod(share, 1)), Requests: 100})
		}
		if len(points) < 2 {
			return true
		}
		isotonic := IsotonicShares(points)
		for i := 1; i < len(isotonic); i++ {
			if isotonic[i] > isotonic[i-1]+1e-12 {
				return false
			}
		}
		lastCrossing := math.Inf(1)
		for want := 0.05; want < 1; want += 0.05 {
			crossing := IsotonicCrossing(points, want)
			if crossing > lastCrossing+1e-9 {
				return false
			}
			lastCrossing = crossing
		}
		return true
	}
	if err := quick.Check(check, quickConfig(100)); err != nil {
		t.Error(err)
	}
}

// TestRunShareNeverRisesWithLoad simulates rising loads. The share of a run must not rise with load by more than random
// variation explains.
func TestRunShareNeverRisesWithLoad(t *testing.T) {
	network := testTopology(t)
	demand := randomDemand(network, 60, 60*time.Second, 300, 5)
	const tolerance = 0.02
	lowestShare := 1.1 // above any share
	for _, factor := range []float64{0.5, 1, 1.5, 2, 2.5, 3, 4} {
		result, err := Run(network, demand, Setup{Factor: factor, Seed: 1, Warmup: 3 * time.Second, Span: 10 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		share := result.Share(allClassesIndex)
		if share > lowestShare+tolerance {
			t.Errorf("share at %g times the load: got %.3f, want no more than at less load, %.3f", factor, share, lowestShare)
			continue
		}
		lowestShare = share
	}
}

// TestBreakWithAdditionalCache adds a cache under random demands. The break must not fall by more than the uneven load of home
// nodes explains, because the new cache may become the home node of hot objects.
func TestBreakWithAdditionalCache(t *testing.T) {
	check := func(seed uint64) bool {
		network := testTopology(t)
		demand := randomDemand(network, 60, 60*time.Second, 400, seed)
		before, err := testPlanner(t, network, demand, "all 95% in its aim", seed).Break(network, Failure{})
		if err != nil {
			t.Fatal(err)
		}
		uneven := unevenness(network, demand)
		larger := network.Clone()
		larger.Kinds[0].CountByZone[[]string{"west", "east"}[seed%2]]++
		after, err := testPlanner(t, larger, demand, "all 95% in its aim", seed).Break(larger, Failure{})
		if err != nil {
			t.Fatal(err)
		}
		explained := max(uneven, unevenness(larger, demand)) + 0.05
		if least := before.Factor * (1 - explained); after.Factor < least {
			t.Logf("seed %d: break at %g, with an additional cache: got %g, want at least %g", seed, before.Factor, after.Factor, least)
			return false
		}
		return true
	}
	if err := quick.Check(check, quickConfig(6)); err != nil {
		t.Error(err)
	}
}

// unevenness returns the difference between the load of the busiest cache of a zone and the mean load of the zone, as a share
// of the load of the busiest cache. It returns the highest value of all zones.
func unevenness(network *topology.Topology, demand *Demand) (highest float64) {
	loads, count, greatest := map[int]float64{}, map[int]float64{}, map[int]float64{}
	for _, limit := range Bounds(network, demand, 1) {
		if limit.Resource == limitCores {
			loads[limit.Zone] += limit.Load
			count[limit.Zone]++
			greatest[limit.Zone] = max(greatest[limit.Zone], limit.Load)
		}
	}
	for zone := range loads {
		highest = max(highest, 1-loads[zone]/count[zone]/greatest[zone])
	}
	return highest
}

// TestBreakUnderFailure removes or restarts machines under random demands. The break must not rise by more than random variation
// explains.
func TestBreakUnderFailure(t *testing.T) {
	check := func(seed uint64) bool {
		network := testTopology(t)
		demand := randomDemand(network, 60, 60*time.Second, 400, seed)
		planner := testPlanner(t, network, demand, "all 95% in its aim", seed)
		without, err := planner.Break(network, Failure{})
		if err != nil {
			t.Fatal(err)
		}
		machines := network.Machines()
		failure := Failure{Removed: []uint32{machines[seed%5].ID}}
		if seed%2 == 1 {
			failure = Failure{Restarted: []uint32{machines[seed%5].ID, machines[(seed+1)%5].ID}}
		}
		with, err := planner.Break(network, failure)
		if err != nil {
			t.Fatal(err)
		}
		if with.Factor > without.Factor*1.04 {
			t.Logf("seed %d: break at %g, with the failure %+v: got %g, want no more", seed, without.Factor, failure, with.Factor)
			return false
		}
		return true
	}
	if err := quick.Check(check, quickConfig(6)); err != nil {
		t.Error(err)
	}
}
