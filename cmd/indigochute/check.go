package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"indigochute.example/indigochute/config"
	"indigochute.example/indigochute/operator"
	"indigochute.example/indigochute/service"
)

func checkCommand() *cobra.Command {
	c := &cobra.Command{
		Use:     "check [FILE] [--operator FILE]",
		Short:   "Read a director's configuration, an operator file or both, and report what they say, or their faults",
		Example: "  indigochute check config.json\n  indigochute check config.json --operator operator.yaml\n  indigochute check --operator operator.yaml",
	}
	c.Args = func(c *cobra.Command, args []string) error {
		if len(args) > 1 || len(args) == 0 && !c.Flags().Changed("operator") {
			return wrongCall{errors.New("a configuration, an operator file or both are expected")}
		}
		return nil
	}
	file := c.Flags().String("operator", "", "operator file; with a configuration its director must be named there")
	c.RunE = func(c *cobra.Command, args []string) error {
		out, me := c.OutOrStdout(), ""
		if len(args) == 1 {
			if err := service.Check(out, args[0]); err != nil {
				return err
			}
			conf, err := config.File(args[0], "", "")
			if err != nil {
				return err
			}
			me = conf.Name
		}
		if *file == "" {
			return nil
		}
		f, err := operator.Read(*file, me)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%d instances, a majority is %d; leases of %v renewed each %v, clocks within %v\n", len(f.Instances),
			len(f.Instances)/2+1, f.Lease, f.Beat, f.Drift)
		for _, d := range f.Duties {
			fmt.Fprintf(out, "duty %s: %s each %v, done within %v, missed: %s\n", d.Name, d.Kind, d.Period, d.Timeout, d.Missed)
		}
		return nil
	}
	return c
}
