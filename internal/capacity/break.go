package capacity

// The load at which a goal breaks.

import (
	"cmp"
	"math"
	"slices"

	"indigochute.example/indigochute/internal/topology"
)

// Break is the load at which a goal breaks, with the results of the runs from which the load is estimated.
type Break struct {
	Factor float64 `json:"factor"` // multiple of the captured load
	Rate   float64 `json:"rate"`   // requests a second, all request classes
	// Low and High bound the factor. They are computed from the number of requests counted, and from the variation of the load
	// of the fullest limit over time.
	Low          float64       `json:"low"`
	High         float64       `json:"high"`
	AlwaysHolds  bool          `json:"held"`          // the goal holds at all loads tried; Factor is the greatest load
	NeverHolds   bool          `json:"never"`         // the goal holds at no load tried; Factor is the least load
	Reason       string        `json:"why,omitempty"` // why greater loads could not be tried
	Points       []Point       `json:"points"`        // in ascending order of the factor
	Utilizations []Utilization `json:"uses"`          // at the break, the fullest limit first
	Results      []*Result     `json:"-"`             // of all runs
}

// isBracketed reports whether the goal holds at some loads tried and breaks at others.
func (b *Break) isBracketed() bool { return !b.NeverHolds && !b.AlwaysHolds }

// holdsAt reports whether the goal holds at a multiple of the captured load.
func (b *Break) holdsAt(factor float64) bool {
	return !b.NeverHolds && (b.AlwaysHolds || b.Factor >= factor)
}

// fullest returns the limit that was fullest at the break. It is the zero Utilization if no limit was used.
func (b *Break) fullest() Utilization {
	if len(b.Utilizations) == 0 {
		return Utilization{}
	}
	return b.Utilizations[0]
}

// Break finds the load at which the goal breaks under a failure. The zero Failure means no failure. The error is a
// ShortDemandError if the demand is too short for a run at any of the loads.
func (p *Planner) Break(network *topology.Topology, failure Failure) (*Break, error) {
	search := &breakSearch{planner: p, network: network, failure: failure, breakpoint: &Break{}}
	if err := search.coarse(); err != nil {
		return nil, err
	}
	breakpoint := search.breakpoint
	first, last := breakpoint.ends()
	switch {
	case !p.holds(first):
		breakpoint.NeverHolds = true
		breakpoint.setAt(first)
		return breakpoint, nil
	case p.holds(last):
		breakpoint.AlwaysHolds = true
		breakpoint.setAt(last)
		return breakpoint, nil
	}
	if err := search.fine(); err != nil {
		return nil, err
	}
	search.conclude()
	return breakpoint, nil
}

// setAt sets the load of the break to the load of a point, and the utilizations to those at this load.
func (b *Break) setAt(point Point) {
	b.Factor = point.Factor
	b.Rate = point.Rate
	b.setUtilizations()
}

// ends returns the points with the least and the greatest load. There must be at least one point.
func (b *Break) ends() (first, last Point) { return b.Points[0], b.Points[len(b.Points)-1] }

// setUtilizations sets the utilizations to those of the run whose load is nearest to the break.
func (b *Break) setUtilizations() {
	distance := func(r *Result) float64 { return math.Abs(math.Log(r.Factor / b.Factor)) }
	nearest := slices.MinFunc(b.Results, func(a, b *Result) int { return cmp.Compare(distance(a), distance(b)) })
	for _, use := range nearest.Utilizations {
		b.Utilizations = append(b.Utilizations, utilizationOf(use))
	}
	slices.SortStableFunc(b.Utilizations, func(a, b Utilization) int { return cmp.Compare(b.Used, a.Used) })
}
