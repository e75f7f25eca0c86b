package capacity

// Bounds of the cores of caches.

import (
	"cmp"
	"slices"

	"indigochute.example/indigochute/internal/topology"
)

// cacheLoad is the work that the demand causes at one cache.
type cacheLoad struct {
	machine topology.Machine
	kind    *topology.CacheKind
	work    blockLoads // mean number of busy cores in each block
}

// perCore returns the work per core in a block.
func (c *cacheLoad) perCore(block int) float64 { return c.work[block] / float64(c.kind.Cores) }

// cores adds the load on the cores of all caches. Each home node has the work of its own documents. The work of hot
// documents is spread over the least loaded caches of a zone, as directors do.
func (b *bounds) cores() {
	zones := make([][]*cacheLoad, len(b.network.Zones))
	byID := map[uint32]*cacheLoad{}
	for _, machine := range b.network.Machines() {
		if machine.Role == topology.CacheRole {
			load := &cacheLoad{machine: machine, kind: &b.network.Kinds[machine.Kind]}
			byID[machine.ID] = load
			zones[machine.Zone] = append(zones[machine.Zone], load)
		}
	}
	hotWork := b.addWork(zones, byID)
	for zone, caches := range zones {
		for block := range blocks {
			spreadHotWork(caches, block, hotWork[zone][block])
		}
		for _, cache := range caches {
			b.addCores(cache)
		}
	}
}

// addCores adds the cores of a cache to the limits.
func (b *bounds) addCores(cache *cacheLoad) {
	var loads blockLoads
	for block := range loads {
		loads[block] = cache.perCore(block)
	}
	machine := cache.machine
	b.add(Limit{Name: machine.Name, Resource: limitCores, Zone: machine.Zone, Kind: machine.Kind, ID: machine.ID}, loads)
}

// addWork adds the work of each request to its home node. It returns the work of hot documents, which have no single home,
// by zone.
func (b *bounds) addWork(zones [][]*cacheLoad, byID map[uint32]*cacheLoad) (hotWork []blockLoads) {
	hotWork = make([]blockLoads, len(zones))
	for i := range b.demand.Requests {
		request := &b.demand.Requests[i]
		zone, block := b.zoneOf(request), b.blockOf(request)
		home := byID[b.homes.home(zone, request)]
		if home == nil {
			continue
		}
		coreSeconds := home.kind.OverheadTime.Seconds() + float64(request.Bytes)/float64(home.kind.CoreRate)
		work := coreSeconds / b.blockSpan.Seconds()
		document := b.reads[zone].documents[documentKey(b.network, request)]
		if len(zones[zone]) > 1 && b.hot(zone, document) {
			hotWork[zone][block] += work
		} else {
			home.work[block] += work
		}
	}
	return hotWork
}

// spreadHotWork distributes work over the caches of a zone so that the highest load per core is as low as possible (water
// filling).
func spreadHotWork(caches []*cacheLoad, block int, hotWork float64) {
	if len(caches) == 0 {
		return
	}
	order := slices.Clone(caches)
	slices.SortFunc(order, func(a, b *cacheLoad) int { return cmp.Compare(a.perCore(block), b.perCore(block)) })
	work, cores, level := hotWork, 0.0, 0.0
	for i, cache := range order {
		cores += float64(cache.kind.Cores)
		work += cache.work[block]
		level = work / cores
		if i+1 == len(order) || level <= order[i+1].perCore(block) {
			break
		}
	}
	for _, cache := range order {
		cache.work[block] = max(cache.work[block], level*float64(cache.kind.Cores))
	}
}
