package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"indigochute.example/indigochute/internal/testing/hollow"
)

// talkOptions holds the flags of hollow talk.
type talkOptions struct {
	sizes         []int    // numbers of directors at which to measure
	kinds         []string // hollow.Mesh, hollow.Control or both
	realDirectors int      // number of real directors to compare with hollow ones; 0: no comparison
}

// talkResult is the result that hollow talk prints.
type talkResult struct {
	Traffic    []*hollow.PeerTraffic `json:"talk"`
	Comparison *hollow.Comparison    `json:"comparison"`
}

// hollowTalkCommand returns the command that measures how the cost of the messages between directors depends on the number of directors.
func hollowTalkCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "talk",
		Short: "Measure the cost of messages between directors by their number, and compare hollow directors with real ones",
		Long: "Measures a mesh of directors, and directors that follow control machines, on loopback. Fits a line through the sizes up to 290.\n" +
			"The exit code is 1 if a fitted line does not predict the value measured at 580 within 15%.",
		Args: exactArgs(0),
	}
	var options talkOptions
	asJSON := command.Flags().Bool("json", false, "print JSON")
	command.Flags().IntSliceVar(&options.sizes, "sizes", []int{10, 20, 40, 64, 290, 580},
		"numbers of directors to measure; a mesh is measured only at those up to 64")
	command.Flags().StringSliceVar(&options.kinds, "kinds", []string{hollow.Mesh, hollow.Control},
		"kinds of clusters to measure: mesh, control")
	command.Flags().IntVar(&options.realDirectors, "real", 20, "number of real directors to compare hollow ones with; 0: no comparison")
	command.RunE = func(command *cobra.Command, _ []string) error {
		program, err := os.Executable()
		if err != nil {
			return err
		}
		if err := options.check(); err != nil {
			return usageError{err}
		}
		meter := hollow.NewMeter(program)
		meter.Progress = func(measured string) { fmt.Fprintln(command.ErrOrStderr(), "measured:", measured) }
		result, err := options.measure(meter)
		if err != nil {
			return err
		}
		if err := printResult(command.OutOrStdout(), *asJSON, result, result.print); err != nil {
			return err
		}
		if !result.predictionsHold() {
			return errors.New("the lines through the sizes up to 290 do not predict the values at 580 within 15%")
		}
		return nil
	}
	return command
}

// check returns an error if a flag has an invalid value.
func (o *talkOptions) check() error {
	if o.realDirectors < 0 || o.realDirectors > hollow.MaxRealDirectors {
		return fmt.Errorf("--real must be from 0 to %d", hollow.MaxRealDirectors)
	}
	for _, size := range o.sizes {
		if size < 2 || size > hollow.MaxControlSize {
			return fmt.Errorf("--sizes must be from 2 to %d", hollow.MaxControlSize)
		}
	}
	for _, kind := range o.kinds {
		if kind != hollow.Mesh && kind != hollow.Control {
			return fmt.Errorf("--kinds: unknown kind %q, expected %s or %s", kind, hollow.Mesh, hollow.Control)
		}
	}
	return nil
}

// sizesOf returns the sizes at which a kind is measured. A mesh is limited to hollow.MaxMeshSize.
func (o *talkOptions) sizesOf(kind string) (sizes []int) {
	for _, size := range o.sizes {
		if tooLarge := kind == hollow.Mesh && size > hollow.MaxMeshSize; !tooLarge {
			sizes = append(sizes, size)
		}
	}
	return sizes
}

// measure measures each kind of cluster, then compares hollow directors with real ones, unless the number of real ones is 0.
func (o *talkOptions) measure(meter *hollow.Meter) (*talkResult, error) {
	result := &talkResult{}
	for _, kind := range o.kinds {
		talk, err := meter.MeasureTraffic(kind, o.sizesOf(kind))
		if err != nil {
			return nil, err
		}
		result.Traffic = append(result.Traffic, talk)
	}
	if o.realDirectors == 0 {
		return result, nil
	}
	var err error
	result.Comparison, err = meter.Compare(o.realDirectors)
	return result, err
}

// predictionsHold reports whether, for each kind, the lines through the smaller sizes predict the values at the largest, as defined by
// hollow.PeerTraffic.Holds.
func (r *talkResult) predictionsHold() bool {
	for _, talk := range r.Traffic {
		if !talk.Holds {
			return false
		}
	}
	return true
}

// print prints the tables for each kind, then the comparison if there is one.
func (r *talkResult) print(out io.Writer) {
	for _, talk := range r.Traffic {
		printTraffic(out, talk)
	}
	if r.Comparison != nil {
		printComparison(out, r.Comparison)
	}
}

// bytesPerKB is the number of bytes in a KB of resident memory.
const bytesPerKB = 1024

// rateHeader contains the headers of the columns that rateCells fills.
var rateHeader = []any{"received bytes/s", "written bytes/s", "share of a core", "resident KB", "goroutines"}

// rateCells returns the cells for the columns of rateHeader.
func rateCells(rates hollow.Rates) []any {
	return []any{
		fmt.Sprintf("%.0f", rates.Received),
		fmt.Sprintf("%.0f", rates.Written),
		fmt.Sprintf("%.3f%%", 100*rates.Cores),
		fmt.Sprintf("%.0f", rates.Resident/bytesPerKB),
		fmt.Sprintf("%.1f", rates.Goroutines),
	}
}

// printTraffic prints the cost of the messages at each size, then the fitted lines.
func printTraffic(out io.Writer, talk *hollow.PeerTraffic) {
	fmt.Fprintf(out, "Messages between directors, %s:\n", talk.Kind)
	table := newTable(out, append([]any{"directors", "settled after", "of"}, rateHeader...)...)
	for _, size := range talk.Sizes {
		settled := size.SettleTime.Round(100 * time.Millisecond)
		table.AppendRow(append([]any{size.Directors, settled, "a director"}, rateCells(size.Director)...))
		if size.Control != nil {
			table.AppendRow(append([]any{size.Directors, settled, "a control machine, mean"}, rateCells(*size.Control)...))
			table.AppendRow(append([]any{size.Directors, settled, "a control machine, maximum"}, rateCells(*size.ControlMax)...))
		}
	}
	table.Render()
	printFits(out, talk)
}

// printFits prints a row for each figure: its fitted line, and the predicted and the measured value at the largest size.
func printFits(out io.Writer, talk *hollow.PeerTraffic) {
	table := newTable(out, "sizes up to 290", "value at 0", "per director", "predicted at 580", "measured", "prediction error")
	for _, fit := range talk.Fits {
		measured, errorText := "not measured", ""
		if fit.Measured != 0 {
			measured = figure(fit.Measured)
			errorText = fmt.Sprintf("%+.1f%%", 100*fit.Error)
			if !fit.Holds {
				errorText += ", above 15%"
			}
		}
		table.AppendRow([]any{fit.Figure, figure(fit.Base), figure(fit.PerDirector), figure(fit.Predicted), measured, errorText})
	}
	table.Render()
}

// printComparison prints the cost of a hollow director and of a real one.
func printComparison(out io.Writer, comparison *hollow.Comparison) {
	fmt.Fprintf(out, "One of %d directors that follow control machines:\n", comparison.Directors)
	table := newTable(out, append([]any{""}, rateHeader...)...)
	for _, row := range []struct {
		label string
		rates hollow.Rates
	}{
		{"real, without an operator file", comparison.RealStandalone},
		{"real, with an operator file", comparison.RealFollowing},
		{"real, difference of the two", comparison.Real},
		{"hollow, less a host without directors", comparison.Hollow},
	} {
		table.AppendRow(append([]any{row.label}, rateCells(row.rates)...))
	}
	ratio := comparison.Ratio
	table.AppendRow([]any{"ratio of hollow to real", times(ratio.Received), times(ratio.Written), times(ratio.Cores), times(ratio.Resident),
		""})
	table.Render()
}
