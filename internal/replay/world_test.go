package replay

import (
	"container/heap"
	"slices"
	"time"
)

const ms = time.Millisecond

// event is an action at a time. Events with the same time run in the order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// condition is the condition of a machine.
type condition int

const (
	healthy condition = iota
	dead
	hung
	slow
	faulty
	refusing
	lossy
	conditionCount
)

var conditionNames = [...]string{healthy: "well", dead: "dead", hung: "hung", slow: "slow", faulty: "faulty", refusing: "refusing",
	lossy: "lossy"}

// machine is a cache, a parent or an origin.
type machine struct {
	id            uint32
	kind          int
	zone          int
	cell          int
	capacity      float64
	slots         int // maximum concurrent attempts
	state         listedState
	lastCondition condition
	conditionEnd  time.Duration // time at which lastCondition ends
	startedAt     time.Duration
	startKnown    bool // the endpoint list states the start
	openAttempts  []*attempt
	copies        map[uint64]time.Duration // time at which each copy was stored, by document
}

// attempt is an attempt in flight.
type attempt struct {
	request   *request
	number    int
	startedAt time.Duration
	machine   *machine
	finished  bool
}

// request is a client's request.
type request struct {
	requestInfo
	document uint64
	client   int
	attempts []*attempt
	answered bool
}

// simulation emulates the clients, the machines and the discovery service around the core.
type simulation struct {
	scenario          scenario
	random            random
	now               time.Duration
	eventCount        uint64
	queue             events
	core              core
	record            *record
	machines          []*machine
	byID              map[uint32]*machine
	requests          map[uint32]*request
	lastID            uint32
	singleUseCount    uint64
	clientServed      []bool // by client: a request has been served
	repeatLastOutcome func() // reports the last outcome again
}

func newSimulation(s scenario, r *record) *simulation {
	w := &simulation{scenario: s, random: random{s.seed}, record: r, byID: map[uint32]*machine{}, requests: map[uint32]*request{},
		clientServed: make([]bool, s.clients)}
	for i := range s.caches {
		w.add(cacheKind, ownZone, i%3)
	}
	for i := range 3 {
		w.add(cacheKind, 2, i)
		w.add(parentKind, i, 0)
	}
	w.add(originKind, 0, 0)
	w.add(originKind, 0, 0)
	w.core = startCore(s, w)
	return w
}

// add adds a machine. The core is notified with the next update of the endpoint list.
func (w *simulation) add(kind, zone, cell int) *machine {
	size := float64(4 + w.random.below(3)*4)
	m := &machine{id: uint32(w.random.next()>>40)<<8 | uint32(len(w.machines)), kind: kind, zone: zone, cell: cell, capacity: size,
		slots: 3 * int(size), state: listedReady, startedAt: -100 * time.Second, copies: map[uint64]time.Duration{}}
	if kind != cacheKind {
		m.slots *= 3
	}
	w.machines, w.byID[m.id] = append(w.machines, m), m
	return m
}

// schedule runs do after a wait.
func (w *simulation) schedule(wait time.Duration, do func()) {
	w.eventCount++
	heap.Push(&w.queue, event{w.now + max(wait, 0), w.eventCount, do})
}

// scheduleRepeatedly runs do repeatedly, at random intervals whose mean is period.
func (w *simulation) scheduleRepeatedly(period time.Duration, do func()) {
	w.schedule(w.random.between(period/2, period*3/2), func() {
		do()
		w.scheduleRepeatedly(period, do)
	})
}

// run runs the scenario until all of its requests have been sent.
func (w *simulation) run() {
	w.updateEndpoints(true)
	for client := range w.scenario.clients {
		w.schedule(w.random.between(0, w.scenario.maxThinkTime), func() { w.sendRequest(client, 0, 0) })
	}
	w.scheduleRepeatedly(w.scenario.faultInterval, w.injectFault)
	w.scheduleRepeatedly(5*time.Second, func() { w.updateEndpoints(true) })
	w.scheduleRepeatedly(1700*ms, func() { w.updateEndpoints(false, w.randomMachine()) })
	w.scheduleRepeatedly(600*ms, w.sendPurge)
	w.scheduleRepeatedly(400*ms, w.sendPeerHealth)
	w.scheduleRepeatedly(3*time.Second, w.sendInvalidEvents)
	for w.lastID < uint32(w.scenario.requests) {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.run()
	}
	w.record.endBlock()
}

func (w *simulation) randomMachine() *machine {
	return w.machines[w.random.below(uint64(len(w.machines)))]
}

// updateEndpoints updates the core's endpoint list with all machines, or with the given ones.
func (w *simulation) updateEndpoints(complete bool, some ...*machine) {
	if complete {
		some = w.machines
		w.record.countEvent("list complete")
	} else {
		w.record.countEvent("list partial")
	}
	var entries []listEntry
	for _, m := range some {
		if complete && m.state == listedGone {
			continue
		}
		w.record.countEvent("listed " + [...]string{"gone", "ready", "draining"}[m.state])
		entries = append(entries, listEntry{machine: m.id, state: m.state, startedAt: m.startedAt, startKnown: m.startKnown, kind: m.kind,
			zone: m.zone, cell: m.cell, capacity: m.capacity})
	}
	w.core.updateEndpoints(w.now, entries, complete)
}

// sendRequest sends a client's request for the given object, or for a randomly drawn object if object is 0.
func (w *simulation) sendRequest(client, class int, object uint64) {
	w.record.countRequest()
	w.lastID++
	r := &request{client: client}
	r.id, r.unproven = w.lastID, !w.clientServed[client]
	if object == 0 {
		class, object = w.drawObject()
	}
	r.class, r.object, r.group = class, object, uint32(object%5)
	if class == clipClass {
		r.segment = w.drawSegment()
	}
	if w.random.percent(60) {
		r.sizeKB = float64(2 + w.random.below(60))
	}
	r.document = object*31 + uint64(r.segment)
	timeout := w.random.between(900*ms, 3000*ms)
	if w.random.below(500) == 0 {
		timeout = w.random.between(0, 30*ms)
	}
	r.deadline = w.now + timeout
	w.requests[r.id] = r
	w.record.countEvent("request")
	if w.random.percent(3) {
		w.schedule(w.random.between(0, 700*ms), func() { w.cancelRequest(r) })
	}
	w.core.handleRequest(w.now, r.requestInfo)
}

// drawObject draws a class and one of its objects.
func (w *simulation) drawObject() (class int, object uint64) {
	if w.scenario.uniformSegments {
		object = w.random.below(w.scenario.objects)
		if w.random.percent(10) {
			object = 0
		}
		return clipClass, 1 + object
	}
	switch n := w.random.below(100); {
	case n < 40:
		class = clipClass
	case n < 75:
		class = pageClass
	case n < 82:
		class = logClass
	case n < 90:
		class = zoneKeyedClass
	case n < 95:
		class = cellKeyedClass
	default:
		class = paymentClass
	}
	if w.random.below(100) < w.scenario.singleUsePercent {
		w.singleUseCount++
		return class, 1<<32 + w.singleUseCount
	}
	return class, 1 + w.random.skewed(w.scenario.objects)*classCount + uint64(class)
}

// drawSegment draws a segment of an object. The first segments are more likely, unless the scenario requests all segments
// equally often.
func (w *simulation) drawSegment() uint32 {
	if w.scenario.uniformSegments {
		return uint32(w.random.below(w.scenario.segments))
	}
	return uint32(w.random.skewed(w.scenario.segments))
}

// cancelRequest disconnects the client of a request.
func (w *simulation) cancelRequest(r *request) {
	w.record.countEvent("client left")
	w.core.handleClientGone(w.now, r.id)
	w.finishRequest(r, w.random.between(0, w.scenario.maxThinkTime))
}

// finishRequest marks a request as answered. Its client sends the next one after a wait.
func (w *simulation) finishRequest(r *request, wait time.Duration) {
	if r.answered {
		return
	}
	r.answered = true
	w.removeIfDone(r)
	w.schedule(wait, func() { w.sendRequest(r.client, 0, 0) })
}

// removeIfDone removes a request that is answered and has no attempt in flight.
func (w *simulation) removeIfDone(r *request) {
	if r.answered && !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.finished }) {
		delete(w.requests, r.id)
	}
}

// The following methods implement executor. The core calls them.

func (w *simulation) startAttempt(id uint32, order attemptOrder) {
	w.record.recordCall(w.now, "attempt", "request=%d %s", id, order.line())
	r, m := w.requests[id], w.byID[order.machine]
	w.record.countOrder("look", order.machine == order.source)
	w.record.countOrder("held only", order.onlyIfCached)
	w.record.countOrder("renew", order.revalidate)
	w.record.countOrder("join", order.collapseFills)
	w.record.countOrder("until", order.startBefore > 0)
	w.record.countOrder("age", order.maxAge > 0)
	w.record.countOrder("past the caches", m.kind != cacheKind)
	w.record.countOrder("by origin", w.byID[order.source].kind == originKind)
	w.record.countOrder([...]string{"rank 0", "rank 1", "rank 2", "rank 3"}[order.priority], true)
	w.record.countOrder("retry", len(r.attempts) > 0)
	w.countMachine(m)
	a := &attempt{request: r, number: len(r.attempts), startedAt: w.now, machine: m}
	r.attempts = append(r.attempts, a)
	m.openAttempts = append(m.openAttempts, a)
	outcome, wait := w.drawOutcome(a, order)
	if outcome.result == resultTimedOut && w.random.percent(10) {
		w.record.countEvent("answer lost")
	}
	w.schedule(wait, func() { w.finishAttempt(a, outcome) })
}

// countMachine counts the condition of the machine of an attempt, and whether the machine started recently.
func (w *simulation) countMachine(m *machine) {
	w.record.countEvent("machine " + conditionNames[w.condition(m)])
	if w.now-m.startedAt < 8*time.Second {
		w.record.countEvent("machine started lately")
	}
}

func (w *simulation) cancelAttempt(id uint32, number int) {
	w.record.recordCall(w.now, "cancel", "request=%d attempt=%d", id, number)
	a := w.requests[id].attempts[number]
	w.schedule(w.random.between(0, 20*ms), func() { w.finishAttempt(a, attemptOutcome{result: resultCancelled}) })
}

func (w *simulation) reject(id uint32, retryAfter time.Duration) {
	w.record.recordCall(w.now, "reject", "request=%d retry_after=%d", id, retryAfter)
	w.record.countOrder("retry after", retryAfter > 0)
	r := w.requests[id]
	if r == nil || r.answered {
		return
	}
	r.answered = true
	w.removeIfDone(r)
	wait := retryAfter + w.random.between(0, w.scenario.maxThinkTime)
	if w.random.percent(50) {
		w.schedule(wait, func() { w.sendRequest(r.client, r.class, r.object) })
		return
	}
	w.schedule(wait, func() { w.sendRequest(r.client, 0, 0) })
}

func (w *simulation) fail(id uint32) {
	w.record.recordCall(w.now, "fail", "request=%d", id)
	if r := w.requests[id]; r != nil {
		w.finishRequest(r, w.random.between(0, w.scenario.maxThinkTime))
	}
}

func (w *simulation) setTimer(wait time.Duration, token uint32) {
	w.record.recordCall(w.now, "after", "wait=%d token=%d", wait, token)
	w.schedule(wait, func() {
		w.record.countEvent("timer")
		w.core.handleTimer(w.now, token)
	})
}

func (w *simulation) checkHealth(id uint32) {
	w.record.recordCall(w.now, "check", "machine=%d", id)
	m := w.byID[id]
	result := resultServed
	switch c := w.condition(m); {
	case w.random.percent(10):
		result = resultKind(w.random.below(uint64(len(results))))
	case c == dead:
		result = resultConnectFailed
	case c == hung:
		result = resultTimedOut
	}
	if w.random.percent(15) {
		w.record.countEvent("check lost")
		return
	}
	w.schedule(w.random.between(ms, 300*ms), func() { w.sendHealthCheckResult(id, result) })
}

func (w *simulation) sendHealthCheckResult(id uint32, result resultKind) {
	w.record.countEvent("check " + results[result].name)
	w.core.handleHealthCheck(w.now, id, result)
}

// finishAttempt reports the end of an attempt to the core.
func (w *simulation) finishAttempt(a *attempt, outcome attemptOutcome) {
	if a.finished {
		return
	}
	a.finished = true
	a.machine.openAttempts = slices.DeleteFunc(a.machine.openAttempts, func(o *attempt) bool { return o == a })
	r := a.request
	outcome.attempt, outcome.duration = a.number, w.now-a.startedAt
	outcome.stalled = w.random.below(80) == 0
	outcome.status = w.reportedStatus(outcome.status)
	outcome.final = outcome.result == resultServed || r.answered || w.random.below(400) == 0
	w.record.countEvent("ending " + results[outcome.result].name)
	w.record.countEvent("fill " + cacheStatuses[outcome.status].name)
	if outcome.stalled {
		w.record.countEvent("director paused")
	}
	if r.answered {
		w.record.countEvent("ending after the answer")
	}
	if outcome.result == resultServed {
		w.clientServed[r.client] = true
	}
	w.repeatLastOutcome = func() { w.core.handleOutcome(w.now, r.id, outcome) }
	if outcome.final {
		w.finishRequest(r, w.random.between(0, w.scenario.maxThinkTime))
	}
	w.core.handleOutcome(w.now, r.id, outcome)
	w.removeIfDone(r)
}

// reportedStatus returns the cache status of a response, or statusUnknown if the scenario's responses do not report it.
func (w *simulation) reportedStatus(status cacheStatus) cacheStatus {
	switch {
	case w.scenario.reporting == reportAll, w.scenario.reporting == reportHits && status == statusHit,
		w.scenario.reporting == reportFills && (status == statusHit || status == statusFilled || status == statusFilledByOrigin):
		return status
	}
	return statusUnknown
}
