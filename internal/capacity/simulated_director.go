package capacity

// A director in a simulated run, and the requests and attempts that it has open.

import (
	"time"

	"indigochute.example/indigochute/internal/routing"
	"indigochute.example/indigochute/internal/simulation"
)

// simulatedDirector is one director of a run. It implements routing.Executor, which carries out the decisions of the
// routing.Director on the simulated machines.
type simulatedDirector struct {
	run      *simulationRun
	zone     int
	director *routing.Director
	open     map[uint32]*openRequest // by request id
	lastID   uint32                  // id of the last request
	lost     bool                    // its zone is lost; it makes no more decisions
}

// openRequest is the request of a client at a director. It is open until the client has a response and all attempts have
// ended.
type openRequest struct {
	request  *Request
	retries  int  // number of retries, this one included
	pending  bool // the client has no response yet, nor a rejection that it retries
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

// attempt is one attempt of a request: its forwarding to a machine.
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

// receive passes the request of a client to the director. The parameter retries is the number of retries, this one
// included.
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

// StartAttempt forwards a request to the machine that the order names. If that is down, the connection fails in a step of
// its own, because the director must not be called back during a decision.
func (d *simulatedDirector) StartAttempt(id uint32, order routing.AttemptOrder) {
	run, open := d.run, d.open[id]
	run.attemptsBegun++
	sendSeconds := float64(open.request.Bytes) / float64(run.network.Flow)
	started := &attempt{
		director:  d,
		request:   id,
		number:    len(open.attempts),
		node:      order.Node,
		modelID:   run.attemptsBegun,
		startedAt: run.now,
		sendTime:  time.Duration(sendSeconds * float64(time.Second)),
	}
	open.attempts = append(open.attempts, started)
	if up, _, _ := run.world.Up(order.Node); !up {
		run.after(0, func() {
			d.attemptEnded(started, routing.Outcome{Attempt: started.number, Result: routing.ConnectFailed})
		})
		return
	}
	run.attempts[started.modelID] = started
	run.world.Submit(order.Node, modelRequest(started.modelID, open.request, order))
}

// modelRequest returns the request of an attempt for the model. An order to fill from the machine itself means no fill
// source.
func modelRequest(id uint64, request *Request, order routing.AttemptOrder) simulation.Request {
	submitted := simulation.Request{
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
		submitted.FillSource = order.Source
	}
	return submitted
}

// CheckHealth does nothing. The model has no health checks, and the settings of its directors allow none.
func (d *simulatedDirector) CheckHealth(uint32) {}

// CancelAttempt ends an attempt whose response is no longer needed. Its outcome is reported in a step of its own, because
// the director must not be called back during a decision. An attempt that has ended is ignored.
func (d *simulatedDirector) CancelAttempt(id uint32, number int) {
	open := d.open[id]
	if open == nil || number >= len(open.attempts) || open.attempts[number].ended {
		return
	}
	cancelled := open.attempts[number]
	d.run.world.Cancel(cancelled.node, cancelled.modelID)
	delete(d.run.attempts, cancelled.modelID)
	d.run.after(0, func() {
		d.attemptEnded(cancelled, routing.Outcome{
			Attempt:  cancelled.number,
			Result:   routing.Cancelled,
			Duration: d.run.now - cancelled.startedAt,
		})
	})
}

// attemptEnded ends an attempt and reports its outcome to the director. The first success of a request is the response to
// the client. An attempt that has ended is ignored.
func (d *simulatedDirector) attemptEnded(ended *attempt, outcome routing.Outcome) {
	if ended.ended {
		return
	}
	ended.ended = true
	open := d.open[ended.request]
	if d.lost || open == nil {
		return
	}
	outcome.Final = !open.pending
	if outcome.Result == routing.Served && open.pending {
		outcome.Final = true
		d.respond(open, Served)
	}
	d.director.HandleOutcome(d.run.now, ended.request, outcome)
	d.forget(ended.request, open)
}

// respond gives the client its final response and counts it.
func (d *simulatedDirector) respond(open *openRequest, outcome Outcome) {
	open.pending = false
	d.run.count(open, outcome)
}

// forget removes a request that has its response and no attempt in flight.
func (d *simulatedDirector) forget(id uint32, open *openRequest) {
	if !open.pending && open.allEnded() {
		delete(d.open, id)
	}
}

// Reject rejects a request. The client retries after retryAfter, or after its own default time if that is 0, unless it has
// no retry left or the retry would come after its timeout.
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
	d.forget(id, open)
}

// Fail fails a request that may have been executed.
func (d *simulatedDirector) Fail(id uint32) {
	open := d.open[id]
	d.respond(open, Failed)
	d.forget(id, open)
}

// SetTimer sets a timer of the director, which gets the token back when the timer is due.
func (d *simulatedDirector) SetTimer(wait time.Duration, token uint32) {
	d.run.setTimer(wait, timer{director: d, token: token})
}

// failPending fails all requests that have no response yet. Their order does not matter, as they only add to counts.
func (d *simulatedDirector) failPending() {
	for _, open := range d.open {
		if open.pending {
			d.respond(open, Failed)
		}
	}
}
