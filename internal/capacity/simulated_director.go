package capacity

// A director in a simulated run, with its open requests and attempts.

import (
	"time"

	"indigochute.example/indigochute/internal/routing"
	"indigochute.example/indigochute/internal/simulation"
)

// simulatedDirector is one director of a run. As the routing.Executor of its routing.Director, it carries out decisions on the
// simulated machines.
type simulatedDirector struct {
	run      *simulationRun
	zone     int
	director *routing.Director
	open     map[uint32]*openRequest // by request id
	lastID   uint32                  // id of the last request
	lost     bool                    // the zone is lost, and the director makes no more decisions
}

// openRequest is the request of a client at a director. It is open until the client has received a response and all attempts
// have ended.
type openRequest struct {
	request  *Request
	retries  int  // number of times that the client has retried the request, including this time
	pending  bool // the client has received neither a response nor a rejection that it retries
	attempts []*attempt
}

// allEnded reports whether no attempt is in flight.
func (r *openRequest) allEnded() bool {
	for _, attempt := range r.attempts {
		if !attempt.ended {
			return false
		}
	}
	return true
}

// attempt is one attempt to serve a request by forwarding it to a machine.
type attempt struct {
	director  *simulatedDirector
	request   uint32 // id of the request at the director
	number    int    // index among the attempts of the request
	node      uint32 // id of the machine
	modelID   uint64 // id of the request in the model
	startedAt time.Duration
	sendTime  time.Duration // time to send the bytes of the response at full rate
	ended     bool
}

// receive passes the request of a client to the director. The parameter retries is the number of times that the client has
// retried the request, including this time.
func (d *simulatedDirector) receive(request *Request, retries int) {
	d.lastID++
	d.open[d.lastID] = &openRequest{request: request, retries: retries, pending: true}
	d.director.HandleRequest(d.run.now, routing.Request{
		ID:       d.lastID,
		Object:   request.Object,
		Segment:  request.Part,
		Group:    request.Group,
		Class:    int(request.Class),
		Deadline: d.run.now + d.run.network.Classes[request.Class].Timeout.Duration(),
	})
}

// StartAttempt forwards a request to the machine that the order names. If the machine is down, the failed connection is
// reported in a separate step, because the director must not be called back during a decision.
func (d *simulatedDirector) StartAttempt(id uint32, order routing.AttemptOrder) {
	run, open := d.run, d.open[id]
	run.attemptsBegun++
	sendSeconds := float64(open.request.Bytes) / float64(run.network.Flow)
	newAttempt := &attempt{
		director:  d,
		request:   id,
		number:    len(open.attempts),
		node:      order.Node,
		modelID:   run.attemptsBegun,
		startedAt: run.now,
		sendTime:  time.Duration(sendSeconds * float64(time.Second)),
	}
	open.attempts = append(open.attempts, newAttempt)
	if up, _, _ := run.world.Up(order.Node); !up {
		run.after(0, func() {
			d.attemptEnded(newAttempt, routing.Outcome{Attempt: newAttempt.number, Result: routing.ConnectFailed})
		})
		return
	}
	run.attempts[newAttempt.modelID] = newAttempt
	run.world.Submit(order.Node, modelRequest(newAttempt.modelID, open.request, order))
}

// modelRequest converts a request and the order of an attempt to a request for the model. If the order names the machine
// itself as fill source, the request has no fill source.
func modelRequest(id uint64, request *Request, order routing.AttemptOrder) simulation.Request {
	result := simulation.Request{
		ID:           id,
		Class:        int(request.Class),
		Object:       request.Object,
		Part:         request.Part,
		Bytes:        int(request.Bytes),
		Rank:         order.CachePriority,
		MaxAge:       order.MaxAge,
		OnlyIfCached: order.OnlyIfCached,
		Revalidate:   order.Revalidate,
	}
	if order.Source != order.Node {
		result.FillSource = order.Source
	}
	return result
}

// CheckHealth does nothing. The model has no health checks, and the settings of the simulated directors do not allow them.
func (d *simulatedDirector) CheckHealth(uint32) {}

// CancelAttempt ends an attempt whose response is no longer needed. Its outcome is reported in a separate step, because the
// director must not be called back during a decision. CancelAttempt ignores an attempt that has ended.
func (d *simulatedDirector) CancelAttempt(id uint32, number int) {
	open := d.open[id]
	if open == nil || number >= len(open.attempts) || open.attempts[number].ended {
		return
	}
	attempt := open.attempts[number]
	d.run.world.Cancel(attempt.node, attempt.modelID)
	delete(d.run.attempts, attempt.modelID)
	d.run.after(0, func() {
		d.attemptEnded(attempt, routing.Outcome{
			Attempt:  attempt.number,
			Result:   routing.Cancelled,
			Duration: d.run.now - attempt.startedAt,
		})
	})
}

// attemptEnded ends an attempt and reports its outcome to the director. The first successful attempt of a request gives the
// response to the client. attemptEnded ignores an attempt that has ended.
func (d *simulatedDirector) attemptEnded(attempt *attempt, outcome routing.Outcome) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	open := d.open[attempt.request]
	if d.lost || open == nil {
		return
	}
	outcome.Final = !open.pending
	if outcome.Result == routing.Served && open.pending {
		outcome.Final = true
		d.respond(open, Served)
	}
	d.director.HandleOutcome(d.run.now, attempt.request, outcome)
	d.removeIfDone(attempt.request, open)
}

// respond gives the client its final response and counts the outcome.
func (d *simulatedDirector) respond(open *openRequest, outcome Outcome) {
	open.pending = false
	d.run.count(open, outcome)
}

// removeIfDone removes a request if it is no longer pending and has no attempt in flight.
func (d *simulatedDirector) removeIfDone(id uint32, open *openRequest) {
	if !open.pending && open.allEnded() {
		delete(d.open, id)
	}
}

// Reject rejects a request. The client retries after retryAfter or, if this is 0, after the default time of clients. It does not
// retry if it has no retry left or the retry would come after its timeout.
func (d *simulatedDirector) Reject(id uint32, retryAfter time.Duration) {
	run, open := d.run, d.open[id]
	wait := retryAfter
	if wait == 0 {
		wait = run.network.Clients.RetryAfter.Duration()
	}
	request := open.request
	timeout := run.network.Classes[request.Class].Timeout.Duration()
	retriesLeft := open.retries < run.network.Clients.Retries
	tooLate := run.now+wait-request.At >= timeout
	if !retriesLeft || tooLate {
		d.respond(open, Rejected)
	} else {
		open.pending = false
		run.after(wait, func() { run.arrive(request, open.retries+1) })
	}
	d.removeIfDone(id, open)
}

// Fail fails a request that may have been executed.
func (d *simulatedDirector) Fail(id uint32) {
	open := d.open[id]
	d.respond(open, Failed)
	d.removeIfDone(id, open)
}

// SetTimer sets a timer of the director. When the timer is due, the director is called with the token.
func (d *simulatedDirector) SetTimer(wait time.Duration, token uint32) {
	d.run.setTimer(wait, timer{director: d, token: token})
}

// failPending fails all pending requests. The order does not matter, because this only increases counters.
func (d *simulatedDirector) failPending() {
	for _, open := range d.open {
		if open.pending {
			d.respond(open, Failed)
		}
	}
}
