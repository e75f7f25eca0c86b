package routing

import (
	"fmt"
	"testing"
	"time"
)

// endpointState is the state of an endpoint that a failed attempt may change.
type endpointState struct {
	failures, inFlight, slowStartTokens, limit, inflation float64
	overdueCount                                          int
	ejectedUntil, ejectionTime, fillLatency, emptySince   time.Duration
	onProbation, startKnown                               bool
}

// stateOf returns the state of an endpoint.
func stateOf(target *endpoint, now time.Duration) endpointState {
	return endpointState{
		failures:        target.failures.Sum(now),
		inFlight:        target.inFlight,
		slowStartTokens: target.slowStartTokens,
		limit:           target.limit.max,
		inflation:       target.inflation,
		overdueCount:    target.overdueCount,
		ejectedUntil:    target.ejectedUntil,
		ejectionTime:    target.ejectionTime,
		fillLatency:     target.fillLatency,
		emptySince:      target.emptySince,
		onProbation:     target.onProbation,
		startKnown:      target.startKnown,
	}
}

// TestLocalErrorLeavesEndpointStateUnchanged fails attempts with local errors. The state of endpoints, source and link must be
// unchanged. The request must wait for a backoff that doubles, and must then go to the same endpoint without using the retry
// budget. This includes writes, because none of the attempts was executed.
func TestLocalErrorLeavesEndpointStateUnchanged(t *testing.T) {
	for class := range testSettings().Classes {
		t.Run(fmt.Sprintf("class %d", class), func(t *testing.T) {
			site := newManualSite(t, 4)
			site.run(time.Second)
			before := map[uint32]endpointState{}
			for id, n := range site.director.endpoints {
				before[id] = stateOf(n, site.now)
			}
			link, budget := site.director.linkLimit, site.director.retryBudget.tokens
			for object := range uint64(12) {
				request := site.requests[site.sendRequest(class, 100+object, 0)]
				site.director.requests[request.ID].deadline, request.Deadline = site.now+2*time.Second, site.now+2*time.Second
				for attempt := range site.settings.MaxAttempts {
					if len(request.attempts) != attempt+1 {
						t.Fatalf("class %d: got %d attempts after %d local errors, want one more than errors", class, len(request.attempts), attempt)
					}
					sent := request.attempts[attempt]
					site.failIf(sent.node != request.attempts[0].node || sent.source != request.attempts[0].source,
						"class %d: attempt %d sent to %d with source %d, want %d with source %d as for the first",
						class, attempt, sent.node, sent.source, request.attempts[0].node, request.attempts[0].source)
					site.run(site.now + ms)
					site.endAttempt(request.ID, Outcome{Attempt: attempt, Result: LocalError})
					wait := min(maxLocalBackoff, minLocalBackoff<<attempt)
					site.run(site.now + wait/2 - ms)
					site.failIf(len(request.attempts) > attempt+1, "class %d: sent again within %v after local error %d, want a longer backoff",
						class, wait/2, attempt)
					site.run(site.now + wait/2 + 2*ms)
				}
				site.failIf(!request.answered || len(request.attempts) != site.settings.MaxAttempts,
					"class %d: answered %v after %d attempts, want true after the maximum", class, request.answered, len(request.attempts))
			}
			for id, n := range site.director.endpoints {
				if got := stateOf(n, site.now); got != before[id] {
					t.Errorf("class %d, endpoint %d: state after local errors: got %+v, want %+v", class, id, got, before[id])
				}
			}
			d := site.director
			site.failIf(d.linkLimit != link || d.retryBudget.tokens < budget, "link limit %+v and retry budget %g changed, want unchanged",
				d.linkLimit, d.retryBudget.tokens)
			site.failIf(d.unexplainedRejectShare > 0 || d.answerLossShare > 0 || d.lateFraction > 0,
				"shares of rejected fills %g, lost answers %g, late answers %g, want 0",
				d.unexplainedRejectShare, d.answerLossShare, d.lateFraction)
		})
	}
}

// TestLocalBackoffDoublesUpToMaximum has the director's own host fail for longer than the backoff doubles. Each wait must be
// between half of and the whole backoff, which doubles from 20 ms to 320 ms. Without the maximum, a request would wait for
// seconds after the host has recovered. Without a backoff, it would use up its attempts within moments.
func TestLocalBackoffDoublesUpToMaximum(t *testing.T) {
	const attempts = 9
	backoffs := []time.Duration{20 * ms, 40 * ms, 80 * ms, 160 * ms, 320 * ms} // the last value applies to all further errors
	site := newManualSite(t, 3)
	site.settings.MaxAttempts, site.director.settings.maxAttempts = attempts, attempts
	for object := range uint64(20) {
		request := site.requests[site.sendRequest(segmentedClass, 100+object, 0)]
		site.director.requests[request.ID].deadline, request.Deadline = site.now+4*time.Second, site.now+4*time.Second
		for number := range attempts - 1 {
			failedAt := site.now
			site.endAttempt(request.ID, Outcome{Attempt: number, Result: LocalError})
			for len(request.attempts) == number+1 && site.now < failedAt+time.Second {
				site.run(site.now + ms)
			}
			waited, backoff := site.now-failedAt, backoffs[min(number, len(backoffs)-1)]
			if waited < backoff/2 || waited > backoff+ms {
				t.Fatalf("object %d: waited %v after local error %d, want %v to %v", object, waited, number+1, backoff/2, backoff)
			}
		}
		site.endAttempt(request.ID, Outcome{Attempt: attempts - 1, Fill: CacheHit})
	}
}

// TestRequestServedAfterLocalError ends the local failure. The request must be served, and the next real failure of the
// endpoint must count as usual.
func TestRequestServedAfterLocalError(t *testing.T) {
	site := newManualSite(t, 3)
	request := site.serve(segmentedClass, 7, ms, Outcome{Result: LocalError})
	site.run(site.now + minLocalBackoff)
	site.endAttempt(request.ID, Outcome{Attempt: 1, Fill: CacheHit})
	site.failIf(!request.answered || len(site.director.requests) > 0,
		"answered %v with %d requests remaining, want true with 0", request.answered, len(site.director.requests))
	site.director.retryBudget.tokens = 0
	request = site.serve(segmentedClass, 8, ms, Outcome{Result: LocalError})
	site.run(site.now + minLocalBackoff)
	site.failIf(len(request.attempts) != 2, "got %d attempts with a spent retry budget, want 2", len(request.attempts))
	cache := site.director.endpoints[request.attempts[0].node]
	failuresBefore := cache.failures.Sum(site.now)
	site.endAttempt(request.ID, Outcome{Attempt: 1, Result: ConnectFailed})
	failures := cache.failures.Sum(site.now) - failuresBefore
	site.failIf(failures != 1, "got %g failures, want 1", failures)
	site.failIf(!request.answered, "request not answered")
}

// TestCachedOnlyAttemptRepeatedAfterLocalError checks that an attempt for a cached copy only is repeated if a local error
// prevented it from being sent, because nothing of its request has been sent yet.
func TestCachedOnlyAttemptRepeatedAfterLocalError(t *testing.T) {
	site := newManualSite(t, 3)
	site.director.linkLimit.max = 0
	request := site.serve(segmentedClass, 7, ms, Outcome{Result: LocalError})
	site.run(site.now + minLocalBackoff)
	site.failIf(len(request.attempts) != 2 || site.lastOrder.Source != site.lastOrder.Node,
		"got %d attempts, the last at %d with source %d, want 2 and no source", len(request.attempts), site.lastOrder.Node, site.lastOrder.Source)
}

// TestBackoffEndsOnClientGoneOrDeadline checks that a disconnected client and the deadline end a request in backoff as in any
// other state, and that no request waits beyond its deadline.
func TestBackoffEndsOnClientGoneOrDeadline(t *testing.T) {
	site := newManualSite(t, 3)
	request := site.serve(segmentedClass, 7, ms, Outcome{Result: LocalError})
	site.failIf(site.director.requests[request.ID].state != stateBackoff, "got state %d, want backoff",
		site.director.requests[request.ID].state)
	request.answered = true
	site.director.HandleClientGone(site.now, request.ID)
	site.run(site.now + time.Second)
	site.failIf(len(request.attempts) != 1 || len(site.director.requests)+len(site.director.requestsByToken) > 0,
		"got %d attempts and %d requests after the client left, want 1 and 0", len(request.attempts), len(site.director.requests))

	for left := time.Duration(0); left < 3*minLocalBackoff; left += 5 * ms {
		request = site.requests[site.sendRequest(segmentedClass, 8, 0)]
		record := site.director.requests[request.ID]
		record.deadline = site.now + left + answerMargin
		request.Deadline = record.deadline
		site.endAttempt(request.ID, Outcome{Result: LocalError})
		site.run(record.deadline - answerMargin) // the timer of the original deadline is not due yet
		site.failIf(left <= minLocalBackoff/2 && !request.answered, "not answered, although the remaining %v are too short for a backoff", left)
		if !request.answered {
			site.director.HandleTimer(site.now, record.token)
			site.run(site.now + ms)
		}
		site.failIf(!request.answered, "not answered at the deadline, %v after the local error", left)
		site.endAll(0, 0, CacheHit)
	}
}

// TestLocalErrorRevertsOverdueCount checks that an attempt that became overdue before its local error was reported does not
// remain in the overdue counts.
func TestLocalErrorRevertsOverdueCount(t *testing.T) {
	site := newManualSite(t, 3)
	request := site.requests[site.sendRequest(segmentedClass, 7, 0)]
	site.run(site.director.requests[request.ID].attempts[0].overdueAt + ms)
	cache, source := site.director.endpoints[request.attempts[0].node], site.director.endpoints[request.attempts[0].source]
	site.failIf(cache.overdueCount != 1 || source.overdueCount != 1,
		"overdue counts in flight: got %d and %d, want 1 and 1", cache.overdueCount, source.overdueCount)
	site.endAttempt(request.ID, Outcome{Result: LocalError})
	site.failIf(cache.overdueCount != 0 || source.overdueCount != 0,
		"overdue counts after the local error: got %d and %d, want 0 and 0", cache.overdueCount, source.overdueCount)
}
