package routing

// Source selection: which parent fills a miss, or whether the origin fills it.
//
// It decides the source of each attempt and whether that source may serve only cached copies. It applies to every attempt. It
// guards against a slow or unresponsive parent, and against load on an origin that is down or unreachable.

import (
	"math"
	"slices"
	"time"
)

const (
	minSpeedupToSwitch  = 1.5             // the second parent must be this many times faster; the first may already have the document
	fillLatencyHalfLife = 3 * time.Second // half-life of a fill latency that is not updated
	parentBufferSize    = 8               // number of parents that a decision handles without allocation; more are supported
)

// Salts that make the draws of a request independent of each other. The draws for parents use the parent ids.
const (
	drawSaltOrigin     = 1
	drawSaltCachedOnly = 2
)

// fillLatencyState is the fill latency of one source.
type fillLatencyState struct {
	fillLatency   time.Duration // smoothed
	fillLatencyAt time.Duration // time of its last update
}

// decayedFillLatency returns the smoothed fill latency in nanoseconds. It decays while it is not updated, so that a source that
// was slow is tried again.
func (state *fillLatencyState) decayedFillLatency(now time.Duration) float64 {
	return float64(state.fillLatency) * math.Exp2(-float64(now-state.fillLatencyAt)/float64(fillLatencyHalfLife))
}

// recordFillLatency updates the smoothed fill latency with the latency of one fill.
func (state *fillLatencyState) recordFillLatency(now, latency time.Duration) {
	state.fillLatency = smoothed(state.fillLatency, latency, 2*smoothing)
	state.fillLatencyAt = now
}

// recordOverdueFill raises the fill latency to the elapsed time of a fill that has not ended yet. One of many directors has few
// fills from each source, so it should not wait for their ends.
func (state *fillLatencyState) recordOverdueFill(now, latency time.Duration) {
	if float64(latency) > state.decayedFillLatency(now) {
		state.fillLatency, state.fillLatencyAt = latency, now
	}
}

// chooseSource returns the endpoint that fills a miss, or nil if there is none, and whether it may serve only cached copies.
//
// The source is the faster of the first two fit parents in the document's order, with nearer hubs first. If no parent is fit,
// the origin fills. If the origin is unresponsive too, one attempt at a time tries it, and all others request only cached
// copies from a parent. That parent may be ejected, because it may have failed only because of the origin behind it. Guards
// against an origin that is down or unreachable.
func (d *Director) chooseSource(now time.Duration, request *openRequest) (source *endpoint, onlyIfCached bool) {
	if request.class.Write && d.origin != nil {
		return d.origin, false // a parent does not accept writes
	}
	var fitBuffer, readyBuffer [parentBufferSize]*endpoint // on the stack, to avoid allocations in each decision
	fit, ready := d.fitParents(now, request, fitBuffer[:0], readyBuffer[:0])
	if len(fit) == 0 {
		if len(ready) == 0 || d.originMayFill(now) {
			return d.fillAtOrigin(request, len(ready) > 0)
		}
		return d.fasterParent(now, request, ready), true
	}
	if len(fit) == 1 && d.origin != nil && d.origin.inFlight < fit[0].inFlight/2 {
		return d.origin, false // a single parent must not take over the load of two
	}
	// Cached copies at parents avoid requests to the origin behind them.
	return d.fasterParent(now, request, fit), d.shouldAvoidOrigin(request)
}

// fitParents appends to ready the parents that the request has not tried and whose slow start allows one more attempt. It
// appends to fit those among them that are neither ejected nor at their limits.
func (d *Director) fitParents(now time.Duration, request *openRequest, fit, ready []*endpoint) ([]*endpoint, []*endpoint) {
	for _, parent := range d.parents {
		if !d.slowStartAllows(now, parent) || request.triedSource(parent) {
			continue
		}
		ready = append(ready, parent)
		if parent.ejectedUntil <= now && d.sourceAdmits(request, parent, uint64(parent.id)) {
			fit = append(fit, parent)
		}
	}
	return fit, ready
}

// originMayFill reports whether an origin is listed that is responsive or has no attempt in flight.
func (d *Director) originMayFill(now time.Duration) bool {
	return d.origin != nil && (d.origin.inFlight == 0 || !d.origin.isUnresponsive(now))
}

// fillAtOrigin returns the origin as the source, or nil if none is listed. If the origin is at its limit and parents are ready,
// it returns nil and true, which means that only a cached copy may be served.
func (d *Director) fillAtOrigin(request *openRequest, parentsReady bool) (source *endpoint, onlyIfCached bool) {
	if d.origin != nil && parentsReady && !d.sourceAdmits(request, d.origin, drawSaltOrigin) {
		return nil, true
	}
	return d.origin, false
}

// shouldAvoidOrigin reports whether a fill must not reach the origin, because most fills probably fail there. If the share of
// fills rejected without a stated reason exceeds unexplainedRejectLimit, the same share of fills avoids the origin, drawn per
// request.
func (d *Director) shouldAvoidOrigin(request *openRequest) bool {
	if d.unexplainedRejectShare <= unexplainedRejectLimit {
		return false
	}
	drawn := unitInterval(hash(d.identity, uint64(request.token), drawSaltCachedOnly))
	return drawn < float64(d.unexplainedRejectShare)
}

// fasterParent returns the first of the parents in order of preference, or the second one if it is clearly faster. The order
// depends on the document and not on the object, because otherwise one pair of parents would fill all segments of a hot object
// and be overloaded. Parents at nearer hubs come first, because each hub on the path adds to the transferred bytes.
func (d *Director) fasterParent(now time.Duration, request *openRequest, parents []*endpoint) *endpoint {
	order := ranked(request.document.key, parents)
	slices.SortStableFunc(order, func(a, b *endpoint) int { return a.hubDistance - b.hubDistance })
	if len(order) > 1 && order[1].decayedFillLatency(now)*minSpeedupToSwitch < order[0].decayedFillLatency(now) {
		return order[1]
	}
	return order[0]
}
