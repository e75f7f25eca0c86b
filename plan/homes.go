package plan

import (
	"indigochute.example/indigochute/control"
	"indigochute.example/indigochute/fleet"
)

// homes finds the machines that directors of a zone choose for a req when nothing stands in the way.
type homes struct {
	f       *fleet.Fleet
	caches  [][]uint32 // by zone
	parents [][]uint32 // by zone: those of the nearest hub
	known   []map[uint64]uint32
	above   []map[uint64]uint32
}

func newHomes(f *fleet.Fleet) *homes {
	h := &homes{f: f, caches: make([][]uint32, len(f.Zones)), parents: make([][]uint32, len(f.Zones)), known: make([]map[uint64]uint32, len(f.Zones)),
		above: make([]map[uint64]uint32, len(f.Zones))}
	hubs := 0
	for _, z := range f.Zones {
		hubs = max(hubs, z.Hub+1)
	}
	for z := range f.Zones {
		h.known[z], h.above[z] = map[uint64]uint32{}, map[uint64]uint32{}
	}
	nearest := make([]int, len(f.Zones))
	for _, m := range f.Machines() {
		switch m.Role {
		case fleet.Cache:
			h.caches[m.Zone] = append(h.caches[m.Zone], m.ID)
		case fleet.ParentRole:
			for z := range f.Zones {
				way := (f.Zones[m.Zone].Hub - f.Zones[z].Hub + hubs) % hubs
				way = min(way, hubs-way)
				if len(h.parents[z]) == 0 || way < nearest[z] {
					h.parents[z], nearest[z] = nil, way
				}
				if way == nearest[z] {
					h.parents[z] = append(h.parents[z], m.ID)
				}
			}
		}
	}
	return h
}

func (h *homes) home(zone int, r *Req) uint32 {
	return find(h.known[zone], h.caches[zone], document(h.f, r))
}

// parent is the one that is asked first; 0: the origin.
func (h *homes) parent(zone int, r *Req) uint32 {
	return find(h.above[zone], h.parents[zone], document(h.f, r))
}

// document is what directors rank machines for.
func document(f *fleet.Fleet, r *Req) uint64 {
	return control.Document(r.Obj, r.Part, f.Vhosts[r.Vhost].Parts > 0)
}

func find(known map[uint64]uint32, ids []uint32, doc uint64) uint32 {
	id, ok := known[doc]
	if !ok {
		id = control.Home(doc, ids)
		known[doc] = id
	}
	return id
}
