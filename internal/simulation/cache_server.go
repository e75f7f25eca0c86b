package simulation

// Request handling of a cache: slots, queue, hits, background revalidation, responses.

import (
	"slices"
	"time"

	"indigochute.example/indigochute/internal/routing"
	"indigochute.example/indigochute/internal/topology"
)

// cacheServer is the part of a cache that handles requests. Each request has a slot until it ends. Requests without a
// slot wait in a queue of bounded length. Responses share the cores.
type cacheServer struct {
	kind          *topology.CacheKind
	cores         cores
	completion    *event                  // end of the next job on the cores; nil: none scheduled
	open          map[uint64]*openRequest // by request id; in a slot or in the queue
	queue         []*openRequest          // the longest waiting first
	active        int                     // requests in slots
	revalidations map[segment]*fill       // in progress
}

// newCacheServer returns a cache of a kind, at full speed and without requests.
func newCacheServer(kind *topology.CacheKind) cacheServer {
	return cacheServer{
		kind:          kind,
		cores:         cores{count: float64(kind.Cores), speed: 1},
		open:          map[uint64]*openRequest{},
		revalidations: map[segment]*fill{},
	}
}

// openRequest is a request that a cache has not responded to yet.
type openRequest struct {
	Request
	cache         *machine
	fillStartedAt time.Duration // meaningless without a fill
	fill          *fill         // nil: a hit, or still queued
	job           *job          // sending of the response; nil: not begun
	ended         bool

	// Fields of the response.
	cacheStatus routing.Fill
	waited      time.Duration // for the fill
	born        time.Duration // when the origin sent the copy
}

// Submit sends a request to a cache at the time of the last Advance. A later Advance returns the response. The request is
// Lost if the cache is down or the node is not a cache. A cache in slow start that is overloaded by the request goes
// down.
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
	opened := &openRequest{Request: request, cache: m}
	switch {
	case m.active < m.kind.Slots:
		m.open[request.ID] = opened
		w.start(opened)
	case len(m.queue) < m.kind.QueueLimit:
		m.open[request.ID] = opened
		m.queue = append(m.queue, opened)
	default:
		w.respond(opened, Rejected)
	}
}

// Cancel ends a request without a response. Its fill continues, so that the copy is cached. A request that is not open is
// ignored.
func (w *World) Cancel(node uint32, id uint64) {
	m := w.machines[node]
	if m == nil || m.open[id] == nil {
		return
	}
	canceled := m.open[id]
	if canceled.job != nil {
		m.cores.remove(w.now, canceled.job)
		w.scheduleCompletion(m)
	}
	if canceled.fill != nil {
		canceled.fill.waiting = nil
	}
	w.release(canceled)
}

// work returns the core seconds that the response to a request takes.
func (c *cacheServer) work(request *Request) float64 {
	return c.kind.OverheadTime.Seconds() + float64(request.Bytes)/float64(c.kind.CoreRate)
}

// start gives a request a slot. The request is then a hit, is filled, or is Missing if no other machine fills it.
func (w *World) start(r *openRequest) {
	m := r.cache
	m.active++
	class := &w.description.Classes[r.Class]
	found := m.memory.get(r.segment())
	switch {
	case !class.Write && found != nil && w.isFresh(found, class, &r.Request):
		w.serveHit(r, class, found)
	case r.FillSource == noSource || r.FillSource == m.ID:
		w.respond(r, Missing)
	default:
		r.fillStartedAt = w.now
		r.fill = &fill{cache: m, source: w.machines[r.FillSource], waiting: r, request: r.Request}
		w.startFill(r.fill)
	}
}

// isFresh reports whether a copy is no older than a request allows. A maximum age of 0, of both the request and the
// class, allows any age.
func (w *World) isFresh(found *cachedCopy, class *topology.RequestClass, request *Request) bool {
	maxAge := request.MaxAge
	if maxAge == 0 {
		maxAge = class.FreshFor.Duration()
	}
	return maxAge == 0 || w.now-found.born <= maxAge
}

// serveHit sends a copy from memory. It starts a background revalidation if the request asks for one and the copy is past
// half of its freshness lifetime.
func (w *World) serveHit(r *openRequest, class *topology.RequestClass, found *cachedCopy) {
	r.cache.memory.touch(found, r.Rank)
	r.born, r.cacheStatus = found.born, routing.CacheHit
	age, lifetime := w.now-found.born, class.FreshFor.Duration()
	if lifetime > 0 && age > lifetime {
		r.cacheStatus = routing.ServedStale
	}
	if lifetime > 0 && r.Revalidate && age > lifetime/2 {
		w.revalidate(r)
	}
	w.send(r)
}

// revalidate fills the segment of a hit again in the background. A segment has one revalidation at a time, however many
// hits it has meanwhile.
func (w *World) revalidate(r *openRequest) {
	m := r.cache
	if r.FillSource == noSource || m.revalidations[r.segment()] != nil {
		return
	}
	started := &fill{cache: m, source: w.machines[r.FillSource], request: r.Request}
	m.revalidations[r.segment()] = started
	w.startFill(started)
}

// send starts sending the body of the response.
func (w *World) send(r *openRequest) {
	m := r.cache
	r.job = m.cores.add(w.now, m.work(&r.Request), func() { w.respond(r, Served) })
	w.scheduleCompletion(m)
}

// scheduleCompletion schedules the end of the next response that a cache completes, in place of what was scheduled. It
// follows each change of the cache's jobs or speed.
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

// respondLost responds that a request was lost with its cache.
func (w *World) respondLost(node uint32, id uint64) {
	w.responses = append(w.responses, Response{ID: id, Node: node, Status: Lost, At: w.now})
}

// release removes an ended request from its cache. If that frees a slot, the next request in the queue starts.
func (w *World) release(r *openRequest) {
	m := r.cache
	r.ended = true
	rejected := m.open[r.ID] != r // it had neither a slot nor a place in the queue
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

// loseOpenRequests ends all open requests of a cache that went down, with a response that they are Lost. It ends the
// revalidations as well.
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

// openInOrder returns the open requests in the order of their ids, so that every run handles them in the same order.
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
