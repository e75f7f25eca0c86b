package main

import (
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"indigochute.example/indigochute/internal/capture"
	"indigochute.example/indigochute/internal/config"
	"indigochute.example/indigochute/internal/director"
	"indigochute.example/indigochute/internal/service"
)

// serveCommand returns the command that runs a director until it receives SIGTERM or SIGINT.
func serveCommand(log *logFlags) *cobra.Command {
	command := &cobra.Command{
		Use:   "serve",
		Short: "Run a director with the configuration file that ROUTER_CONFIG names",
		Long: "Serves clients until SIGTERM or SIGINT, then responds to all open requests and exits with 0.\nSIGHUP reloads the configuration.\n" +
			"With --capture, a record of each completed request is written to a new file, for use by indigochute plan.\n" +
			"With --operator, the director joins the cluster that the operator file describes, and runs its share of the periodic jobs (duties).",
		Example: "  ROUTER_CONFIG=config.json indigochute serve\n  ROUTER_CONFIG=config.json indigochute serve --capture today.capture",
		Args:    exactArgs(0),
	}
	captureFile := command.Flags().String("capture", "", "write a record of each request to this file, which must not exist yet")
	clusterFile := command.Flags().String("operator", "",
		"operator file (YAML) of the cluster to join; if empty, the director joins no cluster")
	command.RunE = func(command *cobra.Command, _ []string) error {
		asJSON, level, err := log.parse()
		if err != nil {
			return err
		}
		options := service.Options{JSON: asJSON, Level: level}
		if *captureFile != "" {
			options.Watch = captureInto(*captureFile)
		}
		if *clusterFile != "" {
			options.Join = func(conf *config.Config, served *director.Director, log *logrus.Entry) (service.Member, error) {
				return joinCluster(*clusterFile, conf.Name, served, log)
			}
		}
		return service.Serve(command.ErrOrStderr(), options)
	}
	return command
}

// captureInto returns a function for service.Options.Watch that captures each completed request as a row of a new file. The file must not
// exist yet.
func captureInto(file string) func(*config.Config, time.Time, *logrus.Entry) (service.Watcher, error) {
	return func(conf *config.Config, start time.Time, log *logrus.Entry) (service.Watcher, error) {
		writer, err := capture.Create(file, serveHeader(conf, start), conf.Settings.Zone, processorTime)
		if err != nil {
			return nil, err
		}
		log.WithField("file", file).Info("capturing")
		return writer, nil
	}
}

// serveHeader returns the header of a director's capture. Arrival times in the rows count from the director's start on the monotonic
// clock. The header states the wall-clock time of that start, so a later step of the wall clock does not shift any row.
func serveHeader(conf *config.Config, start time.Time) capture.Header {
	return capture.Header{Director: conf.Name, Start: start.UnixMicro(), Classes: conf.ClassNames, Zones: conf.Zones}
}

// processorTime returns the user and system processor time that this process has used, or 0 if the system does not report it.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
