package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"indigochute.example/indigochute/internal/capacity"
)

// planNeedCommand returns the command that prints the smallest number of caches in each zone with which a goal holds.
func planNeedCommand(flags *planFlags) *cobra.Command {
	command := &cobra.Command{
		Use:   "need FLEET --load CAPTURE --goal GOAL",
		Short: "Print how many caches of a kind each zone needs for a goal",
		Long: "Finds the smallest number of caches in each zone with which the goal holds at its rate, without a loss and under each loss\n" +
			"that the goal names. If no number is enough, the exit code is 1, and the limit that prevents it is printed.",
		Example: "  indigochute plan need examples/plan/zones.yaml --load examples/plan/zones.capture \\\n" +
			"    --goal 'page 98% in its aim at 150 reqs/s also after the loss of zone east'",
		Args: exactArgs(1),
	}
	kind := command.Flags().String("kind", "", "kind of the caches to count; if empty, the first kind of the fleet")
	command.RunE = func(command *cobra.Command, args []string) error {
		input, err := flags.readInput(args[0])
		if err != nil {
			return err
		}
		if *kind == "" {
			*kind = input.fleet.Kinds[0].Name
		}
		needs, unmet := input.planner.Needs(*kind)
		if unmet != nil && !capacity.IsUnmet(unmet) {
			return unmet
		}
		input.printWarnings(command.ErrOrStderr())
		answer := needsAnswer{Goal: input.goal.String(), Needs: needs}
		if unmet != nil {
			answer.Unmet = unmet.Error()
		}
		printText := func(out io.Writer) { input.printNeeds(out, needs) }
		if err := printResult(command.OutOrStdout(), flags.json, answer, printText); err != nil {
			return err
		}
		return unmet
	}
	return command
}

// needsAnswer is the JSON form of the result of plan need. Its fields are in the alphabetical order of their keys.
type needsAnswer struct {
	Goal  string           `json:"goal"`
	Needs []*capacity.Need `json:"needs"`
	Unmet string           `json:"unmet"` // why no number of caches meets the goal; empty: some number does
}

// printNeeds prints a row for each zone of each need. The zones are in the order of the fleet description.
func (p *planInput) printNeeds(out io.Writer, needs []*capacity.Need) {
	table := newTable(out, "under", "zone", "kind", "now", "needed", "within aim")
	for _, need := range needs {
		for _, zone := range p.fleet.Zones {
			if required, ok := need.Required[zone.Name]; ok {
				table.AppendRow([]any{need.Condition, zone.Name, need.Kind, need.Current[zone.Name], required, percent(need.Share)})
			}
		}
	}
	fmt.Fprintln(out, "goal:", p.goal)
	table.Render()
}
