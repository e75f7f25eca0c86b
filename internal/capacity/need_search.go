package capacity

// The search for the number of caches that a goal needs.

import (
	"fmt"
	"maps"
	"math"
)

const (
	maxMultiple      = 64.0   // greatest multiple of the current numbers of caches that is tried
	maxZonesLowered  = 12     // with more zones only the common multiple is found, and no zone lowered by itself
	maxCachesPerZone = 16_000 // maximum number of caches of a kind in a zone in a topology
	maxBisections    = 12     // between a multiple that is too low and one that is enough
)

// needSearch is a search for the numbers of caches of one kind.
type needSearch struct {
	planner   *Planner
	kind      int      // index of the kind in the topology
	loss      *Loss    // nil: none
	factor    float64  // multiple of the captured load
	zones     []string // with caches of the kind now
	need      Need     // found so far
	last      *Result  // of the first run with the numbers tried last
	lastShare float64  // of all runs with the numbers tried last
}

// run finds the need: first the least multiple for all zones together, then the number of each zone.
func (s *needSearch) run() error {
	kind := s.planner.Topology.Kinds[s.kind]
	s.need = Need{Kind: kind.Name, Condition: withoutLoss, Current: map[string]int{}}
	if s.loss != nil {
		s.need.Condition = s.loss.String()
	}
	for _, zone := range s.planner.Topology.Zones {
		if count := kind.CountByZone[zone.Name]; count > 0 {
			s.zones = append(s.zones, zone.Name)
			s.need.Current[zone.Name] = count
		}
	}
	if len(s.zones) == 0 {
		return fmt.Errorf("kind %s stands in no zone", kind.Name)
	}
	if err := s.findMultiple(); err != nil {
		return err
	}
	if len(s.zones) > 1 && len(s.zones) <= maxZonesLowered {
		for _, zone := range s.zones {
			if err := s.lowerZone(zone); err != nil {
				return err
			}
		}
	}
	s.need.Total = total(s.need.Required)
	return nil
}

// findMultiple finds the least multiple of the current numbers of all zones with which the goal holds, by doubling and
// then by bisection. The error is an UnmetError if the goal does not hold with maxMultiple.
func (s *needSearch) findMultiple() error {
	low, high, err := s.bracketMultiple()
	if err != nil {
		return err
	}
	for range maxBisections {
		middle := (low + high) / 2
		counts := s.scaled(middle)
		if total(counts) == total(s.scaled(high)) || total(counts) == total(s.scaled(low)) {
			break
		}
		holds, err := s.try(counts)
		if err != nil {
			return err
		}
		if holds {
			high = middle
		} else {
			low = middle
		}
	}
	return nil
}

// bracketMultiple finds, by doubling, a multiple with which the goal does not hold and one with which it does. The lower
// one is 0 if the goal holds with the current numbers.
func (s *needSearch) bracketMultiple() (low, high float64, err error) {
	for low, high = 0, 1; ; low, high = high, 2*high {
		counts := s.scaled(high)
		holds, err := s.try(counts)
		if err != nil {
			return 0, 0, err
		}
		if holds {
			return low, high, nil
		}
		if high >= maxMultiple {
			return 0, 0, s.unmet(total(counts))
		}
	}
}

// lowerZone removes caches from one zone, one by one, as long as the goal holds.
func (s *needSearch) lowerZone(zone string) error {
	for s.need.Required[zone] > 1 {
		fewer := maps.Clone(s.need.Required)
		fewer[zone]--
		holds, err := s.try(fewer)
		if err != nil {
			return err
		}
		if !holds {
			return nil
		}
	}
	return nil
}

// try reports whether the goal holds with numbers of caches by zone, from one run for each seed. If it holds, these are
// the required numbers found so far.
func (s *needSearch) try(counts map[string]int) (holds bool, err error) {
	planner := *s.planner
	planner.Topology = s.planner.Topology.Clone()
	planner.Topology.Kinds[s.kind].CountByZone = counts
	var failure Failure
	if s.loss != nil {
		if failure, _, err = planner.Failure(s.loss, s.factor); err != nil {
			return false, err
		}
	}
	var setups []Setup
	for _, seed := range planner.Seeds {
		setups = append(setups, Setup{Factor: s.factor, Seed: seed, Warmup: planner.Warmup, Span: planner.Span, Failure: failure})
	}
	results, err := planner.Runner(planner.Topology, planner.Demand, setups)
	if err != nil {
		return false, err
	}
	s.need.Runs += len(results)
	s.last = results[0]
	point := Points(results, planner.Goal)[0]
	s.lastShare = point.Share
	holds = planner.holds(point)
	if holds {
		s.need.Required = counts
		s.need.Share = point.Share
	}
	return holds, nil
}

// scaled returns a multiple of the current number of caches of each zone, rounded up.
func (s *needSearch) scaled(multiple float64) map[string]int {
	const rounding = 1e-9 // a rounding error of the multiplication must not add a cache
	counts := map[string]int{}
	for _, zone := range s.zones {
		count := int(math.Ceil(multiple*float64(s.need.Current[zone]) - rounding))
		counts[zone] = min(maxCachesPerZone, max(1, count))
	}
	return counts
}

// unmet returns the UnmetError after the numbers tried last. It names the limit that was fullest with them, other than the
// cores of the caches, which are many by then.
func (s *needSearch) unmet(maxCaches int) error {
	unmet := UnmetError{
		Goal:      s.planner.Goal.String(),
		Condition: s.need.Condition,
		Share:     s.lastShare,
		MaxCaches: maxCaches,
	}
	for _, use := range s.last.Utilizations {
		if use.Resource != limitCores && (unmet.Limit == nil || use.Used > unmet.Limit.Used) {
			limit := utilizationOf(use)
			unmet.Limit = &limit
		}
	}
	if unmet.Limit != nil && unmet.Limit.Used < minSuspectUsed {
		unmet.Limit = nil // no machine meets the objective, or the loss leaves no machine
	}
	return unmet
}

// total returns the sum of the numbers of all zones.
func total(counts map[string]int) (sum int) {
	for _, count := range counts {
		sum += count
	}
	return sum
}
