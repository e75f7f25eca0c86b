package routing

// Requests: the path of each request from its arrival to its final answer.
//
// It decides what happens to a request, in the steps of route. It applies on each arrival, at the end of each attempt and on
// the timers of a request. It guards against requests that get no answer: each request has a single deadline, and only setState
// changes its state.

import (
	"slices"
	"time"
)

const (
	answerMargin  = 25 * time.Millisecond // the final answer is sent this long before the deadline, to allow for a busy processor
	fillWaitShare = 0.4                   // a request may wait for another request's fill for this fraction of the time until its deadline
	periodToken   = 0                     // timer token of the period; tokens of requests begin at 1
)

// requestState is the state of a request.
type requestState uint8

const (
	stateArrived    requestState = iota // not routed yet
	stateQueued                         // waiting for another request's fill of the same document
	stateInFlight                       // an attempt is in flight
	stateCancelling                     // its attempt is being cancelled; a retry follows
	stateBackoff                        // waiting to be sent again after a local error
	stateEnded                          // the final answer was given, or the client has gone
)

// openRequest is a client's request from its arrival until it has ended and has no attempt in flight.
type openRequest struct {
	id              uint32
	token           uint32 // token of its timers
	state           requestState
	class           *classState
	object          *object
	document        *document
	segment         uint32
	group           uint32  // purge group that the request names
	anyGroup        bool    // it names none, so a purge of any group applies
	sizeKB          float64 // 0: unknown
	arrivedAt       time.Duration
	deadline        time.Duration
	maxFillWait     time.Duration // maximum wait for another request's fill, from its arrival
	unproven        bool          // see Request.Unproven
	attempts        []*attempt    // by number
	openAttempts    int           // attempts in flight
	backoffEnds     time.Duration // time at which it is sent again; valid only in stateBackoff
	firstUnresolved *attempt      // first attempt that may have been executed; nil: none
}

// requestTable holds the requests that have not ended or have attempts in flight.
type requestTable struct {
	requests        map[uint32]*openRequest
	requestsByToken map[uint32]*openRequest // requests that have not ended
	lastToken       uint32
	inFlight        []*attempt // attempts of all requests, in the order in which they started
	requestRing     Ring       // requests that arrived within HotWindow
}

// newRequestTable returns a table without requests.
func newRequestTable() requestTable {
	return requestTable{
		requests:        map[uint32]*openRequest{},
		requestsByToken: map[uint32]*openRequest{},
		requestRing:     NewRing(loadBucketWidth, 2*loadBuckets),
	}
}

// HandleRequest processes a client's request. The request gets exactly one final answer: a served attempt, Reject or Fail.
func (d *Director) HandleRequest(now time.Duration, arrived Request) {
	d.lastToken++
	request := &openRequest{
		id:        arrived.ID,
		token:     d.lastToken,
		class:     d.classes[arrived.Class],
		segment:   arrived.Segment,
		sizeKB:    arrived.SizeKB,
		arrivedAt: now,
		deadline:  arrived.Deadline,
		unproven:  arrived.ClientUnproven,
		group:     arrived.Group,
		anyGroup:  arrived.GroupMissing,
	}
	request.maxFillWait = min(request.class.LatencyObjective, time.Duration(fillWaitShare*float64(request.deadline-now)))
	d.requests[request.id], d.requestsByToken[request.token] = request, request
	d.countRequest(now, request, arrived)
	d.retryBudget.deposit()
	d.executor.SetTimer(request.deadline-answerMargin-now, request.token)
	d.route(now, request)
	d.evictExcess(request.object)
}

// countRequest finds or creates the records of a request's object and document, and counts the request in them.
func (d *Director) countRequest(now time.Duration, request *openRequest, arrived Request) {
	request.object = d.object(arrived.Object)
	request.document = d.document(request.object, arrived.Segment, request.class.Segmented)
	request.document.requests.Add(now, 1)
	request.document.lastRequest = now
	request.object.requests++
	request.object.lastRequest = now
	d.requestRing.Add(now, 1)
}

// destination states where an attempt is sent.
type destination struct {
	endpoint     *endpoint // nil: no endpoint is fit; route still checks mayExecuteAt
	source       *endpoint // endpoint that fills a miss; nil: none
	onlyIfCached bool      // the source may serve only a cached copy
	bypass       bool      // the endpoint is the source itself, because no cache is fit
}

// route performs the next step of a request that is not in flight: it starts an attempt, queues the request until another
// request's fill ends, or rejects or fails it. Every attempt begins here, the first one and each retry.
func (d *Director) route(now time.Duration, request *openRequest) {
	order := d.preferenceOrder(request.document)
	preferred := d.pickBySpread(request, order)
	to := d.chooseTarget(now, request, preferred, order)
	if to.endpoint == nil || !request.mayExecuteAt(now, to.endpoint) {
		d.rejectOrFail(now, request)
		return
	}
	hit := d.probablyCached(now, request, to.endpoint)
	if !hit && !to.bypass && d.waitForFill(now, request) {
		return
	}
	cachedOnly := !hit && d.mustNotFill(request, to)
	if cachedOnly && !d.mayTryCachedOnly(now, request, to) {
		d.rejectOrFail(now, request)
		return
	}
	if to.source == nil || cachedOnly && !to.onlyIfCached {
		to.source, to.onlyIfCached = to.endpoint, false // a miss is not filled
	}
	next := &attempt{
		request:      request,
		number:       len(request.attempts),
		endpoint:     to.endpoint,
		source:       to.source,
		startedAt:    now,
		hitExpected:  hit || cachedOnly,
		onlyIfCached: to.onlyIfCached,
	}
	d.startAttempt(now, next, d.orderFor(now, next, cachedOnly, order))
}

// chooseTarget returns the cache for the next attempt of a request, and the source of that attempt. If no cache is fit, the
// attempt may bypass the caches and go to the source. Both choices are always made, because each updates the slow start tokens
// of the endpoints that it considers.
func (d *Director) chooseTarget(now time.Duration, request *openRequest, preferred *endpoint, order []*endpoint) destination {
	to := destination{endpoint: d.chooseEndpoint(now, request, preferred, order)}
	to.source, to.onlyIfCached = d.chooseSource(now, request)
	to.bypass = to.endpoint == nil && d.mayBypassCaches(request)
	if to.bypass {
		to.endpoint = to.source
		if !to.onlyIfCached {
			to.source = d.origin
		}
	}
	return to
}

// mayBypassCaches reports whether a request may bypass the location's caches. A write must not, and no request may while no
// origin is listed.
func (d *Director) mayBypassCaches(request *openRequest) bool {
	return d.settings.bypassAllowed && !request.class.Write && d.origin != nil
}

// mustNotFill reports whether a miss of a request must not be filled, because the source may serve only cached copies or the
// location's link is full. A write is always forwarded.
func (d *Director) mustNotFill(request *openRequest, to destination) bool {
	return !request.class.Write && (to.onlyIfCached || d.linkIsFull(request))
}

// mayTryCachedOnly reports whether an attempt may request only a cached copy if a miss must not be filled. This is allowed once
// per request, and only at a warm cache.
func (d *Director) mayTryCachedOnly(now time.Duration, request *openRequest, to destination) bool {
	return !request.mayHaveBeenSent() && !to.bypass && d.isWarm(now, to.endpoint)
}

// orderFor returns the AttemptOrder of an attempt.
func (d *Director) orderFor(now time.Duration, next *attempt, cachedOnly bool, preference []*endpoint) AttemptOrder {
	request := next.request
	order := AttemptOrder{
		Node:          next.endpoint.id,
		Source:        next.source.id,
		OnlyIfCached:  next.onlyIfCached,
		MaxAge:        d.maxAge(now, request, cachedOnly),
		CachePriority: d.cachePriority(now, request, next.endpoint, preference),
		CollapseFills: d.settings.fillsCollapse,   // also with a fill that another director caused
		Revalidate:    request.class.FreshFor > 0, // affects only hits, so the document was requested before, perhaps through others
	}
	if request.firstUnresolved != nil && request.class.Effect == IdempotencyKeyed {
		order.StartBefore = request.dedupWindowEnd() // also applies while the attempt waits for a connection
	}
	return order
}

// waitForFill queues a request if the same document is being filled for another request, until that fill ends or is overdue. It
// reports whether the request was queued. Guards against many concurrent requests for a new object that each fill it and
// overload the link.
func (d *Director) waitForFill(now time.Duration, request *openRequest) bool {
	fill := request.document.filling
	if request.class.Write || fill == nil || fill.isOverdue {
		return false
	}
	if request.mayHaveBeenSent() || request.fillWaitIsOver(now) {
		return false
	}
	d.setState(now, request, stateQueued)
	return true
}

// fillWaitIsOver reports whether a request has waited for another request's fill for as long as it may.
func (request *openRequest) fillWaitIsOver(now time.Duration) bool {
	return now-request.arrivedAt >= request.maxFillWait
}

// releaseWaiters routes the requests that wait for the fill of an attempt, after that fill has ended or is overdue.
func (d *Director) releaseWaiters(now time.Duration, fill *attempt) {
	filled := fill.request.document
	if filled.filling != fill {
		return
	}
	filled.filling = nil
	for _, waiter := range slices.Clone(filled.waiters) {
		d.route(now, waiter)
	}
}

// rejectOrFail ends a request with its final answer. It rejects the request if a retry by the client is safe, and fails it
// otherwise.
func (d *Director) rejectOrFail(now time.Duration, request *openRequest) {
	d.setState(now, request, stateEnded)
	if request.firstUnresolved == nil || request.class.mayRepeatAnywhere() {
		d.executor.Reject(request.id, d.RetryAfter(request.id))
		return
	}
	d.executor.Fail(request.id)
}

// setState changes the state of a request; no other function does. It also performs the actions of leaving the old state and of
// entering the new one: timers, queues and cancellations.
func (d *Director) setState(now time.Duration, request *openRequest, to requestState) {
	if request.state == stateQueued {
		request.document.removeWaiter(request)
	}
	request.state = to
	switch to {
	case stateQueued:
		request.document.waiters = append(request.document.waiters, request)
		d.executor.SetTimer(request.arrivedAt+request.maxFillWait-now, request.token)
	case stateBackoff:
		d.executor.SetTimer(request.backoffEnds-now, request.token)
	case stateCancelling:
		d.cancelOpenAttempts(request)
	case stateEnded:
		d.cancelOpenAttempts(request)
		delete(d.requestsByToken, request.token)
		d.removeIfDone(request)
	}
}

// removeWaiter removes a request from those that wait for the document's fill.
func (doc *document) removeWaiter(request *openRequest) {
	doc.waiters = slices.DeleteFunc(doc.waiters, func(waiter *openRequest) bool { return waiter == request })
}

// cancelOpenAttempts cancels the attempts of a request that are in flight, if the settings allow cancellation.
func (d *Director) cancelOpenAttempts(request *openRequest) {
	for _, open := range request.attempts {
		if !open.finished && d.settings.cancelAllowed {
			d.executor.CancelAttempt(request.id, open.number)
		}
	}
}

// removeIfDone drops a request if it has ended and has no attempt in flight.
func (table *requestTable) removeIfDone(request *openRequest) {
	if request.state == stateEnded && request.openAttempts == 0 {
		delete(table.requests, request.id)
	}
}

// HandleClientGone ends a request whose client has gone, without an answer. An unknown id is ignored.
func (d *Director) HandleClientGone(now time.Duration, id uint32) {
	if request := d.requests[id]; request != nil && request.state != stateEnded {
		d.setState(now, request, stateEnded)
	}
}

// HandleTimer processes an expired timer, either of the period or of a request. Timers of requests that have ended have no
// effect.
func (d *Director) HandleTimer(now time.Duration, token uint32) {
	if token == periodToken {
		d.diffuse(now)
		d.executor.SetTimer(diffusionPeriod, periodToken)
		return
	}
	request := d.requestsByToken[token]
	switch {
	case request == nil:
	case now >= request.deadline-answerMargin:
		d.rejectOrFail(now, request)
	case request.waitIsOver(now):
		d.route(now, request)
	default:
		d.checkOverdue(now, request)
	}
}

// waitIsOver reports whether a request has been queued or backing off for as long as it may.
func (request *openRequest) waitIsOver(now time.Duration) bool {
	switch request.state {
	case stateQueued:
		return request.fillWaitIsOver(now)
	case stateBackoff:
		return now >= request.backoffEnds
	}
	return false
}

// checkOverdue handles the attempts of a request whose answers have become overdue or are considered lost.
func (d *Director) checkOverdue(now time.Duration, request *openRequest) {
	for _, open := range request.attempts {
		if !open.finished && !open.isOverdue && now >= open.overdueAt {
			d.handleOverdue(now, open)
		}
		if !open.finished && !open.endpointNotAtFault && now >= open.answerLostAt() {
			d.handleLostAnswer(now, open)
		}
	}
}
