package routing

import (
	"testing"
)

// TestChooseEndpointSkipsSlowCache has other directors overload a cache. This director has few attempts in flight there, but
// the slow hits must be enough to send the next requests to another cache.
func TestChooseEndpointSkipsSlowCache(t *testing.T) {
	site := newManualSite(t, 4)
	overloaded := site.serve(freshClass, 7, 600*ms, Outcome{Fill: CacheHit}).attempts[0].node
	for range 6 {
		served := site.serve(freshClass, 7, 20*ms, Outcome{Fill: CacheHit})
		site.failIf(served.attempts[0].node == overloaded, "request sent to the overloaded cache, want another cache")
	}
}
