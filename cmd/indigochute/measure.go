package main

import (
	"fmt"
	"math"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"indigochute.example/indigochute/lab/standin"
	"indigochute.example/indigochute/plan"
)

// measured is what plan measure prints.
type measured struct {
	Fleet       string      `json:"fleet"`
	Goal        string      `json:"goal"`
	Under       string      `json:"under,omitempty"`
	Seed        uint64      `json:"seed"`
	Predicted   float64     `json:"predicted"` // factors of the captured load
	Measured    float64     `json:"measured"`
	Error       float64     `json:"error"` // of the prediction, as a share of what was measured
	Cause       string      `json:"predicted_cause"`
	Broke       string      `json:"broke"` // the limit that was fullest where it broke
	Late        string      `json:"late"`  // of the measuring machine itself
	Plays       int         `json:"plays"`
	Violated    []string    `json:"violations"`
	Prediction  *plan.Break `json:"prediction"`
	Measurement *plan.Break `json:"measurement"`
}

func measureCommand(p *planFlags) *cobra.Command {
	c := &cobra.Command{
		Use:   "measure FLEET --load CAPTURE",
		Short: "Raise load on a stand-in fleet with real directors until the goal breaks, and compare with the prediction",
		Long: "Plays the capture at rising load on loopback until the goal breaks. A goal may name one loss. The measurement is\n" +
			"void where this machine was late itself.",
		Example: "  indigochute plan measure examples/plan/small.yaml --load examples/plan/small.capture --seed 2",
		Args:    exactly(1),
	}
	atOnce := c.Flags().Int("at-once", max(1, runtime.NumCPU()), "plays side by side")
	warm := c.Flags().Duration("warm", 4*time.Second, "of each play, before it counts")
	span := c.Flags().Duration("span", 12*time.Second, "of each play that counts")
	c.RunE = func(c *cobra.Command, args []string) error {
		q, err := p.question(args[0])
		if err != nil {
			return err
		}
		if *warm < 0 || *span < 3*time.Second || *warm+*span > 5*time.Minute {
			return wrongCall{fmt.Errorf("--span of 3s or more, and no more than 5m with --warm, are expected")}
		}
		m, err := compare(q, p.seed, *atOnce, *warm, *span)
		if err != nil {
			return err
		}
		if p.json {
			if err := printJSON(c.OutOrStdout(), m); err != nil {
				return err
			}
		} else {
			t := newTable(c.OutOrStdout(), "fleet", "under", "predicted", "measured", "error", "predicted cause", "fullest when it broke", "machine late")
			t.AppendRow([]any{m.Fleet, m.Under, times(m.Predicted), times(m.Measured), percent(m.Error), m.Cause, m.Broke, m.Late})
			t.Render()
			for _, x := range m.Measurement.Points {
				fmt.Fprintf(c.OutOrStdout(), "  measured at %-6s %6.1f reqs/s: %6.2f%% in their aim of %d, %d late, %d denied\n", times(x.Factor), x.Rate, 100*x.Share, x.Asked, x.Late, x.Denied)
			}
			for _, v := range m.Violated {
				fmt.Fprintln(c.OutOrStdout(), "broken:", v)
			}
		}
		if len(m.Violated) > 0 {
			return silent
		}
		return nil
	}
	return c
}

// compare predicts a break and measures it.
func compare(q *question, seed uint64, atOnce int, warm, span time.Duration) (*measured, error) {
	q.planner.Warm, q.planner.Span = warm, span
	m := &measured{Fleet: q.fleet.Name, Goal: q.goal.String(), Seed: seed, Violated: []string{}}
	var blow plan.Blow
	var err error
	if len(q.goal.Also) > 1 {
		return nil, fmt.Errorf("goal %q names %d losses; one can be measured at a time", q.goal, len(q.goal.Also))
	}
	if len(q.goal.Also) == 1 {
		m.Under = q.goal.Also[0].String()
		at, err := q.goal.Factor(q.demand)
		if err != nil {
			return nil, err
		}
		if blow, _, err = q.planner.Blow(q.goal.Also[0], at); err != nil {
			return nil, err
		}
	}
	if m.Prediction, err = q.planner.Break(q.fleet, blow); err != nil {
		return nil, err
	}
	causes, err := q.planner.Causes(m.Prediction, blow, 1)
	if err != nil {
		return nil, err
	}
	m.Cause = "none that relief would help"
	if len(causes) > 0 {
		m.Cause = causes[0].Limit.Name + " " + causes[0].Limit.What
	}
	real := &standin.Player{AtOnce: atOnce}
	sockets := *q.planner
	sockets.Player, sockets.Seeds = real.Play, []uint64{seed}
	if m.Measurement, err = sockets.Break(q.fleet, blow); err != nil {
		return nil, err
	}
	m.Predicted, m.Measured = m.Prediction.Factor, m.Measurement.Factor
	m.Error = math.Abs(m.Predicted/m.Measured - 1)
	if m.Prediction.Held || m.Prediction.Never || m.Measurement.Held || m.Measurement.Never {
		return nil, fmt.Errorf("no breaking point to compare: predicted %s (held %v), measured %s (held %v); a longer capture or another goal is needed",
			times(m.Predicted), m.Prediction.Held, times(m.Measured), m.Measurement.Held)
	}
	if len(m.Measurement.Uses) > 0 {
		u := m.Measurement.Uses[0]
		m.Broke = fmt.Sprintf("%s %s %s", u.Name, u.What, percent(u.Used))
	}
	m.Late, m.Plays = real.Late.Round(100*time.Microsecond).String(), real.Plays
	m.Violated = append(m.Violated, real.Broken...)
	return m, nil
}
