package routing

// Health checks made by this director, and health reports from its peers.
//
// It decides when an endpoint is checked, and what a result or a peer's report changes. A check is made after a fill was
// rejected without a stated reason, because the cache, its source or the origin may be the cause. It guards against ejecting an
// endpoint for a failure behind it, and against sending as much to a restarted endpoint as to a warm one.

import (
	"math"
	"time"
)

const (
	unexplainedRejectLimit = 0.25                   // above this share of fills rejected without a stated reason, fills avoid the origin
	healthCheckInterval    = 250 * time.Millisecond // minimum time between two health checks of an endpoint
	healthCheckExpiry      = time.Second            // time after which the result of a health check is considered lost
)

// healthCheckState is the health check state of one endpoint.
type healthCheckState struct {
	unexplainedRejects float64       // fills from it that were rejected without a stated reason since its last health check ended
	lastHealthCheck    time.Duration // time at which the last health check was requested
}

// newHealthCheckState returns the state of an endpoint that has not been checked yet.
func newHealthCheckState() healthCheckState {
	return healthCheckState{lastHealthCheck: math.MinInt64 / 2} // far in the past, without overflow on subtraction
}

// rejectedFills tracks how often fills from parents are rejected without a stated reason.
type rejectedFills struct {
	unexplainedRejectShare movingAverage // share of fills from parents
}

// isUnexplainedReject reports whether an attempt that may have needed a fill was rejected without a stated reason, so that its
// source may be the cause.
func (d *Director) isUnexplainedReject(ended *attempt, outcome Outcome) bool {
	unexplained := outcome.Result == Rejected && outcome.Fill == FillUnknown && !d.settings.fillFaultsReported
	mayHaveFilled := !ended.hitExpected && ended.endpoint.role == cacheNode && ended.source.role != cacheNode
	return unexplained && mayHaveFilled
}

// recordUnexplainedReject counts a fill that was rejected without a stated reason and requests a health check of its source.
// The cause may be the cache, the source or the origin.
func (d *Director) recordUnexplainedReject(now time.Duration, source *endpoint) {
	if now-source.lastHealthCheck > healthCheckExpiry {
		source.unexplainedRejects = 0 // the result of the last health check was lost
	}
	source.unexplainedRejects++
	d.requestHealthCheck(now, source)
}

// recordExplainedFill lowers the share of fills rejected without a stated reason after a successful fill from a parent. An
// answer without a cache status is weighted with the fill probability of the attempt.
func (d *Director) recordExplainedFill(attempt *attempt, fill Fill) {
	if attempt.source.role != parentNode || attempt.onlyIfCached {
		return
	}
	switch fill {
	case Filled, FilledByOrigin:
		d.unexplainedRejectShare.observe(0, smoothing)
	case FillUnknown:
		d.unexplainedRejectShare.observe(0, smoothing*attempt.fillProbability)
	}
}

// requestHealthCheck starts a health check of an endpoint, at most once per healthCheckInterval. If health checks are not
// allowed, the endpoint is assumed to be running.
func (d *Director) requestHealthCheck(now time.Duration, target *endpoint) {
	if !d.settings.healthChecks {
		d.HandleHealthCheck(now, target.id, Obsolete)
		return
	}
	if now-target.lastHealthCheck >= healthCheckInterval {
		target.lastHealthCheck = now
		d.executor.CheckHealth(target.id)
	}
}

// HandleHealthCheck processes the result of a health check: ConnectFailed if the endpoint refused the connection, Served if it
// is running, Obsolete if it may not be checked. A timeout or a local error changes nothing. An endpoint that refused the
// connection is dead: it is ejected and begins a slow start, so that after its return it is not sent as much as when it was
// warm. Guards against restarts that discovery reports late. An unknown id is ignored.
func (d *Director) HandleHealthCheck(now time.Duration, id uint32, result Result) {
	target := d.endpoints[id]
	if target == nil {
		return
	}
	switch result {
	case ConnectFailed:
		target.emptySince, target.overdueCount, target.lastAlive = now, unresponsiveAfterOverdue, now-minOverdueWait
		d.eject(now, target)
		d.beginSlowStart(now, target, now)
	case Served, Obsolete: // it is running, so the failure lies behind it
		d.unexplainedRejectShare.observe(1, 1-math.Pow(1-smoothing, target.unexplainedRejects)) // equals one update per reject
	}
	target.unexplainedRejects = 0
}

// HandlePeerHealth processes the report of a peer that checks endpoints on behalf of all directors. The report states whether
// the endpoint that started at startedAt was alive at seenAt. A report about an earlier start than the last listed one is
// ignored, and so is an unknown id.
//
// An endpoint that is reported as unresponsive is ejected if it has not answered this director since seenAt. It stays ejected
// while such reports continue. The peer will also report the recovery, so the directors need not each retry the endpoint at the
// cost of a request. A peer that finds half of a location's caches unresponsive may be cut off itself, so its reports about
// further caches are ignored unless this director has overdue attempts at the cache. A report that an endpoint is alive only
// means that it is running: the ejection ends, but the endpoint stays on probation.
func (d *Director) HandlePeerHealth(now time.Duration, id uint32, startedAt time.Duration, alive bool, seenAt time.Duration) {
	target := d.endpoints[id]
	if target == nil || target.listedStart > startedAt {
		return
	}
	switch {
	case alive && target.ejectedByPeer:
		target.endPeerEjection(now)
	case !alive && target.lastAlive < seenAt && d.peerMayEject(target):
		d.ejectByPeer(now, target)
	}
}

// ejectByPeer ejects an endpoint because of a peer's report, or extends its current ejection.
func (d *Director) ejectByPeer(now time.Duration, target *endpoint) {
	d.eject(now, target)
	target.ejectedByPeer = target.ejectedUntil > now // eject may have kept it in rotation
	if target.ejectedByPeer {
		target.ejectedUntil = max(target.ejectedUntil, now+baseEjectionTime)
	}
}

// endPeerEjection ends an ejection because of a peer's report. The endpoint stays on probation until it answers this director.
func (state *ejectionState) endPeerEjection(now time.Duration) {
	state.ejectedByPeer = false
	state.ejectionTime = 0
	state.ejectedUntil = min(state.ejectedUntil, now)
}

// peerMayEject reports whether a peer's report may eject an endpoint. Reports may eject any parent and up to half of the
// location's caches. A further cache is ejected only if this director has overdue attempts at it.
func (d *Director) peerMayEject(target *endpoint) bool {
	if target.role != cacheNode || target.overdueCount > 0 {
		return true
	}
	ejected := 1 // the target itself
	for _, cache := range d.caches {
		if cache != target && cache.ejectedByPeer {
			ejected++
		}
	}
	return 2*ejected <= len(d.caches)
}
