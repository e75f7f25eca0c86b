package routing

// Attempts: the counters that change when an attempt starts and ends.
//
// This file maintains the number of attempts in flight and the slow start tokens. Other files base their decisions on them;
// this file makes no decisions itself.

import (
	"math"
	"slices"
	"time"
)

const (
	minFillProbability   = 0.5 // minimum fill probability counted for an attempt that may fill
	fillProbabilitySteps = 16  // fill probabilities are multiples of 1/16, so that their sums are exact
)

// attempt is one attempt to serve a request.
type attempt struct {
	request              *openRequest
	number               int // within its request, from 0
	endpoint             *endpoint
	source               *endpoint // endpoint that fills a miss; equal to endpoint if a miss is not filled
	startedAt, overdueAt time.Duration
	hitExpected          bool    // the cache probably has the document, or may serve only a cached copy
	fillProbability      float64 // probability that the attempt causes a fill; 0 if a hit is expected
	isOverdue, finished  bool
	chargedWork          float64 // slow start tokens taken at its endpoint, in seconds of sending time
	chargedSourceWork    float64 // slow start tokens taken at its source, in seconds of sending time
	failedLocally        bool    // not sent because of a local error
	onlyIfCached         bool    // the source may serve only a cached copy
	endpointNotAtFault   bool    // it failed for a reason other than its endpoint: the answer was lost in transit, or the source failed
}

// startAttempt counts an attempt and passes it to the executor. Every attempt is started by this function.
func (d *Director) startAttempt(now time.Duration, next *attempt, order AttemptOrder) {
	request := next.request
	request.attempts = append(request.attempts, next)
	request.openAttempts++
	next.overdueAt = now + d.overdueAfter(request)
	d.chargeAttempt(now, next)
	if request.firstUnresolved == nil {
		request.firstUnresolved = next
	}
	if !next.hitExpected && next.endpoint.role == cacheNode && request.document.filling == nil {
		request.document.filling = next
	}
	d.executor.StartAttempt(request.id, order)
	d.executor.SetTimer(next.overdueAt-now, request.token)
	d.executor.SetTimer(next.answerLostAt()-now, request.token)
	d.setState(now, request, stateInFlight)
}

// chargeAttempt counts an attempt at its endpoint, its source and the link, and takes its slow start tokens.
func (d *Director) chargeAttempt(now time.Duration, next *attempt) {
	next.endpoint.inFlight++
	if !next.hitExpected {
		next.fillProbability = d.countedFillProbability()
	}
	d.chargeFill(next)
	d.inFlight = append(d.inFlight, next)
	work := next.request.class.sendTime.Seconds()
	next.chargedWork = d.chargeSlowStart(now, next.endpoint, work)
	if next.source.role != cacheNode {
		next.source.inFlight += next.fillProbability
		next.chargedSourceWork = d.chargeSlowStart(now, next.source, work)
	}
}

// countedFillProbability returns the fill probability of the link, rounded up to a step, but at least minFillProbability.
func (link *fillLink) countedFillProbability() float64 {
	steps := math.Ceil(fillProbabilitySteps * float64(link.fillProbability))
	return max(minFillProbability, steps/fillProbabilitySteps)
}

// finishAttempt removes an attempt from the counters of attempts in flight.
func (d *Director) finishAttempt(ended *attempt) {
	ended.finished = true
	ended.request.openAttempts--
	d.inFlight = slices.DeleteFunc(d.inFlight, func(open *attempt) bool { return open == ended })
	ended.endpoint.inFlight--
	d.releaseFill(ended)
	if ended.source.role != cacheNode {
		ended.source.inFlight -= ended.fillProbability
	}
}

// undoAttempt reverts the effects of an attempt that was never sent on its endpoint and its source. The fault lies with the
// director's own host, so neither the end of the attempt nor its duration says anything about them. Guards against ejecting an
// endpoint, putting it into slow start or sending it less because this host lacks sockets, ports, memory or a route.
func (d *Director) undoAttempt(ended *attempt) {
	ended.failedLocally = true
	ended.undoChargesAt(ended.endpoint, ended.chargedWork)
	if ended.source != ended.endpoint {
		ended.undoChargesAt(ended.source, ended.chargedSourceWork)
	}
}

// undoChargesAt refunds the slow start tokens that an attempt took at an endpoint. It also reverts the overdue count of the
// attempt, unless the endpoint has answered since.
func (attempt *attempt) undoChargesAt(charged *endpoint, tokens float64) {
	charged.refund(tokens)
	if attempt.isOverdue {
		charged.revertOverdue(attempt.overdueAt)
	}
}
