package capacity

// The simulated machines of a run, as its directors learn of them.

import (
	"time"

	"indigochute.example/indigochute/internal/routing"
	"indigochute.example/indigochute/internal/simulation"
	"indigochute.example/indigochute/internal/topology"
)

// narrowLinks reduces the links of machines by the load of the zones that are not simulated.
func (r *simulationRun) narrowLinks() {
	for i, share := range r.setup.ForeignLinkShares {
		if share > 0 {
			remaining := max(MinRemainingLinkShare, 1-share*r.setup.Factor)
			r.world.LimitLink(r.machines[i].ID, remaining)
		}
	}
}

// advance simulates the machines up to a time and passes their responses to the directors.
func (r *simulationRun) advance(to time.Duration) {
	responses := r.world.Advance(to)
	r.now = to
	for _, response := range responses {
		attempt := r.attempts[response.ID]
		if attempt == nil || attempt.ended {
			continue
		}
		delete(r.attempts, response.ID)
		filled := response.Fill == routing.Filled || response.Fill == routing.FilledByOrigin
		if filled && r.now >= r.warmup {
			r.result.Fills++
		}
		attempt.director.attemptEnded(attempt, r.outcomeOf(attempt, response))
	}
	r.publishChanges()
}

// outcomeOf returns the outcome of an attempt, for its director, from the response of the model.
func (r *simulationRun) outcomeOf(ended *attempt, response simulation.Response) routing.Outcome {
	outcome := routing.Outcome{
		Attempt:    ended.number,
		Duration:   r.now - ended.startedAt,
		SourceWait: response.Waited,
		Fill:       response.Fill,
	}
	switch response.Status {
	case simulation.Served:
		outcome.Result = routing.Served
		outcome.SendTime = ended.sendTime
	case simulation.Missing:
		outcome.Result = routing.NotCached
	case simulation.Rejected:
		outcome.Result = routing.Rejected
	case simulation.Failed:
		outcome.Result = routing.Failed
	case simulation.Lost:
		outcome.Result = routing.Reset
	}
	return outcome
}

// publishChanges sends an endpoint list of the machines that have changed to all directors, after the delay of discovery.
// The list has the state of the machines at the time of its arrival.
func (r *simulationRun) publishChanges() {
	changed := r.world.Changed()
	if len(changed) == 0 {
		return
	}
	r.after(r.network.ListDelay.Duration(), func() {
		lists := map[int][]routing.Endpoint{} // by zone
		for _, receiver := range r.directors {
			zone := receiver.zone
			if lists[zone] == nil {
				lists[zone] = r.endpointList(changed, zone)
			}
			if !receiver.lost && len(lists[zone]) > 0 {
				receiver.director.UpdateEndpoints(r.now, lists[zone], false)
			}
		}
	})
}

// endpointList returns the endpoint list that the directors of a zone receive now, of the machines with the given ids, or of
// all machines if ids is nil. It leaves out the caches of other zones. A director never chooses them, and with a hundred
// zones it would keep records of all.
func (r *simulationRun) endpointList(ids []uint32, zone int) (list []routing.Endpoint) {
	wanted := map[uint32]bool{}
	for _, id := range ids {
		wanted[id] = true
	}
	for _, machine := range r.machines {
		listed := ids == nil || wanted[machine.ID]
		cacheElsewhere := machine.Role == topology.CacheRole && machine.Zone != zone
		if !listed || cacheElsewhere {
			continue
		}
		up, restarted, startedAt := r.world.Up(machine.ID)
		endpoint := routing.Endpoint{
			Node:       machine.ID,
			State:      routing.Ready,
			Kind:       machine.DiscoveryKind(),
			Zone:       machine.Zone,
			StartKnown: restarted,
			StartedAt:  startedAt,
		}
		if !up {
			endpoint.State = routing.Gone
		}
		list = append(list, endpoint)
	}
	return list
}
