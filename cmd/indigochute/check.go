package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"indigochute.example/indigochute/internal/clusterconfig"
	"indigochute.example/indigochute/internal/config"
	"indigochute.example/indigochute/internal/service"
)

// checkCommand returns the command that reads a configuration, an operator file or both, and prints a summary or the first fault.
func checkCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "check [FILE] [--operator FILE]",
		Short:   "Read a director's configuration, an operator file or both, and report what they say, or their faults",
		Example: "  indigochute check config.json\n  indigochute check config.json --operator operator.yaml\n  indigochute check --operator operator.yaml",
		Args: func(command *cobra.Command, args []string) error {
			if len(args) > 1 || len(args) == 0 && !command.Flags().Changed("operator") {
				return usageError{errors.New("a configuration, an operator file or both are expected")}
			}
			return nil
		},
	}
	clusterFile := command.Flags().String("operator", "", "operator file; with a configuration its director or control machine must be named there")
	command.RunE = func(command *cobra.Command, args []string) error {
		out := command.OutOrStdout()
		name := ""
		if len(args) == 1 {
			var err error
			if name, err = checkConfiguration(out, args[0]); err != nil {
				return err
			}
		}
		if *clusterFile == "" {
			return nil
		}
		cluster, err := clusterconfig.Read(*clusterFile, name)
		if err != nil {
			return err
		}
		printCluster(out, cluster, name)
		return nil
	}
	return command
}

// checkConfiguration prints a summary of a configuration and returns the name of its director or control machine.
func checkConfiguration(out io.Writer, path string) (name string, err error) {
	if err := service.Check(out, path); err != nil {
		return "", err
	}
	conf, err := config.ParseFile(path, "", "")
	if err != nil {
		return "", err
	}
	return conf.Name, nil
}

// printCluster prints a summary of an operator file. Name is a control machine or director whose place is printed too; empty: none.
func printCluster(out io.Writer, cluster *clusterconfig.File, name string) {
	voters := len(cluster.MemberNames())
	votersName := "instances"
	if len(cluster.Control) > 0 {
		votersName = "control machines"
	}
	majority := voters/2 + 1
	fmt.Fprintf(out, "%d %s, a majority is %d; leases of %v renewed each %v, clocks within %v\n", voters, votersName, majority,
		cluster.Lease, cluster.Heartbeat, cluster.Drift)
	if len(cluster.Control) > 0 {
		printDirectors(out, cluster)
		if place := cluster.Place(name); name != "" {
			fmt.Fprintf(out, "%s is a %v at region %s, zone %s, site %s\n", name, cluster.Role(name), place.Region, place.Zone, place.Site)
		}
	}
	for _, duty := range cluster.Duties {
		job := duty.Kind
		if duty.Kind == clusterconfig.KindEvent {
			job = fmt.Sprintf("note of %d bytes, life %v, keep: %s,", duty.Bytes, duty.Lifetime, duty.Keep)
		}
		fmt.Fprintf(out, "duty %s: %s each %v, done within %v, missed: %s\n", duty.Name, job, duty.Period, duty.Timeout, duty.Missed)
	}
}

// printDirectors prints the number of control machines and directors by region, zone and site, then the links between them, then the
// warnings of regionWarnings.
func printDirectors(out io.Writer, cluster *clusterconfig.File) {
	regions := cluster.Regions()
	zones, sites := 0, 0
	for _, region := range regions {
		zones += len(region.Zones)
		for _, zone := range region.Zones {
			sites += len(zone.Sites)
		}
	}
	fmt.Fprintf(out, "%d directors at %d sites of %d zones, %d regions with them or control machines\n", len(cluster.Directors), sites,
		zones, len(regions))
	var warnings []string
	for _, region := range regions {
		printRegion(out, region)
		warnings = append(warnings, regionWarnings(region, len(cluster.Control))...)
	}
	printLinks(out, cluster)
	fmt.Fprintf(out, "uplinks: %v to a director at most, dials spread over %v\n", cluster.Uplink.Rate, cluster.Uplink.Spread)
	for _, warning := range warnings {
		fmt.Fprintln(out, "warning:", warning)
	}
}

// printRegion prints the numbers of control machines and directors of a region, then a line for each of its zones.
func printRegion(out io.Writer, region clusterconfig.Region) {
	fmt.Fprintf(out, "region %s: control machines %d, directors %d\n", region.Name, region.Control, region.Directors)
	for _, zone := range region.Zones {
		var sites []string
		for _, site := range zone.Sites {
			sites = append(sites, fmt.Sprintf("%s %d", site.Name, site.Directors))
		}
		fmt.Fprintf(out, "  zone %s: %d (%s)\n", zone.Name, zone.Directors, strings.Join(sites, ", "))
	}
}

// regionWarnings returns a warning where the region has no control machine, so that its directors depend on other regions, and one where
// no majority of the control machines is left without the region.
func regionWarnings(region clusterconfig.Region, controlMachines int) (warnings []string) {
	if region.Control == 0 {
		warnings = append(warnings, fmt.Sprintf("region %s has no control machine of its own (directors: %d)", region.Name, region.Directors))
	}
	if region.Control > controlMachines/2 {
		warnings = append(warnings, fmt.Sprintf("region %s has %d of %d control machines: without it no duty runs", region.Name,
			region.Control, controlMachines))
	}
	return warnings
}

// printLinks prints how many links to directors a control machine has on average: with no control machine lost, and with each number of
// them lost that leaves a majority. It leaves out the number 2 unless that is the largest.
func printLinks(out io.Writer, cluster *clusterconfig.File) {
	fmt.Fprintf(out, "links that a control machine bears on average: %.1f", cluster.LinksPerControlMachine(0))
	maxLost := (len(cluster.Control) - 1) / 2 // a majority is left
	for lost := 1; lost <= maxLost; lost++ {
		if leftOut := lost == 2 && lost < maxLost; leftOut {
			continue
		}
		fmt.Fprintf(out, ", with %d lost %.1f", lost, cluster.LinksPerControlMachine(lost))
	}
	fmt.Fprintln(out)
}
