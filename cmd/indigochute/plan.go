package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"

	"github.com/spf13/cobra"

	"indigochute.example/indigochute/internal/capacity"
	"indigochute.example/indigochute/internal/capture"
	"indigochute.example/indigochute/internal/report"
	"indigochute.example/indigochute/internal/topology"
)

// planFlags are the flags of plan and of its subcommands.
type planFlags struct {
	captures []string // paths of the captures
	goal     string
	seed     uint64
	json     bool // print JSON
}

// add defines the flags on a command and all its subcommands.
func (f *planFlags) add(command *cobra.Command) {
	flags := command.PersistentFlags()
	flags.StringArrayVar(&f.captures, "load", nil, "path of a capture; repeat the flag to merge the captures of several directors")
	flags.StringVar(&f.goal, "goal", "all 98% in its aim", "goal that the service must meet")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of all random choices")
	flags.BoolVar(&f.json, "json", false, "print JSON")
}

// planInput is the validated input of a plan, with a planner for it.
type planInput struct {
	fleet    *topology.Topology
	demand   *capacity.Demand
	goal     *capacity.Goal
	planner  *capacity.Planner
	warnings []string // sentences that say what was excluded from the captures
}

// planMemoryLimit is the soft memory limit, in bytes, of the process during a plan. Above it, garbage is collected more often.
const planMemoryLimit = 400e6

// readInput reads a fleet description, the captures and the goal. It also sets the memory limit of the process.
func (f *planFlags) readInput(path string) (*planInput, error) {
	debug.SetMemoryLimit(planMemoryLimit)
	description, err := topology.Read(path)
	if err != nil {
		return nil, err
	}
	if len(f.captures) == 0 {
		return nil, usageError{errors.New("--load is required: a capture that serve --capture or emulate --capture has written")}
	}
	var captures []*capture.Capture
	for _, file := range f.captures {
		captured, err := capture.Read(file)
		if err != nil {
			return nil, err
		}
		captures = append(captures, captured)
	}
	merged := capture.Merge(captures...)
	input := &planInput{fleet: description}
	if input.demand, err = capacity.DemandFromCapture(description, merged); err != nil {
		return nil, err
	}
	if input.goal, err = capacity.ParseGoal(description, f.goal); err != nil {
		return nil, err
	}
	input.warnings = append(merged.Report.Notes(), input.demand.Notes()...)
	input.planner = capacity.NewPlanner(description, input.demand, input.goal, runConcurrently, f.seed)
	return input, nil
}

// runConcurrently is a capacity.Runner that runs as many setups concurrently as there are cores. After all have ended it returns the
// results, or the first error in the order of the setups.
func runConcurrently(description *topology.Topology, demand *capacity.Demand, setups []capacity.Setup) ([]*capacity.Result, error) {
	results := make([]*capacity.Result, len(setups))
	errs := make([]error, len(setups))
	busyCores := make(chan struct{}, runtime.GOMAXPROCS(0))
	var running sync.WaitGroup
	for i, setup := range setups {
		busyCores <- struct{}{}
		running.Go(func() {
			results[i], errs[i] = capacity.Run(description, demand, setup)
			<-busyCores
		})
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

// planCommand returns the command that predicts from captures at which load a goal is no longer met. It is the parent of the other
// commands for capacity planning.
func planCommand() *cobra.Command {
	flags := &planFlags{}
	command := &cobra.Command{
		Use:   "plan FLEET --load CAPTURE",
		Short: "Predict from a captured load which limit breaks a goal first, and the effect of losses",
		Example: "  indigochute plan examples/plan/small.yaml --load examples/plan/small.capture\n" +
			"  indigochute plan fleet.yaml --load today.capture --goal 'page 98% in its aim at 300 reqs/s also after the loss of zone east'",
		Args: exactArgs(1),
	}
	flags.add(command)
	reportFolder := command.Flags().String("report", "", "also write plan.html, a page with charts, to this folder")
	command.AddCommand(planMeasureCommand(flags), planNeedCommand(flags))
	command.RunE = func(command *cobra.Command, args []string) error {
		input, err := flags.readInput(args[0])
		if err != nil {
			return err
		}
		answer, err := input.planner.Answer()
		if err != nil {
			return err
		}
		input.printWarnings(command.ErrOrStderr())
		if *reportFolder != "" {
			if err := input.writeReport(*reportFolder, answer); err != nil {
				return err
			}
		}
		noted := answerWithNotes{answer, slices.Concat([]string{}, input.warnings)}
		printText := func(out io.Writer) { printAnswer(out, input, answer) }
		if err := printResult(command.OutOrStdout(), flags.json, noted, printText); err != nil {
			return err
		}
		if !answer.Met {
			return errReported
		}
		return nil
	}
	return command
}

// answerWithNotes is the JSON form of an answer, with notes that say what was excluded from the captures.
type answerWithNotes struct {
	*capacity.Answer
	Notes []string `json:"notes"`
}

// printWarnings prints a line for each warning.
func (p *planInput) printWarnings(out io.Writer) {
	for _, warning := range p.warnings {
		fmt.Fprintln(out, "note:", warning)
	}
}

// reportFile is the name of the page that --report writes.
const reportFile = "plan.html"

// writeReport writes the page with charts to a folder. It creates the folder if it does not exist.
func (p *planInput) writeReport(folder string, answer *capacity.Answer) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	var page bytes.Buffer
	input := report.Input{Fleet: p.fleet, Demand: p.demand, Goal: p.goal, Answer: answer, Notes: p.warnings}
	if err := report.Write(&page, input); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, reportFile), page.Bytes(), 0o644)
}
