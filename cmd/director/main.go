// Director runs one director. It is the minimal build for deployment: it links only the packages that are needed to serve.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/sirupsen/logrus"
	"github.com/spf13/pflag"

	"indigochute.example/indigochute/internal/service"
)

// Exit codes of the program.
const (
	exitSuccess    = 0
	exitFailure    = 1 // the command ran and failed
	exitUsageError = 2 // the command line is wrong; nothing was done
)

// usage is printed, followed by the flags, for --help and after a usage error.
const usage = `usage: director COMMAND [flags]

  serve        serve clients with the configuration file that ROUTER_CONFIG names
  check FILE   check a configuration and print a summary or its first error
  version      print the version
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run runs the command line in args, which does not contain the program's name, and returns the exit code. Errors and log lines go to
// stderr.
func run(args []string, stdout, stderr io.Writer) int {
	flags := pflag.NewFlagSet("director", pflag.ContinueOnError)
	flags.SetOutput(stderr)
	verbose := flags.BoolP("verbose", "v", false, "also log each request")
	flags.Usage = func() { fmt.Fprintf(stderr, "%s\nflags:\n%s", usage, flags.FlagUsages()) }
	err := flags.Parse(args)
	if errors.Is(err, pflag.ErrHelp) {
		return exitSuccess // Parse has already printed the usage
	}
	if err != nil {
		fmt.Fprintln(stderr, "director:", err)
		return exitUsageError
	}
	switch command, arguments := flags.Arg(0), flags.NArg()-1; {
	case command == "serve" && arguments == 0:
		err = service.Serve(stderr, serveOptions(*verbose))
	case command == "version" && arguments == 0:
		fmt.Fprintln(stdout, service.Version())
	case command == "check" && arguments == 1:
		err = service.Check(stdout, flags.Arg(1))
	default:
		flags.Usage()
		return exitUsageError
	}
	if err != nil {
		fmt.Fprintln(stderr, "director:", err)
		return exitFailure
	}
	return exitSuccess
}

// serveOptions returns the options for service.Serve. If verbose is set, each request is logged.
func serveOptions(verbose bool) service.Options {
	if verbose {
		return service.Options{Level: logrus.DebugLevel}
	}
	return service.Options{}
}
