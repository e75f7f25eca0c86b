package simulation

// Request handling of a cache: slots, queue, hits, background revalidations and responses.

import (
	"slices"
	"time"

	"indigochute.example/indigochute/internal/routing"
	"indigochute.example/indigochute/internal/topology"
)

// cacheServer is the part of a cache that handles requests. A request occupies a slot until it ends. If all slots are taken,
// requests wait in a queue of bounded length. Responses share the cores.
type cacheServer struct {
	kind          *topology.CacheKind
	cores         cores
	completion    *event                  // end of the next job on the cores; nil: none scheduled
	open          map[uint64]*openRequest // requests in a slot or in the queue, by request id
	queue         []*openRequest          // in the order of arrival
	active        int                     // requests in slots
	revalidations map[segment]*fill       // in progress
}

// newCacheServer returns the request handling of a cache of a kind, at full speed and without requests.
func newCacheServer(kind *topology.CacheKind) cacheServer {
	return cacheServer{
		kind:          kind,
		cores:         cores{count: float64(kind.Cores), speed: 1},
		open:          map[uint64]*openRequest{},
		revalidations: map[segment]*fill{},
	}
}

// openRequest is a request to which a cache has not yet responded.
type openRequest struct {
	Request
	cache         *machine
	fillStartedAt time.Duration // valid if fill is not nil
	fill          *fill         // nil: a hit, or still in the queue
	job           *job          // work to send the response; nil: not begun
	ended         bool

	// Fields of the response.
	cacheStatus routing.Fill
	waited      time.Duration // time spent waiting for the fill
	born        time.Duration // when the origin sent the copy
}

// Submit sends a request to a cache at the time of the last Advance. A later Advance returns the response. The request is
// Lost if the cache is down or the node is not a cache. If the request overloads a cache in slow start, the cache goes down
// and the request is Lost.
func (w *World) Submit(node uint32, request Request) {
	m := w.machines[node]
	if m == nil || !m.isUp() || m.Role != topology.CacheRole {
		w.respondLost(node, request.ID)
		return
	}
	m.recentWork.Add(w.now, m.work(&request))
	if w.overloaded(m, float64(m.kind.Cores)) {
		w.failByOverload(m)
		w.respondLost(node, request.ID)
		return
	}
	newRequest := &openRequest{Request: request, cache: m}
	switch {
	case m.active < m.kind.Slots:
		m.open[request.ID] = newRequest
		w.start(newRequest)
	case len(m.queue) < m.kind.QueueLimit:
		m.open[request.ID] = newRequest
		m.queue = append(m.queue, newRequest)
	default:
		w.respond(newRequest, Rejected)
	}
}

// Cancel ends a request without a response. The fill of the request continues, so that the copy is cached. Cancel ignores a
// request that is not open.
func (w *World) Cancel(node uint32, id uint64) {
	m := w.machines[node]
	if m == nil || m.open[id] == nil {
		return
	}
	target := m.open[id]
	if target.job != nil {
		m.cores.remove(w.now, target.job)
		w.scheduleCompletion(m)
	}
	if target.fill != nil {
		target.fill.waiting = nil
	}
	w.release(target)
}

// work returns the core seconds that the response to a request takes.
func (c *cacheServer) work(request *Request) float64 {
	return c.kind.OverheadTime.Seconds() + float64(request.Bytes)/float64(c.kind.CoreRate)
}

// start moves a request into a slot. A fresh copy in memory is a hit. Otherwise the cache fills the segment, or responds
// Missing if the request names no other machine as fill source.
func (w *World) start(r *openRequest) {
	m := r.cache
	m.active++
	class := &w.description.Classes[r.Class]
	entry := m.memory.get(r.segment())
	switch {
	case !class.Write && entry != nil && w.isFresh(entry, class, &r.Request):
		w.serveHit(r, class, entry)
	case r.FillSource == noSource || r.FillSource == m.ID:
		w.respond(r, Missing)
	default:
		r.fillStartedAt = w.now
		r.fill = &fill{cache: m, source: w.machines[r.FillSource], waiting: r, request: r.Request}
		w.startFill(r.fill)
	}
}

// isFresh reports whether a copy is no older than the maximum age of the request, or of the class if that of the request is
// 0. If both are 0 a copy may have any age.
func (w *World) isFresh(entry *cachedCopy, class *topology.RequestClass, request *Request) bool {
	maxAge := request.MaxAge
	if maxAge == 0 {
		maxAge = class.FreshFor.Duration()
	}
	return maxAge == 0 || w.now-entry.born <= maxAge
}

// serveHit sends a copy from memory. It starts a background revalidation if the request has Revalidate set and the copy is
// older than half of its freshness lifetime.
func (w *World) serveHit(r *openRequest, class *topology.RequestClass, entry *cachedCopy) {
	r.cache.memory.touch(entry, r.Rank)
	r.born, r.cacheStatus = entry.born, routing.CacheHit
	age, lifetime := w.now-entry.born, class.FreshFor.Duration()
	if lifetime > 0 && age > lifetime {
		r.cacheStatus = routing.ServedStale
	}
	if lifetime > 0 && r.Revalidate && age > lifetime/2 {
		w.revalidate(r)
	}
	w.send(r)
}

// revalidate fills the segment of a hit again in the background. A segment has at most one revalidation at a time: further
// hits during it start none.
func (w *World) revalidate(r *openRequest) {
	m := r.cache
	if r.FillSource == noSource || m.revalidations[r.segment()] != nil {
		return
	}
	revalidation := &fill{cache: m, source: w.machines[r.FillSource], request: r.Request}
	m.revalidations[r.segment()] = revalidation
	w.startFill(revalidation)
}

// send starts sending the body of the response.
func (w *World) send(r *openRequest) {
	m := r.cache
	r.job = m.cores.add(w.now, m.work(&r.Request), func() { w.respond(r, Served) })
	w.scheduleCompletion(m)
}

// scheduleCompletion schedules the completion of the next response of a cache and removes the event scheduled before. It must
// be called after each change of the jobs or the speed of the cache.
func (w *World) scheduleCompletion(m *machine) {
	w.events.remove(m.completion)
	m.completion = nil
	at, ok := m.cores.nextCompletion()
	if !ok {
		return
	}
	m.completion = w.schedule(at, func() {
		m.completion = nil
		for _, done := range m.cores.takeDone(w.now) {
			done.run()
		}
		w.scheduleCompletion(m)
	})
}

// respond ends a request with a response. It ignores a request that has ended.
func (w *World) respond(r *openRequest, status Status) {
	if r.ended {
		return
	}
	w.responses = append(w.responses, Response{
		ID:     r.ID,
		Node:   r.cache.ID,
		Status: status,
		Fill:   r.cacheStatus,
		Waited: r.waited,
		Born:   r.born,
		At:     w.now,
	})
	w.release(r)
}

// respondLost adds the response to a request that was lost with its cache.
func (w *World) respondLost(node uint32, id uint64) {
	w.responses = append(w.responses, Response{ID: id, Node: node, Status: Lost, At: w.now})
}

// release removes a request that has ended from its cache. If this frees a slot, the next request in the queue starts.
func (w *World) release(r *openRequest) {
	m := r.cache
	r.ended = true
	rejected := m.open[r.ID] != r // the request was neither in a slot nor in the queue
	if rejected {
		return
	}
	delete(m.open, r.ID)
	if position := slices.Index(m.queue, r); position >= 0 {
		m.queue = slices.Delete(m.queue, position, position+1)
		return
	}
	m.active--
	if len(m.queue) > 0 && m.active < m.kind.Slots {
		next := m.queue[0]
		m.queue = slices.Delete(m.queue, 0, 1)
		w.start(next)
	}
}

// loseOpenRequests ends all open requests of a cache that went down, with Lost as the status of their responses. It also ends
// the revalidations of the cache.
func (w *World) loseOpenRequests(m *machine) {
	for _, r := range m.openInOrder() {
		if r.job != nil {
			m.cores.remove(w.now, r.job)
		}
		w.abandonFill(r.fill)
		r.ended = true
		w.respondLost(m.ID, r.ID)
	}
	m.open = map[uint64]*openRequest{}
	m.queue = nil
	m.active = 0
	m.revalidations = map[segment]*fill{}
	w.scheduleCompletion(m)
}

// openInOrder returns the open requests in the order of their ids, so that the order is the same in every run.
func (c *cacheServer) openInOrder() (open []*openRequest) {
	ids := make([]uint64, 0, len(c.open))
	for id := range c.open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		open = append(open, c.open[id])
	}
	return open
}
