package replay

import "time"

// statusReporting states which cache statuses responses report.
type statusReporting int

const (
	reportAll statusReporting = iota
	reportHits
	reportFills // hits and fills, but no causes of failed fills
	reportNone
)

// scenario is one sequence of events. It consists of the settings of the core and the parameters of the simulation around it.
type scenario struct {
	name     string
	seed     uint64
	requests int

	// Settings of the core.
	bypass, cancel, retryAfter, healthChecks, fillsCollapse, capacitiesListed bool
	reporting                                                                 statusReporting
	maxAttempts                                                               int
	flowKBPerSecond                                                           float64 // 0: not stated
	directors, directorsInZone                                                int

	// Parameters of the simulation.
	clients          int
	maxThinkTime     time.Duration // maximum time between two requests of one client
	faultInterval    time.Duration // average time between two faults
	singleUsePercent uint64        // percentage of requests that are for objects requested only once
	objects          uint64        // number of objects per class that are requested repeatedly; the first ones are more frequent
	segments         uint64        // segments per object of the segmented class
	uniformSegments  bool          // segments are equally frequent, with many of one object, and no other class is requested
	caches           int           // number of caches in the core's own zone
}

// scenarios returns all scenarios, which together have more than minRequests requests.
func scenarios() []scenario {
	const ms = time.Millisecond
	return []scenario{
		{name: "everything", seed: 0x8c1f30d27a5be964, requests: 40000, bypass: true, cancel: true, retryAfter: true, healthChecks: true,
			fillsCollapse: true, capacitiesListed: true, maxAttempts: 4, flowKBPerSecond: 200, directors: 6, directorsInZone: 2, clients: 60,
			maxThinkTime: 60 * ms, faultInterval: 700 * ms, singleUsePercent: 15, objects: 400, segments: 8, caches: 9},
		{name: "bare", seed: 2, requests: 24000, reporting: reportNone, maxAttempts: 3, directors: 1, directorsInZone: 1, clients: 16,
			maxThinkTime: 200 * ms, faultInterval: 900 * ms, singleUsePercent: 25, objects: 400, segments: 4, caches: 5},
		{name: "shared", seed: 3, requests: 24000, cancel: true, retryAfter: true, healthChecks: true, reporting: reportHits, maxAttempts: 4,
			flowKBPerSecond: 150, directors: 60, directorsInZone: 20, clients: 8, maxThinkTime: 100 * ms, faultInterval: 1100 * ms,
			singleUsePercent: 10, objects: 400, segments: 6, caches: 12},
		{name: "calm", seed: 4, requests: 30000, cancel: true, healthChecks: true, capacitiesListed: true, fillsCollapse: true, maxAttempts: 6,
			flowKBPerSecond: 300, directors: 2, directorsInZone: 1, clients: 70, maxThinkTime: 100 * ms, faultInterval: 9000 * ms,
			singleUsePercent: 10, objects: 400, segments: 3, caches: 7},
		{name: "storm", seed: 5, requests: 30000, bypass: true, cancel: true, retryAfter: true, healthChecks: true, maxAttempts: 8,
			flowKBPerSecond: 250, directors: 3, directorsInZone: 3, clients: 30, maxThinkTime: 150 * ms, faultInterval: 400 * ms,
			singleUsePercent: 20, objects: 400, segments: 8, caches: 8},
		{name: "wide", seed: 6, requests: 18000, bypass: true, retryAfter: true, reporting: reportHits, maxAttempts: 2, flowKBPerSecond: 400,
			directors: 4, directorsInZone: 2, capacitiesListed: true, clients: 400, maxThinkTime: 20 * ms, faultInterval: 600 * ms,
			singleUsePercent: 80, objects: 400, segments: 3000, caches: 16},
		{name: "hot", seed: 7, requests: 24000, cancel: true, fillsCollapse: true, reporting: reportFills, maxAttempts: 4, flowKBPerSecond: 200,
			directors: 2, directorsInZone: 2, clients: 60, maxThinkTime: 150 * ms, faultInterval: 3000 * ms, singleUsePercent: 5, objects: 3,
			segments: 2, caches: 6},
		{name: "untold faults", seed: 8, requests: 24000, cancel: true, healthChecks: true, reporting: reportFills, maxAttempts: 4,
			flowKBPerSecond: 200, directors: 2, directorsInZone: 1, clients: 30, maxThinkTime: 150 * ms, faultInterval: 500 * ms,
			singleUsePercent: 40, objects: 2000, segments: 8, caches: 8},
		{name: "many parts", seed: 9, requests: 60000, cancel: true, maxAttempts: 4, flowKBPerSecond: 200, directors: 2, directorsInZone: 1,
			clients: 600, maxThinkTime: 200 * ms, faultInterval: 3000 * ms, objects: 110, segments: 1200, uniformSegments: true, caches: 8},
	}
}
