package routing

import "time"

// discardExecutor is an Executor that does nothing.
type discardExecutor struct{}

func (discardExecutor) StartAttempt(uint32, AttemptOrder)     {}
func (discardExecutor) CancelAttempt(uint32, int)             {}
func (discardExecutor) Reject(uint32, time.Duration)          {}
func (discardExecutor) Fail(uint32)                           {}
func (discardExecutor) SetTimer(wait time.Duration, _ uint32) {}
func (discardExecutor) CheckHealth(uint32)                    {}

// listedEndpoints returns an origin, two parents and the given number of caches, all of them at the director's location.
func listedEndpoints(caches int) []Endpoint {
	list := []Endpoint{{Node: 1, State: Ready, Kind: 2}, {Node: 2, State: Ready, Kind: 1}, {Node: 3, State: Ready, Kind: 1}}
	for i := range caches {
		list = append(list, Endpoint{Node: uint32(10 + i), State: Ready, Zone: 1})
	}
	return list
}

// newListedDirector returns one of the given number of directors, with listedEndpoints as its endpoint list. All caches are at
// one location, so it ranks more endpoints than a director of a site whose caches are at many locations.
func newListedDirector(directors, caches int) *Director {
	settings := testSettings()
	settings.Directors, settings.DirectorsInZone = directors, directors
	director := New(settings, discardExecutor{})
	director.UpdateEndpoints(0, listedEndpoints(caches), true)
	return director
}

// serveHit sends a director a request that a cache answers with a hit after 5 ms.
func serveHit(director *Director, now time.Duration, request Request) {
	director.HandleRequest(now, request)
	director.HandleOutcome(now+5*ms, request.ID, Outcome{Duration: 5 * ms, Fill: CacheHit, Final: true})
}
