package capacity

// Bounds of links and fetches, from the misses of caches and parents and the fills for them.

import (
	"time"

	"indigochute.example/indigochute/internal/simulation"
	"indigochute.example/indigochute/internal/topology"
)

// fillTimes holds the time at which each part was last filled into a memory.
type fillTimes map[partKey]time.Duration

// expired reports whether a read needs a fill because the part was never filled or the copy is older than its freshness
// lifetime. In this case it records the time of the fill. At a multiple of the captured load the time between two reads is
// shorter by that factor. A lifetime of 0 means that copies do not age: expired then returns false.
func (f fillTimes) expired(request *Request, lifetime time.Duration, factor float64) bool {
	if lifetime == 0 {
		return false
	}
	key := partKey{request.Object, request.Part}
	if filledAt, filled := f[key]; filled {
		age := time.Duration(float64(request.At-filledAt) / factor)
		if age <= lifetime {
			return false
		}
	}
	f[key] = request.At
	return true
}

// zoneFills holds the fills of the caches of a zone.
type zoneFills struct {
	curve  *MissRatioCurve
	memory float64 // bytes
	filled fillTimes
	bytes  blockLoads // transferred over the zone's link
}

// sourceFills holds the fills that a parent or the origin serves.
type sourceFills struct {
	machine topology.Machine
	parent  *topology.Parent // nil for the origin
	curve   *MissRatioCurve  // nil for the origin
	filled  fillTimes        // nil for the origin
	bytes   blockLoads       // transferred over its link
	fetches blockLoads       // total duration of the fetches from the origin, in seconds
}

// fillBounds estimates the fills that a demand causes. The misses of a zone are filled over its link, from the parent that
// its directors choose first. The misses of that parent are filled from the origin.
type fillBounds struct {
	*bounds
	share   float64 // share of the parts whose reads are tracked
	zones   []*zoneFills
	sources []*sourceFills // parents, then the origin
	byID    map[uint32]*sourceFills
	origin  *sourceFills
}

// links adds the load on the links of zones, parents and the origin, and the fetches in flight at parents and the origin.
func (b *bounds) links() {
	fills := b.newFills()
	for i := range b.demand.Requests {
		fills.request(&b.demand.Requests[i])
	}
	fills.addLimits()
}

// newFills returns a fillBounds with empty memories.
func (b *bounds) newFills() *fillBounds {
	fills := &fillBounds{bounds: b, share: b.sampleShare(), byID: map[uint32]*sourceFills{}}
	for _, machine := range b.network.Machines() {
		if machine.Role == topology.CacheRole {
			continue
		}
		source := &sourceFills{machine: machine}
		if machine.Role == topology.ParentRole {
			source.parent = &b.network.Parents[machine.Kind]
			source.filled = fillTimes{}
			source.curve = NewMissRatioCurve(1) // tracks all of its reads, which are already a sample
			source.curve.share = fills.share
		}
		fills.byID[machine.ID] = source
		fills.sources = append(fills.sources, source)
	}
	fills.origin = fills.sources[len(fills.sources)-1]
	for zone := range b.network.Zones {
		fills.zones = append(fills.zones, &zoneFills{curve: NewMissRatioCurve(fills.share), memory: b.pool(zone), filled: fillTimes{}})
	}
	return fills
}

// request adds the fills that one request causes. The response to a write comes from the origin over the link of the zone.
func (f *fillBounds) request(request *Request) {
	class := &f.network.Classes[request.Class]
	zone, block := f.zones[f.zoneOf(request)], f.blockOf(request)
	if class.Write {
		zone.bytes[block] += simulation.WriteBytes
		f.origin.bytes[block] += simulation.WriteBytes
		f.origin.fetches[block] += f.network.Origin.Latency.Seconds()
		return
	}
	distance, tracked := zone.curve.Read(request.Object, request.Part, float64(request.Bytes))
	if !tracked {
		return
	}
	evicted := distance > zone.memory
	expired := zone.filled.expired(request, class.FreshFor.Duration(), f.factor)
	if !evicted && !expired {
		return
	}
	zone.bytes[block] += float64(request.Bytes) / f.share
	f.fill(request, class)
}

// fill adds a fill of a zone's cache from a parent or the origin, and the fetch of the parent if the parent misses.
func (f *fillBounds) fill(request *Request, class *topology.RequestClass) {
	block := f.blockOf(request)
	bytes := float64(request.Bytes) / f.share
	fetchSeconds := (f.network.Origin.Latency.Seconds() + float64(request.Bytes)/float64(f.network.Origin.Link)) / f.share
	source := f.byID[f.homes.parent(f.zoneOf(request), request)]
	if source == nil {
		source = f.origin
	}
	source.bytes[block] += bytes
	if source == f.origin {
		f.origin.fetches[block] += fetchSeconds
		return
	}
	distance, _ := source.curve.Read(request.Object, request.Part, float64(request.Bytes))
	evicted := distance > float64(source.parent.Memory)
	expired := source.filled.expired(request, class.FreshFor.Duration(), f.factor)
	if evicted || expired {
		f.origin.bytes[block] += bytes
		source.fetches[block] += fetchSeconds
		f.origin.fetches[block] += fetchSeconds
	}
}

// addLimits adds the links and fetches, with their loads, to the limits.
func (f *fillBounds) addLimits() {
	for z, zone := range f.network.Zones {
		f.add(Limit{Name: "zone " + zone.Name, Resource: limitLink, Zone: z}, f.shareOf(f.zones[z].bytes, float64(zone.Link)))
	}
	for _, source := range f.sources {
		link, fetches := float64(f.network.Origin.Link), f.network.Origin.Fetches
		if source.parent != nil {
			link, fetches = float64(source.parent.Link), source.parent.Fetches
		}
		machine := source.machine
		limit := Limit{Name: machine.Name, Resource: limitLink, Zone: machine.Zone, Kind: machine.Kind, ID: machine.ID}
		f.add(limit, f.shareOf(source.bytes, link))
		limit.Resource = limitFetches
		f.add(limit, f.shareOf(source.fetches, float64(fetches)))
	}
}

// shareOf converts the amounts of the blocks to shares of a limit that can carry the amount perSecond in a second.
func (f *fillBounds) shareOf(amounts blockLoads, perSecond float64) (shares blockLoads) {
	for block, amount := range amounts {
		shares[block] = amount / (f.blockSpan.Seconds() * perSecond)
	}
	return shares
}
