package topology

// The machines of a description, with their IDs and names.

import (
	"strconv"

	"indigochute.example/indigochute/internal/routing"
)

// Role is the tier of a machine. Its value is the kind under which the discovery service lists the machine.
type Role uint8

const (
	// CacheRole is a machine that directors forward requests to.
	CacheRole Role = iota
	// ParentRole is a machine that fills caches.
	ParentRole
	// OriginRole is the origin server.
	OriginRole
)

// Machine is one machine of a description.
type Machine struct {
	ID   uint32
	Name string // kind or group of parents, zone and number, such as std-west-3
	Role Role
	Kind int // of a cache its index in Kinds, of a parent its index in Parents; 0 for the origin
	Zone int // index in Zones; 0 for the origin
}

// DiscoveryKind returns the kind under which the discovery service lists a machine.
func (m Machine) DiscoveryKind() int { return int(m.Role) }

// IDs of parents and the origin. All IDs of caches are below FirstParentID.
const (
	FirstParentID = 1 << cacheIDBits
	OriginID      = 0x7fffffff
)

// Parts of an ID. That of a cache is a hash above its zone, that of a parent its group above its number in the group.
const (
	zoneIDBits   = 8 // of at most 250 zones
	hashIDBits   = 22
	cacheIDBits  = hashIDBits + zoneIDBits
	parentIDBits = 12 // of at most 1000 parents in a group
)

// Machines returns all machines: caches in the order of kind, zone and number, then parents, then the origin. IDs are
// computed from kind, zone and number, so that machines keep theirs when a zone or a kind grows. All IDs differ.
func (t *Topology) Machines() []Machine {
	machines := append(t.caches(), t.parents()...)
	return append(machines, Machine{ID: OriginID, Name: "origin", Role: OriginRole})
}

// caches returns all caches.
func (t *Topology) caches() (caches []Machine) {
	taken := map[uint32]bool{} // IDs
	for k, kind := range t.Kinds {
		for z, zone := range t.Zones {
			for i := range kind.CountByZone[zone.Name] {
				caches = append(caches, Machine{
					ID:   freeCacheID(k, z, i, taken),
					Name: machineName(kind.Name, zone.Name, i),
					Role: CacheRole,
					Kind: k,
					Zone: z,
				})
			}
		}
	}
	return caches
}

// freeCacheID returns the ID of a cache and marks it as taken. Among thousands of caches two may have the same hash. The
// later one then has the next free ID of the zone.
func freeCacheID(kind, zone, number int, taken map[uint32]bool) uint32 {
	hash := routing.Hash(uint64(kind), uint64(zone), uint64(number))
	id := uint32(hash&(1<<hashIDBits-1))<<zoneIDBits | uint32(zone)
	for taken[id] {
		id = (id + 1<<zoneIDBits) & (1<<cacheIDBits - 1)
	}
	taken[id] = true
	return id
}

// parents returns all parents.
func (t *Topology) parents() (parents []Machine) {
	zones := t.zoneIndexes()
	for k, group := range t.Parents {
		for i := range group.Count {
			parents = append(parents, Machine{
				ID:   FirstParentID | uint32(k)<<parentIDBits | uint32(i),
				Name: machineName(group.Name, group.Zone, i),
				Role: ParentRole,
				Kind: k,
				Zone: zones[group.Zone],
			})
		}
	}
	return parents
}

// machineName returns the name of a machine of a kind or group of parents.
func machineName(kind, zone string, number int) string {
	return kind + "-" + zone + "-" + strconv.Itoa(number)
}
