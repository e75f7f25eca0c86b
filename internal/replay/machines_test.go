package replay

import (
	"slices"
	"time"
)

// condition returns the current condition of a machine.
func (w *simulation) condition(m *machine) condition {
	if w.now >= m.conditionEnd {
		return healthy
	}
	return m.lastCondition
}

// setCondition sets the condition of a machine for a duration. Afterwards the machine is healthy again.
func (w *simulation) setCondition(m *machine, c condition, duration time.Duration) {
	m.lastCondition, m.conditionEnd = c, w.now+duration
}

// Chances out of 10,000 that an attempt ends with these results, independent of the condition of its machine.
const (
	chanceLocalError = 15
	chanceObsolete   = 10
	chanceNotSent    = 20
	chanceReset      = 30
	chanceFailed     = 30
	chanceLost       = 30
	chanceCancelled  = 5
)

// drawOutcome draws the outcome of an attempt and the time until it ends.
func (w *simulation) drawOutcome(a *attempt, order attemptOrder) (attemptOutcome, time.Duration) {
	roll, c := w.random.below(10000), w.condition(a.machine)
	drawn := func(chance uint64) bool {
		if roll < chance {
			return true
		}
		roll -= chance
		return false
	}
	switch {
	case drawn(chanceLocalError):
		return attemptOutcome{result: resultLocalError}, w.random.between(0, 2*ms)
	case drawn(chanceObsolete):
		return attemptOutcome{result: resultObsolete}, w.random.between(ms, 5*ms)
	case drawn(chanceNotSent):
		return attemptOutcome{result: resultNotSent}, w.random.between(ms, 10*ms)
	case drawn(chanceReset):
		return attemptOutcome{result: resultReset}, w.random.between(ms, 300*ms)
	case drawn(chanceFailed), c == faulty && w.random.percent(60):
		return attemptOutcome{result: resultFailed}, w.random.between(ms, 200*ms)
	case drawn(chanceLost), c == lossy && w.random.percent(30), c == hung:
		return attemptOutcome{result: resultTimedOut}, w.random.between(1500*ms, 6000*ms)
	case drawn(chanceCancelled):
		return attemptOutcome{result: resultCancelled}, w.random.between(ms, 50*ms)
	case c == dead:
		return attemptOutcome{result: resultConnectFailed}, w.random.between(ms, 300*ms)
	case c == refusing, len(a.machine.openAttempts) > a.machine.slots:
		return attemptOutcome{result: resultRejected, status: w.drawStatus(60, statusUnknown, statusFillsFull)}, w.random.between(ms, 10*ms)
	}
	return w.serve(a, order)
}

func (w *simulation) drawStatus(percent uint64, a, b cacheStatus) cacheStatus {
	if w.random.percent(percent) {
		return a
	}
	return b
}

// serve returns the outcome of an attempt at a machine that serves it, and the time until it ends. The outcome is a hit, a
// miss, or a fill from the source.
func (w *simulation) serve(a *attempt, order attemptOrder) (attemptOutcome, time.Duration) {
	m, r := a.machine, a.request
	sending := time.Duration(10+r.document%90) * ms
	if r.sizeKB > 0 {
		sending = time.Duration(r.sizeKB*5) * ms
	}
	duration := 5*ms + sending + sending*time.Duration(len(m.openAttempts))/time.Duration(m.slots) + w.random.between(0, 20*ms)
	if w.condition(m) == slow {
		duration *= time.Duration(2 + w.random.below(60))
	}
	outcome := attemptOutcome{result: resultServed, status: statusHit}
	if w.random.percent(50) {
		outcome.sendTime = sending
	}
	copiedAt, cached := m.copies[r.document]
	if cached && (order.maxAge == 0 || w.now-copiedAt < order.maxAge) && r.class != logClass && r.class != paymentClass {
		if w.random.percent(2) {
			outcome.status = statusStale
		}
		return outcome, duration
	}
	if order.machine == order.source && m.kind == cacheKind {
		return attemptOutcome{result: resultNotCached, status: w.drawStatus(50, statusUnknown, statusSourceMiss)}, w.random.between(ms, 20*ms)
	}
	if order.collapseFills && w.random.percent(4) { // a fill for another director is in progress
		outcome.status = statusCollapsed
		return outcome, duration + w.random.between(0, 60*ms)
	}
	return w.serveByFill(a, order, outcome, duration)
}

// serveByFill returns the outcome of an attempt that needs a fill from its source, and the time until it ends.
func (w *simulation) serveByFill(
	a *attempt, order attemptOrder, outcome attemptOutcome, duration time.Duration,
) (attemptOutcome, time.Duration) {
	source, document := w.byID[order.source], a.request.document
	rejection := attemptOutcome{result: resultRejected}
	if w.random.percent(20) {
		rejection.result = resultFailed
	}
	switch c := w.condition(source); {
	case c == dead, c == hung:
		rejection.status = statusSourceUnreachable
		return rejection, w.random.between(50*ms, 900*ms)
	case c == refusing, len(source.openAttempts) > source.slots:
		rejection.status = statusSourceRejected
		return rejection, w.random.between(5*ms, 30*ms)
	case c == faulty:
		rejection.status = statusOriginFailed
		return rejection, w.random.between(10*ms, 300*ms)
	case w.random.below(300) == 0:
		rejection.result, rejection.status = resultRejected, statusFillsFull
		return rejection, w.random.between(ms, 10*ms)
	case order.onlyIfCached && w.random.percent(40):
		return attemptOutcome{result: resultNotCached, status: statusSourceMiss}, w.random.between(5*ms, 60*ms)
	case c == slow:
		duration += w.random.between(200*ms, 900*ms)
	}
	outcome.status, outcome.sourceWait = w.drawStatus(70, statusFilled, statusFilledByOrigin), w.random.between(20*ms, 80*ms)
	if source.kind == originKind {
		outcome.status = statusFilledByOrigin
	}
	duration += outcome.sourceWait
	if a.machine.kind == cacheKind && order.priority > 0 {
		a.machine.copies[document] = w.now + duration
	}
	if w.random.percent(30) {
		outcome.sourceWait = 0
	}
	return outcome, duration
}

// restart restarts a machine, which loses its copies. Its open attempts are reset.
func (w *simulation) restart(m *machine) {
	for _, a := range slices.Clone(m.openAttempts) {
		w.schedule(w.random.between(0, 10*ms), func() { w.finishAttempt(a, attemptOutcome{result: resultReset}) })
	}
	m.startedAt, m.startKnown = w.now, w.random.percent(90)
	m.copies = map[uint64]time.Duration{}
}

// setListedState changes the state of a machine in the endpoint list and notifies the core.
func (w *simulation) setListedState(m *machine, l listedState) {
	m.state = l
	w.updateEndpoints(false, m)
}

// crash makes a machine crash and restart after downtime. The endpoint list reports the restart with a delay. It reports the
// crash with a delay or not at all.
func (w *simulation) crash(m *machine, downtime time.Duration) {
	w.setCondition(m, dead, downtime)
	w.restart(m)
	if w.random.percent(70) {
		w.schedule(w.random.between(100*ms, 1500*ms), func() { w.setListedState(m, listedGone) })
	}
	w.schedule(downtime, func() {
		w.restart(m)
		w.schedule(w.random.between(0, 900*ms), func() { w.setListedState(m, listedReady) })
	})
}

// drain makes a machine drain, leave the endpoint list, and return later.
func (w *simulation) drain(m *machine) {
	w.setListedState(m, listedDraining)
	w.schedule(w.random.between(500*ms, 2500*ms), func() { w.setListedState(m, listedGone) })
	w.schedule(w.random.between(3000*ms, 7000*ms), func() {
		w.restart(m)
		w.setListedState(m, listedReady)
	})
}

// replace removes a machine permanently and adds a new one in its place.
func (w *simulation) replace(m *machine) {
	m.state = listedGone
	next := w.add(m.kind, m.zone, m.cell)
	next.startedAt, next.startKnown = w.now, true
	w.updateEndpoints(false, m, next)
	w.setCondition(m, dead, time.Hour)
	w.machines = slices.DeleteFunc(w.machines, func(o *machine) bool { return o == m })
}

// machinesOfKind returns the machines of a kind that the core may use. Of the caches, these are only the ones in its own zone.
func (w *simulation) machinesOfKind(kind int) (all []*machine) {
	for _, m := range w.machines {
		if m.kind == kind && (kind != cacheKind || m.zone == ownZone) {
			all = append(all, m)
		}
	}
	return all
}

// injectFault causes a random fault.
func (w *simulation) injectFault() {
	m, duration := w.randomMachine(), w.random.between(500*ms, 4000*ms)
	names := [...]string{"drain", "crash", "hang", "slowness", "errors", "refusals", "losses", "replacement", "origin", "parents", "empty list", "release", "most caches"}
	weights := [...]uint64{10, 12, 12, 12, 9, 9, 9, 8, 7, 4, 2, 2, 4}
	roll, at := w.random.below(100), 0
	for roll >= weights[at] {
		roll -= weights[at]
		at++
	}
	w.record.countEvent("fault " + names[at])
	switch at {
	case 0:
		w.drain(m)
	case 1:
		w.crash(m, duration)
	case 2:
		w.setCondition(m, hung, duration)
	case 3:
		w.setCondition(m, slow, duration)
	case 4:
		w.setCondition(m, faulty, duration)
	case 5:
		w.setCondition(m, refusing, duration)
	case 6:
		w.setCondition(m, lossy, duration)
	case 7:
		w.replace(m)
	case 8:
		for _, o := range w.machinesOfKind(originKind) {
			w.setCondition(o, condition(1+w.random.below(uint64(conditionCount-1))), duration)
		}
	case 9:
		for _, p := range w.machinesOfKind(parentKind) {
			w.setCondition(p, w.drawOutage(), duration)
		}
	case 10:
		w.core.updateEndpoints(w.now, nil, true)
		w.schedule(w.random.between(100*ms, 600*ms), func() { w.updateEndpoints(true) })
	case 11:
		for i, c := range w.machinesOfKind(cacheKind) {
			w.schedule(time.Duration(i)*200*ms, func() { w.crash(c, 400*ms) })
		}
	case 12:
		for i, c := range w.machinesOfKind(cacheKind) {
			if w.setCondition(c, hung, duration); i%3 == 0 {
				w.setCondition(c, faulty, duration)
			}
		}
	}
}

func (w *simulation) drawOutage() condition {
	return [...]condition{dead, hung, refusing}[w.random.below(3)]
}

// sendPurge reports a purge of an object or a group to the core.
func (w *simulation) sendPurge() {
	object, group, ago := uint64(0), uint32(w.random.below(5)), w.random.between(0, 3000*ms)
	if w.random.percent(70) {
		_, object = w.drawObject()
		w.record.countEvent("purge object")
	} else {
		w.record.countEvent("purge group")
	}
	w.core.handlePurge(w.now, group, object, ago)
}

// sendPeerHealth reports the health of a machine to the core as a peer would. The report is sometimes wrong or about an earlier
// start.
func (w *simulation) sendPeerHealth() {
	m := w.randomMachine()
	c := w.condition(m)
	alive := c != dead && c != hung
	if w.random.percent(15) {
		alive = !alive
	}
	started := m.startedAt
	if w.random.percent(10) {
		started -= time.Second
	}
	if alive {
		w.record.countEvent("told alive")
	} else {
		w.record.countEvent("told silent")
	}
	w.core.handlePeerHealth(w.now, m.id, started, alive, w.now-w.random.between(0, 600*ms))
}

// sendInvalidEvents sends the core repeated and invalid events, which it must ignore.
func (w *simulation) sendInvalidEvents() {
	if w.repeatLastOutcome != nil {
		w.record.countEvent("ending twice")
		w.repeatLastOutcome()
	}
	w.record.countEvent("unknown request")
	w.core.handleOutcome(w.now, 1<<31, attemptOutcome{result: resultServed})
	w.core.handleClientGone(w.now, 1<<31)
	w.core.handlePeerHealth(w.now, 1<<31, 0, false, w.now)
	w.core.handleTimer(w.now, 1<<31)
	w.sendHealthCheckResult(1<<31, resultServed)
	w.sendHealthCheckResult(w.randomMachine().id, resultKind(w.random.below(uint64(len(results)))))
}
