package emulator

// This file holds a client's attempt at a request: its message, its deadline, and how it ends.

import (
	"fmt"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/capacity"
	"indigochute.example/indigochute/internal/msgpack"
)

// Attempt is the record of an attempt that ended. Its times count from the start of the load.
type Attempt struct {
	EndedAt      time.Duration
	Director     netip.AddrPort
	Class        int
	Outcome      capacity.Outcome
	Retries      int           // earlier attempts at the same request
	IntendedAt   time.Duration // when the first attempt at the request was due
	MetObjective bool          // whether it was served within the latency objective, counted from IntendedAt
}

// clientAttempt is one attempt at a request, at one director.
type clientAttempt struct {
	load     *Load
	request  *capacity.Request
	retries  int // earlier attempts at the same request
	director netip.AddrPort
	message  msgpack.Message
	deadline *time.Timer
	once     sync.Once // ensures that the attempt ends only once

	conn *clientConn // the connection it is sent on; guarded by the pool's lock
}

// purgeGroupMask limits the purge groups that clients name to 256.
const purgeGroupMask = 0xff

// newAttempt prepares an attempt and starts the timer of its deadline.
func newAttempt(load *Load, request *capacity.Request, retries int, id uint64, director netip.AddrPort) *clientAttempt {
	class := &load.fleet.description.Classes[request.Class]
	a := &clientAttempt{load: load, request: request, retries: retries, director: director}
	a.message = msgpack.Message{
		Class:          class.Name,
		RequestID:      fmt.Sprintf("%016x", id),
		Timeout:        class.Timeout.Duration(),
		Object:         fmt.Sprintf("%016x", request.Object),
		Part:           strconv.Itoa(int(request.Part)),
		Group:          strconv.Itoa(int(request.Group & purgeGroupMask)),
		IdempotencyKey: fmt.Sprintf("k%x-%x", request.At, request.Object),
	}
	a.deadline = time.AfterFunc(class.Timeout.Duration()+tolerance, a.expire)
	return a
}

// expire ends an attempt whose client timeout passed without a response. That violates rule 1, unless zones are lost or the
// load generator itself is late.
func (a *clientAttempt) expire() {
	a.once.Do(func() {
		load := a.load
		a.report(capacity.Failed)
		load.pool(a.director).forget(a)
		isDirectorsFault := load.lostZones.Load() == nil && load.lateness.percentile99() < tolerance
		if isDirectorsFault {
			load.fleet.rules.violated("rule 1: request %s got no final response within its client timeout", a.message.RequestID)
		}
		load.finish(a.request, capacity.Failed, a.retries)
	})
}

// fail ends an attempt whose connection ended before a response arrived.
func (a *clientAttempt) fail() { a.end(capacity.Failed, nil) }

// respond ends an attempt with its final response.
func (a *clientAttempt) respond(response *msgpack.Response) {
	outcome := capacity.Served
	switch {
	case response.Failed:
		outcome = capacity.Failed
	case response.Rejected:
		outcome = capacity.Rejected
	}
	a.end(outcome, response)
}

// end ends an attempt, unless it has ended already. A rejected request is sent again if its client retries; any other
// outcome is counted. The response is nil if none arrived.
func (a *clientAttempt) end(outcome capacity.Outcome, response *msgpack.Response) {
	a.once.Do(func() {
		a.deadline.Stop()
		a.report(outcome)
		switch outcome {
		case capacity.Served:
			a.load.fleet.rules.checkBody(int(a.request.Class), a.request.Object, a.request.Part, response.Body)
		case capacity.Rejected:
			if wait, ok := a.retryAfter(response); ok {
				time.AfterFunc(wait, func() { a.load.send(a.request, a.retries+1) })
				return
			}
		}
		a.load.finish(a.request, outcome, a.retries)
	})
}

// retryAfter returns how long the client waits before it retries a rejected request: the time that the response names,
// otherwise the client's own pause. It returns false if the client has no retry left, or if the request's timeout would pass
// during the wait.
func (a *clientAttempt) retryAfter(response *msgpack.Response) (time.Duration, bool) {
	description := a.load.fleet.description
	wait := response.RetryAfter
	if wait == 0 {
		wait = description.Clients.RetryAfter.Duration()
	}
	timeout := description.Classes[a.request.Class].Timeout.Duration()
	inTime := a.load.elapsed()+wait-a.request.At < timeout
	return wait, inTime && a.retries < description.Clients.Retries
}

// report calls the load's OnAttempt, if it is set.
func (a *clientAttempt) report(outcome capacity.Outcome) {
	load := a.load
	if load.OnAttempt == nil {
		return
	}
	ended, class := load.elapsed(), int(a.request.Class)
	objective := load.fleet.description.LatencyObjective(class, int(a.request.Bytes))
	load.OnAttempt(Attempt{
		EndedAt:      ended,
		Director:     a.director,
		Class:        class,
		Outcome:      outcome,
		Retries:      a.retries,
		IntendedAt:   a.request.At,
		MetObjective: outcome == capacity.Served && ended-a.request.At <= objective,
	})
}
