package routing

// This file declares the interface of the package: the events that the caller reports to a Director and the actions that a
// Director requests.

import "time"

// Executor carries out the decisions of a Director. The caller implements it for its protocol. Each method takes effect
// immediately and must not call the Director. Request and endpoint ids are those that the caller passed to the Director.
type Executor interface {
	// StartAttempt sends a request as described by order. The attempts of a request are numbered from 0.
	StartAttempt(request uint32, order AttemptOrder)
	// CancelAttempt cancels an attempt. The caller still reports the outcome of the attempt.
	CancelAttempt(request uint32, attempt int)
	// Reject rejects a request that was not executed or that the client may safely repeat. A retryAfter of 0 means no
	// Retry-After.
	Reject(request uint32, retryAfter time.Duration)
	// Fail fails a request that may have been executed and must not be repeated.
	Fail(request uint32)
	// SetTimer schedules a call of HandleTimer with token after wait.
	SetTimer(wait time.Duration, token uint32)
	// CheckHealth starts a health check of an endpoint. The caller reports the result through HandleHealthCheck.
	CheckHealth(node uint32)
}

// AttemptOrder describes one attempt and how the cache handles a miss.
type AttemptOrder struct {
	Node          uint32        // endpoint that receives the attempt
	Source        uint32        // upstream that fills a miss; equal to Node if a miss must not be filled
	Timeout       time.Duration // 0: until the request deadline
	StartBefore   time.Duration // the attempt must begin before this time, measured from the director's start; 0: no limit
	MaxAge        time.Duration // maximum age of a served copy; 0: FreshFor of the class
	CachePriority uint8         // 0: the cache must not store the answer; 1 to 3: a higher priority is evicted later
	OnlyIfCached  bool          // the source serves only what it has cached
	Revalidate    bool          // the cache serves an ageing copy and revalidates it in the background
	CollapseFills bool          // the cache waits for its own fill of the same document if one is in progress
}

// Request describes a client request on arrival.
type Request struct {
	ID             uint32
	Object         uint64
	Segment        uint32        // segment of the object
	Group          uint32        // purge group of the object, as the client named it
	GroupMissing   bool          // the client named no group, so Group is not used
	Class          int           // index in Settings.Classes
	SizeKB         float64       // size of the answer in KB; 0: unknown
	Deadline       time.Duration // time since the director's start
	ClientUnproven bool          // no request of this client has been served yet, so the request itself may be the cause of a failure
}

// Result states how an attempt ended.
type Result uint8

const (
	Served        Result = iota // the client received the answer
	Failed                      // the endpoint answered with an error; the request may have been executed
	Rejected                    // the request was shed: never executed
	TimedOut                    // no answer within the timeout; the request may have been executed
	ConnectFailed               // no connection was established (refused, unreachable or timed out): never executed
	NotSent                     // the connection broke before the attempt was sent completely: never executed, weak evidence of a fault
	Reset                       // the connection broke after the attempt was sent; the request may have been executed
	Cancelled                   // the attempt was cancelled; the request may have been executed
	Obsolete                    // the request was already finished: never executed
	NotCached                   // the endpoint has no usable copy and was not allowed to fill one: never executed
	LocalError                  // the director's own host could not send it: never executed, says nothing about the endpoint's health
)

// NeverExecuted reports whether the result proves that the attempt was not executed.
func (result Result) NeverExecuted() bool {
	switch result {
	case Rejected, ConnectFailed, NotSent, Obsolete, NotCached, LocalError:
		return true
	}
	return false
}

// Fill is the cache status of an answer, as reported by the site.
type Fill uint8

const (
	FillUnknown       Fill = iota // the answer has no cache status
	CacheHit                      // served from the cache
	Filled                        // filled from the source
	FilledByOrigin                // filled from the origin
	Collapsed                     // coalesced with a fill in progress
	ServedStale                   // served from a stale copy
	SourceRejected                // the source rejected the fill
	SourceUnreachable             // the source could not be reached
	SourceMiss                    // the source had no cached copy and was not allowed to fill one
	FillLimitReached              // the cache has too many fills in flight
	OriginFailed                  // the origin behind the source failed
)

// sourceFailed reports whether the source or the origin behind it failed.
func (fill Fill) sourceFailed() bool {
	return fill == SourceRejected || fill == SourceUnreachable || fill == OriginFailed
}

// Outcome describes the end of one attempt.
type Outcome struct {
	Attempt         int // number of the attempt within its request
	Result          Result
	Duration        time.Duration // from the start of the attempt to its end
	SourceWait      time.Duration // time until the first byte from the source, or until its failure; 0: unknown
	SendTime        time.Duration // time to send the answer, computed from its size; 0: unknown
	Fill            Fill
	Final           bool // the request finished with this attempt or earlier
	DirectorStalled bool // the director itself was stalled during the attempt, so the durations must not be used
}
