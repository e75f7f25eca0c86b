package capacity

import (
	"testing"
	"time"

	"indigochute.example/indigochute/internal/simulation"
	"indigochute.example/indigochute/internal/topology"
)

// TestFullerOriginDoesNotHideParents makes the fetches of the origin fuller than those of the parents, which break the
// goal. The parents are named as the cause. Searches for the break with more fetches of either show, independently of
// Causes, that the parents break the goal.
func TestFullerOriginDoesNotHideParents(t *testing.T) {
	network := testTopology(t)
	network.Kinds[0].Cores, network.Kinds[0].Slots, network.Kinds[0].Memory = 8, 100, 100e3
	network.Parents[0].Memory, network.Parents[0].Fetches = 60e3, 4
	network.Origin.Link, network.Origin.Fetches, network.Origin.Latency = 10e6, 10, topology.Duration(100*time.Millisecond)
	planner := testPlanner(t, network, randomDemand(network, 60, 60*time.Second, 300, 1), "page 95% in its aim", 1)
	breakOf := func(network *topology.Topology) *Break {
		found, err := planner.Break(network, Failure{})
		if err != nil {
			t.Fatal(err)
		}
		return found
	}
	found := breakOf(network)
	if fullest := found.fullest(); fullest.Resource != limitFetches || fullest.simulated.ID != topology.OriginID {
		t.Fatalf("the fullest limit is %+v, want the fetches of the origin", fullest)
	}
	largerParents, largerOrigin := network.Clone(), network.Clone()
	largerParents.Parents[0].Fetches *= reliefFactor
	largerOrigin.Origin.Fetches *= reliefFactor
	withParents, withOrigin := breakOf(largerParents).Factor, breakOf(largerOrigin).Factor
	if withParents < withOrigin*minBreakRatio {
		t.Fatalf("more of the parents moves the break from %g to %g, more of the origin to %g", found.Factor, withParents, withOrigin)
	}
	causes, err := planner.Causes(found, Failure{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	if len(causes) != 1 {
		t.Fatalf("causes %+v, want one", causes)
	}
	limit := causes[0].Limit
	if limit.Resource != limitFetches || limit.simulated.Kind != 0 || limit.simulated.ID == topology.OriginID {
		t.Errorf("the cause is %+v, want the fetches of the parents", limit)
	}
}

// TestFullerParentsDoNotHideOrigin makes the fetches of parents fuller than those of the origin, which alone decides up to
// which load the goal holds. The origin is named as the cause.
func TestFullerParentsDoNotHideOrigin(t *testing.T) {
	network := testTopology(t)
	planner := testPlanner(t, network, randomDemand(network, 60, 60*time.Second, 300, 1), "page 95% in its aim", 1)
	fetchesNow := float64(network.Origin.Fetches)
	planner.Runner = func(network *topology.Topology, _ *Demand, setups []Setup) (results []*Result, err error) {
		for _, setup := range setups {
			met := 100
			if setup.Factor > float64(network.Origin.Fetches)/fetchesNow {
				met = 50
			}
			results = append(results, &Result{Factor: setup.Factor, Classes: []Tally{{Requests: 100, Met: met}, {}}})
		}
		return results, nil
	}
	parent, origin := network.Machines()[5], network.Machines()[7]
	found := &Break{Factor: 1}
	for _, use := range []simulation.Use{
		{Name: parent.Name, Resource: limitFetches, Kind: parent.Kind, Zone: parent.Zone, ID: parent.ID, Used: 0.9},
		{Name: origin.Name, Resource: limitFetches, Kind: origin.Kind, Zone: origin.Zone, ID: origin.ID, Used: 0.8},
	} {
		found.Utilizations = append(found.Utilizations, utilizationOf(use))
	}
	causes, err := planner.Causes(found, Failure{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	if len(causes) != 1 || causes[0].Limit.simulated.ID != topology.OriginID {
		t.Errorf("causes %+v, want the fetches of the origin", causes)
	}
}
