package main

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/spf13/cobra"

	"indigochute.example/indigochute/internal/testing/scenario"
)

// listScenarios is the argument that prints the list of scenarios instead of running one.
const listScenarios = "list"

// scenarioCommand returns the command that runs a scripted failure test. The name is a parameter, because the command is added under two
// names.
func scenarioCommand(name string) *cobra.Command {
	command := &cobra.Command{
		Use:   name + " NAME",
		Short: "Run a scripted failure test of a subsystem against emulated machines on loopback",
		Long: "Runs scripted failures against emulated machines. A run takes less than a minute; only scale takes up to two and a half minutes,\n" +
			"and less with fewer directors. The exit code is 1 if a violation was found. " + name + " list prints the names of the scenarios.",
		Example: "  indigochute " + name + " list\n  indigochute " + name + " plan --seed 7 --json\n  indigochute " + name + " scale --directors 60 --control 5",
		Args:    exactArgs(1),
	}
	seed := command.Flags().Uint64("seed", 1, "seed of all random choices")
	asJSON := command.Flags().Bool("json", false, "print JSON")
	var sizes scenario.Sizes
	command.Flags().IntVar(&sizes.Directors, "directors", 580, "number of directors in the scale scenario, 5 to 580")
	command.Flags().IntVar(&sizes.Control, "control", 9, "number of control machines in the scale scenario: 3, 5, 7 or 9")
	command.RunE = func(command *cobra.Command, args []string) error {
		out := command.OutOrStdout()
		if args[0] == listScenarios {
			printScenarios(out)
			return nil
		}
		var chosen []scenario.Sizes // empty: the scenario uses its defaults
		if command.Flags().Changed("directors") || command.Flags().Changed("control") {
			chosen = append(chosen, sizes)
		}
		report, err := scenario.Run(args[0], *seed, chosen...)
		if err != nil {
			return err
		}
		printText := func(out io.Writer) { printScenario(out, report) }
		if err := printResult(out, *asJSON, report, printText); err != nil {
			return err
		}
		if !report.Passed {
			return errReported
		}
		return nil
	}
	return command
}

// printScenarios prints the name and the description of each scenario.
func printScenarios(out io.Writer) {
	for _, scenario := range scenario.All() {
		fmt.Fprintf(out, "%-10s %s\n", scenario.Name, scenario.Description)
	}
}

// printScenario prints the figures of a run, sorted by name, then its violations and its record of events.
func printScenario(out io.Writer, report *scenario.Report) {
	table := newTable(out, report.Name, "")
	for _, name := range slices.Sorted(maps.Keys(report.Figures)) {
		table.AppendRow([]any{name, fmt.Sprintf("%.4g", report.Figures[name])})
	}
	table.Render()
	for _, violation := range report.Violations {
		fmt.Fprintln(out, "violation:", violation)
	}
	for _, line := range report.Record {
		fmt.Fprintln(out, line)
	}
}
