package routing

// Latency: how long it takes to send an answer, and when an attempt is overdue or its answer is lost.
//
// It decides the expected sending time of a request, and the time after which an attempt counts as overdue. It applies to every
// answer and when an attempt becomes overdue. It detects hangs, unresponsive endpoints, dead links and links that lose answers
// before any timeout expires. It also guards against mistaking a large answer for a full link.

import (
	"math"
	"time"
)

const (
	attemptOverhead     = 100 * time.Millisecond  // expected time of an attempt in addition to sending: round trips and handshakes
	overdueDeviations   = 4.0                     // an attempt is overdue at this many mean deviations above the mean,
	minOverdueWait      = 400 * time.Millisecond  // but not before this time, which is longer than usual pauses,
	maxOverdueWait      = 2500 * time.Millisecond // and at the latest after this time
	lostAfterFactor     = 3                       // an answer is considered lost after this multiple of the time until it is overdue
	lossyAnswerShare    = 0.05                    // a larger share of lost answers from live endpoints is not random variation
	smoothing           = 1.0 / 16                // weight of one sample in a smoothed value
	sendTimeSmoothing   = smoothing / 4           // weight of one answer in the sending time of a class
	minSendTimeSamples  = 1 / smoothing           // a class needs more answers than this before its mean sending time may become minSendTime
	initialDeviation    = 0.5                     // initial mean deviation of a class,
	initialSendShare    = 0.5                     // and its initial sending time, as a share of its latency objective
	clockTick           = time.Duration(1)        // added to a sending time to avoid a division by zero
	minExpectedSendTime = time.Millisecond        // minimum sending time of a class in a quotient, for the same reason
)

// classState is a request class with its smoothed latencies.
type classState struct {
	Class
	meanRatio       movingAverage // ratio of the actual time to the expected time
	ratioDeviation  movingAverage // mean deviation of that ratio
	sendTime        time.Duration // smoothed sending time
	minSendTime     time.Duration // minimum value of sendTime so far; equal to sendTime if bytes are reported
	sendTimeSamples float64       // number of answers in sendTime
}

// newClassState returns the state of a class that has no answers yet.
func newClassState(class Class) *classState {
	send := time.Duration(initialSendShare * float64(class.LatencyObjective))
	return &classState{Class: class, meanRatio: 1, ratioDeviation: initialDeviation, sendTime: send, minSendTime: send}
}

// lostAnswers tracks how often answers to this director are lost in transit.
type lostAnswers struct {
	answerLossShare movingAverage // share of answers from live endpoints that never arrive
}

// mayRepeatAnywhere reports whether a request of the class may be executed again at any cache.
func (class *classState) mayRepeatAnywhere() bool {
	return class.Effect == Idempotent || class.Effect == IdempotencyKeyed && class.DedupScope == DedupAll
}

// objectiveFor returns the latency objective of an answer that takes sendTime to send.
func (class *classState) objectiveFor(sendTime time.Duration) time.Duration {
	return min(class.MaxDeadline, class.LatencyObjective+time.Duration(class.ObjectiveStretch*float64(sendTime)))
}

// recordRatio updates the smoothed ratio of the actual time to the expected time, and its deviation.
func (class *classState) recordRatio(ratio float64) {
	class.ratioDeviation.observe(math.Abs(ratio-float64(class.meanRatio)), smoothing)
	class.meanRatio.observe(ratio, smoothing)
}

// recordSendTime updates the smoothed sending time of the class with an answer whose size was not known in advance. If byBytes
// is set, taken was computed from the size of the answer. Otherwise taken includes queueing under load, which must not be
// mistaken for size, so minSendTime is the minimum of a mean over many answers. For writes, which are rare and similar in size,
// a mean over few answers is sufficient.
func (class *classState) recordSendTime(taken time.Duration, byBytes bool) {
	class.sendTimeSamples++
	class.sendTime = smoothed(class.sendTime, taken, max(sendTimeSmoothing, 1/class.sendTimeSamples))
	if byBytes {
		class.minSendTime = class.sendTime
	} else if class.sendTimeSamples > minSendTimeSamples || class.Write {
		class.minSendTime = min(class.minSendTime, class.sendTime)
	}
}

// latencyObjective returns the time within which a request should be answered.
func (d *Director) latencyObjective(request *openRequest) time.Duration {
	return request.class.objectiveFor(d.expectedSendTime(request))
}

// longestSendTime returns the mean sending time of the class with the longest one.
func (d *Director) longestSendTime() (longest time.Duration) {
	for _, class := range d.classes {
		longest = max(longest, class.sendTime)
	}
	return longest
}

// expectedSendTime returns the expected time to send the answer. It is computed from the listed size if there is one. Otherwise
// it is the known time of the document, of the object or of the class, in this order.
func (d *Director) expectedSendTime(request *openRequest) time.Duration {
	if d.sizeListed(request) {
		return time.Duration(request.sizeKB / d.settings.kbPerMilli * float64(time.Millisecond))
	}
	if request.document.sendTime > 0 {
		return request.document.sendTime
	}
	if request.object.sendTime > 0 {
		return request.object.sendTime
	}
	return request.class.minSendTime
}

// sizeListed reports whether the request states the size of its answer and the settings state the sending rate.
func (d *Director) sizeListed(request *openRequest) bool {
	return request.sizeKB > 0 && d.settings.kbPerMilli > 0
}

// sizeKnown reports whether the sending time is based on more than the class. This is the case if the size is listed, or if
// another document of the object was sent before, because the segments of an object are similar in size.
func (d *Director) sizeKnown(request *openRequest) bool {
	return request.sizeKB > 0 || request.object.sendTime > 0
}

// overdueAfter returns the time after which an attempt is overdue, measured from its start.
func (d *Director) overdueAfter(request *openRequest) time.Duration {
	expected := float64(d.expectedSendTime(request) + attemptOverhead)
	usual := time.Duration(expected * float64(request.class.meanRatio+overdueDeviations*request.class.ratioDeviation))
	return min(maxOverdueWait, max(minOverdueWait, usual))
}

// updateTimings updates the ratio of the actual time to the expected time for the class and the cache, and then the sending
// times. The sending time is computed from the bytes of the answer if they are reported; otherwise the duration of a hit is
// used. Guards against mistaking a large answer for a full link.
func (d *Director) updateTimings(ended *attempt, outcome Outcome) {
	request, class := ended.request, ended.request.class
	byBytes := min(outcome.SendTime, outcome.Duration) // a fast endpoint takes less time than computed from the bytes; 0: unknown
	if byBytes > 0 {
		request.document.sendTime = byBytes
	}
	ratio := float64(outcome.Duration) / float64(d.expectedSendTime(request)+attemptOverhead)
	class.recordRatio(ratio)
	d.recordInflation(ended.endpoint, ratio, outcome.Fill == CacheHit)
	noFillKnown := outcome.Fill == CacheHit || outcome.Fill == FillUnknown || class.Write // writes have no hits
	switch {
	case d.sizeListed(request):
		class.sendTime = smoothed(class.sendTime, d.expectedSendTime(request), smoothing)
	case byBytes > 0:
		request.recordSendTime(byBytes, true)
	case noFillKnown:
		request.recordSendTime(outcome.Duration, false)
	}
}

// recordSendTime records the sending time of one answer for the request's class, object and document.
func (request *openRequest) recordSendTime(taken time.Duration, byBytes bool) {
	request.class.recordSendTime(taken, byBytes)
	request.object.recordSendTime(taken, byBytes)
	if request.document.sendTime == 0 || taken < request.document.sendTime {
		request.document.sendTime = taken
	}
}

// recordSendTime updates the smoothed sending time of an object's documents. A shorter time replaces it immediately, unless the
// time was computed from bytes.
func (record *object) recordSendTime(taken time.Duration, byBytes bool) {
	if record.sendTime == 0 || taken < record.sendTime && !byBytes {
		record.sendTime = taken
	}
	record.sendTime = smoothed(record.sendTime, taken, smoothing)
}

// handleOverdue handles an overdue attempt before any timeout expires. Its endpoint or its source is ejected if that is
// unresponsive. Guards against hangs, unresponsive endpoints and dead links.
func (d *Director) handleOverdue(now time.Duration, late *attempt) {
	late.isOverdue = true
	target, source := late.endpoint, late.source
	target.overdueCount++
	if !late.hitExpected && source.role != cacheNode {
		source.overdueCount++
		source.recordOverdueFill(now, now-late.startedAt)
		if source.isUnresponsive(now) {
			d.eject(now, source)
		}
	}
	if target.isUnresponsive(now) {
		d.eject(now, target)
	}
	d.releaseWaiters(now, late)
}

// answerLostAt returns the time from which the answer to an attempt may be considered lost.
func (attempt *attempt) answerLostAt() time.Duration {
	return attempt.startedAt + lostAfterFactor*(attempt.overdueAt-attempt.startedAt)
}

// handleLostAnswer treats a long overdue answer as lost if its endpoint has answered other attempts since. The request is sent
// again, and the endpoint does not count as overloaded. Guards against links that lose answers. It is harmful if some answers
// take far longer than all earlier ones.
func (d *Director) handleLostAnswer(now time.Duration, late *attempt) {
	late.endpointNotAtFault = late.endpoint.lastAlive > late.startedAt
	if !late.endpointNotAtFault {
		return
	}
	d.answerLossShare.observe(1, smoothing)
	request := late.request
	if request.state == stateInFlight && request.class.Effect == Idempotent && d.settings.cancelAllowed {
		d.setState(now, request, stateCancelling)
	}
}
