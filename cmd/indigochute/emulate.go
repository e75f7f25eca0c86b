package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"indigochute.example/indigochute/internal/capacity"
	"indigochute.example/indigochute/internal/capture"
	"indigochute.example/indigochute/internal/director"
	"indigochute.example/indigochute/internal/testing/emulator"
	"indigochute.example/indigochute/internal/topology"
)

// Bounds on the flags of emulate.
const (
	maxEmulateRate     = 20000 // requests per second
	minEmulateDuration = time.Second
	maxEmulateDuration = time.Hour
)

// emulateOptions holds the flags of emulate.
type emulateOptions struct {
	rate        float64 // requests per second
	duration    time.Duration
	seed        uint64
	captureFile string // path of the capture to write; empty: none
}

// emulateCommand returns the command that runs an emulated installation under load. The name is a parameter, because the command is added
// under two names.
func emulateCommand(name string, log *logFlags) *cobra.Command {
	command := &cobra.Command{
		Use:   name + " FLEET",
		Short: "Run real directors and an emulated fleet on loopback, and send them client load",
		Long: "Emulates the caches, parents, origin and journal service of a fleet description on loopback, and starts its directors as real ones.\n" +
			"Sends them requests according to the demand of each vhost. Latency is measured from the time at which a request was due.",
		Example: "  indigochute " + name + " examples/plan/small.yaml\n  indigochute " + name + " examples/plan/small.yaml --rate 120 --for 2m --capture small.capture",
		Args:    exactArgs(1),
	}
	var options emulateOptions
	command.Flags().Float64Var(&options.rate, "rate", 60, "requests per second")
	command.Flags().DurationVar(&options.duration, "for", 20*time.Second, "duration of the load")
	command.Flags().Uint64Var(&options.seed, "seed", 1, "seed of the load and of the directors")
	command.Flags().StringVar(&options.captureFile, "capture", "",
		"write a record of each request at the directors to this file, which must not exist yet")
	command.RunE = func(command *cobra.Command, args []string) error {
		description, err := topology.Read(args[0])
		if err != nil {
			return err
		}
		if err := options.check(); err != nil {
			return usageError{err}
		}
		logger, err := emulateLogger(log, command.ErrOrStderr())
		if err != nil {
			return err
		}
		return options.run(description, logger, command.OutOrStdout(), command.ErrOrStderr())
	}
	return command
}

// check returns an error if a flag is out of bounds.
func (o *emulateOptions) check() error {
	rateInRange := o.rate > 0 && o.rate <= maxEmulateRate // false for NaN
	durationInRange := o.duration >= minEmulateDuration && o.duration <= maxEmulateDuration
	if !rateInRange || !durationInRange {
		return errors.New("--rate must be above 0 and at most 20000, and --for from 1s to 1h")
	}
	return nil
}

// emulateLogger returns the logger of the directors. At the default level, info, it logs only warnings and errors, because many directors
// would write too many lines.
func emulateLogger(flags *logFlags, out io.Writer) (*logrus.Logger, error) {
	logger, err := flags.newLogger(out)
	if err != nil {
		return nil, err
	}
	if logger.GetLevel() == logrus.InfoLevel {
		logger.SetLevel(logrus.WarnLevel)
	}
	return logger, nil
}

// run starts the installation, sends load until the duration ends or a signal arrives, and prints the results. It returns errReported if
// the protocol was violated.
func (o *emulateOptions) run(description *topology.Topology, logger *logrus.Logger, stdout, stderr io.Writer) error {
	requests, err := emulator.GenerateRequests(description, o.rate, o.duration, o.seed)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	options := emulator.Options{Seed: o.seed, Log: logger}
	writer, err := o.startCapture(description, &options)
	if err != nil {
		return err
	}
	installation, err := emulator.Start(description, options)
	if err != nil {
		return err
	}
	defer installation.Close()
	if err := installation.StartDirectors(); err != nil {
		return err
	}
	load := installation.NewLoad(requests, 0, o.duration)
	printLoad(stdout, description, load, load.Run(ctx, nil))
	if late := max(load.Lateness(), installation.Lateness()); late > capacity.MaxLateness {
		fmt.Fprintf(stderr, "this machine itself ran %v late, so the figures are invalid\n", late)
	}
	if writer != nil {
		if err := writer.Close(); err != nil {
			return err
		}
		fmt.Fprintf(stdout, "capture written to %s, %d rows dropped\n", o.captureFile, writer.Dropped())
	}
	return reportViolations(stderr, installation.Violations())
}

// startCapture creates the capture file and sets the observers of the directors in options. If the flags name no file, it does nothing and
// returns a nil writer.
func (o *emulateOptions) startCapture(description *topology.Topology, options *emulator.Options) (*capture.Writer, error) {
	if o.captureFile == "" {
		return nil, nil
	}
	captureStart := time.Now()
	writer, err := capture.Create(o.captureFile, emulateHeader(description, captureStart), 0, nil)
	if err != nil {
		return nil, err
	}
	options.NewObserver = func(_, zone int, directorStart time.Time) director.Observer {
		return &shiftedObserver{writer: writer, shift: directorStart.Sub(captureStart), zone: int16(zone)}
	}
	return writer, nil
}

// reportViolations prints the violations of the protocol. It returns errReported if there is any.
func reportViolations(out io.Writer, violations []string) error {
	for _, violation := range violations {
		fmt.Fprintln(out, "broken:", violation)
	}
	if len(violations) > 0 {
		return errReported
	}
	return nil
}

// printLoad prints a line of results for each request class.
func printLoad(out io.Writer, description *topology.Topology, load *emulator.Load, result *capacity.Result) {
	for i, class := range description.Classes {
		tally, latency := result.Classes[i], load.Latency(i)
		fmt.Fprintf(out, "%-12s %6d requests  %6.2f%% within aim  %5d late  %5d denied  %5d failed  latency: median %v, p99 %v\n",
			class.Name,
			tally.Requests, 100*tally.Share(), tally.Late, tally.Rejected, tally.Failed, micros(latency.ValueAtQuantile(50)),
			micros(latency.ValueAtQuantile(99)))
	}
}

// micros converts a number of microseconds to a duration, rounded to a tenth of a millisecond.
func micros(count int64) time.Duration {
	return (time.Duration(count) * time.Microsecond).Round(100 * time.Microsecond)
}

// emulateHeader returns the header of a capture that all directors of an emulated installation share. Arrival times in its rows count from
// start. Each director counts from its own start, so shiftedObserver adds the time from start to that, on the monotonic clock.
func emulateHeader(description *topology.Topology, start time.Time) capture.Header {
	header := capture.Header{Director: "stand-in fleet " + description.Name, Start: start.UnixMicro()}
	for _, class := range description.Classes {
		header.Classes = append(header.Classes, class.Name)
	}
	for _, zone := range description.Zones {
		header.Zones = append(header.Zones, zone.Name)
	}
	return header
}

// shiftedObserver writes the requests of one director to a capture that several directors share.
type shiftedObserver struct {
	writer *capture.Writer
	shift  time.Duration // from the start of the capture to the start of the director
	zone   int16
}

// RequestEnded writes a row for a completed request.
func (o *shiftedObserver) RequestEnded(record director.RequestRecord) {
	row := capture.NewRow(record, o.zone)
	row.At += o.shift
	o.writer.Add(row)
}
