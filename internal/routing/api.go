package routing

// The interface of the package: the events that the caller reports to a Director, and the actions that a Director orders.

import "time"

// Executor carries out the decisions of a Director. The caller implements it for the protocol that it speaks. Each method acts
// at once and must not call the Director back. Ids of requests and endpoints are the ones that the caller handed in.
type Executor interface {
	// StartAttempt sends a request as the order says. The attempts of a request are numbered from 0.
	StartAttempt(request uint32, order AttemptOrder)
	// CancelAttempt withdraws an attempt. The caller still reports the attempt's outcome.
	CancelAttempt(request uint32, attempt int)
	// Reject answers a request that was not executed or that the client may repeat. A retryAfter of 0 means none.
	Reject(request uint32, retryAfter time.Duration)
	// Fail answers a request that may have been executed and must not be repeated.
	Fail(request uint32)
	// SetTimer has the caller call HandleTimer with the token after wait.
	SetTimer(wait time.Duration, token uint32)
	// CheckHealth asks an endpoint whether it runs. The caller reports the result to HandleHealthCheck.
	CheckHealth(node uint32)
}

// AttemptOrder describes one attempt, and what the cache does on a miss.
type AttemptOrder struct {
	Node          uint32        // endpoint that the attempt goes to
	Source        uint32        // upstream that a miss is filled from; the same as Node: the miss is not filled
	Timeout       time.Duration // 0: until the deadline of the request
	StartBefore   time.Duration // time since the director's start from which the attempt must not begin any more; 0: no bound
	MaxAge        time.Duration // age of the oldest copy that may be served; 0: the fresh time of the class
	CachePriority uint8         // 0: the cache keeps nothing; 1 to 3: the higher, the longer it keeps the copy
	OnlyIfCached  bool          // the source serves only what it has cached
	Revalidate    bool          // the cache serves an ageing copy and renews it in the background
	CollapseFills bool          // the cache waits for a fill of the same document that is in progress there
}

// Request is a client's request as it arrives.
type Request struct {
	ID             uint32
	Object         uint64
	Segment        uint32        // segment of the object
	Group          uint32        // purge group
	Class          int           // index in Settings.Classes
	SizeKB         float64       // size of the answer in KB; 0: unknown
	Deadline       time.Duration // time since the director's start
	ClientUnproven bool          // no request of this client was served yet, so a cache's failure may be the fault of the request
}

// Result is how an attempt ended.
type Result uint8

const (
	Served        Result = iota // the client has its answer
	Failed                      // the endpoint answered with an error; the request may have been executed
	Rejected                    // the request was shed: never executed
	TimedOut                    // no answer within the timeout; the request may have been executed
	ConnectFailed               // no connection came up: refused, unreachable or too late; never executed
	NotSent                     // the connection broke before the attempt was sent completely: never executed, little evidence on the endpoint
	Reset                       // the connection broke after the attempt was sent; the request may have been executed
	Cancelled                   // the attempt was cancelled; the request may have been executed
	Obsolete                    // the request was already finished: never executed
	NotCached                   // the endpoint has no copy that may be served and was not to fill one: never executed
	LocalError                  // the director's own host could not send it: never executed, no evidence on the endpoint
)

// neverExecuted reports whether the result proves that the attempt was not executed.
func (result Result) neverExecuted() bool {
	switch result {
	case Rejected, ConnectFailed, NotSent, Obsolete, NotCached, LocalError:
		return true
	}
	return false
}

// Fill is the cache status of an answer, as far as the site reports it.
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
	SourceMiss                    // the source had nothing cached and was not to fill it
	FillLimitReached              // the cache has too many fills in flight
	OriginFailed                  // the origin behind the source failed
)

// sourceFailed reports whether the source, or what lies behind it, failed.
func (fill Fill) sourceFailed() bool {
	return fill == SourceRejected || fill == SourceUnreachable || fill == OriginFailed
}

// Outcome is the end of one attempt.
type Outcome struct {
	Attempt         int // number of the attempt within its request
	Result          Result
	Duration        time.Duration // from the start of the attempt to its end
	SourceWait      time.Duration // until the source's first byte or failure; 0: unknown
	SendTime        time.Duration // time that sending the answer alone takes, computed from its bytes; 0: unknown
	Fill            Fill
	Final           bool // the request is finished, by this attempt or before it
	DirectorStalled bool // the director itself was stalled during the attempt: the times are no evidence
}
