package capacity

// Bounds of links and fetches: the misses of caches and parents, and the fills that they cause.

import (
	"time"

	"indigochute.example/indigochute/internal/simulation"
	"indigochute.example/indigochute/internal/topology"
)

// fillTimes holds the time at which each part was last filled into a memory.
type fillTimes map[partKey]time.Duration

// expired reports whether a read finds a copy past its freshness lifetime, or none, and records the fill that follows. At
// a multiple of the captured load the time between two reads is shorter by that factor. A lifetime of 0 means that copies
// do not age, and expired is false.
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
	bytes  blockLoads // through the zone's link
}

// sourceFills holds the fills that a parent or the origin serves.
type sourceFills struct {
	machine topology.Machine
	parent  *topology.Parent // nil: the origin
	curve   *MissRatioCurve  // of a parent
	filled  fillTimes        // of a parent
	bytes   blockLoads       // out of its link
	fetches blockLoads       // seconds that fetches from the origin take, added up
}

// fillBounds follows the fills that a demand causes. The misses of a zone are filled through its link, from the parent that
// its directors choose first. The misses of that parent are filled from the origin.
type fillBounds struct {
	*bounds
	share   float64 // share of the reads that is followed
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
			source.curve = NewMissRatioCurve(1) // follows all of its reads: they are a sample already
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

// request adds the fills that one request causes. A write goes to the origin and passes the link of its zone.
func (f *fillBounds) request(request *Request) {
	class := &f.network.Classes[request.Class]
	zone, block := f.zones[f.zoneOf(request)], f.blockOf(request)
	if class.Write {
		zone.bytes[block] += simulation.WriteBytes
		f.origin.bytes[block] += simulation.WriteBytes
		f.origin.fetches[block] += f.network.Origin.Latency.Seconds()
		return
	}
	distance, followed := zone.curve.Read(request.Object, request.Part, float64(request.Bytes))
	if !followed {
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

// fill adds a fill of the caches of a zone from the parent or the origin.
func (f *fillBounds) fill(request *Request, class *topology.RequestClass) {
	block := f.blockOf(request)
	bytes := float64(request.Bytes) / f.share
	fetching := (f.network.Origin.Latency.Seconds() + float64(request.Bytes)/float64(f.network.Origin.Link)) / f.share
	source := f.byID[f.homes.parent(f.zoneOf(request), request)]
	if source == nil {
		source = f.origin
	}
	source.bytes[block] += bytes
	if source == f.origin {
		f.origin.fetches[block] += fetching
		return
	}
	distance, _ := source.curve.Read(request.Object, request.Part, float64(request.Bytes))
	evicted := distance > float64(source.parent.Memory)
	expired := source.filled.expired(request, class.FreshFor.Duration(), f.factor)
	if evicted || expired {
		f.origin.bytes[block] += bytes
		source.fetches[block] += fetching
		f.origin.fetches[block] += fetching
	}
}

// addLimits adds the links and fetches, with the loads found, to the limits.
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

// shareOf returns the amounts of the blocks as shares of a limit that carries perSecond in a second.
func (f *fillBounds) shareOf(amounts blockLoads, perSecond float64) (shares blockLoads) {
	for block, amount := range amounts {
		shares[block] = amount / (f.blockSpan.Seconds() * perSecond)
	}
	return shares
}
