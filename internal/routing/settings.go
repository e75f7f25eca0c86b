package routing

// Settings of a Director, and the values derived from them when it is created.

import "time"

// Effect states the effect of executing a request more than once.
type Effect uint8

const (
	Idempotent       Effect = iota // same effect as executing it once
	IdempotencyKeyed               // same effect as executing it once, if endpoints drop repetitions by an idempotency key
	NonIdempotent                  // each execution has an effect
)

// DedupScope states which endpoints drop a repetition of a request with an idempotency key.
type DedupScope uint8

const (
	DedupAll  DedupScope = iota // any endpoint
	DedupZone                   // endpoints in the zone of the first attempt
	DedupCell                   // endpoints in the cell of the first attempt
)

// Class is a request class: the properties that its requests share.
type Class struct {
	LatencyObjective time.Duration // objective of an answer that takes no time to send
	ObjectiveStretch float64       // the objective increases by this multiple of the time to send the answer,
	MaxDeadline      time.Duration // up to this maximum, which is the configured timeout of the class
	Effect           Effect
	DedupScope       DedupScope    // used only with IdempotencyKeyed
	DedupWindow      time.Duration // time since the first attempt within which a repetition is dropped
	FreshFor         time.Duration // 0: a copy is fresh until it is purged
	StaleGrace       time.Duration // stale-while-revalidate window
	Segmented        bool          // objects are requested, filled and cached in segments
	Write            bool          // executed at the origin and never cached
}

// SlowStart states how much load an endpoint of one role can carry after its start.
type SlowStart struct {
	InitialShare     float64       // share of its capacity that is available at its start, at least
	Duration         time.Duration // time until its full capacity is available
	OverloadMultiple float64       // it fails at this multiple of its current capacity,
	Window           time.Duration // measured over this time
}

// Settings configures a Director.
type Settings struct {
	Seed                            uint64 // seed of all random draws
	Index                           int    // number of the director, which makes its draws independent of those of others
	Zone                            int    // zone (location) of the director
	Classes                         []Class
	HubOfZone                       []int         // by zone: position of its hub in the ring of hubs
	ParentKind                      int           // Endpoint.Kind of a parent
	OriginKind                      int           // Endpoint.Kind of an origin
	BypassAllowed                   bool          // a request may go to a parent if no cache is fit
	CancelAllowed                   bool          // attempts may be cancelled
	RetryAfterAllowed               bool          // a rejection may carry a Retry-After
	MaxRetryAfter                   time.Duration // maximum Retry-After
	MaxAttempts                     int           // maximum attempts of one request
	FlowKBPerSecond                 float64       // rate at which one answer is sent, in KB per second; 0: unknown
	CacheSlowStart, ParentSlowStart SlowStart
	PurgeRetention                  time.Duration // time after a purge during which older copies may still be in caches
	Directors                       int           // number of directors in the deployment
	DirectorsInZone                 int           // number of directors in this zone
	HealthChecks                    bool          // endpoints may be health checked
	FillFaultsReported              bool          // an answer states why a fill failed
	FillsCollapse                   bool          // a cache may let a request wait for a fill in progress
	CapacitiesListed                bool          // the endpoint list states capacities, as concurrent transfers at FlowKBPerSecond
	MaxRecordBytes                  int64         // memory for the records of objects; 0: no bound but those on the numbers of records
}

// routerSettings holds the settings in the form used by a Director.
type routerSettings struct {
	zone                                            int
	hub                                             int // position of this zone's hub
	hubs                                            int // number of hubs
	parentKind, originKind                          int
	cancelAllowed, retryAfterAllowed, bypassAllowed bool
	maxRetryAfter                                   time.Duration
	maxAttempts                                     int
	kbPerMilli                                      float64 // rate at which one answer is sent, in KB per millisecond
	cacheSlowStart, parentSlowStart                 SlowStart
	purgeRetention                                  time.Duration
	hubOf                                           []int // by zone
	directors, directorsInZone                      float64
	capacitiesListed, fillsCollapse                 bool
	healthChecks, fillFaultsReported                bool
}

// deriveSettings converts Settings to the form used by a Director.
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
