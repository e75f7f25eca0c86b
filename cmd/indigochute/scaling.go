package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"os/signal"
	"path"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"indigochute.example/indigochute/internal/testing/scaling"
)

// Bounds on a run of scaling.
const (
	scalingTimeout    = 10 * time.Minute // for building and running all benchmarks
	maxBenchmarkCount = 20               // runs of each benchmark
	maxBenchtime      = time.Minute      // duration of each run
)

// scalingResult is the result that scaling prints.
type scalingResult struct {
	Figures  []scaling.Growth `json:"figures"`
	Failures []string         `json:"broken"` // benchmarks and packages that could not be run, and values that could not be read
}

// benchmarkRun holds the flags of scaling that select the benchmarks and how they run.
type benchmarkRun struct {
	pattern   string // regular expression for the names, as in go test -bench
	benchtime string // duration of each run, as in go test -benchtime
	count     int    // number of runs of each benchmark
}

// scalingCommand returns the command that measures how costs grow with sizes. The name is a parameter, because the command is added under
// two names.
func scalingCommand(name string) *cobra.Command {
	command := &cobra.Command{
		Use:   name,
		Short: "Measure how costs grow with sizes, and compare the measurement at the largest size with a prediction",
		Long: "Runs the benchmarks that measure by size, BenchmarkScaleWHAT/UNIT=SIZE, one package after another, for at most ten minutes. Must be\n" +
			"run from the root of a checkout. Fits a line through the medians of the sizes up to half of the largest, and compares its\n" +
			"prediction for the largest size with the measured value. The output of go test goes to standard error. A prediction that is\n" +
			"off (verdict bent) is a finding, not a failure. The exit code is 1 only if a benchmark could not be run.",
		Example: "  indigochute " + name + " --run ScaleDuty --count 5\n  indigochute " + name + " --benchtime 1s --json",
		Args:    exactArgs(0),
	}
	var benchmarks benchmarkRun
	command.Flags().StringVar(&benchmarks.pattern, "run", "^BenchmarkScale", "regular expression for the benchmarks, as in go test -bench")
	command.Flags().StringVar(&benchmarks.benchtime, "benchtime", "200ms", "duration of each run, or a number of iterations such as 100x")
	command.Flags().IntVar(&benchmarks.count, "count", 3, "number of runs of each benchmark; their median is used")
	asJSON := command.Flags().Bool("json", false, "print JSON")
	command.RunE = func(command *cobra.Command, _ []string) error {
		if err := benchmarks.check(); err != nil {
			return usageError{err}
		}
		text, failure := benchmarks.runWithTimeout(command.ErrOrStderr())
		if text == "" && failure != nil {
			return failure
		}
		parsed := scaling.Parse(text)
		result := scalingResult{scaling.Fit(parsed.Measurements), append([]string{}, parsed.Failures...)}
		if err := printResult(command.OutOrStdout(), *asJSON, result, result.print); err != nil {
			return err
		}
		if failure != nil {
			return failure
		}
		return result.exitError(benchmarks.pattern)
	}
	return command
}

// check returns an error if a flag is out of bounds or go test would reject it.
func (b *benchmarkRun) check() error {
	if b.count < 1 || b.count > maxBenchmarkCount {
		return fmt.Errorf("--count must be from 1 to %d", maxBenchmarkCount)
	}
	if err := checkBenchtime(b.benchtime); err != nil {
		return err
	}
	for _, part := range strings.Split(b.pattern, "/") {
		if _, err := regexp.Compile(part); err != nil {
			return fmt.Errorf("--run: %w", err)
		}
	}
	return nil
}

// iterationsPattern matches a number of iterations in the form that go test -benchtime accepts.
var iterationsPattern = regexp.MustCompile(`^[1-9][0-9]{0,8}x$`)

// checkBenchtime returns an error for a value that go test would reject, and for a duration above maxBenchtime, with which the benchmarks
// could not finish within scalingTimeout.
func checkBenchtime(text string) error {
	if iterationsPattern.MatchString(text) {
		return nil
	}
	if duration, err := time.ParseDuration(text); err != nil || duration <= 0 || duration > maxBenchtime {
		return fmt.Errorf("--benchtime: invalid value %q, expected a duration of up to 1m or a number of iterations such as 100x", text)
	}
	return nil
}

// runWithTimeout runs the benchmarks of the checkout in the working directory until they end, scalingTimeout expires or a signal arrives.
// It returns the output of go test so far, also with an error.
func (b *benchmarkRun) runWithTimeout(progress io.Writer) (string, error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	timedOut := fmt.Errorf("not finished within %v; the results cover only the benchmarks that were", scalingTimeout)
	ctx, cancel := context.WithTimeoutCause(ctx, scalingTimeout, timedOut)
	defer cancel()
	return b.run(ctx, ".", progress)
}

// exitError returns the error with which the command ends: a benchmark could not be run or its output not parsed, or none matched. It
// returns nil if there is no such error.
func (r *scalingResult) exitError(pattern string) error {
	if len(r.Failures) > 0 {
		return fmt.Errorf("%d benchmarks or packages could not be run, or their output not parsed", len(r.Failures))
	}
	if len(r.Figures) == 0 {
		return fmt.Errorf("no benchmark that measures by size matches %q", pattern)
	}
	return nil
}

// print prints a row for each figure, then a line for each benchmark, package or value that could not be run or parsed.
func (r *scalingResult) print(out io.Writer) {
	table := newTable(out, "figure", "unit", "sizes", "slope", "value at 0", "farthest", "foretold", "measured", "shape", "verdict")
	for i := range r.Figures {
		table.AppendRow(growthCells(&r.Figures[i]))
	}
	table.Render()
	for _, line := range r.Failures {
		fmt.Fprintln(out, "not run or not parsed:", line)
	}
}

// growthCells returns the table cells of one figure. If there are too few sizes to fit a line, the cells that need the line are empty.
func growthCells(growth *scaling.Growth) []any {
	var sizes []string
	for _, point := range growth.Points {
		sizes = append(sizes, fmt.Sprintf("%.0f", point.Size))
	}
	name := path.Base(growth.Package) + " " + strings.TrimPrefix(growth.Benchmark, "Scale")
	sizesOf := strings.Join(sizes, " ") + " " + growth.SizeUnit
	line := growth.Line
	if line == nil {
		return []any{name, growth.Unit, sizesOf, "", "", "", "", figure(growth.Measured), "", string(growth.Verdict)}
	}
	shape := string(growth.Shape)
	if growth.Shape == scaling.Constant {
		shape += ", spread " + percent(growth.Spread)
	}
	intercept := withoutRounding(line.Intercept, growth.Measured)
	verdict := fmt.Sprintf("%s (%+.1f%%)", growth.Verdict, 100*withoutRounding(growth.Error, 1))
	return []any{name, growth.Unit, sizesOf, figure(line.Slope) + " each", figure(intercept), percent(line.MaxResidual),
		figure(growth.Predicted), figure(growth.Measured), shape, verdict}
}

// roundingError is the ratio below which a value is only a rounding error of the figure that it is computed from.
const roundingError = 1e-9

// withoutRounding returns a value, or 0 if it is only a rounding error relative to the given figure.
func withoutRounding(value, relativeTo float64) float64 {
	if math.Abs(value) < roundingError*math.Abs(relativeTo) {
		return 0
	}
	return value
}

// figure formats a measured value with four significant digits.
func figure(value float64) string { return strconv.FormatFloat(value, 'g', 4, 64) }
