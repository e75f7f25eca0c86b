package main

import (
	"fmt"

	"github.com/spf13/cobra"
)

// addRenamed adds a command under its current name and, hidden, under its former name, so that existing scripts keep working. The same
// constructor builds both, so that flags, output and exit codes are the same. Only the help of the former name says that it is
// deprecated. Cobra's Deprecated field is not used, because it prints a warning on each call.
func addRenamed(parent *cobra.Command, name, oldName string, build func(name string) *cobra.Command) {
	old := build(oldName)
	old.Hidden = true
	markDeprecated(old, parent.CommandPath()+" "+name)
	parent.AddCommand(build(name), old)
}

// markDeprecated adds a deprecation notice that names the replacement to the help of a command and of its subcommands.
func markDeprecated(command *cobra.Command, replacement string) {
	text := command.Long
	if text == "" {
		text = command.Short
	}
	command.Long = fmt.Sprintf("Deprecated: use %q, which is identical.\n\n%s", replacement, text)
	for _, subcommand := range command.Commands() {
		markDeprecated(subcommand, replacement+" "+subcommand.Name())
	}
}
