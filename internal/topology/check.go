package topology

// Checks of a description that involve several keys: duplicate and unknown names, zones without caches, too many caches.

import (
	"fmt"
	"slices"
)

// maxCaches is the maximum number of caches in a description, over all kinds and zones.
const maxCaches = 100000

// check reports faults that validate tags cannot express.
func (t *Topology) check(report ReportFault) {
	checkNames(report, "zones", t.Zones, func(z Zone) string { return z.Name })
	checkNames(report, "kinds", t.Kinds, func(k CacheKind) string { return k.Name })
	checkNames(report, "parents", t.Parents, func(p Parent) string { return p.Name })
	checkNames(report, "vhosts", t.Classes, func(c RequestClass) string { return c.Name })
	t.checkCaches(report)
	t.checkParents(report)
	t.checkSlowStart(report)
	t.checkDirectors(report)
}

// checkNames reports each item of a list that has the same name as an earlier item.
func checkNames[T any](report ReportFault, list string, items []T, nameOf func(T) string) {
	var names []string
	for i, item := range items {
		name := nameOf(item)
		if slices.Contains(names, name) {
			report(itemPath(list, i)+".name", "«"+name+"» a second time", "another name")
		}
		names = append(names, name)
	}
}

// checkCaches reports caches in unknown zones, more caches than maxCaches, and directors in zones without caches.
func (t *Topology) checkCaches(report ReportFault) {
	zones := t.zoneIndexes()
	countByZone := map[string]int{}
	total := 0
	for i, kind := range t.Kinds {
		for zone, count := range kind.CountByZone {
			if _, known := zones[zone]; !known {
				report(fmt.Sprintf("kinds[%d].number.%s", i, zone), "an unknown zone", "one of the zones")
			}
			countByZone[zone] += count
			total += count
		}
	}
	if total > maxCaches {
		report("kinds", fmt.Sprintf("%d caches", total), fmt.Sprintf("at most %d", maxCaches))
	}
	for i, zone := range t.Zones {
		if zone.Directors > 0 && countByZone[zone.Name] == 0 {
			report(itemPath("zones", i), "zone "+zone.Name+" with directors but without caches", "caches in kinds, or directors: 0")
		}
	}
}

// checkParents reports parents in unknown zones.
func (t *Topology) checkParents(report ReportFault) {
	zones := t.zoneIndexes()
	for i, parent := range t.Parents {
		if _, known := zones[parent.Zone]; !known {
			report(itemPath("parents", i)+".zone", "«"+parent.Zone+"»", "one of the zones")
		}
	}
}

// checkSlowStart reports an overload window of parents that differs from that of caches. Directors have one setting for
// both.
func (t *Topology) checkSlowStart(report ReportFault) {
	if window := t.ParentSlowStart.Window; window != 0 && window != t.SlowStart.Window {
		report("parentCold.window", "«"+window.String()+"»", "the value of cold.window, because directors have one window for caches and parents")
	}
}

// checkDirectors reports a description without any director.
func (t *Topology) checkDirectors(report ReportFault) {
	total := 0
	for _, zone := range t.Zones {
		total += zone.Directors
	}
	if total == 0 {
		report("zones", "no director", "directors in at least one zone")
	}
}
