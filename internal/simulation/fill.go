package simulation

// Cache fills: from the request of a cache until the segment arrives from a parent or the origin, or the fill fails.

import (
	"slices"
	"time"

	"indigochute.example/indigochute/internal/routing"
	"indigochute.example/indigochute/internal/topology"
)

const (
	// noSource is the FillSource of a request whose miss nothing fills. No machine has this id.
	noSource = 0
	// WriteBytes is the size of the response to a write on a link, in bytes.
	WriteBytes = 200
	// parentRank is the retention rank of every copy at a parent.
	parentRank = 2
)

// fill is a cache fill: a request of a cache for one segment, and its transfer from a parent or the origin.
type fill struct {
	cache    *machine
	source   *machine     // nil: an id that no machine has
	waiting  *openRequest // nil: a revalidation, or its request was canceled or lost
	request  Request      // names the segment
	transfer *transfer    // nil: not begun
	ended    bool
	direct   bool // from the origin, which counts it among its fetches
}

// originFetch is the fetch of one segment from the origin by a parent. All fills of that segment from the parent wait for
// it.
type originFetch struct {
	segment  segment
	transfer *transfer // nil: not begun
	waiting  []*fill
	ended    bool
}

// settleFetches adds the time that fetches were in flight until now to the total. It must run before each change of their
// number.
func (u *upstream) settleFetches(now time.Duration) {
	u.fetchSeconds += float64(u.fetches) * (now - u.fetchesSettledAt).Seconds()
	u.fetchesSettledAt = now
}

// addFetches changes the number of fetches in flight by change, which may be negative.
func (u *upstream) addFetches(now time.Duration, change int) {
	u.settleFetches(now)
	u.fetches += change
}

// startFill sends the request for a segment to its source. It arrives there after one hop, and one more for each step
// between the hubs.
func (w *World) startFill(f *fill) {
	if f.source == nil || f.source.Role == topology.CacheRole {
		w.failFill(f, routing.SourceUnreachable)
		return
	}
	hops := 1
	if f.source.Role != topology.OriginRole { // the origin is at every hub
		hops += w.description.HubDistance(f.cache.Zone, f.source.Zone)
	}
	arrival := w.now + w.description.Hop.Duration()*time.Duration(hops)
	w.schedule(arrival, func() { w.handleFill(f) })
}

// handleFill handles the arrival of a fill at its source.
func (w *World) handleFill(f *fill) {
	switch {
	case f.ended: // its source went down meanwhile
	case !f.source.isUp():
		w.failFill(f, routing.SourceUnreachable)
	case f.source.Role == topology.OriginRole:
		w.fillFromOrigin(f)
	default:
		w.fillFromParent(f)
	}
}

// fillFromOrigin sends a segment from the origin directly to the cache. It fails the fill if the origin is at its limit
// of fetches.
func (w *World) fillFromOrigin(f *fill) {
	origin := f.source
	if origin.fetches >= origin.maxFetches {
		w.failFill(f, routing.SourceRejected)
		return
	}
	origin.addFetches(w.now, 1)
	f.direct = true
	bytes := float64(f.request.Bytes)
	if w.description.Classes[f.request.Class].Write {
		bytes = WriteBytes
	}
	w.afterOriginLatency(func() {
		born := w.now
		complete := func() {
			origin.addFetches(w.now, -1)
			w.endFill(f, routing.FilledByOrigin, born)
		}
		f.transfer = w.network.begin(w.now, bytes, complete, origin.outbound, w.zoneLinks[f.cache.Zone])
	})
}

// fillFromParent sends a segment from the memory of a parent. On a miss there the parent fetches it, unless the fill asks
// for a cached copy only. A parent in slow start that is overloaded by the fill goes down.
func (w *World) fillFromParent(f *fill) {
	parent := f.source
	parent.recentWork.Add(w.now, float64(f.request.Bytes))
	if w.overloaded(parent, parent.linkRate) {
		w.failByOverload(parent)
		w.failFill(f, routing.SourceUnreachable)
		return
	}
	class := &w.description.Classes[f.request.Class]
	found := parent.memory.get(f.request.segment())
	switch {
	case found != nil && w.isFresh(found, class, &f.request):
		parent.memory.touch(found, parentRank)
		w.sendFill(f, found.born)
	case f.request.OnlyIfCached:
		w.failFill(f, routing.SourceMiss)
	default:
		w.fetchForFill(f)
	}
}

// fetchForFill makes a fill wait for the fetch of its segment by its parent. It starts the fetch if none is in progress,
// and fails the fill if the parent is at its limit of fetches.
func (w *World) fetchForFill(f *fill) {
	parent, wanted := f.source, f.request.segment()
	if inProgress := parent.fetching[wanted]; inProgress != nil {
		inProgress.waiting = append(inProgress.waiting, f)
		return
	}
	if parent.fetches >= parent.maxFetches {
		w.failFill(f, routing.SourceRejected)
		return
	}
	parent.addFetches(w.now, 1)
	fetch := &originFetch{segment: wanted, waiting: []*fill{f}}
	parent.fetching[wanted] = fetch
	bytes := float64(f.request.Bytes)
	w.afterOriginLatency(func() {
		if fetch.ended {
			return
		}
		born := w.now
		complete := func() { w.endFetch(parent, fetch, bytes, born) }
		fetch.transfer = w.network.begin(w.now, bytes, complete, w.origin().outbound)
	})
}

// afterOriginLatency schedules do for the time when the origin starts to send a response to a request of now.
func (w *World) afterOriginLatency(do func()) {
	w.schedule(w.now+w.description.Origin.Latency.Duration(), do)
}

// endFetch caches a segment that a parent has fetched and sends it to all fills that wait for it.
func (w *World) endFetch(parent *machine, fetch *originFetch, bytes float64, born time.Duration) {
	parent.addFetches(w.now, -1)
	delete(parent.fetching, fetch.segment)
	fetch.ended = true
	parent.memory.put(fetch.segment, bytes, parentRank, born)
	for _, f := range fetch.waiting {
		w.sendFill(f, born)
	}
}

// sendFill starts the transfer of a segment from a parent, which has it, to the cache of a fill.
func (w *World) sendFill(f *fill, born time.Duration) {
	if f.ended {
		return
	}
	complete := func() { w.endFill(f, routing.Filled, born) }
	f.transfer = w.network.begin(w.now, float64(f.request.Bytes), complete, f.source.outbound, w.zoneLinks[f.cache.Zone])
}

// failFill ends a fill that did not get the segment.
func (w *World) failFill(f *fill, result routing.Fill) { w.endFill(f, result, 0) }

// endFill ends a fill with a result. If the segment arrived, the cache keeps it and responds to the request that waits
// for it. It ignores a fill that has ended.
func (w *World) endFill(f *fill, result routing.Fill, born time.Duration) {
	if f.ended {
		return
	}
	f.ended = true
	filled := f.request.segment()
	if f.cache.revalidations[filled] == f {
		delete(f.cache.revalidations, filled)
	}
	arrived := result == routing.Filled || result == routing.FilledByOrigin
	cacheable := !w.description.Classes[f.request.Class].Write
	if arrived && cacheable && f.cache.isUp() {
		f.cache.memory.put(filled, float64(f.request.Bytes), f.request.Rank, born)
	}
	if f.waiting != nil && !f.waiting.ended {
		w.resume(f.waiting, arrived, result, born)
	}
}

// resume continues a request whose fill has ended: it sends the segment if that arrived, and responds with the failure
// if not.
func (w *World) resume(r *openRequest, arrived bool, result routing.Fill, born time.Duration) {
	r.cacheStatus = result
	r.waited = w.now - r.fillStartedAt
	r.born = born
	switch {
	case arrived:
		w.send(r)
	case result == routing.SourceUnreachable:
		w.respond(r, Failed)
	default:
		w.respond(r, Missing)
	}
}

// abandonFill ends the fill of a request that was lost with its cache. It ignores nil and a fill that has ended. A fill
// whose transfer has not begun goes on, but no request waits for it.
func (w *World) abandonFill(f *fill) {
	if f == nil || f.ended {
		return
	}
	f.waiting = nil
	if f.transfer == nil || f.transfer.ended {
		return
	}
	w.network.cancel(w.now, f.transfer)
	f.ended = true
	if f.direct {
		f.source.addFetches(w.now, -1)
	}
}

// failParent ends all transfers and fetches of a parent that went down. The fills that requests wait for fail last: the
// end of a request starts the next one in the queue, which must not meet transfers or fetches of the parent.
func (w *World) failParent(parent *machine) {
	for _, sent := range slices.Clone(w.network.transfers) {
		if sent.crosses(parent.outbound) {
			w.network.cancel(w.now, sent)
		}
	}
	waiting := w.endFillsFrom(parent)
	for _, fetch := range parent.fetching {
		fetch.ended = true
		w.network.cancel(w.now, fetch.transfer)
	}
	parent.addFetches(w.now, -parent.fetches)
	parent.fetching = map[segment]*originFetch{}
	for _, f := range waiting {
		w.failFill(f, routing.SourceUnreachable)
	}
}

// endFillsFrom ends the revalidations from a parent. It returns the fills from the parent that requests wait for, which
// have not ended.
func (w *World) endFillsFrom(parent *machine) (waiting []*fill) {
	for _, cache := range w.machineList {
		for _, r := range cache.openInOrder() {
			if r.fill != nil && r.fill.source == parent && !r.fill.ended {
				waiting = append(waiting, r.fill)
			}
		}
		for revalidated, f := range cache.revalidations {
			if f.source == parent {
				f.ended = true
				delete(cache.revalidations, revalidated)
			}
		}
	}
	return waiting
}
