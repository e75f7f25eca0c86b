package routing

// Preference: the order in which the location's caches are preferred for a document.
//
// It decides the home of each document by rendezvous hashing, weighted by capacity and equal at all directors, and which cache
// receives a request for a hot document. It applies to every request. It guards against caching the same document everywhere,
// and against moving most documents when a cache is added or removed.

import (
	"cmp"
	"math"
	"slices"
)

// minScoredShare is the lower bound on a share in a score, so that a share of zero does not cause a division by zero.
const minScoredShare = 1e-9

// preferenceOrder returns the location's caches in order of preference for a document, home first. Each segment of an object
// has its own order, because it is requested, filled and cached separately. The segments of a hot object are therefore spread
// over all caches, even if each director sees too few requests to detect that the object is hot.
func (d *Director) preferenceOrder(doc *document) []*endpoint {
	if doc.orderVersion != d.endpointVersion {
		doc.orderVersion, doc.order = d.endpointVersion, ranked(doc.key, d.caches)
		doc.spread = slices.DeleteFunc(doc.spread, func(share spreadShare) bool {
			return !share.endpoint.ready || share.endpoint == doc.order[0]
		})
		d.memory.recount(doc)
	}
	return doc.order
}

// pickBySpread draws the cache of a request in proportion to the document's shares (weighted rendezvous hashing). It returns
// the home if the document is not hot, and nil if the location has no cache.
func (d *Director) pickBySpread(request *openRequest, order []*endpoint) *endpoint {
	if len(order) == 0 {
		return nil
	}
	home, doc := order[0], request.document
	if len(doc.spread) == 0 {
		return home
	}
	drawn := doc.key ^ d.chance(request.id)
	best, highest := home, spreadScore(drawn, home, 1-doc.spreadAt(nil))
	for _, share := range doc.spread {
		if score := spreadScore(drawn, share.endpoint, share.fraction); score > highest {
			best, highest = share.endpoint, score
		}
	}
	return best
}

// spreadScore returns the rendezvous score of a cache with a share of a document's requests. The probability that a cache has
// the highest score equals its part of the sum of all shares.
func spreadScore(drawn uint64, cache *endpoint, share float64) float64 {
	return math.Log(unitInterval(hash(drawn, uint64(cache.id)))) / max(share, minScoredShare)
}

// DocumentKey returns the key by which endpoints are ranked for a document. For an object in segments it is a hash of the
// object id and the segment, otherwise the object id.
func DocumentKey(object uint64, segment uint32, inSegments bool) uint64 {
	if !inSegments {
		return object
	}
	return hash(object, uint64(segment))
}

// ranked returns endpoints in order of preference for a document. The order is the same at every director. The share of
// documents for which an endpoint comes first equals its share of the total capacity.
func ranked(key uint64, endpoints []*endpoint) []*endpoint {
	type scoredEndpoint struct {
		distance float64 // the endpoint with the smallest distance comes first
		endpoint *endpoint
	}
	scored := make([]scoredEndpoint, len(endpoints))
	for i, candidate := range endpoints {
		scored[i] = scoredEndpoint{-math.Log(unitInterval(hash(key, uint64(candidate.id)))) / candidate.capacity, candidate}
	}
	slices.SortFunc(scored, func(a, b scoredEndpoint) int { return cmp.Compare(a.distance, b.distance) })
	order := make([]*endpoint, len(endpoints))
	for i := range scored {
		order[i] = scored[i].endpoint
	}
	return order
}

// SortByPreference sorts endpoint ids by preference for an object, home first. The order is the one that every director uses if all
// capacities are equal.
func SortByPreference(object uint64, ids []uint32) {
	slices.SortFunc(ids, func(a, b uint32) int { return cmp.Compare(hash(object, uint64(b)), hash(object, uint64(a))) })
}

// Home returns the id that Homes would put first, without sorting. It returns 0 if ids is empty.
func Home(object uint64, ids []uint32) (home uint32) {
	var highest uint64
	for _, id := range ids {
		if score := hash(object, uint64(id)); home == 0 || score > highest {
			home, highest = id, score
		}
	}
	return home
}
