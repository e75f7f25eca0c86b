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
	file   string // path to write; empty with dryRun
	dryRun bool   // write nothing
	back   bool   // convert from the new shape to the old one
	force  bool   // overwrite an existing file
}

// shapeFlags are the names of the flags that state the new shape.
var shapeFlags = []string{"weights", "notes", "joins", "probes"}

// migrateCommand returns the command that converts a director's configuration between the shapes of deployments.
func migrateCommand() *cobra.Command {
	var options migrateOptions
	command := &cobra.Command{
		Use:   "migrate FILE",
		Short: "Write a director's configuration anew for a deployment of the new shape, or back",
		Long: `Reads a director's configuration of the old shape and writes its counterpart of the new shape to another file. What
could not be carried over is listed, a line each. FILE is never changed. docs/migration.md has the steps of a move.`,
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
	flags.StringVar(&options.shape.Weights, "weights", "none", "what the list says of machines' sizes: none, nominal or rough")
	flags.StringVar(&options.shape.Notes, "notes", "all", "what answers tell of hits and fills: all, hit or none")
	flags.BoolVar(&options.shape.Joins, "joins", false, "a request may join a fill that is under way")
	flags.BoolVar(&options.shape.Probes, "probes", false, "machines may be probed")
	flags.StringVar(&options.file, "out", "", "file to write")
	flags.BoolVar(&options.force, "force", false, "write over a file that is there")
	flags.BoolVar(&options.dryRun, "dry-run", false, "tell what would be done, and change nothing")
	flags.BoolVar(&options.back, "back", false, "undo: FILE is of the new shape, written by this command")
	return command
}

// check returns an error where the flags contradict each other. Changed reports whether a flag was given.
func (o *migrateOptions) check(changed func(flag string) bool) error {
	fileGiven := o.file != ""
	if o.dryRun == fileGiven {
		return errors.New("either --out FILE or --dry-run is expected")
	}
	if err := o.shape.Check(); err != nil {
		return fmt.Errorf("--%w", err)
	}
	for _, flag := range shapeFlags {
		if o.back && changed(flag) {
			return fmt.Errorf("--back takes what was from the file, not --%s", flag)
		}
	}
	return nil
}

// run converts the configuration at source and writes the result. With a dry run it only prints the length of the result. In both cases
// it prints a line for each thing that could not be carried over.
func (o *migrateOptions) run(source string, out io.Writer) error {
	content, notCarried, err := o.convert(source)
	if err != nil {
		return err
	}
	for _, line := range notCarried {
		fmt.Fprintf(out, "not carried over: %s\n", line)
	}
	if o.dryRun {
		fmt.Fprintf(out, "%d bytes would be written, nothing was\n", len(content))
		return nil
	}
	if err := writeFile(systemDisk{}, source, o.file, content, o.force); err != nil {
		return err
	}
	fmt.Fprintf(out, "wrote %s, %d bytes\n", o.file, len(content))
	return nil
}

// convert returns the converted configuration at source, and a line for each thing that could not be carried over.
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
