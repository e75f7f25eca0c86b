package clusterconfig

// Numbers of control machines and directors by place, which the check command prints for an operator file.

import (
	"cmp"
	"slices"
)

// Region has the numbers of control machines and directors in one region.
type Region struct {
	Name               string
	Control, Directors int    // numbers of control machines and of directors
	Zones              []Zone // zones with directors, sorted by name
}

// Zone has the number of directors in one zone.
type Zone struct {
	Name      string
	Directors int
	Sites     []Site // sites with directors, sorted by name
}

// Site has the number of directors in one site.
type Site struct {
	Name      string
	Directors int
}

// Regions returns the numbers of control machines and directors by region, zone and site, sorted by name.
func (f *File) Regions() (regions []Region) {
	regionNamed := func(name string) *Region {
		return entryNamed(&regions, name, func(r *Region) *string { return &r.Name })
	}
	for _, control := range f.Control {
		regionNamed(control.Region).Control++
	}
	for _, director := range f.Directors {
		region := regionNamed(director.Region)
		region.Directors++
		zone := entryNamed(&region.Zones, director.Zone, func(z *Zone) *string { return &z.Name })
		zone.Directors++
		site := entryNamed(&zone.Sites, director.Site, func(s *Site) *string { return &s.Name })
		site.Directors++
	}
	return regions
}

// entryNamed returns the entry with a name in a list that is sorted by name. If there is none it inserts one. The pointer is valid
// until the next insertion.
func entryNamed[T any](list *[]T, name string, nameOf func(*T) *string) *T {
	compare := func(entry T, name string) int { return cmp.Compare(*nameOf(&entry), name) }
	i, found := slices.BinarySearchFunc(*list, name, compare)
	if !found {
		var entry T
		*nameOf(&entry) = name
		*list = slices.Insert(*list, i, entry)
	}
	return &(*list)[i]
}

// linksPerDirector is the number of links to control machines that each director has.
const linksPerDirector = 2

// LinksPerControlMachine returns the mean number of links of directors to one control machine after the given number of control
// machines is lost. It returns 0 if fewer control machines are left than a director has links.
func (f *File) LinksPerControlMachine(lost int) float64 {
	left := len(f.Control) - lost
	if left < linksPerDirector {
		return 0
	}
	return linksPerDirector * float64(len(f.Directors)) / float64(left)
}
