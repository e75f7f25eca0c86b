package routing

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Endpoints in slow start under the sum of all directors. The attempts in a window may exceed what is permitted only by random
// variation: twice the square root of the permitted number, plus two.

// TestWarmRateKeptDuringOutage makes all caches unavailable. Their warm rates must be kept, because their slow starts depend on
// them when they return.
func TestWarmRateKeptDuringOutage(t *testing.T) {
	site := newTestSite(1, 3)
	cache := site.director.endpoints[10]
	for range 40 {
		site.run(site.now + 100*ms)
		cache.lastAlive = site.now
		cache.sendWork.Add(site.now, 0.2)
	}
	before := site.director.typicalWarmRate(cache)
	site.run(site.now + 20*time.Second)
	afterOutage := site.director.typicalWarmRate(cache)
	site.updateEndpoints(true, Endpoint{Node: 20, State: Ready, Zone: 1, StartKnown: true, StartedAt: site.now})
	afterRelease := site.director.typicalWarmRate(site.director.endpoints[20])
	if before < 1 {
		t.Errorf("warm rate before the outage: got %.2f, want at least 1", before)
	}
	if afterOutage < 0.8*before {
		t.Errorf("warm rate after the outage: got %.2f, want about %.2f as before", afterOutage, before)
	}
	if afterRelease < 0.8*before {
		t.Errorf("warm rate after a release of all caches: got %.2f, want about %.2f as before", afterRelease, before)
	}
}

// TestRefusedConnectionBeginsSlowStart refuses a connection. The cache must begin a slow start, although discovery has not
// reported a restart yet.
func TestRefusedConnectionBeginsSlowStart(t *testing.T) {
	site := newManualSite(t, 2)
	site.run(time.Second)
	request := site.serve(segmentedClass, 7, 0, Outcome{Result: ConnectFailed})
	cache := site.director.endpoints[request.attempts[0].node]
	if site.director.isWarm(site.now, cache) {
		t.Error("cache that refused a connection counts as warm")
	}
	if site.director.slowStartAllows(site.now, cache) {
		t.Error("cache that refused a connection may be sent an attempt immediately")
	}
}

// TestSlowStartOfParentSharedByManyDirectors has many directors that each send little to one parent in slow start. The sum must
// stay within bounds.
func TestSlowStartOfParentSharedByManyDirectors(t *testing.T) {
	total, directors := 0, 60
	for index := range directors {
		site := newManualSite(t, 3)
		site.settings.Directors, site.settings.DirectorsInZone, site.settings.Index = directors, 10, index
		site.director = New(site.settings, site)
		site.updateEndpoints(true, Endpoint{Node: 1, State: Ready, Kind: 2}, Endpoint{Node: 2, State: Ready, Kind: 1, StartKnown: true},
			Endpoint{Node: 10, State: Ready, Zone: 1}, Endpoint{Node: 11, State: Ready, Zone: 1})
		site.director.endpoints[2].warmRate = 6.0 / float64(directors) // six concurrent transfers, shared evenly by all directors
		for object := range uint64(60) {
			site.serve(segmentedClass, 100+object, 50*ms, Outcome{Fill: FilledByOrigin})
			if site.lastOrder.Source == 2 {
				total++
			}
		}
	}
	start, sendTime := testSettings().ParentSlowStart, 0.2 // it starts with a minimum of six transfers and rises to twice that
	if work := float64(total) * sendTime; work < start.InitialShare*6 || work > start.OverloadMultiple*1.5*start.InitialShare*6*3 {
		t.Errorf("sum of all directors out of bounds: %d fills, %.1f s of work in the first three seconds", total, work)
	}
}

const slowStartStep = 20 * time.Millisecond

// overshoot simulates directors that send to one cache in slow start, each whenever wants is true and its allowance permits it.
// It returns the excess of attempts over the permitted number in the worst window, as a share of the excess that random
// variation may cause. calls is the number of permitted attempts in the first window. With restart set, each director restarts
// once on average.
func overshoot(seed uint64, directors int, calls float64, restart bool, wants func(index int, at time.Duration) bool) float64 {
	const sendTime, step = 100 * time.Millisecond, slowStartStep
	settings := testSettings()
	start := settings.CacheSlowStart
	capacity := calls * sendTime.Seconds() / (start.OverloadMultiple * start.InitialShare * start.Window.Seconds()) // transfers when warm
	begin := func(index int, now time.Duration, again uint64) *Director {
		directorSettings := settings
		directorSettings.Directors, directorSettings.DirectorsInZone = directors, directors
		directorSettings.Index, directorSettings.Seed = index, hash(seed, uint64(index), again)
		director := New(directorSettings, &testSite{})
		for _, class := range director.classes {
			class.sendTime = sendTime
		}
		director.UpdateEndpoints(now, []Endpoint{{Node: 9, State: Ready, Zone: 1}, {Node: 10, State: Ready, Zone: 1, StartKnown: true, StartedAt: 0}}, true)
		director.endpoints[9].warmRate = capacity / float64(directors) // its peers carried their full capacity
		return director
	}
	var all []*Director
	for index := range directors {
		all = append(all, begin(index, 0, 0))
	}
	var sent []time.Duration
	for now := step; now < start.Duration; now += step {
		for index, director := range all {
			if restart && hash(seed, uint64(index), uint64(now))%uint64(start.Duration/step) == 0 { // on average once per director
				all[index] = begin(index, now, uint64(now))
				director = all[index]
			}
			target := director.endpoints[10]
			if wants(index, now) && director.slowStartAllows(now, target) {
				director.chargeSlowStart(now, target, sendTime.Seconds())
				sent = append(sent, now)
			}
		}
	}
	return worstWindow(sent, 0, calls/start.InitialShare, start, func(calls, permitted float64) float64 {
		return (calls - permitted) / (2*math.Sqrt(permitted) + 2)
	})
}

// worstWindow returns the largest result of measure over all windows, given the attempts in a window and the permitted number.
// warm is the permitted number for a warm endpoint; an endpoint in slow start is permitted a share of it that depends on its
// age. The age is taken one window before the first attempt, because clocks may differ by that much.
func worstWindow(attempts []time.Duration, startedAt time.Duration, warm float64, start SlowStart,
	measure func(calls, permitted float64) float64,
) float64 {
	worst, first := math.Inf(-1), 0
	for index, at := range attempts {
		for at-attempts[first] >= start.Window {
			first++
		}
		age := max(0, attempts[first]-startedAt-start.Window)
		permitted := warm * min(1, start.InitialShare+(1-start.InitialShare)*age.Seconds()/start.Duration.Seconds())
		worst = max(worst, measure(float64(index-first+1), permitted))
	}
	return worst
}

// TestSlowStartSumUnderBurstyDemand has random demand of up to eight times the capacity of a warm cache, or unlimited demand.
// It arrives from the start of the cache, in a burst after an idle period, or in repeated bursts. In half of the simulations
// the directors restart in the meantime.
func TestSlowStartSumUnderBurstyDemand(t *testing.T) {
	start := testSettings().CacheSlowStart
	idle := func(seed uint64) time.Duration { return time.Duration(1000+hash(seed)%10000) * time.Millisecond }
	for name, when := range map[string]func(seed uint64, at time.Duration) bool{
		"immediately":          func(uint64, time.Duration) bool { return true },
		"after an idle period": func(seed uint64, at time.Duration) bool { return at >= idle(seed) },
		"in bursts":            func(_ uint64, at time.Duration) bool { return at%(4*start.Window) < start.Window/2 },
	} {
		for _, directors := range []int{1, 5, 20, 30, 100, 300, 580} {
			for _, calls := range []float64{12, 20, 54} { // any endpoint carries at least two concurrent transfers
				for _, load := range []float64{1, 4, 8, math.Inf(1)} {
					chance := load * calls / (start.OverloadMultiple * start.InitialShare * start.Window.Seconds()) / float64(directors) * slowStartStep.Seconds()
					worst := math.Inf(-1)
					for seed := range uint64(6) {
						worst = max(worst, overshoot(seed, directors, calls, seed%2 == 1, func(index int, at time.Duration) bool {
							return when(seed, at) && unitInterval(hash(seed, uint64(index), uint64(at), 5)) < chance
						}))
					}
					report := fmt.Sprintf("%s, %d directors, %g calls, load factor %g: excess is %.2f of the allowed random variation",
						name, directors, calls, load, worst)
					t.Log(report)
					if worst > 1 {
						t.Error(report)
					}
				}
			}
		}
	}
}

// TestSlowStartWithoutWindow checks that settings without a window do not make the number of tokens invalid, which would make
// the endpoint unusable for its whole slow start.
func TestSlowStartWithoutWindow(t *testing.T) {
	settings := testSettings()
	settings.CacheSlowStart.Window = 0
	director := New(settings, &testSite{})
	director.UpdateEndpoints(0, []Endpoint{{Node: 10, State: Ready, Zone: 1, StartKnown: true}}, true)
	target, calls := director.endpoints[10], 0
	for now := ms; now < settings.CacheSlowStart.Duration; now += ms {
		if director.slowStartAllows(now, target) {
			director.chargeSlowStart(now, target, director.longestSendTime().Seconds())
			calls++
		}
		if math.IsNaN(target.slowStartTokens) {
			t.Fatalf("tokens are NaN after %v", now)
		}
	}
	if calls == 0 {
		t.Error("no attempt allowed during the slow start")
	}
}
