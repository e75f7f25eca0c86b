package changefeed

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Place is the location of a machine. A zone lies within a region, and a site within a zone.
type Place struct {
	Region, Zone, Site string
}

// ControlMachine is a control machine that a director may have a link to.
type ControlMachine struct {
	Name  string
	Place Place
}

// FailureDistance returns how far apart the failure domains of two places are: 3 for different regions, 2 for different zones of
// one region, 1 for different sites of one zone, 0 for the same site.
func FailureDistance(a, b Place) int {
	switch {
	case a.Region != b.Region:
		return 3
	case a.Zone != b.Zone:
		return 2
	case a.Site != b.Site:
		return 1
	}
	return 0
}

// PreferenceOrder returns the names of the control machines in the order in which one director prefers them: the machines of its own
// region first, then all others, each group ordered by rendezvous hash. So the directors of a lost machine spread evenly over the
// others, and no other director has to move. Of machines with the same name only the first counts.
func PreferenceOrder(director string, at Place, machines []ControlMachine) []string {
	return rankMachines(director, machines, func(place Place) bool { return place.Region == at.Region })
}

// rankedMachine is a control machine with its ranking criteria.
type rankedMachine struct {
	name   string
	isNear bool
	weight uint64 // rendezvous hash
}

// rankMachines returns the names of machines ordered by rendezvous hash, those for which isNear returns true first.
func rankMachines(director string, machines []ControlMachine, isNear func(place Place) bool) []string {
	var ranked []rankedMachine
	for _, machine := range machines {
		hasName := func(other rankedMachine) bool { return other.name == machine.Name }
		if slices.ContainsFunc(ranked, hasName) {
			continue
		}
		ranked = append(ranked, rankedMachine{
			name:   machine.Name,
			isNear: isNear(machine.Place),
			weight: rendezvousHash(director, machine.Name, 0),
		})
	}
	slices.SortFunc(ranked, compareRanks)
	names := make([]string, len(ranked))
	for i, machine := range ranked {
		names[i] = machine.name
	}
	return names
}

// compareRanks orders near machines before others, then higher weights before lower ones, then by name.
func compareRanks(a, b rankedMachine) int {
	switch {
	case a.isNear && !b.isNear:
		return -1
	case b.isNear && !a.isNear:
		return 1
	}
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name))
}

// Constants of the mixing step after FNV-1a.
const (
	goldenRatio64   = 0x9e3779b97f4a7c15 // odd multiplier for Fibonacci hashing: 2^64 divided by the golden ratio
	mixerMultiplier = 0xd6e8feb86659fd93 // odd multiplier that spreads bits well
)

// rendezvousHash returns a hash of two names and a number that is evenly distributed over 64 bits.
func rendezvousHash(first, second string, number uint64) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(first))
	hash.Write([]byte{0}) // separator
	hash.Write([]byte(second))
	sum := hash.Sum64() ^ number*goldenRatio64
	for range 2 { // FNV-1a alone hardly changes the high bits for short names
		sum ^= sum >> 32
		sum *= mixerMultiplier
	}
	return sum ^ sum>>32
}

// preferences holds the control machines in the order in which one director prefers them.
type preferences struct {
	order  []string // the best two machines, then their stand-ins
	places map[string]Place
}

// newPreferences orders machines for one director. The best two come first: the most preferred machine, and the most preferred of the
// machines with the greatest failure distance from it. The others are stand-ins for these two, and are ordered by hash alone. If
// stand-ins in the director's region came first, one machine would take over most directors of a lost machine in its region.
func newPreferences(director string, at Place, machines []ControlMachine) preferences {
	p := preferences{places: map[string]Place{}}
	for _, machine := range slices.Backward(machines) { // of machines with the same name the first counts
		p.places[machine.Name] = machine.Place
	}
	preferred := PreferenceOrder(director, at, machines)
	if len(preferred) > 0 {
		p.order = append(p.order, preferred[0])
	}
	if len(preferred) > 1 {
		p.order = append(p.order, p.mostDistant(preferred[0], preferred[1:]))
	}
	for _, name := range rankMachines(director, machines, func(Place) bool { return false }) {
		if !slices.Contains(p.order, name) {
			p.order = append(p.order, name)
		}
	}
	return p
}

// distance returns the FailureDistance of two machines.
func (p *preferences) distance(a, b string) int { return FailureDistance(p.places[a], p.places[b]) }

// mostDistant returns the candidate with the greatest failure distance from a machine, or the first of several such candidates. If
// from is empty, it returns the first candidate. If there are no candidates, it returns "".
func (p *preferences) mostDistant(from string, candidates []string) (best string) {
	bestDistance := -1
	for _, name := range candidates {
		distance := 0
		if from != "" {
			distance = p.distance(from, name)
		}
		if distance > bestDistance {
			best, bestDistance = name, distance
		}
	}
	return best
}
