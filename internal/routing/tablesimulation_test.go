package routing

import (
	"math"
	"math/rand/v2"
	"time"
)

// Times and sizes of a simulation of the object table.
const (
	tableSimulationTime = 44 * time.Second
	tableRushAt         = 20 * time.Second
	tableRushEnds       = 40 * time.Second
	tableObjects        = 7e9    // number of objects of the site
	tableHeadRanks      = 10_000 // number of ranks that are drawn exactly
)

// tableResult is the result of one simulation, or the sum of several. A hot period is a pair of a period and an object that was
// hot in it, based on all requests for it.
type tableResult struct {
	residence            time.Duration // mean time that evicted entries were in the table
	evicted, expired     int           // number of entries
	hot                  int           // hot periods
	known                int           // hot periods in which the object was also hot according to the director's table
	knownLRU             int           // the same for a table that evicts the least recently used entry
	knownFIFO            int           // the same for a table that evicts first in first out
	spread               int           // hot periods in which the director had shares of the object at other caches
	evictedHot           int           // entries that were evicted while hot
	evictedHotFIFO       int           // the same for a table that evicts first in first out
	hotRequests          int           // requests for objects that were hot in the last period
	hotRequestsElsewhere int           // those of hotRequests that did not go to the object's home
	unequalPeriods       int           // periods in which the director's table differed from its model
}

// add adds the result of another simulation.
func (result *tableResult) add(other tableResult) {
	evicted := result.evicted + other.evicted
	result.residence = (result.residence*time.Duration(result.evicted) + other.residence*time.Duration(other.evicted)) / time.Duration(max(1, evicted))
	for _, sum := range [][2]*int{
		{&result.evicted, &other.evicted}, {&result.expired, &other.expired}, {&result.hot, &other.hot}, {&result.known, &other.known},
		{&result.knownLRU, &other.knownLRU}, {&result.knownFIFO, &other.knownFIFO}, {&result.spread, &other.spread},
		{&result.evictedHot, &other.evictedHot}, {&result.evictedHotFIFO, &other.evictedHotFIFO},
		{&result.hotRequests, &other.hotRequests}, {&result.hotRequestsElsewhere, &other.hotRequestsElsewhere},
		{&result.unequalPeriods, &other.unequalPeriods},
	} {
		*sum[0] += *sum[1]
	}
}

// tableSimulation is a director with four caches, like a planned site, next to models of its table and of other tables.
type tableSimulation struct {
	result    tableResult
	director  *Director
	executor  *recordingExecutor
	random    *rand.Rand
	objects   *popularity
	all       *requestWindow // all requests
	own       *tableModel    // model of the director's table
	fifo      *tableModel
	lru       *tableModel
	homes     map[uint64]uint32 // homes of the objects that were hot in the last period
	residence time.Duration     // total time that evicted entries were in the table
}

// newTableSimulation returns a simulation with requests at a rate per second, for objects whose popularity has the given skew.
func newTableSimulation(seed uint64, rate, skew float64) *tableSimulation {
	settings := testSettings()
	settings.Directors, settings.DirectorsInZone = planDirectors, 15
	sim := &tableSimulation{
		executor: &recordingExecutor{},
		random:   rand.New(rand.NewPCG(seed, uint64(rate))),
		objects:  newPopularity(skew, tableObjects, tableHeadRanks),
		all:      &requestWindow{counts: map[uint64]int{}},
		own:      newTableModel(maxObjects, evictSecondChance),
		fifo:     newTableModel(maxObjects, evictFIFO),
		lru:      newTableModel(maxObjects, evictLRU),
		homes:    map[uint64]uint32{},
	}
	sim.director = New(settings, sim.executor)
	sim.director.UpdateEndpoints(0, listedEndpoints(4), true)
	return sim
}

// simulateTable runs one simulation. From tableRushAt to tableRushEnds, three new objects receive 12, 8 and 5% of all requests.
// Every other request draws one of 7 billion objects.
func simulateTable(seed uint64, rate, skew float64) tableResult {
	sim := newTableSimulation(seed, rate, skew)
	due := diffusionPeriod
	for id, now := uint32(1), time.Duration(0); now < tableSimulationTime; id, now = id+1, now+interval(rate) {
		for ; due <= now; due += diffusionPeriod {
			sim.endPeriod(due)
		}
		sim.sendRequest(now, id, sim.drawObject(now))
	}
	sim.result.residence = sim.residence / time.Duration(max(1, sim.result.evicted))
	return sim.result
}

// endPeriod ends a period in the director and in the models, and counts the hot objects.
func (sim *tableSimulation) endPeriod(due time.Duration) {
	sim.director.HandleTimer(due, 0)
	sim.result.expired += sim.own.expire(due)
	sim.fifo.expire(due)
	sim.lru.expire(due)
	sim.all.turn(due)
	if !sim.tablesAgree() {
		sim.result.unequalPeriods++
	}
	clear(sim.homes)
	for object, requests := range sim.all.counts {
		if IsHot(float64(requests), float64(sim.all.total)) && due >= 2*HotWindow {
			sim.countHot(due, object)
		}
	}
}

// tablesAgree reports whether the director's table has the same entries as its model.
func (sim *tableSimulation) tablesAgree() bool {
	same := len(sim.director.evictionQueue) == len(sim.own.entries)
	for _, record := range sim.director.evictionQueue {
		same = same && sim.own.entries[record.id] != nil
	}
	return same
}

// countHot counts a period in which an object is hot based on all requests, and the tables that detect this.
func (sim *tableSimulation) countHot(due time.Duration, object uint64) {
	total := float64(sim.all.total)
	sim.homes[object] = ranked(object, sim.director.caches)[0].id
	sim.result.hot++
	if sim.own.isHot(due, object, total) {
		sim.result.known++
	}
	if sim.fifo.isHot(due, object, total) {
		sim.result.knownFIFO++
	}
	if sim.lru.isHot(due, object, total) {
		sim.result.knownLRU++
	}
	record := sim.director.objects[object]
	if record != nil && len(record.documentList) > 0 && len(record.documentList[0].spread) > 0 {
		sim.result.spread++
	}
}

// drawObject draws the object of the next request.
func (sim *tableSimulation) drawObject(now time.Duration) uint64 {
	object := hash(sim.objects.draw(sim.random.Float64()))
	if now >= tableRushAt && now < tableRushEnds {
		switch drawn := sim.random.Float64(); {
		case drawn < 0.12:
			object = 1
		case drawn < 0.20:
			object = 2
		case drawn < 0.25:
			object = 3
		}
	}
	return object
}

// sendRequest sends a request that is served immediately and counts it in the models.
func (sim *tableSimulation) sendRequest(now time.Duration, id uint32, object uint64) {
	sim.director.HandleRequest(now, Request{ID: id, Object: object, Class: 1, Deadline: now + 2*time.Second})
	sim.director.HandleOutcome(now, id, Outcome{Duration: 20 * ms, Fill: CacheHit, Final: true})
	if home, ok := sim.homes[object]; ok {
		if sim.result.hotRequests++; sim.executor.node != home {
			sim.result.hotRequestsElsewhere++
		}
	}
	sim.all.count(now, object)
	sim.lru.count(now, object)
	if evicted := sim.own.count(now, object); evicted != nil {
		sim.result.evicted++
		sim.residence += now - evicted.addedAt
		if _, ok := sim.homes[evicted.id]; ok {
			sim.result.evictedHot++
		}
	}
	if evicted := sim.fifo.count(now, object); evicted != nil {
		if _, ok := sim.homes[evicted.id]; ok {
			sim.result.evictedHotFIFO++
		}
	}
}

// siteRate returns the request rate of a director at the largest of the 39 planned sites. The demand of the sites follows a
// Zipf distribution with the given exponent, and all sites have the same number of directors.
func siteRate(exponent float64) float64 {
	const sites = 39
	sum := 0.0
	for i := 1; i <= sites; i++ {
		sum += math.Pow(float64(i), -exponent)
	}
	return planRate * sites / sum
}
