package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"indigochute.example/indigochute/internal/testing/hollow"
)

// hollowSignals is the number of signals that can be queued while one is being handled. Further signals are dropped.
const hollowSignals = 4

// hollowCommand returns the command that runs many hollow directors in one process. It is hidden, because only tests use it.
func hollowCommand(log *logFlags) *cobra.Command {
	command := &cobra.Command{
		Use:    "hollow SPEC",
		Short:  "Run many directors in one process, which only exchange messages and have no clients and no nodes",
		Hidden: true,
		Long: "Starts the directors in a JSON file and a query server, and writes the server's address to standard output as a line of JSON. Exits after\n" +
			"SIGTERM, once all leases are handed over, or immediately at the end of standard input. SIGHUP reloads the operator files.",
		Args: exactArgs(1),
	}
	command.RunE = func(command *cobra.Command, args []string) error {
		logger, err := log.newLogger(command.ErrOrStderr())
		if err != nil {
			return err
		}
		return runHollow(args[0], command.InOrStdin(), command.OutOrStdout(), logger.WithField("part", "hollow"))
	}
	command.AddCommand(hollowTalkCommand())
	return command
}

// runHollow runs a host of hollow directors until it receives SIGTERM or an interrupt, or until in, which is standard input, ends. After
// a signal the directors hand over their leases first. SIGHUP makes them reload their operator files. The end of standard input stops the
// host, so that it does not outlive the process that started it.
func runHollow(path string, in io.Reader, out io.Writer, log *logrus.Entry) error {
	spec, err := readHollowSpec(path)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, hollowSignals)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { // returns when standard input ends, at the latest when the process exits
		io.Copy(io.Discard, in)
		cancel()
	}()
	host, err := hollow.Open(spec, log)
	if err != nil {
		return err
	}
	defer host.Close()
	if err := json.NewEncoder(out).Encode(hollow.ReadyLine{Address: host.Addr()}); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case received := <-signals:
			if received != syscall.SIGHUP {
				host.Shutdown()
				return nil
			}
			if err := host.Reload(); err != nil {
				log.WithError(err).Error("operator files not reloaded by all directors")
			}
		}
	}
}

// readHollowSpec reads the JSON file that names the directors to run. Errors name the file.
func readHollowSpec(path string) (spec hollow.Spec, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return spec, err
	}
	if err := json.Unmarshal(raw, &spec); err != nil {
		return spec, fmt.Errorf("%s: %w", path, err)
	}
	return spec, nil
}
