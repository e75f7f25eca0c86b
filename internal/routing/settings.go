package routing

// Settings of a Director, and what is derived from them at its start.

import "time"

// Effect is what executing a request more than once does.
type Effect uint8

const (
	Idempotent       Effect = iota // no more than executing it once
	IdempotencyKeyed               // no more, where caches drop repetitions by an idempotency key
	NonIdempotent                  // a second effect
)

// DedupScope names the caches that drop a repetition of a request with an idempotency key.
type DedupScope uint8

const (
	DedupAll  DedupScope = iota // any cache
	DedupZone                   // caches in the zone of the first attempt
	DedupCell                   // caches in the cell of the first attempt
)

// Class is a request class: what its requests have in common.
type Class struct {
	LatencyObjective time.Duration // for an answer that takes no time to send
	ObjectiveStretch float64       // the objective grows by this multiple of the time of sending the answer,
	MaxDeadline      time.Duration // up to this, the timeout that the class is configured with
	Effect           Effect
	DedupScope       DedupScope    // only for IdempotencyKeyed
	DedupWindow      time.Duration // time since the first attempt within which a repetition is dropped
	FreshFor         time.Duration // 0: a copy is fresh until it is purged
	StaleGrace       time.Duration // stale-while-revalidate window
	Segmented        bool          // objects are requested, filled and cached in segments
	Write            bool          // executed at the origin and never cached
}

// SlowStart is how much an endpoint of a tier carries after its start.
type SlowStart struct {
	InitialShare     float64       // least share of its capacity that it has at its start
	Duration         time.Duration // time until it has all of its capacity
	OverloadMultiple float64       // it fails at this multiple of its present capacity,
	Window           time.Duration // measured over this time
}

// Settings are handed to a Director at its start.
type Settings struct {
	Seed                            uint64 // of all random draws
	Index                           int    // number of the director, which sets its draws apart
	Zone                            int    // zone of the director: its location
	Classes                         []Class
	HubOfZone                       []int         // by zone: position of its hub in the ring of hubs
	ParentKind                      int           // Endpoint.Kind of a parent
	OriginKind                      int           // Endpoint.Kind of an origin
	BypassAllowed                   bool          // a request may go to a parent where no cache is fit
	CancelAllowed                   bool          // attempts may be cancelled
	RetryAfterAllowed               bool          // a rejection may carry a Retry-After
	MaxRetryAfter                   time.Duration // longest Retry-After
	MaxAttempts                     int           // of one request
	FlowKBPerSecond                 float64       // rate at which one answer is sent, in KB a second; 0: unknown
	CacheSlowStart, ParentSlowStart SlowStart
	PurgeRetention                  time.Duration // time after a purge within which older copies may still be in caches
	Directors                       int           // directors of the deployment
	DirectorsInZone                 int           // directors in this zone
	HealthChecks                    bool          // endpoints may be health checked
	FillFaultsReported              bool          // an answer states why a fill failed
	FillsCollapse                   bool          // a request may wait at its cache for a fill in progress
	CapacitiesListed                bool          // the endpoint list has capacities, in transfers at FlowKBPerSecond
}

// routerSettings are the settings in the form that a Director works with.
type routerSettings struct {
	zone                                            int
	hub                                             int // position of the zone's own hub
	hubs                                            int // number of hubs
	parentKind, originKind                          int
	cancelAllowed, retryAfterAllowed, bypassAllowed bool
	maxRetryAfter                                   time.Duration
	maxAttempts                                     int
	kbPerMilli                                      float64 // KB a millisecond of one answer
	cacheSlowStart, parentSlowStart                 SlowStart
	purgeRetention                                  time.Duration
	hubOf                                           []int // by zone
	directors, directorsInZone                      float64
	capacitiesListed, fillsCollapse                 bool
	healthChecks, fillFaultsReported                bool
}

// deriveSettings converts Settings to the form that a Director works with.
func deriveSettings(given Settings) routerSettings {
	derived := routerSettings{
		zone:               given.Zone,
		hubOf:              given.HubOfZone,
		parentKind:         given.ParentKind,
		originKind:         given.OriginKind,
		bypassAllowed:      given.BypassAllowed,
		cancelAllowed:      given.CancelAllowed,
		retryAfterAllowed:  given.RetryAfterAllowed,
		maxRetryAfter:      given.MaxRetryAfter,
		maxAttempts:        given.MaxAttempts,
		kbPerMilli:         given.FlowKBPerSecond / 1000,
		cacheSlowStart:     given.CacheSlowStart,
		parentSlowStart:    given.ParentSlowStart,
		purgeRetention:     given.PurgeRetention,
		directors:          float64(max(1, given.Directors)),
		directorsInZone:    float64(max(1, given.DirectorsInZone)),
		capacitiesListed:   given.CapacitiesListed,
		fillsCollapse:      given.FillsCollapse,
		healthChecks:       given.HealthChecks,
		fillFaultsReported: given.FillFaultsReported,
	}
	if given.Zone < len(given.HubOfZone) {
		derived.hub = given.HubOfZone[given.Zone]
	}
	for _, hub := range given.HubOfZone {
		derived.hubs = max(derived.hubs, hub+1)
	}
	return derived
}
