package routing

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// Slow start under the sum of all directors: a fleet of directors, each with the complete decision logic, sends to endpoints
// that return or are added. Caches receive attempts and parents receive fills. Only the sum at each endpoint is checked.

const (
	startStep             = 50 * time.Millisecond
	startSendTime         = 100 * time.Millisecond // sending time of every attempt
	startListedWithin     = 300 * time.Millisecond // time until a start is in the endpoint list of each director
	hitShare              = 0.3                    // share of the attempts at caches that are hits
	baseDemand            = 0.6                    // as a share of the capacity of the warm endpoints
	warmRateMeasuringTime = 10 * time.Second       // time in which directors measure the warm rates
	minUsedShare          = 0.1                    // minimum mean share of the permitted attempts that must be sent, to detect an allowance that is too small
	maxIdleTime           = 6 * time.Second        // maximum time without demand before a burst
)

// fleetPlan describes one simulation: its directors, settings and demand.
type fleetPlan struct {
	seed          uint64
	directorCount int
	cache, parent SlowStart
	capacity      float64       // concurrent transfers that each endpoint carries when warm
	demandFactor  float64       // attempts of all directors, as a multiple of baseDemand; infinite: many times what is allowed
	idleUntil     time.Duration // no demand before this
	restarts      bool          // each director restarts once, at a random time
	duration      time.Duration
}

// endpointStart is one start of an endpoint, with the attempts that were sent to it since.
type endpointStart struct {
	id        uint32
	role      endpointRole
	startedAt time.Duration
	joins     bool // not listed before its start
	slowStart SlowStart
	attempts  []time.Duration
}

// fleetAttempt is an attempt in flight.
type fleetAttempt struct {
	director int
	request  uint32
	number   int
	order    AttemptOrder
	sent     time.Duration
	hit      bool
}

// directorFleet simulates directors that send to endpoints during their slow starts.
type directorFleet struct {
	fleetPlan
	now          time.Duration
	directors    []*Director
	weights      []float64 // share of the demand by director, with a mean of 1
	starts       []*endpointStart
	inFlight     []fleetAttempt // in order of their ends
	objects      []uint64       // objects whose preferred cache and parent are endpoints that start
	requests     uint32
	attemptCount int // number of attempts that endpoints received after their starts
}

// fleetExecutor is the Executor of one director of the fleet.
type fleetExecutor struct {
	fleet    *directorFleet
	director int
	sent     map[uint32]int // number of attempts by request
}

// StartAttempt adds an attempt to those in flight and counts it at the endpoints that have started.
func (executor *fleetExecutor) StartAttempt(request uint32, order AttemptOrder) {
	fleet := executor.fleet
	// Whether the cache has the object is determined by the request id, so that it does not depend on the director.
	hit := unitInterval(hash(fleet.seed, uint64(request), 1)) < hitShare
	fleet.inFlight = append(fleet.inFlight, fleetAttempt{executor.director, request, executor.sent[request], order, fleet.now, hit})
	executor.sent[request]++
	for _, start := range fleet.starts {
		if start.startedAt <= fleet.now && (order.Node == start.id || order.Source == start.id && !hit) {
			start.attempts = append(start.attempts, fleet.now)
			fleet.attemptCount++
		}
	}
}

func (executor *fleetExecutor) CancelAttempt(uint32, int) {}

func (executor *fleetExecutor) Reject(uint32, time.Duration) {}

func (executor *fleetExecutor) Fail(uint32) {}

func (executor *fleetExecutor) SetTimer(time.Duration, uint32) {} // answers are never late, so timers have no effect

func (executor *fleetExecutor) CheckHealth(uint32) {}

// draw returns a pseudorandom number greater than 0 and less than 1 that depends only on the seed and the words.
func (fleet *directorFleet) draw(words ...uint64) float64 {
	return unitInterval(hash(append(words, fleet.seed)...))
}

// newDirectorFleet returns a fleet with an origin, four caches and three parents. Two caches and a parent return, and one cache
// and one parent are added.
func newDirectorFleet(plan fleetPlan) *directorFleet {
	fleet := &directorFleet{fleetPlan: plan}
	fleet.starts = []*endpointStart{
		{id: 10, slowStart: plan.cache},
		{id: 11, slowStart: plan.cache},
		{id: 20, slowStart: plan.cache, joins: true},
		{id: 2, role: parentNode, slowStart: plan.parent},
		{id: 5, role: parentNode, slowStart: plan.parent, joins: true},
	}
	for index, start := range fleet.starts {
		start.startedAt = time.Second + time.Duration(fleet.draw(uint64(index), 2)*float64(time.Second))
	}
	sum := 0.0
	for index := range plan.directorCount {
		fleet.weights = append(fleet.weights, 0.25+math.Pow(fleet.draw(uint64(index), 3), 3)*3) // some directors have several times the mean
		sum += fleet.weights[index]
	}
	for index := range fleet.weights {
		fleet.weights[index] *= float64(plan.directorCount) / sum
		fleet.directors = append(fleet.directors, fleet.startDirector(index, 0))
	}
	for object := uint64(1); len(fleet.objects) < 400; object++ {
		caches, parents := []uint32{10, 11, 12, 13, 20}, []uint32{2, 3, 4, 5}
		SortByPreference(object, caches)
		SortByPreference(object, parents)
		if caches[0] != 12 && caches[0] != 13 && parents[0] != 3 && parents[0] != 4 {
			fleet.objects = append(fleet.objects, object)
		}
	}
	return fleet
}

// startDirector creates a director that has measured the warm rates of the endpoints and knows the sending time of an attempt.
// Endpoints that return are gone until their start; endpoints that are added are not listed before it.
func (fleet *directorFleet) startDirector(index, times int) *Director {
	settings := testSettings()
	settings.CacheSlowStart, settings.ParentSlowStart = fleet.cache, fleet.parent
	settings.Directors, settings.DirectorsInZone = fleet.directorCount, fleet.directorCount
	settings.Index, settings.Seed = index, hash(fleet.seed, uint64(index), uint64(times))
	director := New(settings, &fleetExecutor{fleet: fleet, director: index, sent: map[uint32]int{}})
	for _, class := range director.classes {
		class.sendTime, class.minSendTime = startSendTime, startSendTime
	}
	list := []Endpoint{{Node: 1, State: Ready, Kind: 2}}
	for _, id := range []uint32{2, 3, 4} {
		list = append(list, Endpoint{Node: id, State: Ready, Kind: 1})
	}
	for _, id := range []uint32{10, 11, 12, 13} {
		list = append(list, Endpoint{Node: id, State: Ready, Zone: 1})
	}
	director.UpdateEndpoints(fleet.now, list, true)
	fleet.measureWarmRates(director, index)
	for _, start := range fleet.starts {
		switch listed := start.listed(); {
		case fleet.now >= start.startedAt:
			director.UpdateEndpoints(fleet.now, []Endpoint{listed}, false)
		case !start.joins:
			listed.State, listed.StartKnown = Gone, false
			director.UpdateEndpoints(fleet.now, []Endpoint{listed}, false)
		}
	}
	return director
}

// listed returns the entry of the endpoint list after the start.
func (start *endpointStart) listed() Endpoint {
	listed := Endpoint{Node: start.id, State: Ready, Zone: 1, StartKnown: true, StartedAt: start.startedAt}
	if start.role == parentNode {
		listed.Kind = 1
	}
	return listed
}

// measureWarmRates makes a director measure the rate at which it sends to warm endpoints, with every endpoint at full capacity
// and random arrivals.
func (fleet *directorFleet) measureWarmRates(director *Director, index int) {
	at := fleet.now
	mean := fleet.capacity / startSendTime.Seconds() * diffusionPeriod.Seconds() / float64(fleet.directorCount) * fleet.weights[index]
	for step := range uint64(warmRateMeasuringTime / diffusionPeriod) {
		at += diffusionPeriod
		for _, known := range director.endpointsByArrival {
			calls := fleet.poisson(mean, uint64(index), step, uint64(known.id))
			known.sendWork.Add(at, float64(calls)*startSendTime.Seconds())
			known.lastAlive = at
		}
		director.measureWarmRates(at)
	}
	for _, known := range director.endpointsByArrival { // keep the warm rates, but reset the times
		known.sendWork, known.lastAlive = NewRing(time.Second, 8), fleet.now
	}
}

// poisson draws from a Poisson distribution with the given mean.
func (fleet *directorFleet) poisson(mean float64, words ...uint64) (calls int) {
	for at := 0.0; ; calls++ {
		if at -= math.Log(fleet.draw(append(words, uint64(calls))...)); at > mean {
			return calls
		}
	}
}

// run simulates the plan.
func (fleet *directorFleet) run() {
	for fleet.now = startStep; fleet.now < fleet.duration; fleet.now += startStep {
		fleet.endAttempts()
		for index := range fleet.directors {
			fleet.deliverStarts(index)
			if fleet.restarts && uint64(fleet.now/startStep) == hash(fleet.seed, uint64(index), 4)%uint64(fleet.duration/startStep) {
				fleet.directors[index] = fleet.startDirector(index, 1)
				fleet.inFlight = slices.DeleteFunc(fleet.inFlight, func(x fleetAttempt) bool { return x.director == index })
			}
			for range fleet.requestCount(index) {
				fleet.sendRequest(index)
			}
		}
	}
}

// deliverStarts updates the endpoint list of a director with the starts that become visible to it in this step.
func (fleet *directorFleet) deliverStarts(index int) {
	for number, start := range fleet.starts {
		listedAt := start.startedAt + time.Duration(fleet.draw(uint64(index), uint64(number), 5)*float64(startListedWithin))
		if listedAt <= fleet.now && listedAt > fleet.now-startStep {
			fleet.directors[index].UpdateEndpoints(fleet.now, []Endpoint{start.listed()}, false)
		}
	}
}

// requestCount returns the number of requests that a director's clients send in a step.
func (fleet *directorFleet) requestCount(index int) int {
	if fleet.now < fleet.idleUntil {
		return 0
	}
	if math.IsInf(fleet.demandFactor, 1) {
		return int(math.Ceil(4 * fleet.capacity / float64(fleet.directorCount))) // together 2.7 times the capacity of the caches that start
	}
	carried := baseDemand * fleet.capacity * float64(len(fleet.starts)) * startStep.Seconds() / startSendTime.Seconds()
	mean := fleet.demandFactor * carried / float64(fleet.directorCount) * fleet.weights[index]
	return int(mean + fleet.draw(uint64(index), uint64(fleet.now), 6))
}

// sendRequest sends a director a request for one of the objects.
func (fleet *directorFleet) sendRequest(index int) {
	fleet.requests++
	object := fleet.objects[hash(fleet.seed, uint64(fleet.requests), 7)%uint64(len(fleet.objects))]
	director := fleet.directors[index]
	director.HandleRequest(fleet.now, Request{ID: fleet.requests, Object: object, Class: 1, Deadline: fleet.now + 2*time.Second})
}

// endAttempts ends the attempts whose sending time has elapsed.
func (fleet *directorFleet) endAttempts() {
	for len(fleet.inFlight) > 0 && fleet.inFlight[0].sent+startSendTime <= fleet.now {
		ended := fleet.inFlight[0]
		fleet.inFlight = fleet.inFlight[1:]
		outcome := Outcome{Attempt: ended.number, Duration: startSendTime, SendTime: startSendTime, Fill: Filled, SourceWait: ms}
		if ended.hit || ended.order.Source == ended.order.Node {
			outcome.Fill = CacheHit
		}
		fleet.directors[ended.director].HandleOutcome(fleet.now, ended.request, outcome)
	}
}

// worstOverload returns the largest number of attempts at any endpoint in any window, relative to what its slow start settings
// allow.
func (fleet *directorFleet) worstOverload() (worst float64) {
	for _, start := range fleet.starts {
		full := fleet.capacity * start.slowStart.OverloadMultiple * start.slowStart.Window.Seconds() / startSendTime.Seconds()
		worst = max(worst, worstWindow(start.attempts, start.startedAt, full, start.slowStart, func(calls, permitted float64) float64 {
			limit := permitted + 2*math.Sqrt(permitted) + 2
			if permitted < 30 {
				limit = permitted + 3*math.Sqrt(permitted) + 3
			}
			return calls / limit
		}))
	}
	return worst
}

// usedShare returns the number of attempts that endpoints received after their starts, relative to what is permitted.
func (fleet *directorFleet) usedShare() float64 {
	called, permitted := 0.0, 0.0
	for _, start := range fleet.starts {
		full := fleet.capacity * start.slowStart.OverloadMultiple / startSendTime.Seconds()
		for at := max(start.startedAt, fleet.idleUntil); at < fleet.duration; at += startStep {
			ramp := (at - start.startedAt).Seconds() / start.slowStart.Duration.Seconds()
			permitted += full * startStep.Seconds() * (start.slowStart.InitialShare + (1-start.slowStart.InitialShare)*ramp)
		}
		called += float64(len(start.attempts))
	}
	return called / permitted
}

// TestSlowStartAcrossFleet simulates starts of endpoints with fleets of several sizes. No endpoint may receive more than its
// slow start permits, and each fleet must use a minimum share of what is permitted.
func TestSlowStartAcrossFleet(t *testing.T) {
	for _, directors := range []int{1, 5, 30, 300} {
		t.Run(fmt.Sprintf("%d directors", directors), func(t *testing.T) { checkFleetStarts(t, directors) })
	}
}

// checkFleetStarts simulates starts with the given number of directors: 400 starts with 1 director, 400 with 5, 240 with 30 and
// 120 with 300.
func checkFleetStarts(t *testing.T, directors int) {
	t.Parallel()
	usual := fleetPlan{cache: testSettings().CacheSlowStart, parent: testSettings().ParentSlowStart}
	slower := fleetPlan{cache: SlowStart{InitialShare: 0.1, Duration: 30 * time.Second, OverloadMultiple: 1.5, Window: 500 * ms},
		parent: SlowStart{InitialShare: 0.05, Duration: 30 * time.Second, OverloadMultiple: 2, Window: 500 * ms}}
	infinite := math.Inf(1)
	starts, worst, used := 0, map[string]float64{}, map[string][]float64{}
	for seed := range uint64(map[int]int{1: 80, 5: 80, 30: 48, 300: 24}[directors]) {
		plan, name := usual, "default start"
		if seed%2 == 1 {
			plan, name = slower, "slower start"
		}
		plan.seed, plan.directorCount = hash(seed, uint64(directors)), directors
		plan.capacity = []float64{4, 10, 30}[seed%3]
		plan.demandFactor = []float64{infinite, 1, infinite, 3}[seed/2%4]
		plan.idleUntil = time.Duration(float64(seed/4%2) * unitInterval(hash(plan.seed, 8)) * float64(maxIdleTime))
		plan.restarts = hash(plan.seed, 9)%2 == 1
		plan.duration = 8 * time.Second
		fleet := newDirectorFleet(plan)
		fleet.run()
		starts += len(fleet.starts)
		name += fmt.Sprintf(", %g times the base demand", plan.demandFactor)
		got := fleet.worstOverload()
		worst[name] = max(worst[name], math.Round(got*100)/100)
		used[name] = append(used[name], fleet.usedShare())
		if got > 1 {
			t.Errorf("%d directors, seed %d, %s: sent %.2f of the allowed attempts, want at most 1", directors, seed, name, got)
		}
		if fleet.attemptCount == 0 {
			t.Errorf("%d directors, seed %d, %s: no attempt at an endpoint that started, want some", directors, seed, name)
		}
	}
	for name, highest := range worst {
		t.Logf("%d directors, %d starts, %s: sent at most %.2f of the allowed attempts, on average %.2f of the permitted attempts",
			directors, starts, name, highest, mean(used[name]))
		if mean(used[name]) < minUsedShare {
			t.Errorf("%d directors, %s: sent %.2f of the permitted attempts on average, want at least %.2f",
				directors, name, mean(used[name]), minUsedShare)
		}
	}
}

// mean returns the mean of values.
func mean(values []float64) (sum float64) {
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}
