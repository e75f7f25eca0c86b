package capacity

// Utilization of limits.

import (
	"indigochute.example/indigochute/internal/simulation"
)

// Utilization is the utilization of a limit in a run.
type Utilization struct {
	Name      string         `json:"name"` // of the machine or link
	Resource  string         `json:"what"` // cores, link, fetches, director or cold start
	Used      float64        `json:"used"` // share of the limit that was used
	simulated simulation.Use // the record of the model, which identifies the limit
}

// utilizationOf returns the utilization that the model recorded.
func utilizationOf(use simulation.Use) Utilization {
	return Utilization{Name: use.Name, Resource: use.Resource, Used: use.Used, simulated: use}
}
