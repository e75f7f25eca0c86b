package main

import (
	"github.com/spf13/cobra"

	"indigochute.example/indigochute/service"
)

func serveCommand(log *logging) *cobra.Command {
	c := &cobra.Command{
		Use:     "serve",
		Short:   "Serve clients as the file that ROUTER_CONFIG names tells",
		Long:    "Serves clients until SIGTERM or SIGINT, then answers what is open and ends with 0.\nSIGHUP reads the file again.",
		Example: "  ROUTER_CONFIG=config.json indigochute serve\n  ROUTER_CONFIG=config.json indigochute serve --capture today.capture",
		Args:    exactly(0),
	}
	c.RunE = func(c *cobra.Command, _ []string) (err error) {
		var o service.Options
		if o.JSON, o.Level, err = log.check(); err != nil {
			return err
		}
		return service.Serve(c.ErrOrStderr(), o)
	}
	return c
}
