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
	Break *Break      `json:"break"` // with all earlier causes relieved
}

const (
	reliefFactor   = 3.0  // multiple of a limit with which the goal is tried again
	minBreakRatio  = 1.05 // least ratio by which the relief of a limit moves the break if the limit is the cause
	maxSuspects    = 3    // maximum number of limits, or groups of limits, that are tried
	minSuspectUsed = 0.35 // utilization below which a limit is not suspected
)

// quickFactors are the multiples of a break at which the goal is tried again after the relief of a limit.
var quickFactors = [...]float64{1, 1.1, 1.3, 1.7, 2.2}

// Causes finds the limit that breaks the goal first, the one that would break it next, and so on, up to count limits. Of
// the fullest limits a cause is the one whose relief moves the break furthest. Utilization alone would also name a busy
// cache whose work other caches can take over.
func (p *Planner) Causes(first *Break, failure Failure, count int) (causes []Cause, err error) {
	network, found := p.Topology, first
	for len(causes) < count && !found.AlwaysHolds {
		best, err := p.bestRelief(network, found, failure)
		if err != nil {
			return nil, err
		}
		if best == nil || best.factor < found.Factor*minBreakRatio {
			break
		}
		causes = append(causes, Cause{best.limit, found})
		if len(causes) == count {
			break
		}
		network = best.network
		if found, err = p.Break(network, failure); err != nil {
			return nil, err
		}
	}
	return causes, nil
}

// reliefTrial is the trial of one suspect: a topology with more of its limit, and the load at which the goal breaks there.
type reliefTrial struct {
	limit   Utilization
	network *topology.Topology
	factor  float64
}

// bestRelief tries the suspects and returns the trial with the highest break. It returns nil if there is no suspect.
func (p *Planner) bestRelief(network *topology.Topology, found *Break, failure Failure) (best *reliefTrial, err error) {
	tried := map[limitGroup]bool{}
	for _, suspect := range suspectUtilizations(network, found, failure) {
		group := limitGroupOf(suspect.simulated)
		suspected := suspect.Used >= minSuspectUsed && !tried[group]
		if !suspected || len(tried) >= maxSuspects {
			continue
		}
		tried[group] = true
		trial := &reliefTrial{limit: suspect, network: RelieveLimit(network, suspect.simulated, reliefFactor)}
		if trial.factor, err = p.quickBreak(trial.network, failure, found.Factor); err != nil {
			return nil, err
		}
		if best == nil || trial.factor > best.factor {
			best = trial
		}
		if suspect.Resource == limitSlowStart && trial.factor >= found.Factor*minBreakRatio {
			break // warm machines would meet the goal without more of any limit
		}
	}
	return best, nil
}

// limitGroup identifies the limits that RelieveLimit relieves together. It changes a whole kind of machines.
type limitGroup struct {
	resource   string
	kind, zone int
	upstream   bool // of a parent or the origin
	origin     bool // needed because its kind and zone are 0, as those of the first parents may be
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

// suspectUtilizations returns the utilizations at a break, the fullest first. If machines restart in the failure, slow
// start comes before them.
func suspectUtilizations(network *topology.Topology, found *Break, failure Failure) []Utilization {
	if len(failure.Restarted) == 0 || network.SlowStart.Ramp == 0 {
		return found.Utilizations
	}
	slowStart := Utilization{
		Name:      "machines that return",
		Resource:  limitSlowStart,
		Used:      1,
		simulated: simulation.Use{Resource: limitSlowStart},
	}
	return append([]Utilization{slowStart}, found.Utilizations...)
}

// quickBreak estimates the load at which the goal breaks, from a few runs with one seed. The runs go from the given factor
// up. It returns that factor if the capture is too short for any run.
func (p *Planner) quickBreak(network *topology.Topology, failure Failure, from float64) (float64, error) {
	var factors []float64
	for _, times := range quickFactors {
		factors = append(factors, from*times)
	}
	found := &Break{}
	if err := p.runFactorsWithin(network, failure, found, factors); err != nil && !isShortDemand(err) {
		return 0, err
	}
	if len(found.Points) == 0 {
		return from, nil
	}
	return IsotonicCrossing(found.Points, p.Goal.share), nil
}

// RelieveLimit returns a copy of the topology with a multiple of one limit. With the cores of a kind of caches, their
// slots and queue grow in proportion. The link and the fetches of parents or of the origin grow together. To relieve slow
// start, caches start warm.
func RelieveLimit(network *topology.Topology, limit simulation.Use, times float64) *topology.Topology {
	larger := network.Clone()
	switch {
	case limit.Resource == limitSlowStart:
		larger.SlowStart.Floor = 1
		larger.SlowStart.Ramp = 0
	case limit.Resource == limitCores:
		kind := &larger.Kinds[limit.Kind]
		kind.Cores = int(math.Ceil(float64(kind.Cores) * times))
		kind.Slots = int(float64(kind.Slots) * times)
		kind.QueueLimit = int(float64(kind.QueueLimit) * times)
	case limit.ID == 0: // the link of a zone
		larger.Zones[limit.Zone].Link *= topology.Rate(times)
	case limit.ID == topology.OriginID:
		larger.Origin.Link *= topology.Rate(times)
		larger.Origin.Fetches = int(float64(larger.Origin.Fetches) * times)
	default:
		parent := &larger.Parents[limit.Kind]
		parent.Link *= topology.Rate(times)
		parent.Fetches = int(float64(parent.Fetches) * times)
	}
	return larger
}
