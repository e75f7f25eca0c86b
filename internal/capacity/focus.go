package capacity

// The part of a large topology that is simulated.

import (
	"cmp"
	"slices"

	"indigochute.example/indigochute/internal/topology"
)

const (
	maxZonesInFull = 8 // a topology with more zones is simulated in part
	maxFocusZones  = 4 // zones that are simulated then; more if a failure loses more
)

// focus is the part of a topology that is simulated, with its demand.
type focus struct {
	network           *topology.Topology
	demand            *Demand
	foreignLinkShares []float64 // as in Setup; nil: all zones are simulated
}

// cachedFocus is the last focus that was chosen. Each round of a search needs it.
type cachedFocus struct {
	network *topology.Topology // the complete topology
	failure []uint32           // Failure.key
	focus   focus
}

// focusOn chooses the part of a topology that is simulated. Of a large topology these are the zones whose own limits break
// first, and the zones that a failure hits. The load of the other zones on parents and the origin is subtracted from their
// links (see Setup.ForeignLinkShares). The goal is counted over the simulated zones only, so that the other zones, which
// are less loaded, do not hide a break.
func (p *Planner) focusOn(network *topology.Topology, failure Failure) focus {
	if len(network.Zones) <= maxZonesInFull {
		return focus{network: network, demand: p.Demand}
	}
	if p.lastFocus.network == network && slices.Equal(p.lastFocus.failure, failure.key()) {
		return p.lastFocus.focus
	}
	zones := p.focusedZones(network, failure)
	inside, rest := p.Demand.splitByZone(network, zones)
	chosen := focus{network: withCachesOf(network, zones), demand: inside}
	if len(rest.Requests) > 0 {
		chosen.foreignLinkShares = linkLoads(network, rest, chosen.network.Machines())
	}
	p.lastFocus = cachedFocus{network: network, failure: failure.key(), focus: chosen}
	return chosen
}

// withCachesOf returns a copy of the topology with the caches of the given zones only.
func withCachesOf(network *topology.Topology, zones map[int]bool) *topology.Topology {
	part := network.Clone()
	for k := range part.Kinds {
		for z, zone := range part.Zones {
			if !zones[z] {
				delete(part.Kinds[k].CountByZone, zone.Name)
			}
		}
	}
	return part
}

// splitByZone splits the demand into the requests that the chosen zones serve and the rest. Both keep the span of the
// whole.
func (d *Demand) splitByZone(network *topology.Topology, chosen map[int]bool) (inside, rest *Demand) {
	inside = &Demand{Span: d.Span, CPUPerRequest: d.CPUPerRequest}
	rest = &Demand{Span: d.Span}
	for _, request := range d.Requests {
		if chosen[network.ServingZone(int(request.Zone), nil)] {
			inside.Requests = append(inside.Requests, request)
		} else {
			rest.Requests = append(rest.Requests, request)
		}
	}
	return inside, rest
}

// focusedZones chooses the zones to simulate: first the zones that lose their directors and the zones that then serve
// their clients, next the zones with the most machines hit by the failure, and then, up to maxFocusZones, the zones whose
// own limits break first.
func (p *Planner) focusedZones(network *topology.Topology, failure Failure) map[int]bool {
	chosen := map[int]bool{}
	for _, zone := range failure.LostZones {
		chosen[zone] = true
		chosen[max(0, network.ServingZone(zone, failure.lost))] = true
	}
	hit := mostHit(network, failure)
	for _, zone := range hit[:min(maxFocusZones, len(hit))] {
		chosen[zone] = true
	}
	for _, limit := range p.bounds(network) {
		ownLimit := limit.Resource == limitCores || limit.ID == 0
		if ownLimit && len(chosen) < maxFocusZones {
			chosen[limit.Zone] = true
		}
	}
	return chosen
}

// mostHit returns the zones with caches that a failure hits, those with the most such caches first.
func mostHit(network *topology.Topology, failure Failure) (zones []int) {
	count := make([]int, len(network.Zones))
	for _, machine := range network.Machines() {
		hit := slices.Contains(failure.Restarted, machine.ID) || slices.Contains(failure.Removed, machine.ID)
		if machine.Role != topology.CacheRole || !hit {
			continue
		}
		if count[machine.Zone] == 0 {
			zones = append(zones, machine.Zone)
		}
		count[machine.Zone]++
	}
	slices.SortFunc(zones, func(a, b int) int {
		return cmp.Or(cmp.Compare(count[b], count[a]), cmp.Compare(a, b))
	})
	return zones
}

// linkLoads returns for each machine the share of its link that a demand uses.
func linkLoads(network *topology.Topology, demand *Demand, machines []topology.Machine) (shares []float64) {
	loads := map[uint32]float64{}
	for _, limit := range Bounds(network, demand, 1) {
		if limit.Resource == limitLink && limit.ID != 0 {
			loads[limit.ID] = limit.Load
		}
	}
	for _, m := range machines {
		shares = append(shares, loads[m.ID])
	}
	return shares
}
