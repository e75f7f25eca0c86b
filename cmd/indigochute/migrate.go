package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"indigochute.example/indigochute/internal/migrate"
)

// migrateOptions holds the flags of migrate.
type migrateOptions struct {
	shape  migrate.Shape
	file   string // path to write to; empty with dryRun
	dryRun bool   // write nothing
	back   bool   // convert from the new shape to the old one
	force  bool   // overwrite an existing file
}

// shapeFlags are the names of the flags that describe the new shape.
var shapeFlags = []string{"weights", "notes", "joins", "probes"}

// migrateCommand returns the command that converts a director's configuration from the old shape of deployments to the new one, and back.
func migrateCommand() *cobra.Command {
	var options migrateOptions
	command := &cobra.Command{
		Use:   "migrate FILE",
		Short: "Convert a director's configuration to the new shape of deployments, or back",
		Long: `Reads a director's configuration of the old shape and writes the equivalent configuration of the new shape to another file.
Prints a line for each setting that could not be carried over. FILE is never changed. docs/migration.md describes the
steps of a migration.`,
		Example: `  indigochute migrate old.json --weights rough --notes hit --joins --dry-run
  indigochute migrate old.json --weights rough --notes hit --joins --out new.json
  indigochute migrate new.json --back --out old-again.json`,
		Args: exactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if err := options.check(command.Flags().Changed); err != nil {
				return usageError{err}
			}
			return options.run(args[0], command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.shape.Weights, "weights", "none", "capacities of nodes in the endpoint list: none, nominal or rough")
	flags.StringVar(&options.shape.Notes, "notes", "all", "what responses report: all (hits and fills), hit or none")
	flags.BoolVar(&options.shape.Joins, "joins", false, "requests may join a fill in progress")
	flags.BoolVar(&options.shape.Probes, "probes", false, "nodes may be probed")
	flags.StringVar(&options.file, "out", "", "path of the file to write")
	flags.BoolVar(&options.force, "force", false, "overwrite an existing file")
	flags.BoolVar(&options.dryRun, "dry-run", false, "print what would be done, and write nothing")
	flags.BoolVar(&options.back, "back", false, "convert back to the old shape; FILE must have been written by this command")
	return command
}

// check returns an error if a flag has an invalid value or contradicts another. Changed reports whether a flag was given.
func (o *migrateOptions) check(changed func(flag string) bool) error {
	fileGiven := o.file != ""
	if o.dryRun == fileGiven {
		return errors.New("exactly one of --out and --dry-run is required")
	}
	if err := o.shape.Check(); err != nil {
		return fmt.Errorf("--%w", err)
	}
	for _, flag := range shapeFlags {
		if o.back && changed(flag) {
			return fmt.Errorf("--back restores the settings from FILE and cannot be combined with --%s", flag)
		}
	}
	return nil
}

// run converts the configuration at source and writes the result. A dry run only prints the length of the result. Both print a line for
// each thing that could not be carried over.
func (o *migrateOptions) run(source string, out io.Writer) error {
	content, notCarried, err := o.convert(source)
	if err != nil {
		return err
	}
	for _, line := range notCarried {
		fmt.Fprintf(out, "not carried over: %s\n", line)
	}
	if o.dryRun {
		fmt.Fprintf(out, "dry run: %d bytes would be written, nothing was written\n", len(content))
		return nil
	}
	if err := writeFile(systemDisk{}, source, o.file, content, o.force); err != nil {
		return err
	}
	fmt.Fprintf(out, "wrote %s, %d bytes\n", o.file, len(content))
	return nil
}

// convert converts the configuration at source. It also returns a line for each thing that could not be carried over.
func (o *migrateOptions) convert(source string) (content []byte, notCarried []string, err error) {
	raw, err := os.ReadFile(source)
	if err != nil {
		return nil, nil, err
	}
	if o.back {
		content, err = migrate.ToOldShape(raw)
	} else {
		content, notCarried, err = migrate.ToNewShape(raw, o.shape)
	}
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", source, err)
	}
	return content, notCarried, nil
}
