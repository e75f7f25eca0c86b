package capacity

// Counts of requests by zone and document, hot documents, and the memory available for distinct parts.

import (
	"indigochute.example/indigochute/internal/routing"
)

// zoneReads counts the requests that a zone serves, including writes.
type zoneReads struct {
	documents map[uint64]*documentReads
	total     float64 // requests
}

// documentReads counts the requests for a document.
type documentReads struct {
	requests float64
	bytes    float64 // of all distinct parts that are requested
}

// countReads counts the requests of the zones for which include returns true.
func (b *bounds) countReads(include func(zone int) bool) {
	b.reads = make([]zoneReads, len(b.network.Zones))
	seen := make([]map[partKey]bool, len(b.network.Zones))
	for zone := range b.reads {
		b.reads[zone].documents = map[uint64]*documentReads{}
		seen[zone] = map[partKey]bool{}
	}
	for i := range b.demand.Requests {
		request := &b.demand.Requests[i]
		zone := b.zoneOf(request)
		if !include(zone) {
			continue
		}
		reads, document := &b.reads[zone], documentKey(b.network, request)
		counts := reads.documents[document]
		if counts == nil {
			counts = &documentReads{}
			reads.documents[document] = counts
		}
		counts.requests++
		reads.total++
		if key := (partKey{request.Object, request.Part}); !seen[zone][key] {
			seen[zone][key] = true
			counts.bytes += float64(request.Bytes)
		}
	}
}

// hot reports whether the directors of a zone spread the reads of a document over several caches. Each director decides
// this from the requests that it receives itself within routing.HotWindow.
func (b *bounds) hot(zone int, document *documentReads) bool {
	directors := float64(max(1, b.network.Zones[zone].Directors))
	windowShare := routing.HotWindow.Seconds() / b.demand.Span.Seconds() * b.factor / directors
	return routing.IsHot(document.requests*windowShare, b.reads[zone].total*windowShare)
}

// pool returns the memory in bytes that the caches of a zone have for distinct parts. This is all memory minus the second
// copies of hot documents, but at least half of all memory.
func (b *bounds) pool(zone int) (bytes float64) {
	for k := range b.network.Kinds {
		kind := &b.network.Kinds[k]
		bytes += float64(kind.Memory) * float64(kind.CountByZone[b.network.Zones[zone].Name])
	}
	secondCopies := 0.0
	for _, document := range b.reads[zone].documents {
		if b.hot(zone, document) {
			secondCopies += document.bytes
		}
	}
	return max(bytes/2, bytes-secondCopies)
}
