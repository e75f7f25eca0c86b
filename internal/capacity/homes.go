package capacity

// The machines that directors choose first for a request.

import (
	"indigochute.example/indigochute/internal/routing"
	"indigochute.example/indigochute/internal/topology"
)

// homes finds the machines that directors choose for a request while no machine is overloaded or ejected: the home node
// among the caches of a zone, and the first parent of the nearest hub. All machines have the same weight, whatever their
// size.
type homes struct {
	network *topology.Topology
	zones   []zoneHomes
}

// zoneHomes holds the machines that the directors of one zone choose from, and caches their choices by document.
type zoneHomes struct {
	caches           []uint32
	parents          []uint32 // at the nearest hub that has any
	parentDistance   int      // distance of that hub; meaningless without parents
	homeByDocument   map[uint64]uint32
	parentByDocument map[uint64]uint32
}

// newHomes lists the machines of each zone. Choices are computed when they are needed.
func newHomes(network *topology.Topology) *homes {
	found := &homes{network: network, zones: make([]zoneHomes, len(network.Zones))}
	for z := range found.zones {
		found.zones[z].homeByDocument = map[uint64]uint32{}
		found.zones[z].parentByDocument = map[uint64]uint32{}
	}
	for _, machine := range network.Machines() {
		switch machine.Role {
		case topology.CacheRole:
			zone := &found.zones[machine.Zone]
			zone.caches = append(zone.caches, machine.ID)
		case topology.ParentRole:
			for z := range found.zones {
				found.zones[z].addParent(machine.ID, network.HubDistance(z, machine.Zone))
			}
		}
	}
	return found
}

// addParent adds a parent unless a nearer one is known. It drops parents that are farther.
func (z *zoneHomes) addParent(id uint32, distance int) {
	if len(z.parents) == 0 || distance < z.parentDistance {
		z.parents = nil
		z.parentDistance = distance
	}
	if distance == z.parentDistance {
		z.parents = append(z.parents, id)
	}
}

// home returns the home node of a request in a zone; 0 if the zone has no caches.
func (h *homes) home(zone int, request *Request) uint32 {
	return firstRanked(h.zones[zone].homeByDocument, h.zones[zone].caches, documentKey(h.network, request))
}

// parent returns the parent that the directors of a zone choose first; 0 if they choose the origin.
func (h *homes) parent(zone int, request *Request) uint32 {
	return firstRanked(h.zones[zone].parentByDocument, h.zones[zone].parents, documentKey(h.network, request))
}

// documentKey identifies the document for which directors rank machines: an object, or one part of it.
func documentKey(network *topology.Topology, request *Request) uint64 {
	return routing.DocumentKey(request.Object, request.Part, network.Classes[request.Class].Parts > 0)
}

// firstRanked returns the first machine in the rendezvous hash order of a document. It caches the result in known.
func firstRanked(known map[uint64]uint32, ids []uint32, document uint64) uint32 {
	id, ok := known[document]
	if !ok {
		id = routing.Home(document, ids)
		known[document] = id
	}
	return id
}
