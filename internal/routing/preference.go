package routing

// Preference: in which order the location's caches are preferred for a document.
//
// It decides the home of each document by rendezvous hashing, weighted by capacity and the same at all directors, and which
// cache a request for a hot document goes to. It acts on every request. It guards against the same document being cached
// everywhere, and against most documents moving when one cache comes or goes.

import (
	"cmp"
	"math"
	"slices"
)

// minScoredShare bounds the score of a cache whose share is zero.
const minScoredShare = 1e-9

// preferenceOrder returns the location's caches in order of preference for a document, home first. Each segment of an object
// has an order of its own, as it is requested, filled and cached by itself. So a hot object in segments lies at all caches at
// once, even where each director sees too few requests to notice that it is hot.
func (d *Director) preferenceOrder(doc *document) []*endpoint {
	if doc.orderVersion != d.endpointVersion {
		doc.orderVersion, doc.order = d.endpointVersion, ranked(doc.key, d.caches)
		doc.spread = slices.DeleteFunc(doc.spread, func(share spreadShare) bool {
			return !share.endpoint.ready || share.endpoint == doc.order[0]
		})
	}
	return doc.order
}

// pickBySpread draws the cache of a request in proportion to the document's shares (weighted rendezvous hashing). That is the
// home where the document is not hot, and nil where the location has no cache.
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

// spreadScore returns the rendezvous score of a cache with a share of a document's requests: its score is the highest as often
// as its share is of the sum.
func spreadScore(drawn uint64, cache *endpoint, share float64) float64 {
	return math.Log(unit(hash(drawn, uint64(cache.id)))) / max(share, minScoredShare)
}

// DocumentKey returns the key by which endpoints are ranked for a document: the id of the object, or where the object is in
// segments a hash of that and the segment.
func DocumentKey(object uint64, segment uint32, inSegments bool) uint64 {
	if !inSegments {
		return object
	}
	return hash(object, uint64(segment))
}

// ranked returns endpoints in order of preference for a document, the same at every director. Each endpoint comes first as
// often as its capacity is of the sum.
func ranked(key uint64, endpoints []*endpoint) []*endpoint {
	type scoredEndpoint struct {
		distance float64 // the nearest comes first
		endpoint *endpoint
	}
	scored := make([]scoredEndpoint, len(endpoints))
	for i, candidate := range endpoints {
		scored[i] = scoredEndpoint{-math.Log(unit(hash(key, uint64(candidate.id)))) / candidate.capacity, candidate}
	}
	slices.SortFunc(scored, func(a, b scoredEndpoint) int { return cmp.Compare(a.distance, b.distance) })
	order := make([]*endpoint, len(endpoints))
	for i := range scored {
		order[i] = scored[i].endpoint
	}
	return order
}

// SortByPreference sorts the ids of endpoints by preference for an object, as every director does where all capacities are alike. The
// object's home comes first.
func SortByPreference(object uint64, ids []uint32) {
	slices.SortFunc(ids, func(a, b uint32) int { return cmp.Compare(hash(object, uint64(b)), hash(object, uint64(a))) })
}

// Home returns the id that Homes puts first, without sorting; 0 where ids is empty.
func Home(object uint64, ids []uint32) (home uint32) {
	var highest uint64
	for _, id := range ids {
		if score := hash(object, uint64(id)); home == 0 || score > highest {
			home, highest = id, score
		}
	}
	return home
}
