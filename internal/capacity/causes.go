package capacity

// The limits that break a goal.

import (
	"math"

	"indigochute.example/indigochute/internal/simulation"
	"indigochute.example/indigochute/internal/topology"
)

// Cause is a limit that breaks the goal, and the load at which it breaks.
type Cause struct {
	Limit Utilization `json:"limit"`
	Break *Break      `json:"break"` // with more of the limits of all earlier causes
}

const (
	reliefFactor   = 3.0  // multiple of a suspected limit with which the goal is tried again
	minBreakRatio  = 1.05 // least ratio by which the break must rise with the relief of a limit for it to be a cause
	maxSuspects    = 3    // maximum number of limits, or groups of limits, that are tried
	minSuspectUsed = 0.35 // least utilization of a suspected limit
)

// quickFactors are the multiples of a break at which the goal is tried again after the relief of a limit.
var quickFactors = [...]float64{1, 1.1, 1.3, 1.7, 2.2}

// Causes finds the limit that breaks the goal first, the limit that would break it next, and so on, up to count limits. A cause
// is the one of the fullest limits whose relief raises the break most. Utilization alone is not sufficient, because it
// would also name a busy cache whose work other caches can take over.
func (p *Planner) Causes(first *Break, failure Failure, count int) (causes []Cause, err error) {
	network, current := p.Topology, first
	for len(causes) < count && !current.AlwaysHolds {
		best, err := p.bestRelief(network, current, failure)
		if err != nil {
			return nil, err
		}
		if best == nil || best.factor < current.Factor*minBreakRatio {
			break
		}
		causes = append(causes, Cause{best.limit, current})
		if len(causes) == count {
			break
		}
		network = best.network
		if current, err = p.Break(network, failure); err != nil {
			return nil, err
		}
	}
	return causes, nil
}

// reliefTrial is the trial of one suspected limit: a topology with more of this limit, and the load at which the goal breaks
// in this topology.
type reliefTrial struct {
	limit   Utilization
	network *topology.Topology
	factor  float64
}

// bestRelief tries the suspects and returns the trial with the highest break. It returns nil if there is no suspect.
func (p *Planner) bestRelief(network *topology.Topology, breakpoint *Break, failure Failure) (best *reliefTrial, err error) {
	tried := map[limitGroup]bool{}
	for _, suspect := range suspectUtilizations(network, breakpoint, failure) {
		group := limitGroupOf(suspect.simulated)
		suspected := suspect.Used >= minSuspectUsed && !tried[group]
		if !suspected || len(tried) >= maxSuspects {
			continue
		}
		tried[group] = true
		trial := &reliefTrial{limit: suspect, network: RelieveLimit(network, suspect.simulated, reliefFactor)}
		if trial.factor, err = p.quickBreak(trial.network, failure, breakpoint.Factor); err != nil {
			return nil, err
		}
		if best == nil || trial.factor > best.factor {
			best = trial
		}
		if suspect.Resource == limitSlowStart && trial.factor >= breakpoint.Factor*minBreakRatio {
			break // with warm machines the goal holds without more of any limit
		}
	}
	return best, nil
}

// limitGroup identifies the limits that RelieveLimit relieves together, because it changes a whole kind of machines.
type limitGroup struct {
	resource   string
	kind, zone int
	upstream   bool // of a parent or the origin
	origin     bool // of the origin, whose kind and zone are 0, like those of the first group of parents may be
}

// limitGroupOf returns the group of a limit.
func limitGroupOf(limit simulation.Use) limitGroup {
	return limitGroup{
		resource: limit.Resource,
		kind:     limit.Kind,
		zone:     limit.Zone,
		upstream: limit.ID >= topology.FirstParentID,
		origin:   limit.ID == topology.OriginID,
	}
}

// suspectUtilizations returns the utilizations at a break, the fullest first. If the failure restarts machines, slow start
// comes before all others.
func suspectUtilizations(network *topology.Topology, breakpoint *Break, failure Failure) []Utilization {
	if len(failure.Restarted) == 0 || network.SlowStart.Ramp == 0 {
		return breakpoint.Utilizations
	}
	slowStart := Utilization{
		Name:      "machines that return",
		Resource:  limitSlowStart,
		Used:      1,
		simulated: simulation.Use{Resource: limitSlowStart},
	}
	return append([]Utilization{slowStart}, breakpoint.Utilizations...)
}

// quickBreak estimates the load at which the goal breaks from a few runs with one seed, at loads from the given factor up. It
// returns the given factor if the capture is too short for all runs.
func (p *Planner) quickBreak(network *topology.Topology, failure Failure, from float64) (float64, error) {
	var factors []float64
	for _, multiple := range quickFactors {
		factors = append(factors, from*multiple)
	}
	breakpoint := &Break{}
	if err := p.runFactorsWithin(network, failure, breakpoint, factors); err != nil && !isShortDemand(err) {
		return 0, err
	}
	if len(breakpoint.Points) == 0 {
		return from, nil
	}
	return IsotonicCrossing(breakpoint.Points, p.Goal.share), nil
}

// RelieveLimit returns a copy of the topology with a multiple of one limit. If the limit is the cores of a cache, the cores, the
// slots and the queue of its kind are multiplied. The link and the fetches of parents or of the origin are multiplied
// together. To relieve slow start, caches start warm.
func RelieveLimit(network *topology.Topology, limit simulation.Use, multiple float64) *topology.Topology {
	larger := network.Clone()
	switch {
	case limit.Resource == limitSlowStart:
		larger.SlowStart.Floor = 1
		larger.SlowStart.Ramp = 0
	case limit.Resource == limitCores:
		kind := &larger.Kinds[limit.Kind]
		kind.Cores = int(math.Ceil(float64(kind.Cores) * multiple))
		kind.Slots = int(float64(kind.Slots) * multiple)
		kind.QueueLimit = int(float64(kind.QueueLimit) * multiple)
	case limit.ID == 0: // the link of a zone
		larger.Zones[limit.Zone].Link *= topology.Rate(multiple)
	case limit.ID == topology.OriginID:
		larger.Origin.Link *= topology.Rate(multiple)
		larger.Origin.Fetches = int(float64(larger.Origin.Fetches) * multiple)
	default:
		parent := &larger.Parents[limit.Kind]
		parent.Link *= topology.Rate(multiple)
		parent.Fetches = int(float64(parent.Fetches) * multiple)
	}
	return larger
}
