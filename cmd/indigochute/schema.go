package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"indigochute.example/indigochute/fleet"
)

func schemaCommand() *cobra.Command {
	return &cobra.Command{
		Use:       "schema fleet",
		Short:     "Print the JSON Schema of a fleet's description",
		Example:   "  indigochute schema fleet > fleet.schema.json",
		Args:      exactly(1),
		ValidArgs: []string{"fleet"},
		RunE: func(c *cobra.Command, args []string) error {
			if args[0] != "fleet" {
				return wrongCall{fmt.Errorf("no schema of %q; there is one of fleet", args[0])}
			}
			b, err := fleet.Schema()
			if err == nil {
				fmt.Fprintf(c.OutOrStdout(), "%s\n", b)
			}
			return err
		},
	}
}
