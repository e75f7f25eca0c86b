// Package scenario runs scripted failure tests against real processes and emulated machines on loopback. Each scenario tests
// one subsystem in a bounded time and checks the observations. A run returns a Report with figures and violations.
package scenario

// This file holds what all scenarios share: the list of scenarios, the function that runs one by name, and the report.

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Report is the result of one run of a scenario.
type Report struct {
	Name       string             `json:"name"`
	Seed       uint64             `json:"seed"`
	Passed     bool               `json:"passed"`           // there are no violations
	Figures    map[string]float64 `json:"figures"`          // measurements by name, whose suffix is the unit
	Violations []string           `json:"violations"`       // observations that must not occur
	Record     []string           `json:"record,omitempty"` // the faults injected and the state of processes, for troubleshooting
}

// addViolation records an observation that must not occur.
func (r *Report) addViolation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// addFigure records a measurement. If the value is not finite, nothing was measured: addFigure records a violation instead and
// returns false.
func (r *Report) addFigure(name string, value float64) bool {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		r.addViolation("%s was not measured", name)
		return false
	}
	r.Figures[name] = value
	return true
}

// addBudgeted records a measurement and its budget. A value above the budget is a violation.
func (r *Report) addBudgeted(name string, value, budget float64, unit string) {
	if !r.addFigure(name, value) {
		return
	}
	r.Figures[name+"_budget"] = budget
	if value > budget {
		r.addViolation("%s: %.4g %s, above the budget of %.4g", name, value, unit, budget)
	}
}

// Scenario is one scripted failure test.
type Scenario struct {
	Name        string
	Description string                                      // one line, for the list of scenarios
	Run         func(seed uint64, r *Report) error          // runs with the scenario's own sizes
	RunSized    func(s Sizes, seed uint64, r *Report) error // runs with sizes of the caller; nil if the scenario has no sizes
}

// All lists the scenarios, in the order in which they are shown.
func All() []Scenario {
	return []Scenario{
		{
			Name:        "plan",
			Description: "checks a predicted breaking point on sockets, with loads below and above it; caches that restart empty; a drain and a purge",
			Run:         runPlan,
		},
		{
			Name:        "duties",
			Description: "jobs that only one director may run at a time: kills, pauses, partitions, shutdowns, slow and corrupting links, with 3 and 5 processes",
			Run:         runJobs,
		},
		{
			Name:        "scale",
			Description: "up to 580 directors and 9 control machines: the leader killed, a region cut off, all links of directors reset, a control machine paused",
			Run:         func(seed uint64, r *Report) error { return runScale(Sizes{maxDirectors, maxControl}, seed, r) },
			RunSized:    runScale,
		},
	}
}

// Run runs the scenario with the given name. It uses the first of sizes if there is one, and the scenario's own sizes
// otherwise. An error means that the scenario could not be run, which says nothing about the subsystem under test. Faults of
// that subsystem are violations in the report.
func Run(name string, seed uint64, sizes ...Sizes) (*Report, error) {
	selected, err := findScenario(name)
	if err != nil {
		return nil, err
	}
	report := &Report{Name: name, Seed: seed, Figures: map[string]float64{}, Violations: []string{}}
	switch {
	case len(sizes) == 0:
		err = selected.Run(seed, report)
	case selected.RunSized == nil:
		err = fmt.Errorf("scenario %s does not accept sizes", name)
	default:
		err = selected.RunSized(sizes[0], seed, report)
	}
	if err != nil {
		return nil, err
	}
	report.Passed = len(report.Violations) == 0
	return report, nil
}

// findScenario returns the scenario with the given name. The error for an unknown name lists the available scenarios.
func findScenario(name string) (Scenario, error) {
	all := All()
	index := slices.IndexFunc(all, func(s Scenario) bool { return s.Name == name })
	if index >= 0 {
		return all[index], nil
	}
	var names []string
	for _, s := range all {
		names = append(names, s.Name)
	}
	return Scenario{}, fmt.Errorf("unknown scenario %q; available scenarios: %s", name, strings.Join(names, ", "))
}
