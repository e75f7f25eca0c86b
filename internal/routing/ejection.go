package routing

// Outlier ejection: which endpoints are temporarily taken out of rotation because they fail or do not answer.
//
// It decides when an endpoint is ejected, for how long, and when it counts as responsive again. It applies on failures, on
// overdue attempts and on reports of peers. It guards against endpoints that are dead, hang or fail far more often than their
// peers. After an ejection an endpoint is on probation: it has a concurrency limit of one until it answers.

import (
	"slices"
	"time"
)

const (
	unresponsiveAfterOverdue = 3                     // overdue attempts since the last sign of life; fewer may be random variation
	sameFailureWindow        = 20 * time.Millisecond // failures within this time are attributed to one connection and count once
	minFailures              = 3                     // minimum failures of an outlier; fewer may be random variation
	outlierMargin            = 0.3                   // an outlier's share of failures exceeds the median of its peers by more than this
	baseEjectionTime         = 2 * time.Second       // first ejection without its random part; doubled while the endpoint does not answer,
	maxEjectionTime          = 8 * time.Second       // up to this maximum
	ejectionJitter           = 0.5                   // maximum random part of an ejection, as a fraction of its fixed part
	minRotationDivisor       = 3                     // one in this many caches of the location must stay in rotation despite outliers
)

// ejectionState is the health of one endpoint from the point of view of this director.
type ejectionState struct {
	lastAlive           time.Duration // time of the last sign of life
	overdueCount        int           // attempts that became overdue since lastAlive
	lastFailure         time.Duration // time of the last failure that was counted
	successes, failures Ring
	ejectedUntil        time.Duration // end of the last ejection
	ejectionTime        time.Duration // length of the last ejection without its random part; 0 after a sign of life
	onProbation         bool          // ejected, with no sign of life since
	ejectedByPeer       bool          // ejected because a peer reported it as unresponsive
}

// newEjectionState returns the state of an endpoint that has neither answered nor failed yet.
func newEjectionState() ejectionState {
	state := ejectionState{}
	state.clearCounts()
	return state
}

// clearCounts resets the counts of successes and failures.
func (state *ejectionState) clearCounts() {
	state.failures = NewRing(loadBucketWidth, 2*loadBuckets)
	state.successes = NewRing(loadBucketWidth, 2*loadBuckets)
}

// recordAlive records a sign of life. It counts as a success and ends the probation.
func (state *ejectionState) recordAlive(now time.Duration) {
	state.overdueCount, state.lastAlive = 0, now
	state.onProbation, state.ejectionTime, state.ejectedByPeer = false, 0, false
	state.successes.Add(now, 1)
}

// recordFailure counts a failure. A broken connection fails many attempts at once; together they count as one failure.
func (state *ejectionState) recordFailure(now time.Duration) {
	if now-state.lastFailure > sameFailureWindow {
		state.failures.Add(now, 1)
		state.lastFailure = now
	}
}

// failureShare returns the share of failures among the recent successes and failures, or 0 if there are none.
func (state *ejectionState) failureShare(now time.Duration) float64 {
	failed := state.failures.Sum(now)
	return failed / max(1, failed+state.successes.Sum(now))
}

// revertOverdue removes an overdue attempt that was never sent from the count, unless a sign of life was recorded since it
// became overdue.
func (state *ejectionState) revertOverdue(overdueAt time.Duration) {
	if state.overdueCount > 0 && state.lastAlive < overdueAt {
		state.overdueCount--
	}
}

// isUnresponsive reports whether an endpoint has enough overdue attempts and has given no sign of life for minOverdueWait. The
// wait protects an endpoint that is only busy, where all attempts of a burst may become overdue at the same time. On probation
// a single overdue attempt is enough.
func (state *ejectionState) isUnresponsive(now time.Duration) bool {
	enough := state.overdueCount >= unresponsiveAfterOverdue || state.onProbation && state.overdueCount > 0
	return enough && now-state.lastAlive >= minOverdueWait
}

// detectOutlier ejects an endpoint that is unresponsive or fails far more often than its peers.
func (d *Director) detectOutlier(now time.Duration, target *endpoint) {
	if target.isUnresponsive(now) || d.failsMoreThanPeers(now, target) {
		d.eject(now, target)
	}
}

// failsMoreThanPeers reports whether an endpoint had at least minFailures recent failures and its share of failures exceeds the
// median of its peers by more than outlierMargin.
func (d *Director) failsMoreThanPeers(now time.Duration, target *endpoint) bool {
	var shares []float64
	for _, peer := range d.peerGroup(target) {
		shares = append(shares, peer.failureShare(now))
	}
	if len(shares) == 0 || target.failures.Sum(now) < minFailures {
		return false
	}
	slices.Sort(shares)
	median := shares[(len(shares)-1)/2]
	return target.failureShare(now) > median+outlierMargin
}

// peerGroup returns the endpoints that an endpoint is compared with, including itself.
func (d *Director) peerGroup(target *endpoint) []*endpoint {
	if target.role == cacheNode {
		return d.caches
	}
	return d.parents
}

// eject takes an endpoint out of rotation. The duration has a random part, so that the directors do not all retry it at the
// same moment. The endpoint's shares of hot documents return to their homes. Its attempts are cancelled and their requests are
// sent elsewhere if that is safe. An unresponsive cache may be restarting, which discovery may report late, so it enters slow
// start. The origin is never ejected.
func (d *Director) eject(now time.Duration, target *endpoint) {
	if target.ejectedUntil > now || target.role == originNode || d.ejectionLimitReached(now, target) {
		return
	}
	unresponsive := target.role == cacheNode && target.isUnresponsive(now)
	target.ejectionTime = min(maxEjectionTime, max(baseEjectionTime, 2*target.ejectionTime)) // because each trial may cost a request
	jitter := time.Duration(unitInterval(d.chance(target.id)) * ejectionJitter * float64(target.ejectionTime))
	target.ejectedUntil = now + target.ejectionTime + jitter
	if unresponsive {
		d.beginSlowStart(now, target, now)
	}
	target.limit = concurrencyLimit{max: min(target.limit.max, 1)}
	target.overdueCount = 0
	target.onProbation = true
	target.clearCounts()
	for doc := range d.allDocuments() {
		doc.dropSpread(target)
	}
	d.cancelAttemptsAt(now, target)
}

// ejectionLimitReached reports whether a cache must stay in rotation. This protects the last cache, and the last third of the
// location's caches, because the remaining caches would be overloaded otherwise. Unresponsive caches are not protected.
func (d *Director) ejectionLimitReached(now time.Duration, target *endpoint) bool {
	if target.role != cacheNode || target.isUnresponsive(now) {
		return false
	}
	left := d.notEjectedBesides(now, target)
	return left == 0 || left < len(d.caches)/minRotationDivisor
}

// notEjectedBesides counts the other caches that are not ejected.
func (d *Director) notEjectedBesides(now time.Duration, target *endpoint) (count int) {
	for _, cache := range d.caches {
		if cache != target && cache.ejectedUntil <= now {
			count++
		}
	}
	return count
}

// cancelAttemptsAt cancels the attempts in flight that an ejected endpoint serves or fills, if their requests may be repeated
// at any cache. Each request is sent again when its attempt has ended.
func (d *Director) cancelAttemptsAt(now time.Duration, target *endpoint) {
	if !d.settings.cancelAllowed {
		return
	}
	for _, open := range slices.Clone(d.inFlight) {
		affected := open.endpoint == target || open.source == target && !open.hitExpected
		if affected && open.request.state == stateInFlight && open.request.class.mayRepeatAnywhere() {
			d.setState(now, open.request, stateCancelling)
		}
	}
}
