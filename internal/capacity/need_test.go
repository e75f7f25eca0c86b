package capacity

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// TestNeedsFindsFewestCachesOrLimit determines the number of caches that a goal needs. If no number of caches meets the goal, the
// error must name the limit that breaks it.
func TestNeedsFindsFewestCachesOrLimit(t *testing.T) {
	network := testTopology(t)
	demand := randomDemand(network, 60, 60*time.Second, 400, 3)
	planner := testPlanner(t, network, demand, "page 95% in its aim at 150 reqs/s", 1)
	needs, err := planner.Needs("std")
	if err != nil {
		t.Fatal(err)
	}
	if len(needs) != 1 {
		t.Fatalf("got %d needs, want 1", len(needs))
	}
	need := needs[0]
	if need.Total < 3 || need.Share < 0.95 {
		t.Fatalf("got %d caches with a share of %g, want at least 3 with at least 0.95", need.Total, need.Share)
	}
	if need.Total != total(need.Required) {
		t.Errorf("got a total of %d caches, want the sum of %v", need.Total, need.Required)
	}
	if need.Condition != withoutLoss || need.Current["west"] != 3 {
		t.Errorf("got condition %q with %d current caches in west, want %q with 3", need.Condition, need.Current["west"], withoutLoss)
	}

	network.Zones[0].Link, network.Zones[1].Link = 20e3, 20e3
	network.Kinds[0].Memory = 4e3
	_, err = planner.Needs("std")
	var unmet UnmetError
	if !IsUnmet(err) || !errors.As(err, &unmet) || !strings.Contains(err.Error(), "link is the limiting resource") {
		t.Fatalf("small links: got error %v, want an UnmetError that names a link", err)
	}
	if unmet.Limit.Resource != limitLink || unmet.MaxCaches < maxMultiple {
		t.Errorf("got limit %+v with %d caches, want a link with at least %g", unmet.Limit, unmet.MaxCaches, maxMultiple)
	}
	if _, err = planner.Needs("none"); err == nil || IsUnmet(err) {
		t.Errorf("unknown kind: got error %v, want an error that is not an UnmetError", err)
	}
}
