package director

import (
	"time"

	"indigochute.example/indigochute/internal/discovery"
	"indigochute.example/indigochute/internal/resp"
	"indigochute.example/indigochute/internal/routing"
)

// The states of an attempt:
//
//	queued    it waits in the queue of a connection (enqueueAttempt), or is not on a connection yet
//	writing   some of its bytes may have been written; if none was, it returns to queued (putBack)
//	written   it was written completely, and the node may execute it
//	finished  it has its Ending and was sent to the request's attemptEnds
//
// Only advance changes the state, and only finish ends the attempt.

// attempt is one attempt to serve a request through a node. The pool's mutex guards the fields that change after newAttempt.
// Times count from the director's start.
type attempt struct {
	request     *request
	number      int           // index in the request's attempts
	command     resp.Request  // the message to the node; its Timeout is set when it is written
	orderedAt   time.Duration // when routing ordered it
	startBefore time.Duration // writing it must begin before this time; 0: no bound
	conn        *nodeConn     // the connection that carries it; nil: none
	state       attemptState
	unwanted    bool          // its request is settled; it is cancelled if no byte of it was written
	writtenAt   time.Duration // when it was completely written; 0: not yet

	// Set before the attempt is handed over to the request's goroutine, and not changed after that.
	ending          Ending
	response        resp.Response
	duration        time.Duration // from orderedAt until it finished
	firstByteAt     time.Duration // when the first byte of the answer arrived
	directorStalled bool          // the process was stalled while the answer arrived, so the times are meaningless
}

// attemptState is the state of an attempt, as listed above.
type attemptState uint8

const (
	attemptQueued   attemptState = iota // no byte of it was written
	attemptWriting                      // some of its bytes may have been written
	attemptWritten                      // it was written completely
	attemptFinished                     // it has its Ending
)

// newAttempt returns the next attempt of a request for an order of routing.
func newAttempt(request *request, order routing.AttemptOrder) *attempt {
	next := &attempt{
		request:   request,
		number:    len(request.attempts),
		orderedAt: request.director.clock.now(),
		command: resp.Request{
			ID:             request.message.RequestID,
			Class:          request.message.Class,
			Object:         request.message.Object,
			Part:           request.message.Part,
			IdempotencyKey: request.message.IdempotencyKey,
			ETag:           request.message.ETag,
			Order:          order,
			Body:           request.message.Body,
		},
		startBefore: order.StartBefore,
	}
	if order.Source != order.Node {
		next.command.Source = discovery.FormatID(order.Source)
	}
	return next
}

// advance changes the state. It does nothing once the attempt has finished: a faulty node may answer an attempt that is still
// being written.
func (a *attempt) advance(to attemptState) {
	if a.state != attemptFinished {
		a.state = to
	}
}

// hasBegun returns whether the attempt is unfinished and some of its bytes may have been written.
func (a *attempt) hasBegun() bool { return a.state == attemptWriting || a.state == attemptWritten }

// isFinished returns whether the attempt has its Ending.
func (a *attempt) isFinished() bool { return a.state == attemptFinished }

// waitsUntil returns when the director stops waiting for the attempt: at its request's deadline or after the attempt's own
// timeout, whichever is first.
func (a *attempt) waitsUntil() time.Duration {
	if a.command.Order.Timeout > 0 {
		return min(a.request.deadline, a.orderedAt+a.command.Order.Timeout)
	}
	return a.request.deadline
}

// finish ends the attempt and hands it over to its request's goroutine. Later calls do nothing.
func (a *attempt) finish(ending Ending) {
	if a.isFinished() {
		return
	}
	a.advance(attemptFinished)
	a.ending, a.duration = ending, a.request.director.clock.now()-a.orderedAt
	a.request.attemptEnds <- a // never blocks: the channel holds every attempt
}

// cancel cancels the attempt. The attempt ends once the node was notified or can no longer be notified.
func (a *attempt) cancel(reason Ending) {
	pool := a.request.director.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if !a.isFinished() && a.conn != nil {
		a.conn.cancel(a, reason)
	}
}

// cancelUnsent cancels the attempt unless some of its bytes may have been written. In that case it marks the attempt as
// unwanted, and the writer cancels it if it has written no byte.
func (a *attempt) cancelUnsent() {
	pool := a.request.director.pool
	pool.mu.Lock()
	defer pool.mu.Unlock()
	switch {
	case a.isFinished() || a.conn == nil:
	case !a.hasBegun():
		a.conn.finishAttempt(a, NotSent)
	default:
		a.unwanted = true
	}
}

// outcome returns the outcome of an ended attempt in the form that routing uses.
func (a *attempt) outcome() routing.Outcome {
	outcome := routing.Outcome{
		Attempt:         a.number,
		Result:          a.ending.result(),
		Duration:        a.duration,
		SourceWait:      a.response.Waited,
		Fill:            a.response.Fill,
		DirectorStalled: a.directorStalled,
	}
	if outcome.Result == routing.Served {
		outcome.SendTime = a.request.director.sendTime(len(a.response.Body))
	}
	return outcome
}

// sendTime returns how long sending the given number of bytes takes at the configured transfer rate. It is 0 if no rate is
// configured, and for an empty body, such as when the client's own copy is valid.
func (d *Director) sendTime(bytes int) time.Duration {
	if d.config.TransferRate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / d.config.TransferRate * float64(time.Second))
}
