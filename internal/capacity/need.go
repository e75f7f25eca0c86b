package capacity

// The number of caches that a goal needs.

import (
	"errors"
	"fmt"
	"slices"

	"indigochute.example/indigochute/internal/topology"
)

// Need is the number of caches of one kind that each zone needs for a goal, under one condition.
type Need struct {
	Kind      string         `json:"kind"`
	Condition string         `json:"under"` // withoutLoss, or in words the loss under which the goal holds
	Current   map[string]int `json:"now"`   // by zone
	Required  map[string]int `json:"need"`  // by zone
	Share     float64        `json:"share"` // of the requests within their latency objective, with the required caches
	Total     int            `json:"total"` // sum of Required
	Runs      int            `json:"plays"` // number of simulated runs
}

// UnmetError says that no number of caches meets a goal. It names the limit that breaks the goal.
type UnmetError struct {
	Goal      string
	Condition string       // as in Need
	Share     float64      // with the greatest number of caches that was tried
	MaxCaches int          // the greatest number of caches that was tried
	Limit     *Utilization // nil: no limit was full
}

// Error names the goal, its condition and the limit that breaks the goal.
func (u UnmetError) Error() string {
	text := fmt.Sprintf("no number of caches up to %d meets %q (%s): %.1f%% there", u.MaxCaches, u.Goal, u.Condition, 100*u.Share)
	if u.Limit != nil {
		text += fmt.Sprintf("; %s's %s stands in the way, %.0f%% used", u.Limit.Name, u.Limit.Resource, 100*u.Limit.Used)
	}
	return text
}

// IsUnmet reports whether an error is or wraps an UnmetError.
func IsUnmet(err error) bool {
	var unmet UnmetError
	return errors.As(err, &unmet)
}

// withoutLoss is the Need.Condition without a loss.
const withoutLoss = "plain"

// Needs finds the fewest caches of a kind with which the goal holds at its rate: without a loss, and under each loss that
// the goal names. It raises the numbers of all zones together until the goal holds, then lowers them one zone after the
// other. The error is an UnmetError if no number is enough; the needs found before are returned with it.
func (p *Planner) Needs(kind string) (needs []*Need, err error) {
	kindIndex := slices.IndexFunc(p.Topology.Kinds, func(k topology.CacheKind) bool { return k.Name == kind })
	if kindIndex < 0 {
		return nil, fmt.Errorf("the fleet has no kind %q", kind)
	}
	factor, err := p.Goal.Factor(p.Demand)
	if err != nil {
		return nil, err
	}
	conditions := append([]*Loss{nil}, p.Goal.Losses...) // nil: without a loss
	for _, loss := range conditions {
		search := &needSearch{planner: p, kind: kindIndex, loss: loss, factor: factor}
		if err := search.run(); err != nil {
			return needs, err
		}
		needs = append(needs, &search.need)
	}
	return needs, nil
}
