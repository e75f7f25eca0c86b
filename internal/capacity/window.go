package capacity

// Extraction of the requests of one run from the demand.

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

const (
	// minRunRequests and minRunSpan are the least number of requests and the shortest span of a run. The share of fewer
	// requests would depend on chance.
	minRunRequests = 200
	minRunSpan     = 2 * time.Second

	// maxPrimingRequests is the maximum number of requests before a run that fill its caches.
	maxPrimingRequests = 40_000
)

// ShortDemandError reports that a capture is too short for a run.
type ShortDemandError struct {
	Factor   float64       // multiple of the captured load
	Span     time.Duration // of the capture
	Wanted   time.Duration // length of the run
	Requests int           // number of requests available for the run
}

// Error returns the length of the capture at the load of the run, and the length and number of requests that the run needs.
func (s ShortDemandError) Error() string {
	const text = "at %.3g times its load the capture lasts %v, but the run needs %v with at least %d requests and has %d; " +
		"a longer capture is needed"
	lasts := time.Duration(float64(s.Span) / s.Factor).Round(100 * time.Millisecond)
	return fmt.Sprintf(text, s.Factor, lasts, s.Wanted, minRunRequests, s.Requests)
}

// Window returns the requests of a run, which it takes from the end of the demand and speeds up by the factor. The run consists
// of the warmup, whose outcomes are not counted, and the counted span. The requests of the run are in during, with times from 0.
// The requests in before precede the run, have negative times and serve to fill the caches.
//
// If the demand is too short, Window shortens the span first and then the warmup. It returns the resulting lengths. The error
// is a ShortDemandError if these are less than minRunSpan, or if the run has fewer than minRunRequests.
func (d *Demand) Window(factor float64, warmup, span time.Duration) (before, during []Request, leftWarmup, leftSpan time.Duration, err error) {
	available := time.Duration(float64(d.Span) / factor)
	wanted := warmup + span
	if available < minRunSpan {
		return nil, nil, 0, 0, ShortDemandError{factor, d.Span, wanted, len(d.Requests)}
	}
	if available < wanted {
		span = max(minRunSpan, available-warmup)
		warmup = max(0, available-span)
	}
	begin := available - warmup - span
	timeInRun := func(r Request) time.Duration { return time.Duration(float64(r.At)/factor) - begin }

	firstDuring, _ := slices.BinarySearchFunc(d.Requests, 0, func(r Request, _ int) int { return cmp.Compare(timeInRun(r), 0) })
	if remaining := len(d.Requests) - firstDuring; remaining < minRunRequests {
		return nil, nil, 0, 0, ShortDemandError{factor, d.Span, wanted, remaining}
	}
	firstBefore := max(0, firstDuring-maxPrimingRequests)
	requests := slices.Clone(d.Requests[firstBefore:])
	for i := range requests {
		requests[i].At = timeInRun(requests[i])
	}
	primingRequests := firstDuring - firstBefore
	return requests[:primingRequests], requests[primingRequests:], warmup, span, nil
}
