package routing

import (
	"testing"
	"time"
)

// TestLostAnswerIsRetried has a cache that loses one answer but keeps answering other requests. The request must be sent again,
// and the cache must not count as overloaded or unresponsive.
func TestLostAnswerIsRetried(t *testing.T) {
	site := newManualSite(t, 3)
	request := site.requests[site.sendRequest(segmentedClass, 7, 0)]
	cache := site.director.endpoints[request.attempts[0].node]
	limitBefore := site.director.linkLimit.max
	for object := uint64(100); len(request.attempts) == 1 && site.now < 5*time.Second; object++ {
		site.serve(segmentedClass, object, 60*ms, Outcome{Fill: CacheHit})
	}
	if len(request.attempts) < 2 {
		t.Errorf("got %d attempts after %v, want a retry", len(request.attempts), site.now)
	}
	if request.answered {
		t.Error("request answered without an answer from a cache")
	}
	site.run(site.now + 2*ms) // lets the cancellation complete
	if cache.ejectedUntil > site.now {
		t.Errorf("cache ejected until %v by a lost answer, want no ejection", cache.ejectedUntil)
	}
	if limit := site.director.linkLimit.max; limit < limitBefore {
		t.Errorf("link limit after a lost answer: got %.1f, want at least %.1f", limit, limitBefore)
	}
}

// TestSendTimeOfWrites sends small writes, which are never hits. Their sending time must still be measured, because otherwise
// they would be the first to be rejected under load.
func TestSendTimeOfWrites(t *testing.T) {
	site := newManualSite(t, 3)
	for range 20 {
		site.serve(keyedWriteClass, 9, 40*ms, Outcome{Fill: FilledByOrigin})
	}
	learned := site.director.classes[keyedWriteClass].minSendTime
	site.failIf(learned > 80*ms, "expected sending time of writes that take 40 ms: got %v, want at most 80 ms", learned)
}
