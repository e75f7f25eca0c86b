package main

import (
	"github.com/spf13/cobra"

	"indigochute.example/indigochute/service"
)

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Read a director's configuration and report what it says, or its first fault",
		Example: "  indigochute check config.json",
		Args:    exactly(1),
		RunE:    func(c *cobra.Command, args []string) error { return service.Check(c.OutOrStdout(), args[0]) },
	}
}
