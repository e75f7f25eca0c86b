package replay

import (
	"fmt"
	"time"

	"indigochute.example/indigochute/internal/routing"
)

// This file is the only one of the test that names types and fields of the decision core, so that a rename there needs changes here only.
// The words of the golden files are string constants, which renames do not touch.

// ending is the result of an attempt or a health check, as an index of endings.
type ending int

const (
	done ending = iota
	failed
	full
	timedOut
	noConnect
	unsent
	reset
	cancelled
	moot
	miss
	localError
)

var endings = [...]struct {
	name string
	core routing.Result
}{
	done:       {"done", routing.Served},
	failed:     {"failed", routing.Failed},
	full:       {"full", routing.Rejected},
	timedOut:   {"timed out", routing.TimedOut},
	noConnect:  {"no connect", routing.ConnectFailed},
	unsent:     {"unsent", routing.NotSent},
	reset:      {"reset", routing.Reset},
	cancelled:  {"cancelled", routing.Cancelled},
	moot:       {"moot", routing.Obsolete},
	miss:       {"miss", routing.NotCached},
	localError: {"local error", routing.LocalError},
}

// fill is the cache status of a response, as an index of fills.
type fill int

const (
	untold fill = iota
	hit
	filled
	filledByOrigin
	joined
	stale
	sourceRefused
	sourceUnreached
	sourceLacks
	noPlace
	originFailed
)

var fills = [...]struct {
	name string
	core routing.Fill
}{
	untold:          {"untold", routing.FillUnknown},
	hit:             {"hit", routing.CacheHit},
	filled:          {"filled", routing.Filled},
	filledByOrigin:  {"filled by origin", routing.FilledByOrigin},
	joined:          {"joined", routing.Collapsed},
	stale:           {"stale", routing.ServedStale},
	sourceRefused:   {"source refused", routing.SourceRejected},
	sourceUnreached: {"source unreached", routing.SourceUnreachable},
	sourceLacks:     {"source lacks", routing.SourceMiss},
	noPlace:         {"no place", routing.FillLimitReached},
	originFailed:    {"origin failed", routing.OriginFailed},
}

// listing is the state of a machine in the endpoint list, as an index of listings.
type listing int

const (
	listedGone listing = iota
	listedReady
	listedDraining
)

var listings = [...]routing.State{listedGone: routing.Gone, listedReady: routing.Ready, listedDraining: routing.Draining}

// entry is a machine in the endpoint list.
type entry struct {
	machine uint32
	listing listing
	started time.Duration // start time; without meaning unless known is set
	known   bool
	kind    int
	zone    int
	cell    int
	size    float64
}

// arrival is a client's request.
type arrival struct {
	id       uint32
	object   uint64
	part     uint32
	group    uint32
	vhost    int
	kilobyte float64
	deadline time.Duration
	first    bool // no request of its client has completed yet
}

// attemptEnd is the end of one attempt.
type attemptEnd struct {
	attempt int
	ending  ending
	fill    fill
	took    time.Duration
	waited  time.Duration
	sending time.Duration
	final   bool
	paused  bool // the director itself was stalled in the meantime
}

// attemptOrder is an attempt that the core starts.
type attemptOrder struct {
	machine, source        uint32
	timeout, until, age    time.Duration
	rank                   uint8
	heldOnly, renew, joins bool
}

// outside receives the calls of the core.
type outside interface {
	attempt(request uint32, o attemptOrder)
	cancel(request uint32, attempt int)
	reject(request uint32, retryAfter time.Duration)
	fail(request uint32)
	after(wait time.Duration, token uint32)
	check(machine uint32)
}

// front is a routing.Executor that passes the core's calls to an outside.
type front struct{ outside }

func (f front) StartAttempt(request uint32, o routing.AttemptOrder) {
	f.attempt(request, attemptOrder{machine: o.Node, source: o.Source, timeout: o.Timeout, until: o.StartBefore, age: o.MaxAge, rank: o.CachePriority,
		heldOnly: o.OnlyIfCached, renew: o.Revalidate, joins: o.CollapseFills})
}
func (f front) CancelAttempt(request uint32, attempt int)       { f.cancel(request, attempt) }
func (f front) Reject(request uint32, retryAfter time.Duration) { f.reject(request, retryAfter) }
func (f front) Fail(request uint32)                             { f.fail(request) }
func (f front) SetTimer(wait time.Duration, token uint32)       { f.after(wait, token) }
func (f front) CheckHealth(machine uint32)                      { f.check(machine) }

// core is the decision core under test.
type core struct{ director *routing.Director }

func startCore(s scenario, o outside) core { return core{routing.New(s.settings(), front{o})} }

func (c core) request(now time.Duration, a arrival) {
	c.director.HandleRequest(now, routing.Request{ID: a.id, Object: a.object, Segment: a.part, Group: a.group, Class: a.vhost, SizeKB: a.kilobyte, Deadline: a.deadline,
		ClientUnproven: a.first})
}

func (c core) ended(now time.Duration, request uint32, e attemptEnd) {
	c.director.HandleOutcome(now, request, routing.Outcome{Attempt: e.attempt, Result: endings[e.ending].core, Duration: e.took, SourceWait: e.waited,
		SendTime: e.sending, Fill: fills[e.fill].core, Final: e.final, DirectorStalled: e.paused})
}

func (c core) timer(now time.Duration, token uint32) { c.director.HandleTimer(now, token) }

func (c core) purge(now time.Duration, group uint32, object uint64, ago time.Duration) {
	c.director.HandlePurge(now, group, object, ago)
}

func (c core) list(now time.Duration, entries []entry, complete bool) {
	var list []routing.Endpoint
	for _, e := range entries {
		list = append(list, routing.Endpoint{Node: e.machine, State: listings[e.listing], StartedAt: e.started, StartKnown: e.known, Kind: e.kind, Zone: e.zone,
			Cell: e.cell, Capacity: e.size})
	}
	c.director.UpdateEndpoints(now, list, complete)
}

func (c core) left(now time.Duration, request uint32) { c.director.HandleClientGone(now, request) }

func (c core) told(now time.Duration, machine uint32, started time.Duration, alive bool, at time.Duration) {
	c.director.HandlePeerHealth(now, machine, started, alive, at)
}

func (c core) checked(now time.Duration, machine uint32, e ending) {
	c.director.HandleHealthCheck(now, machine, endings[e].core)
}

// Kinds of machines in the scenarios' lists.
const (
	cacheKind = iota
	parentKind
	originKind
)

// Request classes of each scenario, as indices.
const (
	clipHost = iota
	pageHost
	logHost
	zoneHost
	cellHost
	payHost
	hosts
)

const ownZone = 1

// settings returns the settings with which a scenario starts the core.
func (s scenario) settings() routing.Settings {
	const ms = time.Millisecond
	vhosts := make([]routing.Class, hosts)
	vhosts[clipHost] = routing.Class{LatencyObjective: 400 * ms, ObjectiveStretch: 2, MaxDeadline: 3000 * ms, Effect: routing.Idempotent, Segmented: true}
	vhosts[pageHost] = routing.Class{LatencyObjective: 500 * ms, ObjectiveStretch: 1, MaxDeadline: 2500 * ms, Effect: routing.Idempotent, FreshFor: 6000 * ms, StaleGrace: 4000 * ms}
	vhosts[logHost] = routing.Class{LatencyObjective: 600 * ms, MaxDeadline: 2500 * ms, Effect: routing.IdempotencyKeyed, DedupScope: routing.DedupAll, DedupWindow: 2000 * ms, Write: true}
	vhosts[zoneHost] = routing.Class{LatencyObjective: 500 * ms, MaxDeadline: 2500 * ms, Effect: routing.IdempotencyKeyed, DedupScope: routing.DedupZone, DedupWindow: 1500 * ms}
	vhosts[cellHost] = routing.Class{LatencyObjective: 500 * ms, MaxDeadline: 2500 * ms, Effect: routing.IdempotencyKeyed, DedupScope: routing.DedupCell, DedupWindow: 1500 * ms}
	vhosts[payHost] = routing.Class{LatencyObjective: 700 * ms, MaxDeadline: 2000 * ms, Effect: routing.NonIdempotent, Write: true}
	return routing.Settings{Seed: s.seed, Index: 2, Zone: ownZone, Classes: vhosts, HubOfZone: []int{0, 1, 2}, ParentKind: parentKind, OriginKind: originKind,
		BypassAllowed: s.direct, CancelAllowed: s.cancel, RetryAfterAllowed: s.retryAfter, MaxRetryAfter: 180 * ms, MaxAttempts: s.attempts, FlowKBPerSecond: s.flow,
		CacheSlowStart:  routing.SlowStart{InitialShare: 0.15, Duration: 8 * time.Second, OverloadMultiple: 3, Window: 2 * time.Second},
		ParentSlowStart: routing.SlowStart{InitialShare: 0.2, Duration: 6 * time.Second, OverloadMultiple: 2.5, Window: 2 * time.Second},
		PurgeRetention:  1500 * ms, Directors: s.directors, DirectorsInZone: s.here, HealthChecks: s.checks, FillFaultsReported: s.notes == allNotes, FillsCollapse: s.joins,
		CapacitiesListed: s.sized}
}

// line returns the text of an attempt that is hashed.
func (o attemptOrder) line() string {
	return fmt.Sprintf("machine=%d source=%d timeout=%d until=%d age=%d rank=%d held_only=%t renew=%t join=%t", o.machine, o.source, o.timeout, o.until,
		o.age, o.rank, o.heldOnly, o.renew, o.joins)
}
