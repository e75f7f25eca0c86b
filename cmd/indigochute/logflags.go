package main

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

// Formats of log lines, the values of --log-format.
const (
	logFormatText = "text"
	logFormatJSON = "json"
)

// logFlags are the flags that configure the log. All commands accept them.
type logFlags struct {
	format, level string
	verbose       bool
}

// add defines the flags on a command and all its subcommands.
func (f *logFlags) add(command *cobra.Command) {
	flags := command.PersistentFlags()
	flags.StringVar(&f.format, "log-format", logFormatText, "format of log lines: text or json")
	flags.StringVar(&f.level, "log-level", "info", "least severe level that is logged: error, warn, info or debug")
	flags.BoolVarP(&f.verbose, "verbose", "v", false, "also log each request; the same as --log-level debug")
}

// parse returns whether log lines are JSON and which is the least severe level that is logged. Its errors are usage errors.
func (f *logFlags) parse() (asJSON bool, level logrus.Level, err error) {
	level, err = logrus.ParseLevel(f.level)
	if err != nil {
		return false, 0, usageError{fmt.Errorf("--log-level: %w", err)}
	}
	if f.verbose {
		level = logrus.DebugLevel
	}
	switch f.format {
	case logFormatText, logFormatJSON:
		return f.format == logFormatJSON, level, nil
	}
	return false, 0, usageError{fmt.Errorf("--log-format: unknown format %q, expected text or json", f.format)}
}

// newLogger returns a logger that writes to out in the format and from the level that the flags select.
func (f *logFlags) newLogger(out io.Writer) (*logrus.Logger, error) {
	asJSON, level, err := f.parse()
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(level)
	if asJSON {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	return logger, nil
}
