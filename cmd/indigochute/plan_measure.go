package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"indigochute.example/indigochute/internal/capacity"
	"indigochute.example/indigochute/internal/testing/emulator"
)

// Bounds on one play, which is a run of the captured load at one rate.
const (
	minMeasuredSpan = 3 * time.Second
	maxPlayDuration = 5 * time.Minute // warm-up and measured span together
)

// measureOptions holds the flags of plan measure.
type measureOptions struct {
	parallel int           // number of plays that run concurrently
	warmUp   time.Duration // duration of each play before the measured span
	span     time.Duration // duration of the measured span of each play
}

// measuredResult is the result that plan measure prints.
type measuredResult struct {
	Fleet          string          `json:"fleet"`
	Goal           string          `json:"goal"`
	Loss           string          `json:"under,omitempty"`
	Seed           uint64          `json:"seed"`
	Predicted      float64         `json:"predicted"` // predicted breaking point, as a factor of the captured load
	Measured       float64         `json:"measured"`  // measured breaking point, as a factor of the captured load
	Error          float64         `json:"error"`     // error of the prediction, as a share of the measured value
	PredictedCause string          `json:"predicted_cause"`
	FullestLimit   string          `json:"broke"` // the limit with the highest utilization at the measured breaking point
	Lateness       string          `json:"late"`  // lateness of the machine that measures
	Plays          int             `json:"plays"`
	Violations     []string        `json:"violations"`
	Prediction     *capacity.Break `json:"prediction"`
	Measurement    *capacity.Break `json:"measurement"`
}

// planMeasureCommand returns the command that compares the predicted breaking point with one that is measured over sockets.
func planMeasureCommand(flags *planFlags) *cobra.Command {
	command := &cobra.Command{
		Use:   "measure FLEET --load CAPTURE",
		Short: "Measure on an emulated fleet with real directors at which load the goal breaks, and compare with the prediction",
		Long: "Plays the capture on loopback at increasing load until the goal breaks. The goal may name at most one loss. The measurement is\n" +
			"invalid if this machine itself ran late.",
		Example: "  indigochute plan measure examples/plan/small.yaml --load examples/plan/small.capture --seed 2",
		Args:    exactArgs(1),
	}
	var options measureOptions
	command.Flags().IntVar(&options.parallel, "at-once", max(1, runtime.NumCPU()), "number of plays that run concurrently")
	command.Flags().DurationVar(&options.warmUp, "warm", 4*time.Second, "warm-up of each play, which is not measured")
	command.Flags().DurationVar(&options.span, "span", 12*time.Second, "measured duration of each play")
	command.RunE = func(command *cobra.Command, args []string) error {
		input, err := flags.readInput(args[0])
		if err != nil {
			return err
		}
		if err := options.check(); err != nil {
			return usageError{err}
		}
		result, err := options.compare(input, flags.seed)
		if err != nil {
			return err
		}
		if err := printResult(command.OutOrStdout(), flags.json, result, result.print); err != nil {
			return err
		}
		if len(result.Violations) > 0 {
			return errReported
		}
		return nil
	}
	return command
}

// check returns an error if a flag is out of bounds.
func (o *measureOptions) check() error {
	if o.warmUp < 0 || o.span < minMeasuredSpan || o.warmUp+o.span > maxPlayDuration {
		return errors.New("--span must be at least 3s, --warm must not be negative, and together they must be at most 5m")
	}
	return nil
}

// compare predicts and measures at which load the goal breaks. It returns an error if the prediction or the measurement finds no such
// load.
func (o *measureOptions) compare(input *planInput, seed uint64) (*measuredResult, error) {
	input.planner.Warmup, input.planner.Span = o.warmUp, o.span
	result := &measuredResult{Fleet: input.fleet.Name, Goal: input.goal.String(), Seed: seed, Violations: []string{}}
	failure, err := input.singleLoss()
	if err != nil {
		return nil, err
	}
	if len(input.goal.Losses) > 0 {
		result.Loss = input.goal.Losses[0].String()
	}
	if result.Prediction, err = input.planner.Break(input.fleet, failure); err != nil {
		return nil, err
	}
	if result.PredictedCause, err = input.firstCause(result.Prediction, failure); err != nil {
		return nil, err
	}
	runner := &emulator.Runner{Parallel: o.parallel}
	measuring := *input.planner // searches in the same way as the planner, but measures over sockets
	measuring.Runner = runner.Run
	measuring.Seeds = []uint64{seed}
	if result.Measurement, err = measuring.Break(input.fleet, failure); err != nil {
		return nil, err
	}
	if err := result.evaluate(); err != nil {
		return nil, err
	}
	result.Lateness = runner.Lateness.Round(100 * time.Microsecond).String()
	result.Plays = runner.Runs
	result.Violations = append(result.Violations, runner.Violations...)
	return result, nil
}

// singleLoss returns the loss that the goal names, at the load that the goal requires, or the zero Failure if the goal names none. It
// returns an error if the goal names more than one.
func (p *planInput) singleLoss() (capacity.Failure, error) {
	var failure capacity.Failure
	if len(p.goal.Losses) == 0 {
		return failure, nil
	}
	if len(p.goal.Losses) > 1 {
		return failure, fmt.Errorf("goal %q names %d losses, but only one can be measured at a time", p.goal, len(p.goal.Losses))
	}
	factor, err := p.goal.Factor(p.demand)
	if err != nil {
		return failure, err
	}
	failure, _, err = p.planner.Failure(p.goal.Losses[0], factor)
	return failure, err
}

// firstCause returns the limit that breaks the goal first.
func (p *planInput) firstCause(prediction *capacity.Break, failure capacity.Failure) (string, error) {
	causes, err := p.planner.Causes(prediction, failure, 1)
	if err != nil {
		return "", err
	}
	if len(causes) == 0 {
		return "none that relief would help", nil
	}
	return causes[0].Limit.Name + " " + causes[0].Limit.Resource, nil
}

// evaluate compares the prediction with the measurement. It returns an error if one of them has no breaking point.
func (r *measuredResult) evaluate() error {
	predicted, measured := r.Prediction, r.Measurement
	r.Predicted, r.Measured = predicted.Factor, measured.Factor
	r.Error = math.Abs(r.Predicted/r.Measured - 1)
	if predicted.AlwaysHolds || predicted.NeverHolds || measured.AlwaysHolds || measured.NeverHolds {
		return fmt.Errorf("no breaking point to compare: predicted %s (held at all loads: %v), measured %s (held at all loads: %v); use a longer capture or another goal",
			times(r.Predicted), predicted.AlwaysHolds, times(r.Measured), measured.AlwaysHolds)
	}
	if len(measured.Utilizations) > 0 {
		fullest := measured.Utilizations[0]
		r.FullestLimit = fmt.Sprintf("%s %s %s", fullest.Name, fullest.Resource, percent(fullest.Used))
	}
	return nil
}

// print prints the comparison as one row, then a line for each measured load and for each violation.
func (r *measuredResult) print(out io.Writer) {
	table := newTable(out, "fleet", "under", "predicted", "measured", "error", "predicted cause", "fullest limit at the break",
		"machine lateness")
	table.AppendRow([]any{r.Fleet, r.Loss, times(r.Predicted), times(r.Measured), percent(r.Error), r.PredictedCause, r.FullestLimit,
		r.Lateness})
	table.Render()
	for _, point := range r.Measurement.Points {
		fmt.Fprintf(out, "  measured at load factor %-6s %6.1f reqs/s: %6.2f%% within aim of %d requests, %d late, %d denied\n",
			times(point.Factor),
			point.Rate, 100*point.Share, point.Requests, point.Late, point.Rejected)
	}
	for _, violation := range r.Violations {
		fmt.Fprintln(out, "broken:", violation)
	}
}
