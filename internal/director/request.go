package director

import (
	"errors"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/msgpack"
	"indigochute.example/indigochute/internal/routing"
)

// This file has the life cycle of a request up to its answer, which is in request_answer.go. Each request runs in its own goroutine,
// from serve to finish. Its steps are, in order, with the methods that implement them; a method is in this file unless another file
// is named:
//
//	read      clientConn.handleRequest (client_requests.go) checks the bounds and registers it, clientConn.startPending starts serve
//	parse     parse (request_fields.go) checks the fields and extracts those that routing needs
//	admit     register hands the request to routing, whose orders arrive through the orders channel
//	reject    rejectForBound if a bound is reached, reject if routing orders it; the request was not executed
//	attempt   startAttempt passes an attempt to the connection pool (attempt.go, pool.go, node_writer.go)
//	retry     another startAttempt after a failed attempt; routing decides whether, when and where
//	hedge     not used: if routing considers an answer lost, it cancels the attempt and orders the next one after that has
//	          ended, so that no two attempts are in flight; this code would also carry out orders for hedges
//	cancel    cancelAttempt, by routing's order or at the deadline
//	outcome   handleAttemptEnd reports it to routing; the first success while the answer is due is sent to the client
//	deadline  handleDeadline cancels the attempts in flight, and answers if routing did not
//	answer    settle (request_answer.go) writes the one final answer: deliver, reject or fail
//	end       finish (request_answer.go) releases the id and the bytes held, and notifies the observer

// request is one request of a client. A field belongs to the request's goroutine unless its comment says otherwise. Times
// count from the director's start.
type request struct {
	director  *Director
	client    *clientConn
	message   msgpack.Message // as the client wrote it
	arrivedAt time.Duration
	deadline  time.Duration
	id        uint32 // the id for routing; 0 until it is registered

	orders         chan func()   // orders of routing, oldest first
	attemptEnds    chan *attempt // attempts that have ended
	clientGone     chan struct{} // closed once the client has left or cancelled the request
	markClientGone func()        // closes clientGone; any goroutine may call it, more than once

	holdsID   bool // its request id is in the director's openIDs; guarded by the director's mutex
	answerDue bool // the final answer is pending; guarded by the director's mutex

	state        requestState
	settledAt    time.Duration
	servedBy     *attempt        // the attempt whose answer was sent to the client; nil: none
	routed       routing.Request // the fields for routing, as far as the message could be parsed
	attempts     []*attempt      // by number
	openAttempts int             // number of attempts that have not ended
	countedOpen  bool            // it is counted in the director's openRequests
	ownBodyBytes int64           // bytes reserved for its own body
	answerBytes  int64           // bytes reserved for the bodies of answers; guarded by the pool's mutex
}

// requestState is the state of a request. It changes only once, in settle, from requestOpen to another state.
type requestState uint8

const (
	requestOpen       requestState = iota // the final answer is pending
	requestServed                         // answered with the answer of a node
	requestRejected                       // answered that it was not executed, with a Retry-After
	requestFailed                         // answered with an error: it may have been executed
	requestClientGone                     // its client left or cancelled before it was answered
)

// requestStates holds the names of the states in the log.
var requestStates = [...]string{
	requestOpen:       "",
	requestServed:     "done",
	requestRejected:   "denied",
	requestFailed:     "aborted",
	requestClientGone: "left",
}

// String returns the name of the state in the log.
func (s requestState) String() string { return requestStates[s] }

// newRequest returns the request in a message that arrived at arrivedAt.
func newRequest(director *Director, client *clientConn, message msgpack.Message, arrivedAt time.Duration) *request {
	maxAttempts := director.config.Settings.MaxAttempts
	r := &request{
		director:    director,
		client:      client,
		message:     message,
		arrivedAt:   arrivedAt,
		deadline:    arrivedAt + message.Timeout,
		orders:      make(chan func(), 4*maxAttempts+4), // an attempt is ordered once and cancelled at most twice
		attemptEnds: make(chan *attempt, maxAttempts+1),
		clientGone:  make(chan struct{}),
	}
	r.markClientGone = sync.OnceFunc(func() { close(r.clientGone) })
	return r
}

// serve runs the request from its admission until it has its answer and all its attempts have ended.
func (r *request) serve() {
	defer r.finish()
	if r.isClientGone() {
		r.settle(requestClientGone, noAnswer)
		return
	}
	switch err := r.admit(); {
	case err == nil:
		r.run()
	case errors.Is(err, errShuttingDown):
		r.rejectForBound()
	default:
		r.fail(err.Error())
	}
}

// admit parses the request and registers it. It returns errShuttingDown if the request must be rejected, and any other error
// if the message is invalid.
func (r *request) admit() (err error) {
	if r.routed, err = r.parse(); err != nil {
		return err
	}
	return r.register(r.routed)
}

var (
	errShuttingDown        = errors.New("the director shuts down and accepts no more requests")
	errDuplicateRequestID  = errors.New("the request id is in use by another open request")
	errUnresolvedRequestID = errors.New("a request with this id may have been executed; its client left before the answer")
)

// register passes the request to routing, which may order attempts before register returns. It returns errShuttingDown if the
// director accepts no more requests, errDuplicateRequestID if another open request has the same id, since nodes could not
// distinguish them, and errUnresolvedRequestID if one with this id may have been executed for a client that has left.
func (r *request) register(routed routing.Request) error {
	d := r.director
	if d.rejecting.Load() {
		return errShuttingDown
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.openIDs[r.message.RequestID] {
		return errDuplicateRequestID
	}
	if d.unresolved.contains(d.clock.now(), r.message.RequestID) {
		return errUnresolvedRequestID
	}
	d.openIDs[r.message.RequestID], r.holdsID = true, true
	r.id = d.nextID()
	routed.ID, r.answerDue = r.id, true
	d.requests[r.id] = r
	d.router.HandleRequest(d.clock.now(), routed)
	return nil
}

// run carries out routing's orders and handles the ends of attempts until the request has its answer and no attempt is open.
// It also carries out orders that arrive after the client has left, since routing counts the attempt as in flight until it
// ends.
func (r *request) run() {
	expired := time.NewTimer(r.deadline - r.director.clock.now())
	defer expired.Stop()
	clientGone := r.clientGone // nil once handleClientGone was called
	for !r.isSettled() || r.openAttempts > 0 || len(r.orders) > 0 {
		if clientGone != nil && r.isClientGone() { // takes precedence over all other cases that are ready
			clientGone = nil
			r.handleClientGone()
		}
		select {
		case order := <-r.orders: // startAttempt, cancelAttempt, reject or fail
			order()
		case ended := <-r.attemptEnds:
			r.handleAttemptEnd(ended)
		case <-clientGone: // handled at the start of the next iteration
		case <-expired.C:
			r.handleDeadline()
			expired.Reset(r.nextDeadlineCheck())
		}
	}
}

// startAttempt begins an attempt: the first one or a retry. If the request is settled or past its deadline, the attempt ends
// immediately as NotSent.
func (r *request) startAttempt(order routing.AttemptOrder) {
	next := newAttempt(r, order)
	r.attempts = append(r.attempts, next)
	r.openAttempts++
	if r.isSettled() || next.orderedAt >= r.deadline {
		next.finish(NotSent)
		return
	}
	r.director.pool.sendAttempt(order.Node, next)
}

// cancelAttempt cancels an attempt that has not ended. It ignores the number of an attempt that was never started.
func (r *request) cancelAttempt(number int, reason Ending) {
	if number < len(r.attempts) {
		r.attempts[number].cancel(reason)
	}
}

// handleAttemptEnd reports an ended attempt to routing, and answers the client with its answer if it won.
func (r *request) handleAttemptEnd(ended *attempt) {
	r.openAttempts--
	if won := r.reportOutcome(ended); won {
		r.deliver(ended)
	}
}

// reportOutcome reports the outcome of an ended attempt to routing. It returns whether the attempt won: an attempt wins if it
// is the first to succeed while the final answer is due.
func (r *request) reportOutcome(ended *attempt) (won bool) {
	d := r.director
	d.mu.Lock()
	defer d.mu.Unlock()
	outcome := ended.outcome()
	if outcome.Result == routing.Served && r.answerDue {
		r.answerDue, won = false, true
	}
	outcome.Final = !r.answerDue
	d.router.HandleOutcome(d.clock.now(), r.id, outcome)
	return won
}

// handleClientGone settles the request without an answer and removes it from routing.
func (r *request) handleClientGone() {
	r.settle(requestClientGone, noAnswer)
	r.takeAnswer()
}

// overdueAfter is the time after its deadline at which a request is failed if routing has ordered no answer, which would be a
// defect in routing. Clients accept an answer until half a second after the deadline.
const overdueAfter = 250 * time.Millisecond

// nextDeadlineCheck returns the time until the next call of handleDeadline. The second call is overdueAfter past the deadline,
// even if the first one was late. Further calls follow at intervals of overdueAfter.
func (r *request) nextDeadlineCheck() time.Duration {
	now := r.director.clock.now()
	if overdue := r.deadline + overdueAfter; now < overdue {
		return overdue - now
	}
	return overdueAfter
}

// handleDeadline cancels the attempts that nodes did not answer in time. It is called at the deadline and then at the
// intervals that nextDeadlineCheck returns.
func (r *request) handleDeadline() {
	for number := range r.attempts {
		r.cancelAttempt(number, Expired)
	}
	if r.director.clock.now() >= r.deadline+overdueAfter {
		r.answerOverdue()
	}
}

// answerOverdue fails the request if routing has ordered no final answer.
func (r *request) answerOverdue() {
	if r.isSettled() || !r.takeAnswer() {
		return
	}
	r.fail("no answer in time") // before the log line, which may block
	r.director.log.WithField("req", r.message.RequestID).Error("req: routing ordered no answer before the deadline")
}

// takeAnswer removes the request from routing. It returns whether the final answer was still due. If so, the caller must give
// that answer.
func (r *request) takeAnswer() (due bool) {
	r.director.mu.Lock()
	defer r.director.mu.Unlock()
	defer r.director.recoverDefect("left")
	if !r.answerDue {
		return false
	}
	r.answerDue, due = false, true
	r.director.router.HandleClientGone(r.director.clock.now(), r.id)
	return due
}

// isSettled returns whether the final answer was given or is no longer needed.
func (r *request) isSettled() bool { return r.state != requestOpen }

// isClientGone returns whether the client has closed its connection or cancelled the request.
func (r *request) isClientGone() bool { return isClosed(r.clientGone) }
