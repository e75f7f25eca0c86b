package simulation

// Requests to caches, and their responses.

import (
	"time"

	"indigochute.example/indigochute/internal/routing"
)

// Request is a request as a director forwards it to a cache.
type Request struct {
	ID           uint64 // chosen by the caller; unique among the open requests of a cache
	Class        int    // index of the request class in the topology
	Object       uint64
	Part         uint32
	Bytes        int           // size of the response body
	FillSource   uint32        // id of the machine that fills a miss; 0: none, the response to a miss is Missing
	Rank         uint8         // retention rank of the copy, 0 (not cached) to 3
	MaxAge       time.Duration // maximum age of a copy; 0: the freshness lifetime of the class applies
	OnlyIfCached bool          // the fill source must not fetch a missing segment from the origin
	Revalidate   bool          // a hit past half of its freshness lifetime starts a background revalidation
}

// segment returns the part of the object that is requested.
func (r *Request) segment() segment { return segment{r.Object, r.Part} }

// Status is the way in which a request ended. It implies whether the request may have been executed.
type Status uint8

const (
	// Served means that the response is complete.
	Served Status = iota
	// Missing means a cache miss that no machine filled. The request was not executed.
	Missing
	// Rejected means that all slots were taken and that the queue was full. The request was not executed.
	Rejected
	// Failed means that the fill failed. The request may have been executed.
	Failed
	// Lost means that the cache was down or went down. The request may have been executed.
	Lost
)

// Response reports how a request ended. A canceled request has no response.
type Response struct {
	ID     uint64 // of the request
	Node   uint32 // id of the cache that responds
	Status Status
	Fill   routing.Fill  // cache status
	Waited time.Duration // time spent waiting for the fill
	Born   time.Duration // when the origin sent the copy; valid if the response has a body
	At     time.Duration // when the response was complete
}
