package routing

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// Slow start under the sum of all directors: a fleet of directors, each the complete decision core, sends to endpoints that
// come back or join. Caches are sent attempts, parents fills. Only the sum at each endpoint is judged.

const (
	startStep         = 50 * time.Millisecond
	startSendTime     = 100 * time.Millisecond // sending time of every attempt
	startListedWithin = 300 * time.Millisecond // time until each director has a start in its endpoint list
	hitShare          = 0.3                    // share of the attempts at caches that need no fill
	usualDemand       = 0.6                    // as a share of what the endpoints carry when warm
	learnTime         = 10 * time.Second       // in which directors measure what endpoints take
	minUsed           = 0.1                    // least mean share of what is permitted that must be sent: the allowance may not be far too small
	maxIdle           = 6 * time.Second        // longest time without demand before a rush
)

// fleetPlan is one simulation: its directors, settings and demand.
type fleetPlan struct {
	seed          uint64
	directorCount int
	cache, parent SlowStart
	carries       float64       // transfers at once that each endpoint carries when warm
	demand        float64       // attempts of all directors, as a multiple of the usual; without end: many times what is allowed
	idle          time.Duration // no demand before this
	restarts      bool          // each director starts anew once, at a random time
	duration      time.Duration
}

// endpointStart is one start of an endpoint and the attempts that were sent to it since.
type endpointStart struct {
	id        uint32
	role      endpointRole
	startedAt time.Duration
	joins     bool // it was never there before
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

// directorFleet is a simulation of directors that send to endpoints which start.
type directorFleet struct {
	fleetPlan
	now       time.Duration
	directors []*Director
	weights   []float64 // of the demand, by director; 1 in the mean
	starts    []*endpointStart
	inFlight  []fleetAttempt // in order of their ends
	objects   []uint64       // objects whose first cache and parent are endpoints that start
	requests  uint32
	served    int // attempts that endpoints were sent after their starts
}

// fleetExecutor is the Executor of one director of the fleet.
type fleetExecutor struct {
	fleet    *directorFleet
	director int
	sent     map[uint32]int // by request
}

// StartAttempt puts an attempt in flight and counts it at the endpoints that have started.
func (executor *fleetExecutor) StartAttempt(request uint32, order AttemptOrder) {
	fleet := executor.fleet
	// Whether the cache holds the object is a matter of the object, so that all directors find the same.
	hit := unit(hash(fleet.seed, uint64(request), 1)) < hitShare
	fleet.inFlight = append(fleet.inFlight, fleetAttempt{executor.director, request, executor.sent[request], order, fleet.now, hit})
	executor.sent[request]++
	for _, start := range fleet.starts {
		if start.startedAt <= fleet.now && (order.Node == start.id || order.Source == start.id && !hit) {
			start.attempts = append(start.attempts, fleet.now)
			fleet.served++
		}
	}
}

func (executor *fleetExecutor) CancelAttempt(uint32, int) {}

func (executor *fleetExecutor) Reject(uint32, time.Duration) {}

func (executor *fleetExecutor) Fail(uint32) {}

func (executor *fleetExecutor) SetTimer(time.Duration, uint32) {} // no answer is late, so that no timer matters

func (executor *fleetExecutor) CheckHealth(uint32) {}

// draw returns a random number above 0 and below 1, the same for the same words.
func (fleet *directorFleet) draw(words ...uint64) float64 {
	return unit(hash(append(words, fleet.seed)...))
}

// newDirectorFleet returns a fleet before an origin, four caches and three parents; two caches and a parent come back, one of
// each joins.
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
		fleet.weights = append(fleet.weights, 0.25+math.Pow(fleet.draw(uint64(index), 3), 3)*3) // some see several times the mean
		sum += fleet.weights[index]
	}
	for index := range fleet.weights {
		fleet.weights[index] *= float64(plan.directorCount) / sum
		fleet.directors = append(fleet.directors, fleet.begin(index, 0))
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

// begin starts a director that has measured what warm endpoints take of it, and knows how long an attempt takes. Endpoints
// that come back are gone until their start, others are not known before.
func (fleet *directorFleet) begin(index, times int) *Director {
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
	fleet.learn(director, index)
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

// learn has a director measure what warm endpoints take of it, when each carries all that it can and attempts come by chance.
func (fleet *directorFleet) learn(director *Director, index int) {
	at := fleet.now
	mean := fleet.carries / startSendTime.Seconds() * diffusionPeriod.Seconds() / float64(fleet.directorCount) * fleet.weights[index]
	for step := range uint64(learnTime / diffusionPeriod) {
		at += diffusionPeriod
		for _, known := range director.endpointsByArrival {
			calls := fleet.poisson(mean, uint64(index), step, uint64(known.id))
			known.sendWork.Add(at, float64(calls)*startSendTime.Seconds())
			known.lastAlive = at
		}
		director.measureWarmRates(at)
	}
	for _, known := range director.endpointsByArrival { // what they took stays, the times begin anew
		known.sendWork, known.lastAlive = NewRing(time.Second, 8), fleet.now
	}
}

// poisson draws from a Poisson distribution of a given mean.
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
				fleet.directors[index] = fleet.begin(index, 1)
				fleet.inFlight = slices.DeleteFunc(fleet.inFlight, func(x fleetAttempt) bool { return x.director == index })
			}
			for range fleet.requestCount(index) {
				fleet.sendRequest(index)
			}
		}
	}
}

// deliverStarts lists to a director the starts that reach it in this step.
func (fleet *directorFleet) deliverStarts(index int) {
	for number, start := range fleet.starts {
		listedAt := start.startedAt + time.Duration(fleet.draw(uint64(index), uint64(number), 5)*float64(startListedWithin))
		if listedAt <= fleet.now && listedAt > fleet.now-startStep {
			fleet.directors[index].UpdateEndpoints(fleet.now, []Endpoint{start.listed()}, false)
		}
	}
}

// requestCount returns how many requests a director's clients send in a step.
func (fleet *directorFleet) requestCount(index int) int {
	if fleet.now < fleet.idle {
		return 0
	}
	if math.IsInf(fleet.demand, 1) {
		return int(math.Ceil(4 * fleet.carries / float64(fleet.directorCount))) // together 2.7 times what the caches that start carry when warm
	}
	carried := usualDemand * fleet.carries * float64(len(fleet.starts)) * startStep.Seconds() / startSendTime.Seconds()
	mean := fleet.demand * carried / float64(fleet.directorCount) * fleet.weights[index]
	return int(mean + fleet.draw(uint64(index), uint64(fleet.now), 6))
}

// sendRequest sends a director a request for one of the objects.
func (fleet *directorFleet) sendRequest(index int) {
	fleet.requests++
	object := fleet.objects[hash(fleet.seed, uint64(fleet.requests), 7)%uint64(len(fleet.objects))]
	director := fleet.directors[index]
	director.HandleRequest(fleet.now, Request{ID: fleet.requests, Object: object, Class: 1, Deadline: fleet.now + 2*time.Second})
}

// endAttempts ends the attempts whose sending time is over.
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

// worst returns the largest sum at any endpoint within any window, as a part of what the settings let it be sent by then.
func (fleet *directorFleet) worst() (most float64) {
	for _, start := range fleet.starts {
		full := fleet.carries * start.slowStart.OverloadMultiple * start.slowStart.Window.Seconds() / startSendTime.Seconds()
		most = max(most, worstWindow(start.attempts, start.startedAt, full, start.slowStart, func(calls, permitted float64) float64 {
			limit := permitted + 2*math.Sqrt(permitted) + 2
			if permitted < 30 {
				limit = permitted + 3*math.Sqrt(permitted) + 3
			}
			return calls / limit
		}))
	}
	return most
}

// used returns the attempts that endpoints were sent after their starts, as a share of what is permitted.
func (fleet *directorFleet) used() float64 {
	called, permitted := 0.0, 0.0
	for _, start := range fleet.starts {
		full := fleet.carries * start.slowStart.OverloadMultiple / startSendTime.Seconds()
		for at := max(start.startedAt, fleet.idle); at < fleet.duration; at += startStep {
			ramp := (at - start.startedAt).Seconds() / start.slowStart.Duration.Seconds()
			permitted += full * startStep.Seconds() * (start.slowStart.InitialShare + (1-start.slowStart.InitialShare)*ramp)
		}
		called += float64(len(start.attempts))
	}
	return called / permitted
}

// TestFleetStarts simulates starts of endpoints under fleets of several sizes: no endpoint is sent more than its slow start
// permits, and each fleet uses what is permitted.
func TestFleetStarts(t *testing.T) {
	for _, directors := range []int{1, 5, 30, 300} {
		t.Run(fmt.Sprintf("%d directors", directors), func(t *testing.T) { checkStarts(t, directors) })
	}
}

// checkStarts simulates starts under a number of directors: 400 under one, 400 under 5, 240 under 30, 120 under 300.
func checkStarts(t *testing.T, directors int) {
	t.Parallel()
	usual := fleetPlan{cache: testSettings().CacheSlowStart, parent: testSettings().ParentSlowStart}
	slower := fleetPlan{cache: SlowStart{InitialShare: 0.1, Duration: 30 * time.Second, OverloadMultiple: 1.5, Window: 500 * ms},
		parent: SlowStart{InitialShare: 0.05, Duration: 30 * time.Second, OverloadMultiple: 2, Window: 500 * ms}}
	endless := math.Inf(1)
	starts, worst, used := 0, map[string]float64{}, map[string][]float64{}
	for seed := range uint64(map[int]int{1: 80, 5: 80, 30: 48, 300: 24}[directors]) {
		plan, name := usual, "usual start"
		if seed%2 == 1 {
			plan, name = slower, "slower start"
		}
		plan.seed, plan.directorCount = hash(seed, uint64(directors)), directors
		plan.carries = []float64{4, 10, 30}[seed%3]
		plan.demand = []float64{endless, 1, endless, 3}[seed/2%4]
		plan.idle = time.Duration(float64(seed/4%2) * unit(hash(plan.seed, 8)) * float64(maxIdle))
		plan.restarts = hash(plan.seed, 9)%2 == 1
		plan.duration = 8 * time.Second
		fleet := newDirectorFleet(plan)
		fleet.run()
		starts += len(fleet.starts)
		name += fmt.Sprintf(", %g times the usual demand", plan.demand)
		got := fleet.worst()
		worst[name] = max(worst[name], math.Round(got*100)/100)
		used[name] = append(used[name], fleet.used())
		if got > 1 {
			t.Errorf("%d directors, seed %d, %s: %.2f of the allowance was sent, want 1 at most", directors, seed, name, got)
		}
		if fleet.served == 0 {
			t.Errorf("%d directors, seed %d, %s: no attempt to an endpoint that started", directors, seed, name)
		}
	}
	for name, most := range worst {
		t.Logf("%d directors, %d starts, %s: at most %.2f of the allowance, %.2f of what is permitted was sent",
			directors, starts, name, most, mean(used[name]))
		if mean(used[name]) < minUsed {
			t.Errorf("%d directors, %s: %.2f of what is permitted was sent, want %.2f or more", directors, name, mean(used[name]), minUsed)
		}
	}
}

// mean returns the mean of some values.
func mean(values []float64) (sum float64) {
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}
