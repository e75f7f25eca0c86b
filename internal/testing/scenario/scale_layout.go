package scenario

// This file places the directors and control machines of the scenario "scale" in regions, zones and sites, and names the
// fault proxy's links between them.

import (
	"fmt"
	"strconv"
)

// Bounds of the sizes, and of the layout of the largest size.
const (
	minDirectors = 5
	maxDirectors = 580
	minControl   = 3
	maxControl   = 9
	minRegions   = 3
	maxRegions   = 7
	maxZones     = 18
	maxSites     = 39
)

// maxRealDirectors is the number of directors that run as processes of their own and serve clients. There is one fewer of them if
// the scenario has only five directors, so that at least one director is hollow.
const maxRealDirectors = 5

// directorsPerZone and directorsPerSite are the smallest average numbers of directors in a zone and a site.
const (
	directorsPerZone = 3
	directorsPerSite = 2
)

// Sizes are the sizes of the scenario "scale".
type Sizes struct {
	Directors int // 5 to 580
	Control   int // number of control machines: 3, 5, 7 or 9
}

// check returns an error for sizes that the scenario cannot be run with.
func (s Sizes) check() error {
	if s.Directors < minDirectors || s.Directors > maxDirectors {
		return fmt.Errorf("%d directors, want %d to %d", s.Directors, minDirectors, maxDirectors)
	}
	if s.Control < minControl || s.Control > maxControl || s.Control%2 == 0 {
		return fmt.Errorf("%d control machines, want an odd number from %d to %d", s.Control, minControl, maxControl)
	}
	return nil
}

// location is the location of a machine: the numbers of its region, zone and site.
type location struct{ region, zone, site int }

// String returns the location as in the cluster configuration file.
func (l location) String() string {
	return fmt.Sprintf("region: r%d, zone: z%d, site: s%d", l.region, l.zone, l.site)
}

// machine is a director or a control machine.
type machine struct {
	name     string
	location location
}

// layout places directors and control machines. Directors are spread over sites in turn, and control machines over regions. A
// site is part of one zone, and a zone of one region.
type layout struct {
	regions, zones, sites int
	control, directors    []machine
	realDirectors         int // number of directors, from the first on, that are processes of their own; all others are hollow
}

// newLayout returns the layout for the given sizes. There are at least as many zones as regions, and as many sites as zones.
func newLayout(sizes Sizes) *layout {
	l := &layout{realDirectors: min(maxRealDirectors, sizes.Directors-1)}
	l.regions = clamp(sizes.Directors/directorsPerZone, minRegions, maxRegions)
	l.zones = clamp(sizes.Directors/directorsPerZone, l.regions, maxZones)
	l.sites = clamp(sizes.Directors/directorsPerSite, l.zones, maxSites)
	for i := range sizes.Directors {
		l.directors = append(l.directors, machine{"d" + strconv.Itoa(i), l.locate(i % l.sites)})
	}
	for i := range sizes.Control {
		sites := l.sitesOf(i % l.regions)
		site := sites[i/l.regions%len(sites)]
		l.control = append(l.control, machine{"c" + strconv.Itoa(i), l.locate(site)})
	}
	return l
}

// clamp limits a value to a range.
func clamp(value, low, high int) int { return min(high, max(low, value)) }

// locate returns the location of a site.
func (l *layout) locate(site int) location {
	zone := site % l.zones
	return location{zone % l.regions, zone, site}
}

// sitesOf returns the sites of a region.
func (l *layout) sitesOf(region int) (sites []int) {
	for site := range l.sites {
		if l.locate(site).region == region {
			sites = append(sites, site)
		}
	}
	return sites
}

// hollowDirectors returns the directors that run together in one process.
func (l *layout) hollowDirectors() []machine { return l.directors[l.realDirectors:] }

// severableRegions returns the regions that can be cut off. Each has a control machine, but a majority of control machines is in
// other regions. Each also has a hollow director, as every event is checked only for hollow directors.
func (l *layout) severableRegions() (regions []int) {
	for region := range l.regions {
		control := countIn(region, l.control)
		majorityRemains := 2*control < len(l.control)
		if control > 0 && majorityRemains && countIn(region, l.hollowDirectors()) > 0 {
			regions = append(regions, region)
		}
	}
	return regions
}

// countIn counts the machines of a region.
func countIn(region int, machines []machine) (count int) {
	for _, m := range machines {
		if m.location.region == region {
			count++
		}
	}
	return count
}

// controlLink returns the name of the proxy's link from one control machine to one in another region.
func controlLink(from, to machine) string { return from.name + ">" + to.name }

// directorLink returns the name of the proxy's link from the directors of a region to a control machine of any region.
func directorLink(region int, to machine) string { return fmt.Sprintf("r%d>%s", region, to.name) }

// allDirectorLinks is the pattern of all links that directors use.
const allDirectorLinks = "r*>c*"

// border returns the names of the links between a region and the others, in both directions.
func (l *layout) border(region int) (links []string) {
	for _, to := range l.control {
		toInside := to.location.region == region
		for from := range l.regions {
			if (from == region) != toInside {
				links = append(links, directorLink(from, to))
			}
		}
		for _, from := range l.control {
			if (from.location.region == region) != toInside {
				links = append(links, controlLink(from, to))
			}
		}
	}
	return links
}
