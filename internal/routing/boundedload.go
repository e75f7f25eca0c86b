package routing

// Bounded load: which cache receives a request if the preferred cache cannot take it.
//
// It decides the cache of each attempt. It applies if the preferred cache is ejected, is at its limit, has used up its slow
// start allowance, has more than its share of the load, is slower than its peers, or failed this request before. It guards
// against one overloaded cache among idle peers. Links carry few concurrent transfers, so a cache with only a little more load
// than its peers already answers late.

import (
	"math"
	"time"
)

const (
	boundedLoadFactor  = 1.25 // load bound of a cache: this multiple of the mean load, scaled to its capacity,
	boundedLoadExtra   = 1    // plus one attempt, which may be random variation,
	copyHolderExtra    = 2    // plus two attempts if it has the document, because another cache would have to fill it
	maxInflationRatio  = 1.7  // a cache is slow if its latency inflation exceeds this multiple of the lowest among its peers
	inflationGain      = 0.6  // weight of one hit in the latency inflation; high, because one of many directors sees few hits
	maxInflationSample = 8.0  // upper bound on the ratio of one hit
	inflationHalfLife  = 60.0 // half-life of the inflation, in answers of any cache
)

// inflationState is the latency inflation of one cache.
type inflationState struct {
	inflation   float64 // latency inflation minus 1 at the last update
	inflationAt float64 // inflationClock.answerCount at the last update
}

// inflationClock counts the answers of all caches, which is the clock for the decay of latency inflation.
type inflationClock struct {
	answerCount float64 // whole number
}

// latencyInflation returns how long recent hits of a cache took, as a multiple of the expected time. Without new samples it
// decays to 1. Unlike the number of attempts in flight, it also reflects the load from other directors. Guards against a cache
// that is delayed by a hot object, by a slowdown or by warming up. It is harmful if peers differ much in speed.
func (d *Director) latencyInflation(cache *endpoint) float64 {
	return 1 + cache.inflation*math.Exp2(-(d.answerCount-cache.inflationAt)/inflationHalfLife)
}

// recordInflation updates a cache's latency inflation with the ratio of the actual time to the expected time. A hit always
// counts. Any other answer counts only if it was faster than the current inflation, because the link may be the cause of a slow
// fill.
func (d *Director) recordInflation(cache *endpoint, ratio float64, hit bool) {
	d.answerCount++
	known := d.latencyInflation(cache)
	if !hit && ratio >= known {
		return
	}
	cache.inflation = max(0, known-1+(min(maxInflationSample, ratio)-known)*inflationGain)
	cache.inflationAt = d.answerCount
}

// cacheSelection is one selection of the cache for an attempt.
type cacheSelection struct {
	director           *Director
	now                time.Duration
	request            *openRequest
	inFlight, capacity float64   // sums over the location's caches
	leastInflation     float64   // lowest latency inflation of the location's caches
	leastLoaded        *endpoint // least loaded cache that is fit but above its bound; nil: none
}

// newCacheSelection returns a selection among the location's caches.
func (d *Director) newCacheSelection(now time.Duration, request *openRequest, caches []*endpoint) cacheSelection {
	search := cacheSelection{director: d, now: now, request: request, leastInflation: math.Inf(1)}
	for _, cache := range caches {
		search.inFlight += cache.inFlight
		search.capacity += cache.capacity
		search.leastInflation = min(search.leastInflation, d.latencyInflation(cache))
	}
	return search
}

// chooseEndpoint returns the first acceptable cache. It tries the preferred cache, then the caches that have the document, then
// all caches in order of preference. If all fit caches are above their bounds, it returns the least loaded of them. It returns
// nil if no cache is fit.
func (d *Director) chooseEndpoint(now time.Duration, request *openRequest, preferred *endpoint, order []*endpoint) *endpoint {
	search := d.newCacheSelection(now, request, order)
	if search.accepts(preferred) {
		return preferred
	}
	for _, known := range request.document.copies {
		holder := known.endpoint
		if holder != preferred && holder.ready && d.probablyCached(now, request, holder) && search.accepts(holder) {
			return holder
		}
	}
	for _, cache := range order {
		if cache != preferred && search.accepts(cache) {
			return cache
		}
	}
	return search.leastLoaded
}

// accepts reports whether a cache is fit for the request and within its bound. It records the least loaded cache among those
// that are fit but above their bounds.
func (search *cacheSelection) accepts(cache *endpoint) bool {
	if cache == nil || !search.isFit(cache) {
		return false
	}
	if !search.exceedsBound(cache) {
		return true
	}
	least := search.leastLoaded
	if least == nil || cache.inFlight/cache.capacity < least.inFlight/least.capacity {
		search.leastLoaded = cache
	}
	return false
}

// isFit reports whether the request may be sent to a cache, regardless of the load bound.
func (search *cacheSelection) isFit(cache *endpoint) bool {
	d, request, now := search.director, search.request, search.now
	if cache.ejectedUntil > now || request.failedAtEndpoint(cache) {
		return false
	}
	return d.slowStartAllows(now, cache) && request.mayExecuteAt(now, cache) && d.cacheAdmits(request, cache)
}

// exceedsBound reports whether a cache has more than its share of the load or is slower than its peers.
func (search *cacheSelection) exceedsBound(cache *endpoint) bool {
	d := search.director
	bound := boundedLoadFactor*search.inFlight/search.capacity*cache.capacity + boundedLoadExtra
	if d.probablyCached(search.now, search.request, cache) {
		bound += copyHolderExtra
	}
	slow := d.latencyInflation(cache) > maxInflationRatio*search.leastInflation
	return cache.inFlight > bound || slow
}
