// Indigochute runs a director, which routes requests to cache servers, and the tools around it. Each command has its own file. Commands
// only parse flags, call other packages and print results.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes of the program.
const (
	exitSuccess    = 0
	exitFailure    = 1 // the command ran and failed, or found a failure
	exitUsageError = 2 // the command line is wrong; nothing was done
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// usageError is an error in the command line. The program prints it with the usage text and exits with exitUsageError.
type usageError struct{ error }

// Unwrap returns the wrapped error, for errors.Is and errors.As.
func (e usageError) Unwrap() error { return e.error }

// errReported makes the program exit with exitFailure without printing an error, because the command has already printed the failure.
var errReported = errors.New("failure already printed")

// newRootCommand returns the root command with all its subcommands.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "indigochute",
		Short:         "Run a director, which decides where objects are served, cached and filled from, and related tools",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError{fmt.Errorf("unknown command %q", args[0])}
			}
			return nil
		},
		RunE: commandExpected,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	flags := &logFlags{}
	flags.add(root)
	root.AddCommand(serveCommand(flags), checkCommand(), versionCommand(), planCommand(), schemaCommand(), migrateCommand(), hollowCommand(flags))
	addRenamed(root, "emulate", "stand", func(name string) *cobra.Command { return emulateCommand(name, flags) })
	addRenamed(root, "scenario", "rehearse", scenarioCommand)
	addRenamed(root, "scaling", "slopes", scalingCommand)
	addRenamed(root, "leases", "duties", leasesCommand)
	return root
}

// commandExpected is the RunE of a command that has only subcommands.
func commandExpected(*cobra.Command, []string) error {
	return usageError{errors.New("a subcommand is required")}
}

// exactArgs returns a check that a command has exactly count arguments. Any other number is a usage error.
func exactArgs(count int) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if err := cobra.ExactArgs(count)(command, args); err != nil {
			return usageError{err}
		}
		return nil
	}
}

// run runs the command line in args, which does not contain the program's name, and returns the exit code. It prints errors to stderr;
// after a usage error it prints the usage text too.
func run(args []string, stdout, stderr io.Writer) int {
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	called, err := root.ExecuteC()
	if err == nil {
		return exitSuccess
	}
	if errors.Is(err, errReported) {
		return exitFailure
	}
	fmt.Fprintln(stderr, "indigochute:", err)
	if errors.As(err, &usageError{}) {
		fmt.Fprint(stderr, called.UsageString())
		return exitUsageError
	}
	return exitFailure
}
