package routing

import (
	"fmt"
	"testing"
	"time"
)

// TestFillWaitIsBounded checks that a request waits for a fill for less than half of its time. Otherwise it would be rejected
// late although it could have been sent.
func TestFillWaitIsBounded(t *testing.T) {
	site := newManualSite(t, 3)
	site.sendRequest(segmentedClass, 7, 0)
	site.settings.Classes[segmentedClass].MaxDeadline = 300 * ms
	record := site.director.requests[site.sendRequest(segmentedClass, 7, 0)]
	site.failIf(record.state != stateQueued, "state on arrival: got %d, want queued", record.state)
	site.run(site.now + 140*ms)
	site.failIf(record.state != stateInFlight, "state shortly before half of its time: got %d, want in flight", record.state)
}

// TestRequestsWithoutReadyCache removes all caches of the location at once, as a release may. Every request must still get an
// answer.
func TestRequestsWithoutReadyCache(t *testing.T) {
	for seed := range int64(2) {
		t.Run(fmt.Sprintf("bypass allowed %v", seed%2 == 0), func(t *testing.T) {
			site := newTestSite(seed, 2)
			site.updateEndpoints(false, Endpoint{Node: 10, State: Draining, Zone: 1}, Endpoint{Node: 11, State: Gone, Zone: 1})
			for class := range site.settings.Classes {
				request := site.requests[site.sendRequest(class, 5, 0)]
				site.failIf(!request.answered && (len(request.attempts) == 0 || request.attempts[0].node > 3),
					"class %d: neither answered immediately nor sent to a parent or the origin", class)
			}
			site.run(10 * time.Second)
			if site.violation != "" {
				t.Error(site.violation)
			}
		})
	}
}

// TestFullLinkTriesCachedCopyBeforeRejecting has a link at its limit. A request must be sent to a warm cache once, for a cached
// copy only, and must then be rejected.
func TestFullLinkTriesCachedCopyBeforeRejecting(t *testing.T) {
	site := newManualSite(t, 3)
	site.director.linkLimit.max = 0
	request := site.serve(segmentedClass, 7, 0, Outcome{Result: NotCached})
	if len(request.attempts) != 1 || !request.answered {
		t.Errorf("got %d attempts, answered %v; want 1 and a rejection", len(request.attempts), request.answered)
	}
	if site.lastOrder.Source != site.lastOrder.Node {
		t.Errorf("attempt sent to %d with source %d, want no other source", site.lastOrder.Node, site.lastOrder.Source)
	}

	site.serve(freshClass, 8, 0, Outcome{Result: NotCached})
	class := site.director.classes[freshClass]
	if got, want := site.lastOrder.MaxAge, class.FreshFor+class.StaleGrace; got != want {
		t.Errorf("maximum age of an attempt for a cached copy: got %v, want %v", got, want)
	}
}

// TestConcurrentRequestsFillOnce requests a new object many times at once. Each document must be filled once, and not once per
// request.
func TestConcurrentRequestsFillOnce(t *testing.T) {
	site := newManualSite(t, 4)
	for range 11 {
		site.sendRequest(segmentedClass, 77, 0)
	}
	site.failIf(site.director.fillsInFlight != 1, "got %g fills of one segment in flight, want 1", site.director.fillsInFlight)
	site.now += 80 * ms
	site.endAttempt(1, Outcome{Fill: Filled})
	// One more fill is allowed, because the cache that has the document may be above its load bound.
	site.failIf(site.director.fillsInFlight > 1, "got %g more fills after the first, want at most 1", site.director.fillsInFlight)
	done := false
	for range 12 {
		site.now += 50 * ms
		done = site.endAll(0, 0, CacheHit)
	}
	site.failIf(!done, "queued requests still unanswered")
}

// TestCollapseFillsFollowsSetting checks that attempts request collapsed fills if and only if the site supports them.
func TestCollapseFillsFollowsSetting(t *testing.T) {
	for _, allowed := range []bool{false, true} {
		t.Run(fmt.Sprintf("allowed %v", allowed), func(t *testing.T) {
			site := newManualSite(t, 2)
			site.director.settings.fillsCollapse = allowed
			site.sendRequest(segmentedClass, 7, 0)
			if got := site.lastOrder.CollapseFills; got != allowed {
				t.Errorf("CollapseFills: got %v, want %v", got, allowed)
			}
		})
	}
}
