package routing

import (
	"testing"
	"time"
)

// TestSourcePrefersFasterParentThenOrigin gives the parents different fill latencies, then removes both parents.
func TestSourcePrefersFasterParentThenOrigin(t *testing.T) {
	site := newManualSite(t, 3)
	for _, quick := range []uint32{2, 3} {
		site.director.endpoints[quick].fillLatency, site.director.endpoints[5-quick].fillLatency = 20*ms, 200*ms
		if got := site.sources(1000*uint64(quick), 4); got[quick] != 4 {
			t.Errorf("fills by source: got %v, want all from the faster parent %d", got, quick)
		}
	}
	site.updateEndpoints(false, Endpoint{Node: 2, State: Gone, Kind: 1}, Endpoint{Node: 3, State: Draining, Kind: 1})
	if got := site.sources(4000, 1); got[1] != 1 {
		t.Errorf("fills by source: got %v, want all from the origin", got)
	}
}

// TestOverdueFillMovesNextFillsToOtherParent checks that an overdue fill has an immediate effect: later requests that would use
// its source must use the second parent of their pair.
func TestOverdueFillMovesNextFillsToOtherParent(t *testing.T) {
	site := newManualSite(t, 3)
	site.sendRequest(segmentedClass, 1, 0)
	slow := site.lastOrder.Source
	if from := site.sources(100, 20); from[slow] == 0 {
		t.Fatalf("fills by source: got %v before any latency is known, want some from each parent", from)
	}
	site = newManualSite(t, 3)
	site.sendRequest(segmentedClass, 1, 0)
	site.run(site.now + maxOverdueWait + 10*ms)
	if from := site.sources(100, 20); from[slow] != 0 {
		t.Errorf("fills by source: got %v, want none from %d, which has an overdue fill", from, slow)
	}
}

// TestSlowParentLinkRaisesFillLatency has a parent with a slow link that sends its first byte in time. The duration of the
// whole fill must count as its latency.
func TestSlowParentLinkRaisesFillLatency(t *testing.T) {
	site := newManualSite(t, 3)
	for object := range uint64(120) {
		request := site.requests[site.sendRequest(segmentedClass, 2000+object, 0)]
		site.run(site.now + map[uint32]time.Duration{2: 380 * ms, 3: 250 * ms}[site.lastOrder.Source])
		site.endAttempt(request.ID, Outcome{Fill: Filled, SourceWait: 20 * ms})
	}
	from := site.sources(4000, 8)
	site.failIf(from[2] > 0 || from[3] == 0, "fills by source: got %v, want all from 3, because 2 is slow", from)
}

// TestSourcePrefersNearParent has parents at two hubs. Each hub on the path adds another transfer of the bytes, so a parent at
// the director's own hub must come first unless it is clearly slower.
func TestSourcePrefersNearParent(t *testing.T) {
	site := newManualSite(t, 1)
	site.settings.HubOfZone = []int{0, 0, 1, 2} // zones 0 and 1 belong to hub 0
	site.director = New(site.settings, site)
	site.updateEndpoints(true, Endpoint{Node: 1, State: Ready, Kind: 2}, Endpoint{Node: 2, State: Ready, Kind: 1, Zone: 0},
		Endpoint{Node: 3, State: Ready, Kind: 1, Zone: 2}, Endpoint{Node: 10, State: Ready, Zone: 1})
	from := site.sources(500, 20)
	site.failIf(from[3] > 0, "fills by source: got %v, want none from 3, which is at another hub", from)
}

// TestSingleParentSharesFillsWithOrigin removes one of two parents. The other must not take over all its fills.
func TestSingleParentSharesFillsWithOrigin(t *testing.T) {
	site := newManualSite(t, 4)
	site.updateEndpoints(false, Endpoint{Node: 3, State: Gone, Kind: 1})
	from := site.sources(900, 12)
	site.failIf(from[1] < 2, "got %d fills from the origin, want at least 2", from[1])
	site.failIf(from[2] <= from[1], "got %d fills from the remaining parent, want more than the %d from the origin", from[2], from[1])
}

// TestOriginAtLimitGetsNoFills has no fit parent. Fills may go to the origin only within its limit, because otherwise all
// directors would overload it together. Writes must still go to the origin.
func TestOriginAtLimitGetsNoFills(t *testing.T) {
	site := newManualSite(t, 3)
	for _, parent := range site.director.parents {
		parent.ejectedUntil = time.Hour
	}
	origin := site.director.origin
	origin.inFlight, origin.limit.max = 1, 1
	for object := range uint64(20) {
		site.serve(segmentedClass, 1000+object, ms, Outcome{Result: NotCached})
		if site.lastOrder.Source == origin.id {
			t.Fatal("fill sent to an origin at its limit")
		}
	}
	site.sendRequest(nonIdempotentClass, 5000, 0)
	if site.lastOrder.Source != origin.id {
		t.Errorf("write sent to source %d, want the origin", site.lastOrder.Source)
	}
}
