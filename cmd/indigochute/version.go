package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"indigochute.example/indigochute/service"
)

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  exactly(0),
		Run:   func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), service.Version()) },
	}
}
