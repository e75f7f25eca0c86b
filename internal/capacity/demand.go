package capacity

// The demand: requests of clients over time.

import (
	"fmt"
	"slices"
	"time"
)

// Request is one request of a client.
type Request struct {
	At     time.Duration // arrival, since the first request
	Object uint64
	Part   uint32
	Group  uint32 // purge group
	Bytes  int32  // of the response
	Class  int16  // index of the request class in the topology
	Zone   int16  // index of the client's zone in the topology
}

// Demand holds the requests of all clients over a span of time.
type Demand struct {
	Requests      []Request     // in the order of arrival
	Span          time.Duration // from the first request to the last
	CPUPerRequest time.Duration // core time of a director; 0: unknown

	// Excluded counts by reason the captured rows that are not in Requests, or whose response has no size.
	Excluded map[string]int
	// SizesEstimated counts the requests for parts without any response that has a size. Their sizes are drawn from the sizes
	// of the request class.
	SizesEstimated int
}

// allClassesIndex stands for all request classes in functions that take the index of a request class. Any other negative
// index has the same meaning.
const allClassesIndex = -1

// DemandFromRequests returns the demand that consists of the given requests, which must be in the order of arrival. There must
// be at least one request.
func DemandFromRequests(requests []Request) *Demand {
	return &Demand{Requests: requests, Span: requests[len(requests)-1].At, Excluded: map[string]int{}}
}

// Notes returns notes on the differences between the demand and its capture, one for each reason. The notes on excluded rows
// come first, in alphabetical order. The note on estimated sizes is last.
func (d *Demand) Notes() (notes []string) {
	for reason, count := range d.Excluded {
		notes = append(notes, fmt.Sprintf("%d %s", count, reason))
	}
	slices.Sort(notes)
	if d.SizesEstimated > 0 {
		notes = append(notes, fmt.Sprintf("%d requests have no response with a size; their sizes were drawn from the sizes of their vhost", d.SizesEstimated))
	}
	return notes
}

// Rate returns the number of requests a second of one request class, or of all classes if the index is negative.
func (d *Demand) Rate(classIndex int) float64 {
	count := len(d.Requests)
	if classIndex >= 0 {
		count = 0
		for i := range d.Requests {
			if int(d.Requests[i].Class) == classIndex {
				count++
			}
		}
	}
	return float64(count) / d.Span.Seconds()
}

const (
	// dispersionWindow is the length of the windows in which arrivals are counted.
	dispersionWindow = 100 * time.Millisecond

	// minMeanCount is the least mean number of arrivals in a window. It avoids a division by zero.
	minMeanCount = 1e-9
)

// IndexOfDispersion returns the variance of the number of arrivals in a dispersionWindow, divided by the mean of this number.
// The index is 1 for independent arrivals (a Poisson process) and greater for bursts.
func (d *Demand) IndexOfDispersion() float64 {
	counts := make([]float64, int(d.Span/dispersionWindow)+1)
	for i := range d.Requests {
		counts[d.Requests[i].At/dispersionWindow]++
	}
	mean, variance := 0.0, 0.0
	for _, count := range counts {
		mean += count / float64(len(counts))
	}
	for _, count := range counts {
		variance += (count - mean) * (count - mean) / float64(len(counts))
	}
	return variance / max(mean, minMeanCount)
}

// Part identifies one part of an object as requested in one request class.
type Part struct {
	Object uint64
	Part   uint32
	Class  int16
}

// Sizes returns the size in bytes of each part in the demand, from the last request for the part.
func (d *Demand) Sizes() map[Part]int32 {
	sizes := map[Part]int32{}
	for i := range d.Requests {
		request := &d.Requests[i]
		sizes[Part{request.Object, request.Part, request.Class}] = request.Bytes
	}
	return sizes
}
