package capacity

// The estimated cost of a restart of caches.

import (
	"slices"
	"time"

	"indigochute.example/indigochute/internal/topology"
)

// restartCosts estimates the cost of a restart of caches: the core seconds of work for which there is no capacity while
// they are in slow start. Such work is the load on their home documents beyond their own capacity and the spare capacity
// of the other caches, or the reads that wait for fills through the link of the zone. Costs are estimated zone by zone,
// without queueing.
type restartCosts struct {
	slowStart topology.SlowStart
	zones     []zoneCapacity
	caches    []cacheCapacity // in the order of the list for which the costs are computed
}

// cacheCapacity is what the restart of a cache, or of several caches of a zone, takes away.
type cacheCapacity struct {
	zone        int
	cores       float64
	load        float64 // core seconds a second, for its home documents
	cachedBytes float64 // size of its copies
}

// zoneCapacity is the capacity and load of all caches of a zone.
type zoneCapacity struct {
	cores              float64
	load               float64 // core seconds a second
	freeLink           float64 // bytes a second of the link that fills leave free without a restart
	coreSecondsPerByte float64 // work for each byte that is read
}

const (
	costStep = 250 * time.Millisecond // time step of the estimate

	// movedWorkCost is the share of work that counts as cost although other caches have capacity for it. It makes a
	// difference between sets of caches that cost nothing else.
	movedWorkCost = 0.01

	minRampSeconds        = 1e-6  // avoids a division by zero if slow start takes no time
	minCoreSecondsPerByte = 1e-12 // avoids a division by zero in a zone without load
)

// newRestartCosts returns the costs for sets of the given caches. It computes loads, copies and spare link capacity from
// Bounds at a multiple of the captured load.
func newRestartCosts(planner *Planner, caches []topology.Machine, factor float64) *restartCosts {
	network := planner.Topology
	costs := &restartCosts{slowStart: network.SlowStart, zones: make([]zoneCapacity, len(network.Zones))}
	loads, links := coreAndLinkLoads(network, planner.Demand, factor)
	cached, read := cachedAndRead(network, planner.Demand)
	for _, machine := range caches {
		kind := network.Kinds[machine.Kind]
		cores := float64(kind.Cores)
		load := loads[machine.ID] * cores
		costs.caches = append(costs.caches, cacheCapacity{
			zone:        machine.Zone,
			cores:       cores,
			load:        load,
			cachedBytes: min(cached[machine.ID], float64(kind.Memory)),
		})
		zone := &costs.zones[machine.Zone]
		zone.cores += cores
		zone.load += load
	}
	for z := range costs.zones {
		zone := &costs.zones[z]
		zone.freeLink = float64(network.Zones[z].Link) * max(0, 1-links[z])
		zone.coreSecondsPerByte = zone.load * planner.Demand.Span.Seconds() / factor / max(1, read[z])
	}
	return costs
}

// coreAndLinkLoads returns the share of the cores of each cache, and the share of the link of each zone, that the demand
// uses at a multiple of the captured load.
func coreAndLinkLoads(network *topology.Topology, demand *Demand, factor float64) (cores map[uint32]float64, links []float64) {
	cores = map[uint32]float64{}
	links = make([]float64, len(network.Zones))
	for _, limit := range Bounds(network, demand, factor) {
		switch {
		case limit.Resource == limitCores:
			cores[limit.ID] = limit.Load * factor
		case limit.Resource == limitLink && limit.ID == 0:
			links[limit.Zone] = limit.Load * factor
		}
	}
	return cores, links
}

// cachedAndRead returns for each cache the size of the different parts whose home it is, and for each zone the bytes read.
func cachedAndRead(network *topology.Topology, demand *Demand) (cached map[uint32]float64, read []float64) {
	cached = map[uint32]float64{}
	read = make([]float64, len(network.Zones))
	homes := newHomes(network)
	type zonePart struct {
		zone int
		part partKey
	}
	seen := map[zonePart]bool{} // each zone has a home of its own for a part
	for i := range demand.Requests {
		request := &demand.Requests[i]
		zone := network.ServingZone(int(request.Zone), nil)
		read[zone] += float64(request.Bytes)
		key := zonePart{zone, partKey{request.Object, request.Part}}
		if !seen[key] {
			seen[key] = true
			cached[homes.home(zone, request)] += float64(request.Bytes)
		}
	}
	return cached, read
}

// cost returns the estimated cost of the restart of a set of caches, given as indexes in c.caches.
func (c *restartCosts) cost(chosen []int) (cost float64) {
	lost := map[int]*cacheCapacity{} // by zone
	var zones []int
	for _, i := range chosen {
		cache := c.caches[i]
		sum := lost[cache.zone]
		if sum == nil {
			sum = &cacheCapacity{zone: cache.zone}
			lost[cache.zone] = sum
			zones = append(zones, cache.zone)
		}
		sum.cores += cache.cores
		sum.load += cache.load
		sum.cachedBytes += cache.cachedBytes
	}
	slices.Sort(zones)
	for _, zone := range zones {
		cost = c.addZone(cost, lost[zone])
	}
	return cost
}

// addZone adds the cost of the caches that restart in one zone to a cost and returns the sum. It adds term by term, one for
// each step of slow start, because a sum of floats depends on the order of its terms.
func (c *restartCosts) addZone(cost float64, lost *cacheCapacity) float64 {
	zone := c.zones[lost.zone]
	floor := float64(c.slowStart.Floor)
	rampSeconds := max(minRampSeconds, c.slowStart.Ramp.Seconds())
	unfilled := lost.cachedBytes // of the lost copies
	for at := time.Duration(0); at < c.slowStart.Ramp.Duration()+costStep; at += costStep {
		capacityShare := min(1, floor+(1-floor)*at.Seconds()/rampSeconds)
		capacity := zone.cores - lost.cores + lost.cores*capacityShare
		withoutCores := max(0, zone.load-capacity)
		// Reads of the lost copies wait until the copies are filled again.
		wanted := lost.load / max(minCoreSecondsPerByte, zone.coreSecondsPerByte) * unfilled / max(1, lost.cachedBytes)
		waiting := max(0, wanted-zone.freeLink) * zone.coreSecondsPerByte
		unfilled = max(0, unfilled-min(wanted, zone.freeLink)*costStep.Seconds())
		withoutCapacity := max(withoutCores, min(waiting, lost.load))
		moved := movedWorkCost * lost.load * (1 - capacityShare)
		cost += (withoutCapacity + moved) * costStep.Seconds()
	}
	return cost
}
