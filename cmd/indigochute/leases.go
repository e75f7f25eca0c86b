package main

import (
	"errors"
	"io"

	"github.com/spf13/cobra"

	"indigochute.example/indigochute/internal/cluster"
	"indigochute.example/indigochute/internal/clusterconfig"
)

// leasesCommand returns the parent of the commands about leases. The name is a parameter, because the command is added under two names.
func leasesCommand(name string) *cobra.Command {
	command := &cobra.Command{
		Use:   name,
		Short: "Inspect the leases of the periodic jobs (duties) that directors or control machines run for the whole cluster",
		RunE:  commandExpected,
	}
	command.AddCommand(leasesStatusCommand(name))
	return command
}

// leasesStatusCommand returns the command that prints which instance holds which lease. Parent is the name of the parent command, which the
// examples show.
func leasesStatusCommand(parent string) *cobra.Command {
	command := &cobra.Command{
		Use:   "status",
		Short: "Print the lease holder of each periodic job (duty), the leader (keeper) and the state of the links",
		Long: "Queries one instance, at the address at which it listens for the other instances, and then all instances that it reports.\n" +
			"The exit code is 1 if no instance responds.",
		Example: "  indigochute " + parent + " status --at 10.0.0.1:7400\n  indigochute " + parent + " status --operator operator.yaml --json",
		Args:    exactArgs(0),
	}
	address := command.Flags().String("at", "", "address of an instance")
	file := command.Flags().String("operator", "", "operator file; the first instance in it that responds is queried")
	asJSON := command.Flags().Bool("json", false, "print JSON")
	command.RunE = func(command *cobra.Command, _ []string) error {
		addresses, err := instanceAddresses(*address, *file)
		if err != nil {
			return err
		}
		status, err := queryFirst(addresses)
		if err != nil {
			return err
		}
		printText := func(out io.Writer) { printLeases(out, status) }
		return printResult(command.OutOrStdout(), *asJSON, status, printText)
	}
	return command
}

// instanceAddresses returns the given address or, if an operator file is given instead, the addresses of all instances in that file. It is
// a usage error to give both or neither.
func instanceAddresses(address, file string) ([]string, error) {
	exactlyOne := (address == "") != (file == "")
	if !exactlyOne {
		return nil, usageError{errors.New("exactly one of --at and --operator is required")}
	}
	if address != "" {
		return []string{address}, nil
	}
	cluster, err := clusterconfig.Read(file, "")
	if err != nil {
		return nil, err
	}
	var addresses []string
	for _, name := range cluster.MemberNames() {
		addresses = append(addresses, cluster.Address(name))
	}
	return addresses, nil
}

// queryFirst queries the instances one after another and returns the cluster status from the first one that responds. If none responds,
// it returns the errors of all queries, joined.
func queryFirst(addresses []string) (*cluster.ClusterStatus, error) {
	var failures []error
	for _, address := range addresses {
		status, err := cluster.QueryCluster(address)
		if err == nil {
			return status, nil
		}
		failures = append(failures, err)
	}
	return nil, errors.Join(failures...)
}
