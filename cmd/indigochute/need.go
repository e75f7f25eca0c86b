package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"indigochute.example/indigochute/plan"
)

func needCommand(p *planFlags) *cobra.Command {
	c := &cobra.Command{
		Use:   "need FLEET --load CAPTURE --goal GOAL",
		Short: "Tell how many caches of a kind each zone needs for a goal",
		Long: "Finds the fewest caches by zone with which the goal holds at its rate: plain, and under each loss that it names.\n" +
			"Ends with 1 where no number does, and says which limit stands in the way.",
		Example: "  indigochute plan need examples/plan/zones.yaml --load examples/plan/zones.capture \\\n" +
			"    --goal 'page 98% in its aim at 150 reqs/s also after the loss of zone east'",
		Args: exactly(1),
	}
	kind := c.Flags().String("kind", "", "which caches to count; default the first kind of the fleet")
	c.RunE = func(c *cobra.Command, args []string) error {
		q, err := p.question(args[0])
		if err != nil {
			return err
		}
		if *kind == "" {
			*kind = q.fleet.Kinds[0].Name
		}
		needs, err := q.planner.Needs(*kind)
		if err != nil && !plan.IsUnmet(err) {
			return err
		}
		for _, w := range q.warnings {
			fmt.Fprintln(c.ErrOrStderr(), "note:", w)
		}
		if p.json {
			said := ""
			if err != nil {
				said = err.Error()
			}
			if e := printJSON(c.OutOrStdout(), map[string]any{"goal": q.goal.String(), "needs": needs, "unmet": said}); e != nil {
				return e
			}
		} else {
			t := newTable(c.OutOrStdout(), "under", "zone", "kind", "now", "needed", "in their aim")
			for _, n := range needs {
				for _, z := range q.fleet.Zones {
					if _, ok := n.Need[z.Name]; ok {
						t.AppendRow([]any{n.Under, z.Name, n.Kind, n.Now[z.Name], n.Need[z.Name], percent(n.Share)})
					}
				}
			}
			fmt.Fprintln(c.OutOrStdout(), "goal:", q.goal)
			t.Render()
		}
		return err
	}
	return c
}
