package routing

// Outcomes: what the director records at the end of an attempt, and what happens to its request.
//
// It decides whether a request ends, backs off or is retried, and whether an outcome counts against the cache, the source or
// the director's own host. It applies at the end of each attempt. It guards against counting a failure against an endpoint if
// the source, the request or the connection is the cause.

import "time"

// HandleOutcome processes the end of an attempt: it records the outcome, then ends the request, retries it or lets it back off.
// An attempt that is unknown or has already ended is ignored.
func (d *Director) HandleOutcome(now time.Duration, id uint32, outcome Outcome) {
	request := d.requests[id]
	if request == nil || outcome.Attempt >= len(request.attempts) || request.attempts[outcome.Attempt].finished {
		return
	}
	ended := request.attempts[outcome.Attempt]
	d.finishAttempt(ended)
	if outcome.Result.NeverExecuted() && request.firstUnresolved == ended {
		request.firstUnresolved = nil
	}
	if outcome.Result == LocalError {
		d.undoAttempt(ended)
	} else {
		d.recordOutcome(now, ended, outcome)
		d.adaptLimits(ended, outcome)
	}
	d.releaseWaiters(now, ended)
	switch {
	case request.state == stateEnded:
		d.removeIfDone(request)
	case outcome.Final || outcome.Result == Served:
		d.setState(now, request, stateEnded)
	case request.openAttempts == 0 && outcome.Result == LocalError:
		d.backOff(now, request)
	case request.openAttempts == 0:
		d.retry(now, ended, outcome)
	}
}

// recordOutcome updates the state of the cache, the source, the document and the class with an outcome.
func (d *Director) recordOutcome(now time.Duration, ended *attempt, outcome Outcome) {
	request, cache, source := ended.request, ended.endpoint, ended.source
	switch {
	case outcome.Result == Served:
		d.recordServed(now, ended, outcome)
	case outcome.Fill.sourceFailed():
		d.recordSourceFailure(now, ended, outcome)
	case d.isUnexplainedReject(ended, outcome):
		cache.recordAlive(now)
		d.recordUnexplainedReject(now, source)
	case outcome.Result == NotCached || outcome.Result == Rejected || outcome.Result == Failed && request.unproven:
		cache.recordAlive(now) // it answered; if the client is unproven, the request itself may have caused the failure
	default:
		d.recordAttemptFailure(now, ended, outcome.Result)
	}
	if outcome.Fill == CacheHit && source.role != cacheNode {
		source.refund(ended.chargedSourceWork) // the cache never requested a fill from the source
	}
	present := outcome.Result == Served && !request.class.Write && cache.role == cacheNode
	request.document.updateCopies(cache, present, outcome.Result == NotCached, ended.startedAt)
	d.memory.recount(request.document)
}

// recordServed records a served attempt: sign of life, load and latency of the cache, and of the source if it filled the
// document.
func (d *Director) recordServed(now time.Duration, ended *attempt, outcome Outcome) {
	request, cache, source := ended.request, ended.endpoint, ended.source
	d.answerLossShare.observe(0, smoothing)
	cache.recordAlive(now)
	cache.served.Add(now, 1)
	cache.sendWork.Add(now, request.class.sendTime.Seconds())
	if !outcome.DirectorStalled {
		d.updateTimings(ended, outcome)
	}
	d.recordFillOrHit(ended, outcome.Fill)
	d.recordExplainedFill(ended, outcome.Fill)
	if outcome.Fill == Filled || outcome.Fill == FilledByOrigin {
		source.recordAlive(now)
		source.sendWork.Add(now, request.class.sendTime.Seconds())
		beyondSending := outcome.Duration - d.expectedSendTime(request) // unlike the first byte, this reveals a slow link
		source.recordFillLatency(now, max(outcome.SourceWait, beyondSending, time.Millisecond))
	}
}

// recordSourceFailure records a fill that failed at its source. The cache is healthy: its limit is unchanged, and it may be
// tried again with another source.
func (d *Director) recordSourceFailure(now time.Duration, ended *attempt, outcome Outcome) {
	source := ended.source
	ended.endpoint.recordAlive(now)
	ended.endpointNotAtFault = true
	if source.role == cacheNode {
		return
	}
	if outcome.Fill == SourceRejected {
		d.adjustLimit(&source.limit, source.inFlight, false, 1)
	}
	source.failures.Add(now, 1)
	d.detectOutlier(now, source)
}

// recordAttemptFailure records an attempt that failed at the cache or on the way to it. Cancelled and obsolete attempts do not
// count, and neither does a timeout while many attempts at the source are overdue.
func (d *Director) recordAttemptFailure(now time.Duration, ended *attempt, result Result) {
	cache := ended.endpoint
	switch result {
	case ConnectFailed:
		d.recordConnectFailed(now, cache)
	case Reset, NotSent:
		// If the cache has answered other attempts since, only the connection broke, and the cache may be tried again.
		ended.endpointNotAtFault = ended.endpointNotAtFault || cache.lastAlive > ended.startedAt
	case Failed:
	case TimedOut:
		if ended.isOverdue && ended.source.overdueCount >= unresponsiveAfterOverdue {
			return
		}
	default:
		return
	}
	cache.recordFailure(now)
	d.detectOutlier(now, cache)
}

// recordConnectFailed considers a cache that refused a connection dead, however recently it answered. Its copies are considered
// lost, and it begins a slow start.
func (d *Director) recordConnectFailed(now time.Duration, cache *endpoint) {
	cache.emptySince, cache.lastAlive = now, now-minOverdueWait
	d.beginSlowStart(now, cache, now)
	cache.overdueCount++
}
