package scenario

// This file tests the sizes and the layout of the scenario "scale".

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/clusterconfig"
)

// Sizes out of bounds are rejected before anything is started, and so are sizes for a scenario that does not accept any.
func TestInvalidSizesAreRejected(t *testing.T) {
	for _, test := range []struct {
		sizes     Sizes
		wantError string
	}{
		{Sizes{4, 3}, "4 directors, want 5 to 580"},
		{Sizes{581, 9}, "581 directors, want 5 to 580"},
		{Sizes{0, 9}, "0 directors"},
		{Sizes{-1, 9}, "-1 directors"},
		{Sizes{20, 1}, "1 control machines, want an odd number from 3 to 9"},
		{Sizes{20, 4}, "4 control machines"},
		{Sizes{20, 11}, "11 control machines"},
		{Sizes{20, 0}, "0 control machines"},
	} {
		if _, err := Run("scale", 1, test.sizes); err == nil || !strings.Contains(err.Error(), test.wantError) {
			t.Errorf("%+v: error %v, want one with %q", test.sizes, err, test.wantError)
		}
	}
	if _, err := Run("plan", 1, Sizes{20, 3}); err == nil || !strings.Contains(err.Error(), "plan does not accept sizes") {
		t.Errorf("sizes for the scenario plan: error %v, want one that it does not accept sizes", err)
	}
}

// The smallest and the largest sizes are accepted.
func TestSizesAtTheBoundsAreAccepted(t *testing.T) {
	for _, directors := range []int{minDirectors, maxDirectors} {
		for _, control := range []int{minControl, maxControl} {
			if err := (Sizes{directors, control}).check(); err != nil {
				t.Error(err)
			}
		}
	}
}

// forEachSize runs a test with the layouts of many sizes.
func forEachSize(t *testing.T, test func(t *testing.T, sizes Sizes, l *layout)) {
	t.Helper()
	for _, directors := range []int{5, 6, 9, 20, 60, 100, 580} {
		for control := minControl; control <= maxControl; control += 2 {
			sizes := Sizes{directors, control}
			t.Run(fmt.Sprintf("%d directors, %d control machines", directors, control), func(t *testing.T) {
				test(t, sizes, newLayout(sizes))
			})
		}
	}
}

// For all sizes, each machine is placed, each zone is in one region, each site is in one zone, and some region can be cut off.
func TestLayoutPlacesAllMachines(t *testing.T) {
	forEachSize(t, func(t *testing.T, sizes Sizes, l *layout) {
		regions, regionOfZone, zoneOfSite := map[int]bool{}, map[int]int{}, map[int]int{}
		for _, m := range slices.Concat(l.control, l.directors) {
			at := m.location
			if region, known := regionOfZone[at.zone]; known && region != at.region {
				t.Fatalf("zone %d is in the regions %d and %d", at.zone, region, at.region)
			}
			if zone, known := zoneOfSite[at.site]; known && zone != at.zone {
				t.Fatalf("site %d is in the zones %d and %d", at.site, zone, at.zone)
			}
			regions[at.region] = true
			regionOfZone[at.zone] = at.region
			zoneOfSite[at.site] = at.zone
		}
		isLargest := sizes.Directors == maxDirectors
		if isLargest && (len(regions) != maxRegions || len(regionOfZone) != maxZones || len(zoneOfSite) != maxSites) {
			t.Errorf("%d regions, %d zones, %d sites, want %d, %d, %d", len(regions), len(regionOfZone), len(zoneOfSite),
				maxRegions, maxZones, maxSites)
		}
		if len(l.control) != sizes.Control || len(l.directors) != sizes.Directors {
			t.Errorf("%d control machines and %d directors, want %+v", len(l.control), len(l.directors), sizes)
		}
		if l.realDirectors >= sizes.Directors {
			t.Errorf("%d of %d directors are real, want at least one that is hollow", l.realDirectors, sizes.Directors)
		}
		if len(l.severableRegions()) == 0 {
			t.Error("no region can be cut off")
		}
	})
}

// For all sizes, the cluster configuration file is valid and names all machines with their locations and addresses.
func TestClusterConfigOfEverySizeIsValid(t *testing.T) {
	forEachSize(t, func(t *testing.T, sizes Sizes, l *layout) {
		text := clusterConfigText{
			layout:            l,
			largeEventPeriod:  time.Minute,
			counter:           "127.0.0.1:1",
			controlAddress:    func(m machine) string { return "127.0.0.1:2" + m.name[1:] },
			directorAddresses: map[string]string{"d0": "127.0.0.1:3"},
		}
		file, err := clusterconfig.Parse("made", []byte(text.String()), "d4")
		if err != nil {
			t.Fatal(err)
		}
		if control, directors := len(file.ControlNames()), len(file.DirectorNames()); control != sizes.Control || directors != sizes.Directors {
			t.Errorf("%d control machines and %d directors, want %+v", control, directors, sizes)
		}
		if got, want := file.Place("d4").Site, fmt.Sprintf("s%d", l.directors[4].location.site); got != want {
			t.Errorf("d4 is at site %s, want %s", got, want)
		}
		if got, want := file.Address("d0"), "127.0.0.1:3"; got != want {
			t.Errorf("the address of d0 is %s, want %s", got, want)
		}
	})
}

// The border of a region consists of all links that join it to other regions, and of no other link.
func TestBorderOfRegion(t *testing.T) {
	l := newLayout(Sizes{60, 9}) // c0 and c7 are in r0, c1 and c8 in r1
	border := l.border(0)
	for link, want := range map[string]bool{
		"r0>c0": false, "r0>c7": false, "r0>c1": true, "r1>c0": true, "r1>c7": true, "r1>c2": false,
		"c0>c1": true, "c1>c0": true, "c7>c8": true, "c0>c7": false, "c1>c2": false, "c0>counter": false,
	} {
		if got := slices.Contains(border, link); got != want {
			t.Errorf("%s is in the border of r0: %v, want %v", link, got, want)
		}
	}
	// Directors of r0 dial seven control machines elsewhere, and those of six other regions dial two of r0. Each of the two
	// control machines of r0 has a link to and from each of the seven others.
	if want := 7 + 6*2 + 2*7*2; len(border) != want {
		t.Errorf("the border has %d links, want %d", len(border), want)
	}
}
