package routing

import (
	"testing"
	"time"
)

// TestConnectionResetsAtHealthyCacheCountOnce breaks several connections of a healthy cache at once. They must count as one
// failure and must not begin a slow start. Because the cache still answers other attempts, the retry must go to it again.
func TestConnectionResetsAtHealthyCacheCountOnce(t *testing.T) {
	for name, result := range map[string]Result{"reset": Reset, "not sent": NotSent} {
		t.Run(name, func(t *testing.T) {
			site := newManualSite(t, 3)
			var requests []*clientRequest
			for range 10 {
				requests = append(requests, site.requests[site.sendRequest(segmentedClass, 7, uint32(len(requests)))])
			}
			site.run(site.now + 50*ms)
			cache := site.director.endpoints[requests[0].attempts[0].node]
			cache.lastAlive = site.now
			for _, request := range requests {
				site.now += ms
				if request.attempts[0].node == cache.id && request != requests[1] {
					site.endAttempt(request.ID, Outcome{Result: result})
				}
			}
			failures := cache.failures.Sum(site.now)
			site.failIf(failures != 1, "got %g failures, want 1", failures)
			site.failIf(cache.ejectedUntil > site.now, "cache ejected until %v, want no ejection", cache.ejectedUntil)
			site.failIf(cache.startKnown, "cache began a slow start, want none")
			request := requests[0]
			site.failIf(len(request.attempts) != 2, "got %d attempts, want 2", len(request.attempts))
			site.failIf(request.attempts[1].node != cache.id, "retry sent to cache %d, want %d", request.attempts[1].node, cache.id)
		})
	}
}

// TestConnectionResetsAtAllCachesEjectNone occasionally breaks connections at all caches, each with several attempts. No cache
// may be ejected.
func TestConnectionResetsAtAllCachesEjectNone(t *testing.T) {
	site := newManualSite(t, 4)
	for round := range uint64(60) {
		both := []*clientRequest{site.requests[site.sendRequest(freshClass, 100+round, 0)], site.requests[site.sendRequest(freshClass, 300+round, 0)]}
		site.run(site.now + 50*ms)
		for _, request := range both {
			if round%3 == 0 {
				site.endAttempt(request.ID, Outcome{Result: Reset})
			}
			site.endAttempt(request.ID, Outcome{Attempt: len(request.attempts) - 1, Fill: CacheHit})
		}
		site.failIf(site.ejectedCaches() > 0, "cache ejected in round %d, want none", round)
	}
}

// TestRequestsMoveAwayFromUnresponsiveCache has a cache that accepts requests but answers none. Other caches must answer these
// requests well before their deadlines.
func TestRequestsMoveAwayFromUnresponsiveCache(t *testing.T) {
	site := newManualSite(t, 4)
	for i := range uint64(40) {
		site.sendRequest(segmentedClass, 100+i, 0)
	}
	unresponsive, done := site.requests[1].attempts[0].node, false
	for range 150 {
		site.run(site.now + 10*ms)
		done = site.endAll(60*ms, unresponsive, Filled)
	}
	site.failIf(!done, "requests still unanswered at the unresponsive cache after 1.5 s")
}

// firstAttemptAt requests new objects until one of them is sent to the given endpoint, and returns how long that took. It
// returns limit if none was sent there.
func (site *testSite) firstAttemptAt(node uint32, limit time.Duration) time.Duration {
	begun := site.now
	for site.now-begun < limit {
		sentAt := site.now
		if site.serve(segmentedClass, 1000+uint64(site.nextID), 10*ms, Outcome{Fill: CacheHit}).attempts[0].node == node {
			return sentAt - begun
		}
	}
	return limit
}

// TestEjectionDuration checks that an ejected cache receives no attempts for two seconds plus a random part of up to half of
// that, and is then tried. Guards against a dead cache that every director keeps trying at the cost of a request, and against a
// long ejection after a short pause.
func TestEjectionDuration(t *testing.T) {
	for node := uint32(10); node < 13; node++ {
		site := newManualSite(t, 3)
		site.run(time.Second)
		site.director.eject(site.now, site.director.endpoints[node])
		if tried := site.firstAttemptAt(node, 10*time.Second); tried < 2*time.Second || tried > 3*time.Second+200*ms {
			t.Errorf("cache %d tried %v after its ejection, want 2 s to 3 s", node, tried)
		}
	}
}

// TestPeerReportsExtendEjection has a peer repeatedly report a cache as unresponsive. The cache must receive no attempt until
// two seconds after the last report. Guards against trying a cache that a peer has found dead.
func TestPeerReportsExtendEjection(t *testing.T) {
	site := newManualSite(t, 3)
	site.run(time.Second)
	for range 6 {
		site.director.HandlePeerHealth(site.now, 10, 0, false, site.now)
		if tried := site.firstAttemptAt(10, 1500*ms); tried < 1500*ms {
			t.Fatalf("cache tried %v after a peer reported it as unresponsive, want no attempt within 1.5 s", tried)
		}
	}
	if tried := 1500*ms + site.firstAttemptAt(10, 10*time.Second); tried < 2*time.Second || tried > 2*time.Second+200*ms {
		t.Errorf("cache tried %v after the last report, want 2 s", tried)
	}
}
