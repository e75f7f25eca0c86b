package capacity

// The planner, and how it runs simulations.

import (
	"errors"
	"time"

	"indigochute.example/indigochute/internal/topology"
)

// Runner simulates or measures the runs of several setups and returns their results in the order of the setups. It may do
// several runs at the same time. The error is a ShortDemandError if the demand does not last for one of them.
type Runner func(network *topology.Topology, demand *Demand, setups []Setup) ([]*Result, error)

// RunSequentially is a Runner that simulates one run after the other.
func RunSequentially(network *topology.Topology, demand *Demand, setups []Setup) (results []*Result, err error) {
	for _, setup := range setups {
		result, err := Run(network, demand, setup)
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

// Planner answers questions about one topology and one demand. It is not safe for concurrent use.
type Planner struct {
	Topology *topology.Topology
	Demand   *Demand
	Goal     *Goal
	Runner   Runner
	Seeds    []uint64      // one run each, if a question needs several runs
	Warmup   time.Duration // of each run, before the counted span
	Span     time.Duration // length of the counted span

	lastFocus  cachedFocus
	lastBounds cachedBounds
}

// cachedBounds is the last result of Bounds, which reads the complete demand.
type cachedBounds struct {
	network *topology.Topology
	limits  []Limit
}

// Lengths of runs and number of seeds. More seeds would narrow the bounds of breaks by the square root of their number.
const (
	defaultWarmup = 5 * time.Second
	defaultSpan   = 15 * time.Second
	defaultSeeds  = 3
)

// NewPlanner returns a planner with the default lengths of runs. Its seeds are the given one and those that follow it.
func NewPlanner(network *topology.Topology, demand *Demand, goal *Goal, runner Runner, seed uint64) *Planner {
	p := &Planner{Topology: network, Demand: demand, Goal: goal, Runner: runner, Warmup: defaultWarmup, Span: defaultSpan}
	for i := range uint64(defaultSeeds) {
		p.Seeds = append(p.Seeds, seed+i)
	}
	return p
}

// bounds returns Bounds at the captured load. It caches the result for the last topology.
func (p *Planner) bounds(network *topology.Topology) []Limit {
	if p.lastBounds.network != network {
		p.lastBounds = cachedBounds{network, Bounds(network, p.Demand, 1)}
	}
	return p.lastBounds.limits
}

// holds reports whether the goal holds at a point.
func (p *Planner) holds(point Point) bool { return point.Share >= p.Goal.share }

// runFactors does one run for each factor and seed, and adds the results to the break. The factors are multiples of the
// captured load.
func (p *Planner) runFactors(network *topology.Topology, failure Failure, found *Break, factors []float64, seeds []uint64) error {
	part := p.focusOn(network, failure)
	var setups []Setup
	for _, factor := range factors {
		setup := Setup{Factor: factor, Warmup: p.Warmup, Span: p.Span, Failure: failure, ForeignLinkShares: part.foreignLinkShares}
		if failure.Empty() {
			setup.shorten(part.demand.Rate(allClassesIndex) * factor)
		}
		for _, seed := range seeds {
			setup.Seed = seed
			setups = append(setups, setup)
		}
	}
	results, err := p.Runner(part.network, part.demand, setups)
	if err != nil {
		return err
	}
	found.Results = append(found.Results, results...)
	found.Points = Points(found.Results, p.Goal)
	return nil
}

// runFactorsWithin does one run, with the first seed, for each factor for which the capture is long enough. It filters the
// factors in place. The error is a ShortDemandError if the capture is too short for all of them.
func (p *Planner) runFactorsWithin(network *topology.Topology, failure Failure, found *Break, factors []float64) error {
	for {
		err := p.runFactors(network, failure, found, factors, p.Seeds[:1])
		var short ShortDemandError
		if !errors.As(err, &short) {
			return err
		}
		within := factors[:0]
		for _, factor := range factors {
			if factor < short.Factor {
				within = append(within, factor)
			}
		}
		if factors = within; len(factors) == 0 {
			return err
		}
	}
}

// isShortDemand reports whether an error says that the capture is too short for a run.
func isShortDemand(err error) bool {
	var short ShortDemandError
	return errors.As(err, &short)
}
