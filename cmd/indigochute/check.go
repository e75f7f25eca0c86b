package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

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
	file := c.Flags().String("operator", "", "operator file; with a configuration its director or control machine must be named there")
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
		printOperator(out, f, me)
		return nil
	}
	return c
}

// printOperator tells what an operator file says. Me is the machine that is to run by it; empty: none.
func printOperator(out io.Writer, f *operator.File, me string) {
	who, n := "instances", len(f.Names())
	if len(f.Control) > 0 {
		who = "control machines"
	}
	fmt.Fprintf(out, "%d %s, a majority is %d; leases of %v renewed each %v, clocks within %v\n", n, who, n/2+1, f.Lease, f.Beat, f.Drift)
	if len(f.Control) > 0 {
		printDirectors(out, f)
		if at := f.Place(me); me != "" {
			fmt.Fprintf(out, "%s is a %v at region %s, zone %s, site %s\n", me, f.Role(me), at.Region, at.Zone, at.Site)
		}
	}
	for _, d := range f.Duties {
		what := d.Kind
		if d.Kind == "note" {
			what = fmt.Sprintf("note of %d bytes, life %v, keep: %s,", d.Bytes, d.Life, d.Keep)
		}
		fmt.Fprintf(out, "duty %s: %s each %v, done within %v, missed: %s\n", d.Name, what, d.Period, d.Timeout, d.Missed)
	}
}

// printDirectors tells where control machines and directors stand, what links the former bear, and of regions that a
// loss would hit hard.
func printDirectors(out io.Writer, f *operator.File) {
	regions, zones, sites, warnings := f.Regions(), 0, 0, []string{}
	for _, r := range regions {
		zones += len(r.Zones)
		for _, z := range r.Zones {
			sites += len(z.Sites)
		}
	}
	fmt.Fprintf(out, "%d directors at %d sites of %d zones, %d regions with them or control machines\n", len(f.Directors), sites,
		zones, len(regions))
	n := len(f.Control)
	for _, r := range regions {
		fmt.Fprintf(out, "region %s: control machines %d, directors %d\n", r.Name, r.Control, r.Directors)
		for _, z := range r.Zones {
			var at []string
			for _, s := range z.Sites {
				at = append(at, fmt.Sprintf("%s %d", s.Name, s.Directors))
			}
			fmt.Fprintf(out, "  zone %s: %d (%s)\n", z.Name, z.Directors, strings.Join(at, ", "))
		}
		if r.Control == 0 {
			warnings = append(warnings, fmt.Sprintf("region %s has no control machine of its own (directors: %d)", r.Name, r.Directors))
		}
		if r.Control > n/2 {
			warnings = append(warnings, fmt.Sprintf("region %s has %d of %d control machines: without it no duty runs", r.Name,
				r.Control, n))
		}
	}
	fmt.Fprintf(out, "links that a control machine bears on average: %.1f", f.Links(0))
	stands := (n - 1) / 2 // losses that leave a majority
	for lost := 1; lost <= stands; lost++ {
		if lost != 2 || lost == stands {
			fmt.Fprintf(out, ", with %d lost %.1f", lost, f.Links(lost))
		}
	}
	fmt.Fprintf(out, "\nuplinks: %v to a director at most, dials spread over %v\n", f.Uplink.Rate, f.Uplink.Spread)
	for _, w := range warnings {
		fmt.Fprintln(out, "warning:", w)
	}
}
