// Package routing makes the decisions of one director: which cache serves a request, which source fills a miss, and what is
// retried, rejected, ejected and cached.
//
// New creates a Director from Settings and an Executor. UpdateEndpoints, HandleRequest, HandlePurge, HandleOutcome,
// HandleTimer, HandleClientGone, HandleHealthCheck and HandlePeerHealth report events to it. Each event is one call with the
// time since the director's start. Calls must not overlap, and their times must not decrease. Every decision is passed to the
// Executor before the call returns. The package does no I/O, starts no goroutines and reads no clock. The same sequence of
// calls produces the same decisions.
//
// Start reading at Director.route in request.go, which every request passes through. outcome.go handles the end of an attempt.
// Each file covers one concern. Its header states what it decides, when it applies and what it guards against. Its constants
// are tuned for that concern and apply to every deployment.
package routing

// Director makes the decisions of one director. Its state is split by concern: each embedded struct is declared in the file
// that modifies it.
type Director struct {
	executor    Executor
	settings    routerSettings
	classes     []*classState // by the index of the class in Settings.Classes
	retryBudget retryBudget

	endpointList   // endpoints.go: the endpoints listed by discovery
	objectStore    // objects.go: the recently requested objects
	purgeTable     // freshness.go: the newest purges
	requestTable   // request.go: the open requests and their attempts
	fillLink       // limits.go: the fills in flight on the location's inbound link
	lateAnswers    // limits.go: the share of answers that are late
	lostAnswers    // latency.go: the share of answers that are lost
	rejectedFills  // healthcheck.go: the share of fills rejected without a stated reason
	inflationClock // boundedload.go: the answer count, which is the clock for the decay of latency inflation
	randomDraws    // chance.go: the random draws of this director
}

// New creates a Director without endpoints and objects, and sets the timer of its first period.
func New(settings Settings, executor Executor) *Director {
	d := &Director{
		executor:     executor,
		settings:     deriveSettings(settings),
		retryBudget:  newRetryBudget(),
		endpointList: endpointList{endpoints: map[uint32]*endpoint{}},
		objectStore:  newObjectStore(settings.MaxRecordBytes),
		purgeTable:   newPurgeTable(),
		requestTable: newRequestTable(),
		fillLink:     fillLink{fillProbability: 1},
		randomDraws:  randomDraws{identity: settings.Seed ^ uint64(settings.Index)<<48},
	}
	for _, class := range settings.Classes {
		d.classes = append(d.classes, newClassState(class))
	}
	d.linkLimit.max = d.initialLimit(initialLinkLimit)
	executor.SetTimer(diffusionPeriod, periodToken)
	return d
}

// ClassCount returns the number of request classes in the settings.
func (d *Director) ClassCount() int { return len(d.classes) }
