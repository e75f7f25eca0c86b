package routing

import (
	"testing"
	"time"
)

// TestSourceIsTheFasterParentElseTheOrigin gives the parents fill latencies that differ, then takes both away.
func TestSourceIsTheFasterParentElseTheOrigin(t *testing.T) {
	site := newManualSite(t, 3)
	for _, quick := range []uint32{2, 3} {
		site.director.endpoints[quick].fillLatency, site.director.endpoints[5-quick].fillLatency = 20*ms, 200*ms
		if got := site.sources(1000*uint64(quick), 4); got[quick] != 4 {
			t.Errorf("filled from %v, want the quick parent %d", got, quick)
		}
	}
	site.updateEndpoints(false, Endpoint{Node: 2, State: Gone, Kind: 1}, Endpoint{Node: 3, State: Draining, Kind: 1})
	if got := site.sources(4000, 1); got[1] != 1 {
		t.Errorf("filled from %v, want the origin", got)
	}
}

// TestOverdueFillSendsTheNextToTheOtherParent checks that a fill that is overdue counts at once: requests that would choose
// its source next go to the second of their pair.
func TestOverdueFillSendsTheNextToTheOtherParent(t *testing.T) {
	site := newManualSite(t, 3)
	site.sendRequest(segmentedClass, 1, 0)
	slow := site.lastOrder.Source
	if from := site.sources(100, 20); from[slow] == 0 {
		t.Fatalf("fills by source %v before anything is known", from)
	}
	site = newManualSite(t, 3)
	site.sendRequest(segmentedClass, 1, 0)
	site.run(site.now + maxOverdueWait + 10*ms)
	if from := site.sources(100, 20); from[slow] != 0 {
		t.Errorf("fills by source %v, %d is overdue with one", from, slow)
	}
}

// TestSlowLinkOfAParentCountsAsFillLatency has a parent whose link is slow, but which sends its first byte in time: the
// whole fill counts.
func TestSlowLinkOfAParentCountsAsFillLatency(t *testing.T) {
	site := newManualSite(t, 3)
	for object := range uint64(120) {
		request := site.requests[site.sendRequest(segmentedClass, 2000+object, 0)]
		site.run(site.now + map[uint32]time.Duration{2: 380 * ms, 3: 250 * ms}[site.lastOrder.Source])
		site.endAttempt(request.ID, Outcome{Fill: Filled, SourceWait: 20 * ms})
	}
	from := site.sources(4000, 8)
	site.failIf(from[2] > 0 || from[3] == 0, "fills by source %v, want all from 3, as 2 is slow", from)
}

// TestNearParentComesFirst has parents at two hubs: bytes cross the links once more for each hub, so a parent of the own
// hub comes first unless it is clearly slower.
func TestNearParentComesFirst(t *testing.T) {
	site := newManualSite(t, 1)
	site.settings.HubOfZone = []int{0, 0, 1, 2} // zone 1 hangs on hub 0, as zone 0 does
	site.director = New(site.settings, site)
	site.updateEndpoints(true, Endpoint{Node: 1, State: Ready, Kind: 2}, Endpoint{Node: 2, State: Ready, Kind: 1, Zone: 0},
		Endpoint{Node: 3, State: Ready, Kind: 1, Zone: 2}, Endpoint{Node: 10, State: Ready, Zone: 1})
	from := site.sources(500, 20)
	site.failIf(from[3] > 0, "fills by source %v, want none from 3, which is at another hub", from)
}

// TestOneParentAloneSharesWithTheOrigin takes one of two parents away: the other must not carry all its fills.
func TestOneParentAloneSharesWithTheOrigin(t *testing.T) {
	site := newManualSite(t, 4)
	site.updateEndpoints(false, Endpoint{Node: 3, State: Gone, Kind: 1})
	from := site.sources(900, 12)
	site.failIf(from[1] < 2, "%d fills from the origin, want 2 or more", from[1])
	site.failIf(from[2] <= from[1], "%d fills from the parent that is left, want more than the %d from the origin", from[2], from[1])
}

// TestOriginAtItsLimitGetsNoFill has no parent that is fit: fills go to the origin only within its limit, else all
// directors overload it together. Writes go there all the same.
func TestOriginAtItsLimitGetsNoFill(t *testing.T) {
	site := newManualSite(t, 3)
	for _, parent := range site.director.parents {
		parent.ejectedUntil = time.Hour
	}
	origin := site.director.origin
	origin.inFlight, origin.limit.max = 1, 1
	for object := range uint64(20) {
		site.serve(segmentedClass, 1000+object, ms, Outcome{Result: NotCached})
		if site.lastOrder.Source == origin.id {
			t.Fatal("a fill went to an origin at its limit")
		}
	}
	site.sendRequest(nonIdempotentClass, 5000, 0)
	if site.lastOrder.Source != origin.id {
		t.Errorf("a write went to %d, want the origin", site.lastOrder.Source)
	}
}
