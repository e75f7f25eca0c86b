package capacity

// The complete result of a plan.

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// MaxLateness is the delay of a measuring machine's own processes beyond which its measurements are void.
const MaxLateness = 8 * time.Millisecond

// Answer is the complete result of a plan.
type Answer struct {
	Fleet             string        `json:"fleet"`            // name of the topology
	Goal              string        `json:"goal"`             // in words
	Requests          int           `json:"reqs"`             // number of requests in the demand
	Rate              float64       `json:"rate"`             // captured requests a second
	Span              float64       `json:"span_s"`           // of the capture, in seconds
	IndexOfDispersion float64       `json:"burst"`            // of arrivals, see Demand.IndexOfDispersion
	Limits            []Limit       `json:"limits"`           // in the order of the load that fills them, without queueing
	FirstBreak        *Break        `json:"break"`            // without a loss
	Causes            []Cause       `json:"causes"`           // in the order of the load at which they break the goal
	WantedFactor      float64       `json:"wanted"`           // multiple of the captured load at which the goal must hold
	Met               bool          `json:"met"`              // the goal holds at WantedFactor, without a loss and under each loss
	Reason            string        `json:"why,omitempty"`    // why the goal is not met; empty if it is
	Losses            []*LossResult `json:"losses,omitempty"` // one for each loss that the goal names
}

// Maximum lengths of the lists of an Answer.
const (
	maxCauses = 3
	maxLimits = 12
)

// Answer finds what breaks first, whether the goal holds at the rate that it names, and the effect of each loss that it
// names. It fails if the demand has no request of the goal's class or is too short for a run.
func (p *Planner) Answer() (*Answer, error) {
	answer := &Answer{
		Fleet:             p.Topology.Name,
		Goal:              p.Goal.String(),
		Requests:          len(p.Demand.Requests),
		Rate:              p.Demand.Rate(allClassesIndex),
		Span:              p.Demand.Span.Seconds(),
		IndexOfDispersion: p.Demand.IndexOfDispersion(),
	}
	var err error
	if answer.WantedFactor, err = p.Goal.Factor(p.Demand); err != nil {
		return nil, err
	}
	if answer.FirstBreak, err = p.Break(p.Topology, Failure{}); err != nil {
		return nil, err
	}
	if answer.Causes, err = p.Causes(answer.FirstBreak, Failure{}, maxCauses); err != nil {
		return nil, err
	}
	answer.Limits = Bounds(p.Topology, p.Demand, answer.FirstBreak.Factor)
	answer.addDirectors()
	answer.Limits = answer.Limits[:min(maxLimits, len(answer.Limits))]
	answer.setMet()
	for _, loss := range p.Goal.Losses {
		result, err := p.Loss(loss, answer.WantedFactor)
		if err != nil {
			return nil, err
		}
		answer.addLoss(result)
	}
	return answer, nil
}

// setMet sets whether the goal holds without a loss, and the reason if it does not.
func (a *Answer) setMet() {
	a.Met = a.FirstBreak.holdsAt(a.WantedFactor)
	if a.Met {
		return
	}
	a.Reason = fmt.Sprintf("the goal breaks at %.3g times the captured load and is wanted at %.3g times", a.FirstBreak.Factor, a.WantedFactor)
	if len(a.Causes) > 0 {
		limit := a.Causes[0].Limit
		a.Reason += ": " + limit.Name + "'s " + limit.Resource + " stands in the way"
	}
}

// addLoss adds the effect of a loss. A goal that does not hold under a loss is not met.
func (a *Answer) addLoss(result *LossResult) {
	a.Losses = append(a.Losses, result)
	if result.Met {
		return
	}
	a.Met = false
	if a.Reason == "" {
		a.Reason = "the goal does not hold " + result.Description
	}
}

// addDirectors adds directors whose cores are full to the causes. Runs do not include them, because decisions take no
// simulated time. The load that fills the cores is therefore an upper bound of the load that the directors can carry.
func (a *Answer) addDirectors() {
	for _, limit := range a.Limits {
		if limit.Resource != limitDirector {
			continue
		}
		if a.FirstBreak.isBracketed() && limit.Factor >= a.lastBreak() {
			continue
		}
		found := a.breakOfDirectors(limit)
		a.Causes = append(a.Causes, Cause{Utilization{Name: limit.Name, Resource: limit.Resource, Used: 1}, found})
		noBreakInRuns := a.FirstBreak.AlwaysHolds && !a.FirstBreak.NeverHolds
		if noBreakInRuns || limit.Factor < a.FirstBreak.Factor {
			a.FirstBreak = found
		}
	}
	slices.SortStableFunc(a.Causes, func(a, b Cause) int { return cmp.Compare(a.Break.Factor, b.Break.Factor) })
	a.Causes = a.Causes[:min(maxCauses, len(a.Causes))]
}

// breakOfDirectors returns the break at the load that fills the cores of directors.
func (a *Answer) breakOfDirectors(limit Limit) *Break {
	return &Break{
		Factor:       limit.Factor,
		Rate:         a.Rate * limit.Factor,
		Low:          limit.Low,
		High:         limit.High,
		Points:       a.FirstBreak.Points,
		Utilizations: a.FirstBreak.Utilizations,
		Results:      a.FirstBreak.Results,
		Reason:       "reckoned from core time that reqs cost when captured",
	}
}

// lastBreak returns the multiple of the captured load at which the last of the causes breaks the goal.
func (a *Answer) lastBreak() float64 {
	if len(a.Causes) == 0 {
		return a.FirstBreak.Factor
	}
	return a.Causes[len(a.Causes)-1].Break.Factor
}
