package capacity

// Simulated runs: their start, and the requests of clients.

import (
	"time"

	"indigochute.example/indigochute/internal/routing"
	"indigochute.example/indigochute/internal/simulation"
	"indigochute.example/indigochute/internal/topology"
)

const (
	// drainTime is the time for which a run continues after its counted span, so that requests in flight can end.
	drainTime = 5 * time.Second

	// seedStride is the difference between the seeds of two directors of a run: 2^64 divided by the golden ratio.
	seedStride = 0x9e3779b97f4a7c15
)

// Run simulates one run: directors of package routing decide on the requests of the demand, and the machines of package
// simulation carry out their decisions. Run is deterministic. The error is a ShortDemandError if the demand is too short for
// the run.
func Run(network *topology.Topology, demand *Demand, setup Setup) (*Result, error) {
	before, requests, warmup, span, err := demand.Window(setup.Factor, setup.Warmup, setup.Span)
	if err != nil {
		return nil, err
	}
	run := &simulationRun{
		network:  network,
		machines: network.Machines(),
		setup:    setup,
		world:    simulation.New(network),
		requests: requests,
		warmup:   warmup,
		end:      warmup + span,
		attempts: map[uint64]*attempt{},
		lost:     make([]bool, len(network.Zones)),
		result:   &Result{Factor: setup.Factor, Classes: make([]Tally, len(network.Classes)), Span: span},
	}
	run.result.Rate = float64(len(requests)) / run.end.Seconds()
	run.narrowLinks()
	for _, cached := range InitialCopies(network, before) {
		run.world.Insert(cached.Node, cached.Object, cached.Part, cached.Bytes, cached.CachePriority, cached.FilledAt)
	}
	run.startDirectors()
	run.run()
	return run.result, nil
}

// simulationRun is the state of one simulated run.
type simulationRun struct {
	network       *topology.Topology
	machines      []topology.Machine
	setup         Setup
	world         *simulation.World
	requests      []Request     // by arrival
	arrived       int           // number of requests that have arrived
	warmup        time.Duration // time at which the counted span begins
	end           time.Duration // time at which the counted span ends
	now           time.Duration
	timers        timerQueue
	byZone        [][]*simulatedDirector // directors by zone
	directors     []*simulatedDirector   // all of them, by index
	attempts      map[uint64]*attempt    // attempts in flight at machines, by the request id in the model
	attemptsBegun uint64
	lost          []bool // whether the directors of a zone are lost, by zone
	events        uint64 // number of timers set and requests sent; orders timers, and varies the choice of a director
	result        *Result
	spanBegin     simulation.Snapshot // counters of the machines when the counted span begins
}

// startDirectors starts the directors of all zones that serve a client before or after the failure.
func (r *simulationRun) startDirectors() {
	serves := make([]bool, len(r.network.Zones))
	for i := range r.requests {
		clientZone := int(r.requests[i].Zone)
		before := r.network.ServingZone(clientZone, nil)
		after := r.network.ServingZone(clientZone, r.setup.Failure.lost)
		for _, zone := range [2]int{before, after} {
			if zone >= 0 {
				serves[zone] = true
			}
		}
	}
	r.byZone = make([][]*simulatedDirector, len(r.network.Zones))
	for z, zone := range r.network.Zones {
		if !serves[z] {
			continue
		}
		for range zone.Directors {
			r.byZone[z] = append(r.byZone[z], r.startDirector(z))
		}
	}
}

// startDirector starts one more director in a zone.
func (r *simulationRun) startDirector(zone int) *simulatedDirector {
	index := len(r.directors)
	seed := r.setup.Seed + uint64(index)*seedStride
	newDirector := &simulatedDirector{run: r, zone: zone, open: map[uint32]*openRequest{}}
	newDirector.director = routing.New(r.network.Settings(zone, index, seed), newDirector)
	newDirector.director.UpdateEndpoints(0, r.endpointList(nil, zone), true)
	r.directors = append(r.directors, newDirector)
	return newDirector
}

// beginSpan begins the counted span. The failure of the setup happens at this time.
func (r *simulationRun) beginSpan() {
	failure := &r.setup.Failure
	for _, id := range failure.Removed {
		r.world.Kill(id)
	}
	for _, id := range failure.Restarted {
		r.world.Kill(id)
		r.world.Restart(id)
	}
	for _, zone := range failure.LostZones {
		r.lost[zone] = true
		for _, director := range r.byZone[zone] {
			director.lost = true
			director.failPending()
		}
	}
	r.spanBegin = r.world.Snapshot()
	r.publishChanges()
}

// arrive passes the request of a client to a director of the zone that serves the client. The parameter retries is the number
// of times that the client has retried the request, including this time.
func (r *simulationRun) arrive(request *Request, retries int) {
	zoneLost := func(zone int) bool { return r.lost[zone] }
	if r.setup.Failure.ClientsLost && zoneLost(int(request.Zone)) {
		return
	}
	zone := r.network.ServingZone(int(request.Zone), zoneLost)
	if zone < 0 {
		r.count(&openRequest{request: request, retries: retries}, Failed)
		return
	}
	r.events++
	directors := r.byZone[zone]
	hash := routing.Hash(r.setup.Seed, uint64(request.At), request.Object, r.events)
	director := directors[hash%uint64(len(directors))]
	director.receive(request, retries)
}

// count adds the final outcome of a request to the result.
func (r *simulationRun) count(open *openRequest, outcome Outcome) {
	sent, ended := open.request.At-r.warmup, r.now-r.warmup
	r.result.Count(r.network, open.request, sent, ended, outcome, open.retries)
}
