package capacity

import (
	"testing"
	"time"

	"indigochute.example/indigochute/internal/topology"
)

// TestBreakOfFocusMatchesCompleteTopology searches for the break of a topology with many zones, of which only those that break
// first are simulated. The load of the other zones is subtracted from the links of the parents and the origin. The complete
// topology must break at about the same load.
func TestBreakOfFocusMatchesCompleteTopology(t *testing.T) {
	const smallZone = 3 // zd, which has fewer caches than the others
	network := testTopology(t)
	network.Zones, network.Kinds[0].CountByZone = nil, map[string]int{}
	for i := range 10 {
		name := "z" + string(rune('a'+i))
		network.Zones = append(network.Zones, topology.Zone{Name: name, Link: 1e6, Hub: i % 3, Directors: 1})
		network.Kinds[0].CountByZone[name] = 3
	}
	network.Kinds[0].CountByZone["zd"] = 2
	network.Parents[0].Zone = "za"
	demand := randomDemand(network, 350, 60*time.Second, 300, 4)
	planner := testPlanner(t, network, demand, "all 95% in its aim", 1)
	chosen := planner.focusOn(network, Failure{})
	zones := map[int]bool{}
	for i := range chosen.demand.Requests {
		zones[int(chosen.demand.Requests[i].Zone)] = true
	}
	if len(zones) != maxFocusZones || !zones[smallZone] {
		t.Fatalf("simulated zones: got %v, want %d with zone %d among them", zones, maxFocusZones, smallZone)
	}
	if got := chosen.network.Kinds[0].CountByZone["zd"]; got != 2 {
		t.Fatalf("caches of zone zd in the simulated part: got %d, want 2", got)
	}
	if got, want := len(chosen.foreignLinkShares), len(chosen.network.Machines()); got != want {
		t.Fatalf("got %d shares of links, want one for each of %d machines", got, want)
	}
	found, err := planner.Break(network, Failure{})
	if err != nil {
		t.Fatal(err)
	}
	shareOfAll := func(factor float64) float64 { // in the complete topology
		result, err := Run(network, demand, Setup{Factor: factor, Seed: 1, Warmup: 2 * time.Second, Span: 6 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		return result.Share(-1)
	}
	if share := shareOfAll(found.Factor * 0.85); share < 0.95 {
		t.Errorf("share of the complete topology at 0.85 times the break at %g: got %.3f, want at least 0.95", found.Factor, share)
	}
	if share := shareOfAll(found.Factor * 1.5); share >= 0.95 {
		t.Errorf("share of the complete topology at 1.5 times the break at %g: got %.3f, want less than 0.95", found.Factor, share)
	}
}
