package routing

// Slow start: how much may be sent to an endpoint that started recently.
//
// It decides whether an endpoint that is warming up may be sent one more attempt. It applies from the start of an endpoint
// until SlowStart.Duration later. The start is the one that discovery reports, or the time of a refused connection or of
// missing answers. It protects an endpoint that is warming up from being overloaded by the sum of all directors, which do not
// have information about what the others send.

import (
	"math"
	"slices"
	"time"
)

const (
	slowStartSafety       = 0.75 // share of an endpoint's computed capacity that is used, because that capacity is an estimate
	slowStartBurst        = 0.25 // with few directors, share of a window's allowance that may be saved up; at least one attempt
	earnedAttemptLifetime = 0.5  // share of a window for which a randomly earned attempt is valid; a longer one allows fewer attempts
	slowStartDeviations   = 3.5  // a window right after an idle period may exceed the mean by this many standard deviations
	minWarmTransfers      = 2.0  // concurrent transfers that any warm endpoint can carry
	smallWindow           = 30   // below this number of permitted attempts in a window, an endpoint tolerates a larger excess
	warmRateDecay         = 0.95 // decay factor per period while the endpoint answers; a peak has an effect for about ten seconds
)

// slowStartState is the slow start of one endpoint, implemented as a token bucket. Tokens are in seconds of sending time.
type slowStartState struct {
	startKnown        bool          // startedAt is known
	startedAt         time.Duration // last start
	warmRate          float64       // decaying peak of the sending time of the attempts per second while it was warm
	slowStartTokens   float64       // amount that may be sent; negative while more must be earned first
	slowStartTokensAt time.Duration // time of the last token update
	slowStartPhase    float64       // fraction of an attempt, 0 to 1, that the tokens must reach before one is sent; drawn at the start
}

// allowance states what one director may send to an endpoint that is warming up. Quantities are in seconds of sending time.
type allowance struct {
	rate           float64 // tokens earned per second
	maxTokens      float64 // maximum tokens that may be saved up
	meanAttempt    float64 // mean sending time of the class with the longest one
	earnedRandomly bool    // set if the sum of what all directors could save up would be too much at once
}

// slowStartOf returns the slow start settings for an endpoint's role.
func (d *Director) slowStartOf(target *endpoint) SlowStart {
	if target.role == cacheNode {
		return d.settings.cacheSlowStart
	}
	return d.settings.parentSlowStart
}

// isWarm reports whether an endpoint has completed its slow start.
func (d *Director) isWarm(now time.Duration, target *endpoint) bool {
	return !target.startKnown || now-target.startedAt >= d.slowStartOf(target).Duration
}

// beginSlowStart begins the slow start of an endpoint that started at startedAt. The bucket is empty at first. If attempts are
// earned randomly, the time until the first one is drawn here.
func (d *Director) beginSlowStart(now time.Duration, target *endpoint, startedAt time.Duration) {
	target.startKnown, target.startedAt, target.slowStartTokensAt = true, startedAt, now
	target.slowStartPhase = unitInterval(d.chance(target.id))
	target.slowStartTokens = 0
	if allowed := d.allowance(now, target); allowed.earnedRandomly {
		target.slowStartTokens = -d.drawInterval(target) * allowed.meanAttempt
	}
}

// slowStartAllows reports whether slow start allows one more attempt at an endpoint. It also adds the tokens earned since the
// last call. Each director has a token bucket for the endpoint, which fills at the director's share of what the endpoint can
// carry (see allowance). How tokens are converted to attempts depends on the number of directors.
//
// Few directors: the endpoint can take a window's allowance plus everything that the directors may have saved up. An attempt
// may be sent when the tokens reach a phase that the director drew at the endpoint's start. The phases of the directors differ,
// so some of them round their tokens up to a whole attempt and others round down, and the sum of their attempts follows the sum
// of their tokens. A director may save up one attempt, or slowStartBurst of a window's allowance if that is more.
//
// Many directors: if each had saved up a part of an attempt, all of them together could send too much at once. Attempts are
// therefore earned randomly, as in a Poisson process (see chargeSlowStart): a director without an attempt earns the next one at
// a constant rate, independent of the past. An attempt that is not used within earnedAttemptLifetime of a window expires. A
// director that needs an attempt after that has one with a probability equal to the fraction saved up, and otherwise waits for
// the next one. Whenever a burst of requests comes, the sum over all directors in a window is therefore, on average, what one
// window plus earnedAttemptLifetime of a window allow. Its standard deviation is at most the square root of that.
func (d *Director) slowStartAllows(now time.Duration, target *endpoint) bool {
	if target.role == originNode || d.isWarm(now, target) {
		return true
	}
	allowed := d.allowance(now, target)
	earned := allowed.rate * (now - target.slowStartTokensAt).Seconds()
	target.slowStartTokens = min(target.slowStartTokens+earned, allowed.maxTokens)
	target.slowStartTokensAt = now
	if !allowed.earnedRandomly {
		return target.slowStartTokens >= target.slowStartPhase*allowed.meanAttempt
	}
	if target.slowStartTokens >= allowed.maxTokens {
		target.slowStartTokens = 0
		if unitInterval(d.chance(target.id)) >= allowed.maxTokens/allowed.meanAttempt {
			target.slowStartTokens -= d.drawInterval(target) * allowed.meanAttempt
		}
	}
	return target.slowStartTokens >= 0
}

// allowance returns what this director may send to an endpoint that is warming up. It is based on what the endpoint could carry
// one window ago, so that no window exceeds what is allowed at its beginning. The director's share is its part of what warm
// endpoints of the same role carry, or of minWarmTransfers if that is more.
func (d *Director) allowance(now time.Duration, target *endpoint) (allowed allowance) {
	sharers := d.directorsSharing(target)
	window := max(d.slowStartOf(target).Window, time.Millisecond).Seconds() // avoids a division by zero if the settings have no window
	allowed.meanAttempt = max(d.longestSendTime(), time.Millisecond).Seconds()
	permitted := d.permittedInWindow(now, target, window, allowed.meanAttempt)
	share := slowStartSafety * permitted / sharers            // attempts of this director in a window
	saved := max(1, slowStartBurst*share)                     // in attempts; with less than one, a director with a high phase would never send
	roundings := slowStartDeviations / 2 * math.Sqrt(sharers) // variation of the sum of all directors' rounding, in attempts
	allowed.earnedRandomly = sharers*(share+saved)+roundings > slowStartLimit(permitted)
	if allowed.earnedRandomly {
		share = min(share, slowStartMean(permitted)/(1+earnedAttemptLifetime)/sharers)
		saved = earnedAttemptLifetime * share
	}
	allowed.rate, allowed.maxTokens = share*allowed.meanAttempt/window, saved*allowed.meanAttempt
	return allowed
}

// permittedInWindow returns how many attempts all directors together may send to an endpoint in one window. The window and the
// mean attempt are in seconds.
func (d *Director) permittedInWindow(now time.Duration, target *endpoint, window, attempt float64) float64 {
	start := d.slowStartOf(target)
	age := max(0, now-target.startedAt-start.Window)
	warmShare := start.InitialShare + (1-start.InitialShare)*age.Seconds()/start.Duration.Seconds()
	warm := max(d.typicalWarmRate(target)*d.directorsSharing(target), minWarmTransfers)
	return start.OverloadMultiple * warmShare * warm * window / attempt
}

// slowStartLimit returns how many attempts in a window an endpoint tolerates if N attempts are permitted. The result is N +
// 2·√N + 2, or N + 3·√N + 3 if N is less than smallWindow.
func slowStartLimit(attempts float64) float64 {
	if attempts < smallWindow {
		return attempts + 3*math.Sqrt(attempts) + 3
	}
	return attempts + 2*math.Sqrt(attempts) + 2
}

// slowStartMean returns the largest mean for which mean + slowStartDeviations·√mean does not exceed N + 2·√N + 2, with N
// permitted attempts in a window. The standard deviation of the sum over all directors is the square root of its mean. The
// higher limit for N less than smallWindow (see slowStartLimit) remains as a margin.
func slowStartMean(attempts float64) float64 {
	limit := attempts + 2*math.Sqrt(attempts) + 2
	root := (math.Sqrt(slowStartDeviations*slowStartDeviations+4*limit) - slowStartDeviations) / 2 // mean + deviations·√mean = limit
	return root * root
}

// drawInterval draws the amount that must be earned until the next attempt, in attempts. It is exponentially distributed with a
// mean of 1.
func (d *Director) drawInterval(target *endpoint) float64 {
	return -math.Log(unitInterval(d.chance(target.id)))
}

// chargeSlowStart takes the tokens of an attempt from the bucket of an endpoint that is warming up, and returns the amount
// taken. If attempts are earned randomly, it takes everything saved up and draws the amount that must be earned until the next
// attempt. The work of the attempt and the result are in seconds of sending time.
func (d *Director) chargeSlowStart(now time.Duration, target *endpoint, work float64) float64 {
	if target.role == originNode || d.isWarm(now, target) {
		return 0
	}
	if d.allowance(now, target).earnedRandomly {
		work = max(target.slowStartTokens, 0) + work*d.drawInterval(target)
	}
	target.slowStartTokens -= work
	return work
}

// refund returns the tokens of an attempt that caused no work at the endpoint. The next call of slowStartAllows limits the
// bucket to its maximum.
func (state *slowStartState) refund(work float64) { state.slowStartTokens += work }

// directorsSharing returns how many directors may send to an endpoint: the directors of the location for a cache, and all
// directors for any other endpoint.
func (d *Director) directorsSharing(target *endpoint) float64 {
	if target.role == cacheNode {
		return d.settings.directorsInZone
	}
	return d.settings.directors
}

// typicalWarmRate returns the mean warm rate of the endpoints with the same role, scaled to this endpoint's capacity. Endpoints
// that are no longer listed are included, because a release may replace all endpoints at once by new ones of the same kind.
func (d *Director) typicalWarmRate(target *endpoint) float64 {
	sum, count := 0.0, 0.0
	for _, peer := range d.endpointsByArrival {
		if peer.role == target.role && peer.warmRate > 0 {
			sum += peer.warmRate / peer.capacity
			count++
		}
	}
	return sum / max(1, count) * target.capacity
}

// measureWarmRates updates the warm rate of each warm endpoint. The rate of an endpoint without a recent sign of life is
// unchanged.
//
// The peak of a measured rate is biased upwards by random variation. The bias is larger the fewer attempts a director sends:
// 300 directors measured 1.5 times what an endpoint carries. Half an attempt is therefore subtracted, and in the first seconds,
// when the rate is based on few attempts, up to one standard deviation more.
func (d *Director) measureWarmRates(now time.Duration) {
	attempt := d.longestSendTime().Seconds()
	for _, target := range slices.Concat(d.caches, d.parents) {
		if !d.isWarm(now, target) || now-target.lastAlive >= 2*diffusionPeriod {
			continue
		}
		span := target.sendWork.Span().Seconds()
		elapsed := min(span, max(now, target.sendWork.width).Seconds())
		work := target.sendWork.Sum(now)
		excess := attempt/2 + math.Sqrt(work*attempt)*(1-elapsed/span)
		target.warmRate = max(target.warmRate*warmRateDecay, (work-excess)/elapsed)
	}
}
