package hollow

// This file assigns nodes to the locations of a large deployment, and writes its cluster configuration.

import (
	"fmt"
	"strings"
)

// Numbers of locations in a large deployment. A region has several zones, and a zone several sites.
const (
	Regions = 7
	Zones   = 18
	Sites   = 39
)

// Layout describes a deployment: either a mesh of Instances, or Control machines and the Directors that follow them.
type Layout struct {
	Instances  []string // addresses of the instances n0, n1 and so on
	Control    []string // addresses of the control machines c0, c1 and so on
	Directors  int      // number of directors, which are spread evenly over all sites
	NameFormat string   // of the directors' names, in which %d is the number; empty means d%d
	Settings   string   // YAML of all other settings, including the jobs
}

// location is the location of a node: the names of its region, zone and site.
type location struct{ region, zone, site string }

// String returns the location as in the cluster configuration file.
func (l location) String() string {
	return fmt.Sprintf("region: %s, zone: %s, site: %s", l.region, l.zone, l.site)
}

// locate returns the location of a site, by its number.
func locate(site int) location {
	zone := site * Zones / Sites
	return location{regionName(zone * Regions / Zones), fmt.Sprintf("z%d", zone), fmt.Sprintf("s%d", site)}
}

func regionName(region int) string { return fmt.Sprintf("r%d", region) }

// locateControl returns the location of a control machine. The first machines are at the first site of one region each. Further
// ones are at the last site of a region.
func locateControl(number int) location {
	var inRegion []location
	for site := range Sites {
		if at := locate(site); at.region == regionName(number%Regions) {
			inRegion = append(inRegion, at)
		}
	}
	if number < Regions {
		return inRegion[0]
	}
	return inRegion[len(inRegion)-1]
}

// DirectorName returns the name of a director, by its number.
func (l *Layout) DirectorName(number int) string {
	if l.NameFormat != "" {
		return fmt.Sprintf(l.NameFormat, number)
	}
	return fmt.Sprintf("d%d", number)
}

// ClusterConfig returns the text of the cluster configuration file, which is the same for all nodes.
func (l *Layout) ClusterConfig() string {
	var text strings.Builder
	if len(l.Instances) > 0 {
		text.WriteString("instances:\n")
		for i, address := range l.Instances {
			fmt.Fprintf(&text, "  - {name: n%d, address: %q}\n", i, address)
		}
		return text.String() + l.Settings
	}
	text.WriteString("control:\n")
	for i, address := range l.Control {
		fmt.Fprintf(&text, "  - {name: c%d, address: %q, %v}\n", i, address, locateControl(i))
	}
	text.WriteString("directors:\n")
	for i := range l.Directors {
		fmt.Fprintf(&text, "  - {name: %s, %v}\n", l.DirectorName(i), locate(i%Sites))
	}
	return text.String() + l.Settings
}

// NodeSpecs returns the specs of a number of directors, beginning with director number from, that read the same cluster
// configuration file.
func (l *Layout) NodeSpecs(configFile string, from, number int) (specs []NodeSpec) {
	for i := range number {
		specs = append(specs, NodeSpec{l.DirectorName(from + i), configFile})
	}
	return specs
}
