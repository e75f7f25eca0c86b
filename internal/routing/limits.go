package routing

// Admission: adaptive concurrency limits of endpoints, of sources and of the location's inbound link.
//
// It decides how many attempts and fills may be in flight. It applies to every attempt, and every answer adjusts a limit:
// answers within their latency objective raise it, and late or rejected answers lower it. It guards against overload, slow
// endpoints and a full link. The constants apply to a location with one director. If there are several directors, each has a
// part of each limit. If less than one attempt is left of a limit, the remainder is the probability that the limit admits one
// more attempt.

const (
	initialEndpointLimit = 12   // attempts in flight at an endpoint, until its answers adjust the limit
	initialLinkLimit     = 24   // fills in flight on the location's link and at a parent, until answers adjust the limit
	minInitialLimit      = 3    // minimum initial limit for any number of directors, because few attempts are unevenly distributed
	minLimit             = 2    // a late answer lowers no limit below this, so that there are always answers to adjust it by
	fastGrowthBelow      = 8    // while a limit is below this, each answer in time raises it by one
	limitDecrease        = 0.25 // a late answer lowers a limit shared by many directors by this fraction, at most by one attempt
	objectiveShare       = 0.85 // an answer within this share of its latency objective is in time; the full objective would adapt too late
	unsizedAllowance     = 1.1  // factor on that time for an answer of unknown size, which may only be large
	lateShareWeight      = 4    // a late answer of unknown size has this multiple of the share of late answers as its weight, at most 1
	usualObjectiveSlack  = 4    // a latency objective of this many sending times has a slack factor of 1;
	maxObjectiveSlack    = 2.0  // a looser objective has more, up to this factor; all are scaled down if the loosest exceeds it
)

// concurrencyLimit is an adaptive limit on the number of attempts or fills in flight.
type concurrencyLimit struct {
	max          float64
	lateSeen     bool    // an answer has been late; until then max is a guess
	inTimeStreak float64 // answers in time since the last late one
}

// fillLink is the location's inbound link, through which its caches are filled.
type fillLink struct {
	fillsInFlight   float64       // expected number of fills among the attempts in flight
	fillProbability movingAverage // for attempts at caches that are not known to have the document
	linkLimit       concurrencyLimit
}

// lateAnswers tracks how often answers to this director are late.
type lateAnswers struct {
	lateFraction movingAverage // share of answers
}

// admits reports whether a limit admits one more attempt. If less than one attempt is left of the limit, the remainder is the
// probability of admission, and drawn is the hash that decides.
func admits(inFlight, limit float64, drawn uint64) bool {
	left := limit - inFlight
	return left >= 1 || left > 0 && unitInterval(drawn) < left
}

// initialLimit returns this director's part of an initial limit.
func (d *Director) initialLimit(limit float64) float64 {
	return max(minInitialLimit, limit/d.settings.directorsInZone)
}

// linkIsFull reports whether the limit of the location's link does not admit a fill for a request.
func (d *Director) linkIsFull(request *openRequest) bool {
	return !admits(d.fillsInFlight, d.linkLimit.max*d.objectiveSlack(request), hash(d.identity, uint64(request.token)))
}

// cacheAdmits reports whether a cache's limit admits a request. If less than one attempt is left, the draw depends on the
// document and not on the director. A document that is sent elsewhere is then sent to the same place by all directors and
// filled there only once.
func (d *Director) cacheAdmits(request *openRequest, cache *endpoint) bool {
	drawn := hash(request.object.id, uint64(request.segment), uint64(cache.id))
	return admits(cache.inFlight, cache.limit.max*d.objectiveSlack(request), drawn)
}

// sourceAdmits reports whether a source's limit admits a fill for a request. salt makes the draw independent of
// the request's draws for other sources.
func (d *Director) sourceAdmits(request *openRequest, source *endpoint, salt uint64) bool {
	return admits(source.inFlight, source.limit.max, hash(d.identity, uint64(request.token), salt))
}

// objectiveSlack returns a factor for limits. It is greater than 1 for a request whose latency objective is many times its
// sending time, and less than 1 for a request that becomes late under little load. Under load, the requests that cost most
// relative to their value are therefore rejected first. If the class with the loosest objective would exceed maxObjectiveSlack,
// the factors of all classes are scaled down equally.
func (d *Director) objectiveSlack(request *openRequest) float64 {
	slack := float64(d.latencyObjective(request)) / float64(d.expectedSendTime(request)+clockTick) / usualObjectiveSlack
	scale := min(1, maxObjectiveSlack*usualObjectiveSlack/d.loosestObjective())
	return min(maxObjectiveSlack, slack*scale)
}

// loosestObjective returns the largest ratio, over all classes, of the latency objective of a typical request to its sending
// time. Writes are excluded, because no limit applies to them.
func (d *Director) loosestObjective() (loosest float64) {
	for _, class := range d.classes {
		if !class.Write {
			send := max(class.minSendTime, minExpectedSendTime)
			loosest = max(loosest, float64(class.objectiveFor(send))/float64(send))
		}
	}
	return loosest
}

// adaptLimits raises or lowers the limits of the cache, the source and the link after one outcome.
func (d *Director) adaptLimits(ended *attempt, outcome Outcome) {
	inTime, weight := d.answeredInTime(ended.request, outcome), d.lateWeight(ended.request, outcome)
	d.recordLateness(outcome, inTime)
	if !d.reflectsLoad(ended, outcome) {
		return
	}
	cache, source := ended.endpoint, ended.source
	switch {
	case d.isUnexplainedReject(ended, outcome):
		d.adjustLimit(&source.limit, source.inFlight, inTime, weight)
	case d.reflectsCacheOnly(ended, outcome):
		d.adjustLimit(&cache.limit, cache.inFlight, inTime, weight)
	default: // a fill: later fills show whether the source or the link is full
		d.adjustLimit(&source.limit, source.inFlight, inTime, weight)
		// A source that has not answered since the attempt started may hang, so its outcome says nothing about the link.
		if inTime || outcome.Result == Served || source.lastAlive > ended.startedAt {
			d.adjustLimit(&d.linkLimit, d.fillsInFlight, inTime, weight)
		}
		if inTime {
			d.adjustLimit(&cache.limit, cache.inFlight, inTime, weight)
		}
	}
}

// reflectsCacheOnly reports whether an outcome depends on the cache alone: the cache had the document or rejected the request,
// or it is so slow that it is late regardless of the link.
func (d *Director) reflectsCacheOnly(ended *attempt, outcome Outcome) bool {
	if ended.hitExpected || outcome.Fill == CacheHit || outcome.Result == Rejected {
		return true
	}
	return ended.endpoint.role == cacheNode && d.latencyInflation(ended.endpoint) > maxInflationRatio
}

// answeredInTime reports whether an attempt was served within objectiveShare of its latency objective.
func (d *Director) answeredInTime(request *openRequest, outcome Outcome) bool {
	limit := objectiveShare * float64(d.latencyObjective(request))
	if !d.sizeKnown(request) {
		limit *= unsizedAllowance
	}
	return outcome.Result == Served && float64(outcome.Duration) <= limit
}

// lateWeight returns the weight, at most 1, with which a late answer lowers limits. A late answer of unknown size may only be
// large, so its weight increases with the share of answers that are late.
func (d *Director) lateWeight(request *openRequest, outcome Outcome) float64 {
	if outcome.Result == Served && !d.sizeKnown(request) {
		return min(1, lateShareWeight*float64(d.lateFraction))
	}
	return 1
}

// recordLateness updates the smoothed share of late answers.
func (d *Director) recordLateness(outcome Outcome, inTime bool) {
	if outcome.Result == Served && !outcome.DirectorStalled {
		d.lateFraction.observeEvent(!inTime, smoothing)
	}
}

// reflectsLoad reports whether an outcome reflects the load. It does not if the answer was lost, the director was stalled or
// something failed. It also does not if the attempt was cancelled before it was overdue, or while many answers are being lost
// anyway.
func (d *Director) reflectsLoad(ended *attempt, outcome Outcome) bool {
	if ended.endpointNotAtFault || outcome.DirectorStalled {
		return false
	}
	switch outcome.Result {
	case Served, Rejected, TimedOut:
		return true
	case Cancelled:
		return ended.isOverdue && d.answerLossShare <= lossyAnswerShare
	}
	return false
}

// adjustLimit adjusts a limit after one answer. An answer in time raises it if the limit is well used: by up to one while the
// limit is low or no answer has been late yet, and by less afterwards. A late or rejected answer lowers it by up to weight. If
// many directors share the endpoint, each has a part of the limit and adjusts it by a correspondingly smaller amount.
func (d *Director) adjustLimit(limit *concurrencyLimit, inFlight float64, inTime bool, weight float64) {
	share := 1 / d.settings.directorsInZone
	wellUsed := inFlight+1 > limit.max/2
	switch {
	case !inTime:
		floor := min(limit.max, minLimit*share)
		decrease := min(1, max(share, limit.max*limitDecrease))
		limit.max = max(floor, limit.max-weight*decrease)
		limit.lateSeen, limit.inTimeStreak = true, 0
	case limit.max < fastGrowthBelow*share, !limit.lateSeen && wellUsed:
		limit.max += share
	case wellUsed: // as the joint limit would grow; faster after each limit's worth of answers in time
		if d.lateFraction < smoothing {
			limit.inTimeStreak++
		}
		increase := (1 + limit.inTimeStreak/limit.max) / (limit.max * d.settings.directorsInZone)
		limit.max += min(share, increase)
	}
}

// chargeFill adds the fill probability of an attempt to the fills in flight.
func (link *fillLink) chargeFill(attempt *attempt) { link.fillsInFlight += attempt.fillProbability }

// releaseFill reverts chargeFill.
func (link *fillLink) releaseFill(attempt *attempt) { link.fillsInFlight -= attempt.fillProbability }

// recordFillOrHit updates the smoothed probability that an attempt causes a fill at a cache that is not known to have the
// document. Guards against a director without known copies, for example after its start, that counts every attempt as a fill.
func (link *fillLink) recordFillOrHit(attempt *attempt, fill Fill) {
	if attempt.hitExpected || attempt.endpoint.role != cacheNode {
		return
	}
	link.fillProbability.observeEvent(fill != CacheHit, 2*smoothing)
}
