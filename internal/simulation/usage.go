package simulation

// Utilization of the limits of a world, from the difference between two snapshots of its counters.

import (
	"time"

	"indigochute.example/indigochute/internal/topology"
)

// Names of limits in Use.What.
const (
	LimitCores   = "cores"   // of a cache
	LimitLink    = "link"    // of a zone, a parent or the origin
	LimitFetches = "fetches" // concurrent fetches from the origin, of a parent or the origin
)

// Use is the utilization of one limit between two snapshots.
type Use struct {
	Name     string  // of the machine, or "zone " and the name of the zone
	Resource string  // LimitCores, LimitLink or LimitFetches
	Zone     int     // of the machine or link
	Kind     int     // of a cache or parent
	ID       uint32  // of the machine; 0: the link of a zone
	Used     float64 // mean utilization, 0 to 1
}

// Snapshot holds the counters of a world at one time. World.Uses compares it with the counters of a later time.
type Snapshot struct {
	at           time.Duration
	coreSeconds  []float64 // by machine
	fetchSeconds []float64 // by machine
	linkBytes    []float64 // by link: zones, then parents, then the origin
}

// Snapshot returns the current counters.
func (w *World) Snapshot() Snapshot {
	snapshot := Snapshot{at: w.now}
	w.network.settle(w.now)
	for _, m := range w.machineList {
		if m.Role == topology.CacheRole {
			m.cores.settle(w.now)
		}
		snapshot.coreSeconds = append(snapshot.coreSeconds, m.cores.busy)
		m.settleFetches(w.now)
		snapshot.fetchSeconds = append(snapshot.fetchSeconds, m.fetchSeconds)
	}
	for _, l := range w.network.links {
		snapshot.linkBytes = append(snapshot.linkBytes, l.moved)
	}
	return snapshot
}

// Uses returns the utilization of each limit since an earlier snapshot: first the links of zones, then machine by machine
// the cores of caches, and the link and the fetches of parents and the origin. It returns nil if no time has passed.
func (w *World) Uses(since Snapshot) (uses []Use) {
	current := w.Snapshot()
	seconds := (current.at - since.at).Seconds()
	if seconds <= 0 {
		return nil
	}
	linkRate := func(link int) float64 { return (current.linkBytes[link] - since.linkBytes[link]) / seconds }
	busyCores := func(m int) float64 { return (current.coreSeconds[m] - since.coreSeconds[m]) / seconds }
	fetches := func(m int) float64 { return (current.fetchSeconds[m] - since.fetchSeconds[m]) / seconds }

	for z, zone := range w.description.Zones {
		used := linkRate(z) / float64(zone.Link)
		uses = append(uses, Use{Name: "zone " + zone.Name, Resource: LimitLink, Zone: z, Used: used})
	}
	link := len(w.description.Zones) // index of the link of the next parent or the origin
	for i, m := range w.machineList {
		use := func(what string, used float64) Use {
			return Use{Name: m.Name, Resource: what, Zone: m.Zone, Kind: m.Kind, ID: m.ID, Used: used}
		}
		if m.Role == topology.CacheRole {
			uses = append(uses, use(LimitCores, busyCores(i)/m.cores.count))
			continue
		}
		uses = append(uses,
			use(LimitLink, linkRate(link)/m.linkRate),
			use(LimitFetches, fetches(i)/float64(m.maxFetches)))
		link++
	}
	return uses
}

// CachedBytes returns the size in bytes of all copies in the memory of a machine. It is 0 for the origin and for an
// unknown machine, which have no memory.
func (w *World) CachedBytes(node uint32) float64 {
	if m := w.machines[node]; m != nil && m.memory != nil {
		return m.memory.used
	}
	return 0
}

// Failures returns how many times machines have gone down, by Kill or by overload in slow start.
func (w *World) Failures() (total int) {
	for _, m := range w.machineList {
		total += m.failures
	}
	return total
}
