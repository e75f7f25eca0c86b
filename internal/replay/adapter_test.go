package replay

import (
	"fmt"
	"time"

	"indigochute.example/indigochute/internal/routing"
)

// This file is the only one of the test that uses types and fields of package routing, so that a rename there requires changes
// only here. Words that appear in the golden files are string constants, which are independent of identifiers.

// resultKind is the result of an attempt or a health check. It is an index into results.
type resultKind int

const (
	resultServed resultKind = iota
	resultFailed
	resultRejected
	resultTimedOut
	resultConnectFailed
	resultNotSent
	resultReset
	resultCancelled
	resultObsolete
	resultNotCached
	resultLocalError
)

var results = [...]struct {
	name          string
	routingResult routing.Result
}{
	resultServed:        {"done", routing.Served},
	resultFailed:        {"failed", routing.Failed},
	resultRejected:      {"full", routing.Rejected},
	resultTimedOut:      {"timed out", routing.TimedOut},
	resultConnectFailed: {"no connect", routing.ConnectFailed},
	resultNotSent:       {"unsent", routing.NotSent},
	resultReset:         {"reset", routing.Reset},
	resultCancelled:     {"cancelled", routing.Cancelled},
	resultObsolete:      {"moot", routing.Obsolete},
	resultNotCached:     {"miss", routing.NotCached},
	resultLocalError:    {"local error", routing.LocalError},
}

// cacheStatus is the cache status of a response. It is an index into cacheStatuses.
type cacheStatus int

const (
	statusUnknown cacheStatus = iota
	statusHit
	statusFilled
	statusFilledByOrigin
	statusCollapsed
	statusStale
	statusSourceRejected
	statusSourceUnreachable
	statusSourceMiss
	statusFillsFull
	statusOriginFailed
)

var cacheStatuses = [...]struct {
	name        string
	routingFill routing.Fill
}{
	statusUnknown:           {"untold", routing.FillUnknown},
	statusHit:               {"hit", routing.CacheHit},
	statusFilled:            {"filled", routing.Filled},
	statusFilledByOrigin:    {"filled by origin", routing.FilledByOrigin},
	statusCollapsed:         {"joined", routing.Collapsed},
	statusStale:             {"stale", routing.ServedStale},
	statusSourceRejected:    {"source refused", routing.SourceRejected},
	statusSourceUnreachable: {"source unreached", routing.SourceUnreachable},
	statusSourceMiss:        {"source lacks", routing.SourceMiss},
	statusFillsFull:         {"no place", routing.FillLimitReached},
	statusOriginFailed:      {"origin failed", routing.OriginFailed},
}

// listedState is the state of a machine in the endpoint list. It is an index into listedStates.
type listedState int

const (
	listedGone listedState = iota
	listedReady
	listedDraining
)

var listedStates = [...]routing.State{listedGone: routing.Gone, listedReady: routing.Ready, listedDraining: routing.Draining}

// listEntry describes a machine in the endpoint list.
type listEntry struct {
	machine    uint32
	state      listedState
	startedAt  time.Duration // valid only if startKnown is set
	startKnown bool
	kind       int
	zone       int
	cell       int
	capacity   float64
}

// requestInfo describes a client's request.
type requestInfo struct {
	id       uint32
	object   uint64
	segment  uint32
	group    uint32
	class    int
	sizeKB   float64
	deadline time.Duration
	unproven bool // no request of this client has been served yet
}

// attemptOutcome describes the end of one attempt.
type attemptOutcome struct {
	attempt    int
	result     resultKind
	status     cacheStatus
	duration   time.Duration
	sourceWait time.Duration
	sendTime   time.Duration
	final      bool
	stalled    bool // the director itself was stalled during the attempt
}

// attemptOrder describes an attempt that the core starts.
type attemptOrder struct {
	machine, source                         uint32
	timeout, startBefore, maxAge            time.Duration
	priority                                uint8
	onlyIfCached, revalidate, collapseFills bool
}

// executor receives the calls of the core.
type executor interface {
	startAttempt(request uint32, o attemptOrder)
	cancelAttempt(request uint32, attempt int)
	reject(request uint32, retryAfter time.Duration)
	fail(request uint32)
	setTimer(wait time.Duration, token uint32)
	checkHealth(machine uint32)
}

// executorAdapter is a routing.Executor that passes the core's calls to an executor.
type executorAdapter struct{ executor }

func (f executorAdapter) StartAttempt(request uint32, order routing.AttemptOrder) {
	f.startAttempt(request, attemptOrder{machine: order.Node, source: order.Source, timeout: order.Timeout, startBefore: order.StartBefore,
		maxAge: order.MaxAge, priority: order.CachePriority, onlyIfCached: order.OnlyIfCached, revalidate: order.Revalidate,
		collapseFills: order.CollapseFills})
}
func (f executorAdapter) CancelAttempt(request uint32, attempt int) {
	f.cancelAttempt(request, attempt)
}
func (f executorAdapter) Reject(request uint32, retryAfter time.Duration) {
	f.reject(request, retryAfter)
}
func (f executorAdapter) Fail(request uint32)                       { f.fail(request) }
func (f executorAdapter) SetTimer(wait time.Duration, token uint32) { f.setTimer(wait, token) }
func (f executorAdapter) CheckHealth(machine uint32)                { f.checkHealth(machine) }

// core wraps the routing.Director under test.
type core struct{ director *routing.Director }

func startCore(s scenario, exec executor) core {
	return core{routing.New(s.settings(), executorAdapter{exec})}
}

func (c core) handleRequest(now time.Duration, info requestInfo) {
	c.director.HandleRequest(now, routing.Request{ID: info.id, Object: info.object, Segment: info.segment, Group: info.group, Class: info.class,
		SizeKB: info.sizeKB, Deadline: info.deadline, ClientUnproven: info.unproven})
}

func (c core) handleOutcome(now time.Duration, request uint32, outcome attemptOutcome) {
	c.director.HandleOutcome(now, request, routing.Outcome{Attempt: outcome.attempt, Result: results[outcome.result].routingResult,
		Duration: outcome.duration, SourceWait: outcome.sourceWait, SendTime: outcome.sendTime, Fill: cacheStatuses[outcome.status].routingFill,
		Final: outcome.final, DirectorStalled: outcome.stalled})
}

func (c core) handleTimer(now time.Duration, token uint32) { c.director.HandleTimer(now, token) }

func (c core) handlePurge(now time.Duration, group uint32, object uint64, ago time.Duration) {
	c.director.HandlePurge(now, group, object, ago)
}

func (c core) updateEndpoints(now time.Duration, entries []listEntry, complete bool) {
	var list []routing.Endpoint
	for _, e := range entries {
		list = append(list, routing.Endpoint{Node: e.machine, State: listedStates[e.state], StartedAt: e.startedAt, StartKnown: e.startKnown,
			Kind: e.kind, Zone: e.zone, Cell: e.cell, Capacity: e.capacity})
	}
	c.director.UpdateEndpoints(now, list, complete)
}

func (c core) handleClientGone(now time.Duration, request uint32) {
	c.director.HandleClientGone(now, request)
}

func (c core) handlePeerHealth(now time.Duration, machine uint32, started time.Duration, alive bool, at time.Duration) {
	c.director.HandlePeerHealth(now, machine, started, alive, at)
}

func (c core) handleHealthCheck(now time.Duration, machine uint32, result resultKind) {
	c.director.HandleHealthCheck(now, machine, results[result].routingResult)
}

// Kinds of machines in the scenarios' lists.
const (
	cacheKind = iota
	parentKind
	originKind
)

// Request classes of each scenario. The values are indices into Settings.Classes.
const (
	clipClass = iota
	pageClass
	logClass
	zoneKeyedClass
	cellKeyedClass
	paymentClass
	classCount
)

const ownZone = 1

// settings returns the settings with which a scenario starts the core.
func (s scenario) settings() routing.Settings {
	const ms = time.Millisecond
	classes := make([]routing.Class, classCount)
	classes[clipClass] = routing.Class{LatencyObjective: 400 * ms, ObjectiveStretch: 2, MaxDeadline: 3000 * ms, Effect: routing.Idempotent,
		Segmented: true}
	classes[pageClass] = routing.Class{LatencyObjective: 500 * ms, ObjectiveStretch: 1, MaxDeadline: 2500 * ms, Effect: routing.Idempotent,
		FreshFor: 6000 * ms, StaleGrace: 4000 * ms}
	classes[logClass] = routing.Class{LatencyObjective: 600 * ms, MaxDeadline: 2500 * ms, Effect: routing.IdempotencyKeyed,
		DedupScope: routing.DedupAll, DedupWindow: 2000 * ms, Write: true}
	classes[zoneKeyedClass] = routing.Class{LatencyObjective: 500 * ms, MaxDeadline: 2500 * ms, Effect: routing.IdempotencyKeyed,
		DedupScope: routing.DedupZone, DedupWindow: 1500 * ms}
	classes[cellKeyedClass] = routing.Class{LatencyObjective: 500 * ms, MaxDeadline: 2500 * ms, Effect: routing.IdempotencyKeyed,
		DedupScope: routing.DedupCell, DedupWindow: 1500 * ms}
	classes[paymentClass] = routing.Class{LatencyObjective: 700 * ms, MaxDeadline: 2000 * ms, Effect: routing.NonIdempotent, Write: true}
	return routing.Settings{Seed: s.seed, Index: 2, Zone: ownZone, Classes: classes, HubOfZone: []int{0, 1, 2}, ParentKind: parentKind,
		OriginKind: originKind, BypassAllowed: s.bypass, CancelAllowed: s.cancel, RetryAfterAllowed: s.retryAfter,
		MaxRetryAfter: 180 * ms, MaxAttempts: s.maxAttempts, FlowKBPerSecond: s.flowKBPerSecond,
		CacheSlowStart:  routing.SlowStart{InitialShare: 0.15, Duration: 8 * time.Second, OverloadMultiple: 3, Window: 2 * time.Second},
		ParentSlowStart: routing.SlowStart{InitialShare: 0.2, Duration: 6 * time.Second, OverloadMultiple: 2.5, Window: 2 * time.Second},
		PurgeRetention:  1500 * ms, Directors: s.directors, DirectorsInZone: s.directorsInZone, HealthChecks: s.healthChecks,
		FillFaultsReported: s.reporting == reportAll, FillsCollapse: s.fillsCollapse, CapacitiesListed: s.capacitiesListed}
}

// line returns the text of an attempt that is included in the hash of a block. It must not change, because the golden files
// depend on it.
func (o attemptOrder) line() string {
	return fmt.Sprintf("machine=%d source=%d timeout=%d until=%d age=%d rank=%d held_only=%t renew=%t join=%t", o.machine, o.source,
		o.timeout, o.startBefore, o.maxAge, o.priority, o.onlyIfCached, o.revalidate, o.collapseFills)
}
