package main

import (
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"indigochute.example/indigochute/capture"
	"indigochute.example/indigochute/config"
	"indigochute.example/indigochute/service"
)

func serveCommand(log *logging) *cobra.Command {
	c := &cobra.Command{
		Use:   "serve",
		Short: "Serve clients as the file that ROUTER_CONFIG names tells",
		Long: "Serves clients until SIGTERM or SIGINT, then answers what is open and ends with 0.\nSIGHUP reads the file again.\n" +
			"With --capture each req that ended is written to a new file, for indigochute plan.",
		Example: "  ROUTER_CONFIG=config.json indigochute serve\n  ROUTER_CONFIG=config.json indigochute serve --capture today.capture",
		Args:    exactly(0),
	}
	file := c.Flags().String("capture", "", "write what is seen of each req to this file, which must not be there yet")
	c.RunE = func(c *cobra.Command, _ []string) (err error) {
		var o service.Options
		if o.JSON, o.Level, err = log.check(); err != nil {
			return err
		}
		if *file != "" {
			o.Watch = func(conf *config.Config, log *logrus.Entry) (service.Watcher, error) {
				h := capture.Header{Director: conf.Name, Start: time.Now().UnixMicro(), Vhosts: conf.Vhosts, Zones: conf.Zones}
				w, err := capture.Create(*file, h, conf.Settings.Zone, cpu)
				if err == nil {
					log.WithField("file", *file).Info("capturing")
				}
				return w, err
			}
		}
		return service.Serve(c.ErrOrStderr(), o)
	}
	return c
}

// cpu is the core time that this process took so far.
func cpu() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
