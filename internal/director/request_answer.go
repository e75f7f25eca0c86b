package director

import (
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/msgpack"
)

// This file gives the one final answer to a request, and releases what the request holds when its goroutine ends.

// deliver answers the client with the answer of the attempt that won.
func (r *request) deliver(won *attempt) {
	r.servedBy = won
	r.client.noteSuccess()
	r.settle(requestServed, func() {
		r.client.write(msgpack.Success(r.message.ID, won.response.Body, won.ending == AnsweredNotModified))
	})
}

// reject answers that the request was not executed, with the time after which the client may retry.
func (r *request) reject(retryAfter time.Duration) {
	r.settle(requestRejected, func() { r.client.write(msgpack.Rejection(r.message.ID, retryAfter)) })
}

// rejectForBound rejects a request because a bound is reached, before any attempt. It queues a short answer instead of writing
// it, since it is also called in the client's reader, which must not wait for a client that reads slowly.
func (r *request) rejectForBound() {
	r.client.noteUseless()
	retryAfter := r.director.retryAfter(r.message.ID)
	r.settle(requestRejected, func() { r.client.postShort(msgpack.Rejection(r.message.ID, retryAfter)) })
}

// fail answers with an error. The request may have been executed.
func (r *request) fail(reason string) {
	if !r.client.everServed.Load() || len(r.attempts) == 0 {
		r.client.noteUseless()
	}
	r.settle(requestFailed, func() { r.client.write(msgpack.Failure(r.message.ID, reason)) })
}

// noAnswer is the answer function for settle if the client has left.
func noAnswer() {}

// settle gives the final answer, unless the client has left. Later calls do nothing. It also cancels the attempts of which no
// byte was written, even if the settings do not allow cancellations, since no node has to be notified.
func (r *request) settle(state requestState, answer func()) {
	if r.isSettled() {
		return
	}
	r.state, r.settledAt = state, r.director.clock.now()
	for _, open := range r.attempts {
		open.cancelUnsent()
	}
	if r.openAttempts == 0 {
		r.releaseID()
	}
	if !r.isClientGone() {
		answer()
	}
	r.client.release(r)
}

// releaseID allows the request's id to be used again. It is called once no attempt is open. settle calls it before it gives
// the answer, since a client may use the id again as soon as it has the answer.
func (r *request) releaseID() {
	r.director.mu.Lock()
	defer r.director.mu.Unlock()
	r.releaseIDLocked()
}

// releaseIDLocked is releaseID for a caller that holds the director's mutex. Only the first call has an effect: later the id
// may belong to another request.
func (r *request) releaseIDLocked() {
	if r.holdsID {
		r.holdsID = false
		delete(r.director.openIDs, r.message.RequestID)
		if r.isUnresolved() {
			r.director.unresolved.add(r.director.clock.now(), r.message.RequestID)
		}
	}
}

// finish releases everything that the request holds. It also recovers from a panic in the request's goroutine, so that a
// defect affects this request only.
func (r *request) finish() {
	if fault := recover(); fault != nil {
		r.failAfterPanic(fault)
	}
	r.notifyObserver()
	r.client.release(r)
	r.releaseBounds()
	r.logEnd()
	r.unregister()
}

// failAfterPanic logs the panic, fails the request and cancels its attempts.
func (r *request) failAfterPanic(fault any) {
	r.director.logPanic("req", fault)
	r.takeAnswer()
	r.fail("defect")
	for number := range r.attempts {
		r.cancelAttempt(number, Cancelled)
	}
}

// logEnd logs the end of the request at debug level.
func (r *request) logEnd() {
	if !r.director.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		return
	}
	r.director.log.WithFields(logrus.Fields{
		"req":        r.message.RequestID,
		"vhost":      r.message.Class,
		"dispatches": len(r.attempts),
		"took":       r.director.clock.now() - r.arrivedAt,
	}).Debug(r.state.String())
}

// unregister removes the request from the director's maps. It compares the request itself, since one that was never
// registered has no id of its own.
func (r *request) unregister() {
	r.director.mu.Lock()
	defer r.director.mu.Unlock()
	if r.director.requests[r.id] == r {
		delete(r.director.requests, r.id)
	}
	r.releaseIDLocked()
}
