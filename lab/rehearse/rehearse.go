// Package rehearse plays scripted failures of each subsystem against stand-ins on loopback, each bounded in time.
package rehearse

import (
	"fmt"
	"slices"
	"strings"
)

// Report is what a rehearsal came to.
type Report struct {
	Name       string             `json:"name"`
	Seed       uint64             `json:"seed"`
	Passed     bool               `json:"passed"`
	Figures    map[string]float64 `json:"figures"`
	Violations []string           `json:"violations"` // what should not have been seen
}

// violated notes what should not have been seen.
func (r *Report) violated(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

// Rehearsal is one script.
type Rehearsal struct {
	Name string
	Says string
	Run  func(seed uint64, r *Report) error
}

// All lists the rehearsals there are.
func All() []Rehearsal {
	return []Rehearsal{
		{"plan", "a prediction, checked on sockets below and above the breaking point; a cold return; a drain and a purge", planned},
		{"duties", "duties that only one director may run: kills, pauses, cuts, leaves, slow and garbled links, among 3 and 5 processes", duties},
	}
}

// Run plays one. The error is that it could not be played, which says nothing of what it is for.
func Run(name string, seed uint64) (*Report, error) {
	all := All()
	at := slices.IndexFunc(all, func(x Rehearsal) bool { return x.Name == name })
	if at < 0 {
		var names []string
		for _, x := range all {
			names = append(names, x.Name)
		}
		return nil, fmt.Errorf("no rehearsal %q; there are: %s", name, strings.Join(names, ", "))
	}
	r := &Report{Name: name, Seed: seed, Figures: map[string]float64{}, Violations: []string{}}
	if err := all[at].Run(seed, r); err != nil {
		return nil, err
	}
	r.Passed = len(r.Violations) == 0
	return r, nil
}
