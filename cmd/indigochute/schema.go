package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"indigochute.example/indigochute/internal/clusterconfig"
	"indigochute.example/indigochute/internal/topology"
)

// schemaCommand returns the command that prints the JSON Schema of a fleet description or an operator file.
func schemaCommand() *cobra.Command {
	schemas := map[string]func() ([]byte, error){"fleet": topology.Schema, "operator": clusterconfig.Schema}
	return &cobra.Command{
		Use:       "schema fleet|operator",
		Short:     "Print the JSON Schema of a fleet description or of an operator file",
		Example:   "  indigochute schema fleet > fleet.schema.json\n  indigochute schema operator > operator.schema.json",
		Args:      exactArgs(1),
		ValidArgs: []string{"fleet", "operator"},
		RunE: func(command *cobra.Command, args []string) error {
			schema := schemas[args[0]]
			if schema == nil {
				return usageError{fmt.Errorf("no schema named %q, expected fleet or operator", args[0])}
			}
			text, err := schema()
			if err != nil {
				return err
			}
			fmt.Fprintf(command.OutOrStdout(), "%s\n", text)
			return nil
		},
	}
}
