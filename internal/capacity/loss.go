package capacity

// The effect of a loss on a goal.

import (
	"fmt"
	"slices"

	"indigochute.example/indigochute/internal/topology"
)

// LossResult is the effect of a loss on a goal.
type LossResult struct {
	Description      string            `json:"what"`               // the loss in words
	Factor           float64           `json:"factor"`             // multiple of the captured load at which the loss was simulated
	Met              bool              `json:"met"`                // the goal holds there, over the span after the loss
	Share            float64           `json:"share"`              // of the requests, answered within the latency objective
	Break            *Break            `json:"break"`              // the load at which the goal breaks under the loss
	Machines         []string          `json:"machines,omitempty"` // names of the machines that are removed or restarted
	Selection        *RestartSelection `json:"choice,omitempty"`   // of the machines of a restart; nil: a removal
	LeastShare       float64           `json:"depth"`              // least share of any slot
	ShortfallSeconds float64           `json:"length_s"`           // until the share of the goal is reached again for good
	FillRatio        float64           `json:"extra_fills"`        // ratio of the fills to those without the loss
	Metastable       bool              `json:"jam"`                // metastable failure: the shortfall lasts, and would end without retries
	MachineFailures  int               `json:"falls"`              // machines that failed in the run, without those of the loss
	Cause            *Cause            `json:"cause,omitempty"`    // the limit that breaks the goal under the loss
	ShareOverTime    []float64         `json:"over_time"`          // share by slot, each SlotSpan long
}

// Failure returns the failure that a loss stands for. For a restart this is the worst set of caches at a multiple of the
// captured load, and the selection says how that set was chosen. For a removal the selection is nil. It fails if the loss
// removes nothing.
func (p *Planner) Failure(loss *Loss, factor float64) (failure Failure, selection *RestartSelection, err error) {
	if loss.Removal == nil {
		share, err := loss.restartShare()
		if err != nil {
			return failure, nil, err
		}
		worst := p.WorstRestart(share, factor)
		return Failure{Restarted: worst.Machines}, &worst.Selection, nil
	}
	for z, zone := range p.Topology.Zones {
		if loss.Removal.Scope == scopeZone && zone.Name == loss.Removal.Name {
			failure.LostZones = []int{z}
			failure.ClientsLost = loss.Removal.ClientsLost
		}
	}
	for _, m := range p.Topology.Machines() {
		if loss.Removal.removes(p.Topology, m) {
			failure.Removed = append(failure.Removed, m.ID)
		}
	}
	if len(failure.Removed)+len(failure.LostZones) == 0 {
		return failure, nil, fmt.Errorf("the loss of %s %s takes nothing away", loss.Removal.Scope, loss.Removal.Name)
	}
	return failure, nil, nil
}

// removes reports whether the loss removes a machine. No loss removes the origin.
func (a *After) removes(network *topology.Topology, m topology.Machine) bool {
	switch {
	case m.Role == topology.OriginRole:
		return false
	case a.Scope == scopeZone:
		return network.Zones[m.Zone].Name == a.Name
	case a.Scope == scopeParent:
		return m.Role == topology.ParentRole && network.Parents[m.Kind].Name == a.Name
	case a.Scope == scopeKind:
		return m.Role == topology.CacheRole && network.Kinds[m.Kind].Name == a.Name
	}
	return false
}

const (
	// A shortfall lasts if it ends less than unendedMargin before the end of the span, and ends if it does so more than
	// endedMargin before. Both are in seconds.
	unendedMargin = 1
	endedMargin   = 3

	// minRampsSimulated is the least span of a run with a restart, as a multiple of the ramp of slow start.
	minRampsSimulated = 2
)

// Loss simulates a loss at a multiple of the captured load and finds the load at which the goal breaks under it. It also
// detects a metastable failure, an overload that sustains itself by retries.
func (p *Planner) Loss(loss *Loss, factor float64) (*LossResult, error) {
	failure, selection, err := p.Failure(loss, factor)
	if err != nil {
		return nil, err
	}
	planner := *p
	if selection != nil {
		planner.Span = max(p.Span, minRampsSimulated*p.Topology.SlowStart.Ramp.Duration())
	}
	result := &LossResult{
		Description: loss.String(),
		Factor:      factor,
		Machines:    p.machineNames(failure),
		Selection:   selection,
	}
	if err := planner.simulateLoss(result, failure); err != nil {
		return nil, err
	}
	if result.Break, err = planner.Break(p.Topology, failure); err != nil {
		return nil, err
	}
	causes, err := planner.Causes(result.Break, failure, 1)
	if err != nil {
		return nil, err
	}
	if len(causes) > 0 {
		result.Cause = &causes[0]
	}
	return result, nil
}

// machineNames returns the names of the machines that a failure restarts or removes.
func (p *Planner) machineNames(failure Failure) (names []string) {
	byID := map[uint32]string{}
	for _, m := range p.Topology.Machines() {
		byID[m.ID] = m.Name
	}
	for _, id := range slices.Concat(failure.Restarted, failure.Removed) {
		names = append(names, byID[id])
	}
	return names
}

// simulateLoss sets the results of one run with the failure, compared with a run without the failure and a run with the
// failure in which clients do not retry.
func (p *Planner) simulateLoss(result *LossResult, failure Failure) error {
	noRetries := p.Topology.Clone()
	noRetries.Clients.Retries = 0
	failed, err := p.runOnce(p.Topology, failure, result.Factor)
	if err != nil {
		return err
	}
	baseline, err := p.runOnce(p.Topology, Failure{}, result.Factor)
	if err != nil {
		return err
	}
	failedNoRetries, err := p.runOnce(noRetries, failure, result.Factor)
	if err != nil {
		return err
	}
	result.MachineFailures = failed.MachineFailures
	result.Share = failed.Share(p.Goal.classIndex)
	result.Met = result.Share >= p.Goal.share
	result.FillRatio = float64(failed.Fills) / float64(max(1, baseline.Fills))
	withRetries := p.shortfallOf(failed)
	withoutRetries := p.shortfallOf(failedNoRetries)
	result.LeastShare = withRetries.leastShare
	result.ShortfallSeconds = withRetries.seconds
	result.ShareOverTime = withRetries.shares
	span := p.Span.Seconds()
	lasts := withRetries.seconds >= span-unendedMargin
	endsWithoutRetries := withoutRetries.seconds < span-endedMargin
	result.Metastable = lasts && endsWithoutRetries
	return nil
}

// runOnce simulates one run with the first seed.
func (p *Planner) runOnce(network *topology.Topology, failure Failure, factor float64) (*Result, error) {
	setup := Setup{Factor: factor, Seed: p.Seeds[0], Warmup: p.Warmup, Span: p.Span, Failure: failure}
	results, err := p.Runner(network, p.Demand, []Setup{setup})
	if err != nil {
		return nil, err
	}
	return results[0], nil
}

const (
	minSlotRequests   = 5    // a slot with fewer requests has no meaningful share
	smoothedSlots     = 4    // slots that are added up to find the end of a shortfall, because one slot holds few requests
	recoveryTolerance = 0.01 // shortfall of the share that still counts as reached
)

// shortfall describes how far and how long the share of a run is below the share of the goal.
type shortfall struct {
	leastShare float64   // of any slot with enough requests
	seconds    float64   // until the share of the goal is reached again for good
	shares     []float64 // of all slots
}

// shortfallOf returns the shortfall of a run.
func (p *Planner) shortfallOf(result *Result) shortfall {
	found := shortfall{leastShare: 1}
	for i, slot := range result.Slots {
		found.shares = append(found.shares, slot.Share())
		if slot.Requests >= minSlotRequests {
			found.leastShare = min(found.leastShare, slot.Share())
		}
		var smoothed Tally
		for _, next := range result.Slots[i:min(len(result.Slots), i+smoothedSlots)] {
			smoothed.add(next)
		}
		if smoothed.Share() < p.Goal.share-recoveryTolerance {
			found.seconds = float64(i+1) * SlotSpan.Seconds()
		}
	}
	return found
}
