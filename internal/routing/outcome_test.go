package routing

import (
	"fmt"
	"testing"
)

// TestFailureOfUnprovenClientIsNotRetried fails requests of a client that has not been served yet, so the request itself may be
// the cause. It must not be sent again, and the failure must not count against any endpoint.
func TestFailureOfUnprovenClientIsNotRetried(t *testing.T) {
	for _, unproven := range []bool{true, false} {
		t.Run(fmt.Sprintf("unproven %v", unproven), func(t *testing.T) {
			site := newManualSite(t, 3)
			for i := range uint32(2) {
				site.now += 100 * ms
				request := site.requests[site.sendRequest(segmentedClass, 7, i)]
				record := site.director.requests[request.ID]
				record.unproven = unproven
				cache := record.attempts[0].endpoint
				site.endAttempt(request.ID, Outcome{Result: Failed})
				failures := cache.failures.Sum(site.now)
				site.failIf((record.state == stateEnded) != unproven, "got state %d, want ended: %v", record.state, unproven)
				site.failIf((failures == 0) != unproven, "got %g failures of the cache, want 0: %v", failures, unproven)
			}
		})
	}
}

// TestStalledDirectorIgnoresLateness has a director that was paused, or had no processor time, process an answer late that
// arrived in time.
func TestStalledDirectorIgnoresLateness(t *testing.T) {
	site := newManualSite(t, 4)
	first := site.serve(freshClass, 7, 600*ms, Outcome{Fill: CacheHit, DirectorStalled: true}).attempts[0].node
	cache := site.director.endpoints[first]
	site.failIf(cache.inflation > 0, "latency inflation: got %v, want 0", cache.inflation)
	site.failIf(cache.limit.max != initialEndpointLimit, "limit: got %v, want %v", cache.limit.max, initialEndpointLimit)
	site.failIf(site.director.lateFraction > 0, "share of late answers: got %v, want 0", site.director.lateFraction)
	next := site.serve(freshClass, 7, 20*ms, Outcome{Fill: CacheHit}).attempts[0].node
	site.failIf(next != first, "next request sent to cache %d, want %d", next, first)
}

// TestSourceFailureDoesNotLowerCacheLimit fails a fill at its source, which says nothing about the cache. The cache must keep
// its limit and must be tried again with another source, because it is the home of the copy.
func TestSourceFailureDoesNotLowerCacheLimit(t *testing.T) {
	for name, fill := range map[string]Fill{"rejected": SourceRejected, "unreachable": SourceUnreachable} {
		t.Run(name, func(t *testing.T) {
			site := newManualSite(t, 4)
			request := site.requests[site.sendRequest(segmentedClass, 1, 0)]
			home, source := site.director.endpoints[site.lastOrder.Node], site.lastOrder.Source
			limitBefore, sourceLimitBefore := home.limit.max, site.director.endpoints[source].limit.max
			site.run(site.now + 40*ms)
			site.endAttempt(request.ID, Outcome{Result: Rejected, Fill: fill})
			if len(request.attempts) != 2 {
				t.Errorf("got %d attempts, want 2", len(request.attempts))
			}
			if site.lastOrder.Node != home.id || site.lastOrder.Source == source {
				t.Errorf("retry sent to %d with source %d, want %d with a source other than %d",
					site.lastOrder.Node, site.lastOrder.Source, home.id, source)
			}
			if home.limit.max != limitBefore {
				t.Errorf("limit of the cache: got %.1f, want unchanged %.1f", home.limit.max, limitBefore)
			}
			sourceLimit, wantLowered := site.director.endpoints[source].limit.max, fill == SourceRejected
			if lowered := sourceLimit < sourceLimitBefore; lowered != wantLowered {
				t.Errorf("limit of the source: got %.1f, previously %.1f, want lowered: %v", sourceLimit, sourceLimitBefore, wantLowered)
			}
		})
	}
}
