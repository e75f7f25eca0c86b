package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"indigochute.example/indigochute/internal/service"
)

// versionCommand returns the command that prints the version of the program.
func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  exactArgs(0),
		Run:   func(command *cobra.Command, _ []string) { fmt.Fprintln(command.OutOrStdout(), service.Version()) },
	}
}
