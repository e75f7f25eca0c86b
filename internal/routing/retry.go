package routing

// Retries: whether a request is sent again, where and when.
//
// It decides this after each attempt that did not serve its request. It guards against retries that multiply the load of an
// overloaded site (retry budget), against executing a request twice (idempotency), and against retries that use up the
// processor while the director's own host fails (backoff after local errors).

import "time"

const (
	retryBudgetPerRequest = 0.15                   // tokens added by each request
	maxRetryBudget        = 25                     // maximum number of saved retries: enough for the requests of one cache
	minRetryAfter         = 50 * time.Millisecond  // a rejected client may retry after this time plus a random part
	retryAfterSpread      = 150 * time.Millisecond // of at most this; limits soon admit more, and the latency objective is near
	minLocalBackoff       = 20 * time.Millisecond  // backoff after the first local error; short, because most local errors pass quickly;
	maxLocalBackoff       = 320 * time.Millisecond // doubled after each further local error, up to this maximum
	maxLocalDoublings     = 8                      // limits the shift
)

// retryBudget is a token bucket for retries: each arriving request adds a fraction of a token. Guards against retries that
// multiply the load of an overloaded site.
type retryBudget struct {
	tokens float64 // retries that are currently allowed, 0 to maxRetryBudget
}

// newRetryBudget returns a full bucket.
func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryBudget} }

// deposit adds the fraction of a token for one request.
func (budget *retryBudget) deposit() {
	budget.tokens = min(maxRetryBudget, budget.tokens+retryBudgetPerRequest)
}

// withdraw takes the token for one retry and reports whether there was one. If less than one token is left, that remainder is
// lost.
func (budget *retryBudget) withdraw() bool {
	budget.tokens--
	covered := budget.tokens >= 0
	budget.tokens = max(budget.tokens, 0)
	return covered
}

// retry sends a request again after an attempt that did not serve it, if the retry budget, the number of attempts, the deadline
// and the outcome allow it. Otherwise it rejects or fails the request. A token of the budget is spent even if no retry follows,
// but not after an attempt for a cached copy only.
func (d *Director) retry(now time.Duration, ended *attempt, outcome Outcome) {
	request := ended.request
	cachedOnly := ended.source == ended.endpoint
	free := outcome.Result == NotCached && cachedOnly
	covered := free || d.retryBudget.withdraw()
	if !covered || !d.mayRetry(now, request, outcome) {
		d.rejectOrFail(now, request)
		return
	}
	d.route(now, request)
}

// mayRetry reports whether a request has attempts and time left, and whether its last outcome allows a retry.
func (d *Director) mayRetry(now time.Duration, request *openRequest, outcome Outcome) bool {
	if outcome.Result == Obsolete || outcome.Result == Failed && request.unproven {
		return false
	}
	return d.hasAttemptsLeft(request) && now+answerMargin < request.deadline
}

// hasAttemptsLeft reports whether the maximum number of attempts allows one more attempt of a request.
func (d *Director) hasAttemptsLeft(request *openRequest) bool {
	return len(request.attempts) < d.settings.maxAttempts
}

// backOff makes a request wait after a local error before it is sent again. This does not use the retry budget. If the request
// has no attempts or not enough time left, it is rejected or failed immediately.
func (d *Director) backOff(now time.Duration, request *openRequest) {
	request.backoffEnds = now + d.localBackoff(request)
	if !d.hasAttemptsLeft(request) || request.backoffEnds+answerMargin >= request.deadline {
		d.rejectOrFail(now, request)
		return
	}
	d.setState(now, request, stateBackoff)
}

// localBackoff returns the wait after the last local error of a request. It is an exponential backoff, reduced by a random
// amount of up to half of it, so that requests that failed together are retried at different times.
func (d *Director) localBackoff(request *openRequest) time.Duration {
	doublings := min(request.localErrors()-1, maxLocalDoublings)
	backoff := min(maxLocalBackoff, minLocalBackoff<<doublings)
	return backoff - time.Duration(unitInterval(d.chance(request.id))/2*float64(backoff))
}

// RetryAfter returns the Retry-After for the rejection of a request, or 0 for none. The caller also uses it for its own
// rejections.
func (d *Director) RetryAfter(id uint32) time.Duration {
	if !d.settings.retryAfterAllowed {
		return 0
	}
	jitter := time.Duration(unitInterval(d.chance(id)) * float64(retryAfterSpread))
	return min(d.settings.maxRetryAfter, minRetryAfter+jitter)
}

// mayExecuteAt reports whether a request may be sent to an endpoint without the risk of executing it twice. This applies to
// every endpoint, a parent and the origin included. A request with an idempotency key that may have been executed is sent again
// only to the endpoints that drop repetitions, and only within the window in which they do. A non-idempotent request that may
// have been executed is not sent again.
func (request *openRequest) mayExecuteAt(now time.Duration, target *endpoint) bool {
	if request.firstUnresolved == nil || request.class.Effect == Idempotent {
		return true
	}
	if request.class.Effect == NonIdempotent || now >= request.dedupWindowEnd() {
		return false
	}
	first := request.firstUnresolved.endpoint
	switch request.class.DedupScope {
	case DedupZone:
		return target.zone == first.zone
	case DedupCell:
		return target.cell == first.cell && target.zone == first.zone
	}
	return true
}

// dedupWindowEnd returns the time until which a repetition of a request with an idempotency key is guaranteed to be dropped.
// The request must have an attempt that may have been executed.
func (request *openRequest) dedupWindowEnd() time.Duration {
	return request.firstUnresolved.startedAt + request.class.DedupWindow - answerMargin
}

// failedAtEndpoint reports whether an attempt of the request failed because of this cache. Attempts for a cached copy only do
// not count.
func (request *openRequest) failedAtEndpoint(cache *endpoint) bool {
	for _, earlier := range request.attempts {
		if earlier.endpoint == cache && earlier.source != cache && !earlier.endpointNotAtFault && !earlier.failedLocally {
			return true
		}
	}
	return false
}

// triedSource reports whether the request had an attempt with this source that was not stopped by a local error.
func (request *openRequest) triedSource(source *endpoint) bool {
	for _, earlier := range request.attempts {
		if earlier.source == source && !earlier.failedLocally {
			return true
		}
	}
	return false
}

// localErrors returns the number of attempts that were not sent because of local errors.
func (request *openRequest) localErrors() (count int) {
	for _, earlier := range request.attempts {
		if earlier.failedLocally {
			count++
		}
	}
	return count
}

// mayHaveBeenSent reports whether any attempt may have been sent.
func (request *openRequest) mayHaveBeenSent() bool {
	return request.localErrors() < len(request.attempts)
}
