// Indigochute is one real director: it serves clients on sockets, by the decisions of the control package.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/pflag"

	"indigochute.example/indigochute/config"
	"indigochute.example/indigochute/director"
)

const usage = `usage: indigochute COMMAND [flags]

  serve        serve clients as the file that ROUTER_CONFIG names tells
  check FILE   read a configuration and report what it says, or its first fault
  version      print the version
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run returns the exit code: 0, 1 for a failure, 2 for a wrong call.
func run(args []string, out, errs io.Writer) int {
	flags := pflag.NewFlagSet("indigochute", pflag.ContinueOnError)
	flags.SetOutput(errs)
	verbose := flags.BoolP("verbose", "v", false, "log each req as well")
	flags.Usage = func() { fmt.Fprintf(errs, "%s\nflags:\n%s", usage, flags.FlagUsages()) }
	if err := flags.Parse(args); err == pflag.ErrHelp {
		return 0
	} else if err != nil {
		fmt.Fprintln(errs, "indigochute:", err)
		return 2
	}
	var err error
	switch command, rest := flags.Arg(0), flags.NArg()-1; {
	case command == "serve" && rest == 0:
		err = serve(errs, *verbose)
	case command == "version" && rest == 0:
		fmt.Fprintln(out, version())
	case command == "check" && rest == 1:
		err = check(out, flags.Arg(1))
	default:
		flags.Usage()
		return 2
	}
	if err != nil {
		fmt.Fprintln(errs, "indigochute:", err)
		return 1
	}
	return 0
}

func serve(errs io.Writer, verbose bool) error {
	again := make(chan os.Signal, 1) // one kept while another is worked at: what comes then is read all the same
	signal.Notify(again, syscall.SIGHUP)
	conf, err := config.FromEnv()
	if err != nil {
		return err
	}
	out := newLossy(errs)
	defer out.flush(time.Second)
	log := logrus.New()
	log.SetOutput(out)
	if verbose {
		log.SetLevel(logrus.DebugLevel)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	director.Limit(conf)
	return director.New(conf, log.WithField("name", conf.Name)).Run(ctx, again, config.FromEnv)
}

func check(out io.Writer, path string) error {
	conf, err := config.File(path, "", "")
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s listens at %s, journal service at %s\n", conf.Name, conf.Listen, conf.Journal)
	fmt.Fprintf(out, "limits: %g cores, %d MB, %d sockets\n", conf.Cores, conf.MemoryMB, conf.Sockets)
	fmt.Fprintf(out, "%d vhosts, %d events known, the last is %d\n", len(conf.Vhosts), len(conf.Known), conf.Last)
	return nil
}
