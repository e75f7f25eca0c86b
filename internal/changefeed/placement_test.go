package changefeed

import (
	"fmt"
	"slices"
	"testing"
)

// testSite returns one of 39 sites in 18 zones of 7 regions.
func testSite(i int) Place {
	zones, sites := [7]int{3, 3, 3, 3, 2, 2, 2}, 0
	zone := 0
	for r, zoneCount := range zones {
		for range zoneCount {
			sitesOfZone := 2
			if zone%6 == 0 {
				sitesOfZone = 3
			}
			if i%39 < sites+sitesOfZone {
				return Place{fmt.Sprint("r", r), fmt.Sprint("z", zone), fmt.Sprint("s", i%39)}
			}
			sites += sitesOfZone
			zone++
		}
	}
	panic("the zones have fewer than 39 sites")
}

// nineMachines returns nine control machines at sites in different zones: two in each of the first two regions, one in each other.
func nineMachines() (all []ControlMachine) {
	for r, at := range [9]int{0, 7, 13, 20, 27, 32, 36, 3, 10} {
		all = append(all, ControlMachine{fmt.Sprint("c", r), testSite(at)})
	}
	return all
}

func TestSiteCounts(t *testing.T) {
	regions, zones, sites := map[string]int{}, map[string]int{}, map[string]int{}
	for i := range 39 {
		place := testSite(i)
		regions[place.Region]++
		zones[place.Zone]++
		sites[place.Site]++
	}
	expectEqual(t, "regions", len(regions), 7)
	expectEqual(t, "zones", len(zones), 18)
	expectEqual(t, "sites", len(sites), 39)
}

func TestFailureDistance(t *testing.T) {
	place := Place{Region: "r", Zone: "z", Site: "s"}
	for _, test := range []struct {
		name  string
		other Place
		want  int
	}{
		{name: "same site", other: place, want: 0},
		{name: "other site", other: Place{Region: "r", Zone: "z", Site: "t"}, want: 1},
		{name: "other zone", other: Place{Region: "r", Zone: "y", Site: "s"}, want: 2},
		{name: "other region", other: Place{Region: "q", Zone: "z", Site: "s"}, want: 3},
	} {
		expectEqual(t, test.name, FailureDistance(place, test.other), test.want)
		expectEqual(t, test.name+", reversed", FailureDistance(test.other, place), test.want)
	}
}

// TestPreferenceOrder checks that each machine is listed once, those of the director's region first, that the first machines of other
// regions are evenly distributed over the directors, and that removing a machine does not change the order of the others.
func TestPreferenceOrder(t *testing.T) {
	all := nineMachines()
	firsts := map[string]int{}
	for i := range 580 {
		directorName, at := fmt.Sprint("d", i), testSite(i)
		got := PreferenceOrder(directorName, at, append(all, all[0]))
		if len(got) != len(all) {
			t.Fatalf("%s: got %v, want each of %d machines once", directorName, got, len(all))
		}
		near := 0
		for position, name := range got {
			index := slices.IndexFunc(all, func(machine ControlMachine) bool { return machine.Name == name })
			if all[index].Place.Region != at.Region {
				continue
			}
			near++
			if near != position+1 {
				t.Errorf("%s at %v: got %v, want the machines of its region first", directorName, at, got)
			}
		}
		firsts[got[near]]++ // first of the other regions
		without := PreferenceOrder(directorName, at, all[1:])
		if want := slices.DeleteFunc(got, func(name string) bool { return name == all[0].Name }); !slices.Equal(without, want) {
			t.Errorf("%s without %s: got %v, want %v", directorName, all[0].Name, without, want)
		}
	}
	const minCount, maxCount = 40, 95 // the mean is 64.4
	for _, machine := range all {
		if count := firsts[machine.Name]; count < minCount || count > maxCount {
			t.Errorf("%s: got %d directors for which it is first of the other regions, want %d to %d", machine.Name, count, minCount, maxCount)
		}
	}
}

// bestPair returns the machines that a director is linked to in the absence of faults.
func bestPair(directorName string, at Place, all []ControlMachine) (first, second string) {
	order, places := PreferenceOrder(directorName, at, all), map[string]Place{}
	for _, machine := range all {
		places[machine.Name] = machine.Place
	}
	greatest := -1
	for _, name := range order[1:] {
		if distance := FailureDistance(places[order[0]], places[name]); distance > greatest {
			second, greatest = name, distance
		}
	}
	return order[0], second
}
