package capacity

// The main loop of a simulated run.

import "time"

// step is the kind of the next step of a run.
type step uint8

const (
	stepEnd     step = iota // no step is left before the end of the run
	stepArrival             // a client sends a request
	stepTimer               // a timer is due
	stepModel               // an event of the simulated machines is due
)

// nextStep returns the earliest step before the time before, and the time at which it is due. Of steps with the same time, an
// event of the machines comes first, then an arrival, then a timer. If no step is left, nextStep returns stepEnd and the time
// before.
func (r *simulationRun) nextStep(before time.Duration) (at time.Duration, next step) {
	at, next = before, stepEnd
	if r.arrived < len(r.requests) && r.requests[r.arrived].At < at {
		at, next = r.requests[r.arrived].At, stepArrival
	}
	if due, ok := r.timers.next(); ok && due < at {
		at, next = due, stepTimer
	}
	if due, ok := r.world.NextEvent(); ok && due <= at {
		at, next = due, stepModel
	}
	return at, next
}

// run simulates until all requests have arrived and no event is left, or until drainTime after the counted span. Requests
// without a response at that time fail.
func (r *simulationRun) run() {
	r.after(r.warmup, r.beginSpan)
	for {
		at, next := r.nextStep(r.end + drainTime)
		spanOver := next == stepEnd || at >= r.end
		if spanOver && r.result.Utilizations == nil {
			r.advance(r.end)
			r.result.Utilizations = r.world.Uses(r.spanBegin)
		}
		if next == stepEnd {
			break
		}
		r.advance(at)
		switch next {
		case stepArrival:
			request := &r.requests[r.arrived]
			r.arrived++
			r.arrive(request, 0)
		case stepTimer:
			r.fire(r.timers.pop())
		}
	}
	r.result.MachineFailures = r.world.Failures() - len(r.setup.Failure.Restarted) - len(r.setup.Failure.Removed)
	for _, director := range r.directors {
		director.failPending()
	}
}

// fire handles a timer that is due. It ignores timers of lost directors.
func (r *simulationRun) fire(expired timer) {
	switch {
	case expired.action != nil:
		expired.action()
	case !expired.director.lost:
		expired.director.director.HandleTimer(r.now, expired.token)
	}
}

// after schedules an action that runs after the time wait.
func (r *simulationRun) after(wait time.Duration, action func()) {
	r.setTimer(wait, timer{action: action})
}

// setTimer adds a timer that is due after the time wait. A negative wait counts as 0.
func (r *simulationRun) setTimer(wait time.Duration, newTimer timer) {
	r.events++
	newTimer.at = r.now + max(0, wait)
	newTimer.order = r.events
	r.timers.push(newTimer)
}
