// Package service runs a director as a process. It sets up the log, handles signals and reads the configuration. Optional features are
// passed in through Options.
package service

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/config"
	"indigochute.example/indigochute/internal/director"
)

// logCloseTimeout is how long Serve waits before it returns if the reader of the log hangs.
const logCloseTimeout = time.Second

// Options are the optional features of Serve. The zero value logs text at level info and has neither Watch nor Join.
type Options struct {
	Level logrus.Level // least severe level to log; 0: info
	JSON  bool         // log lines are JSON

	// Watch, if not nil, is called after the configuration was read. The Watcher that it returns is notified of each request
	// that has ended, and closed after the last one. start is the start time of the director, with its monotonic reading;
	// RequestRecord.ArrivedAt counts from it. If Watch fails, Serve returns its error.
	Watch func(conf *config.Config, start time.Time, log *logrus.Entry) (Watcher, error)

	// Join, if not nil, is called before the director serves, and makes the director a member of a cluster. The Member that
	// it returns is notified of SIGHUP and of the shutdown signal. If Join fails, Serve returns its error.
	Join func(*config.Config, *director.Director, *logrus.Entry) (Member, error)
}

// Member is a director's membership of a cluster.
type Member interface {
	Reload() // reads the member's configuration again
	Leave()  // hands over the leases; returns within seconds
	Close()  // releases all resources; called once, after all other methods
}

// Watcher is notified of ended requests until it is closed.
type Watcher interface {
	director.Observer
	Close() error
}

// Serve runs a director with the configuration file at the path in ROUTER_CONFIG until SIGTERM or SIGINT. On SIGHUP it reads the file
// again. Log lines are written to logOutput, which may hang. Serve returns the first error of reading the configuration, of an option,
// of the director, or of closing the Watcher.
func Serve(logOutput io.Writer, options Options) (err error) {
	// The handler for SIGHUP is installed before the configuration is read, so that an early SIGHUP does not end the process. The
	// channel holds one signal: a SIGHUP that arrives while another is handled makes the director read the file once more.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	conf, err := config.FromEnv()
	if err != nil {
		return err
	}
	out := newLogWriter(logOutput)
	defer out.close(logCloseTimeout)
	log := options.newLogger(out).WithField("name", conf.Name)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	director.SetRuntimeLimits(conf)
	served := director.New(conf, log)
	if options.Watch != nil {
		watcher, watchErr := options.Watch(conf, served.StartTime(), log)
		if watchErr != nil {
			return watchErr
		}
		defer func() { err = firstError(err, watcher.Close()) }()
		served.Observe(watcher)
	}
	if options.Join == nil {
		return served.Run(ctx, reloads, config.FromEnv)
	}
	member, err := options.Join(conf, served, log)
	if err != nil {
		return err
	}
	defer member.Close()
	return runWithMember(ctx, cancel, served, member, reloads)
}

// newLogger returns a logger that writes to out with the level and the format of the options.
func (o *Options) newLogger(out io.Writer) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(out)
	if o.JSON {
		logger.SetFormatter(&logrus.JSONFormatter{})
	}
	if o.Level > 0 {
		logger.SetLevel(o.Level)
	}
	return logger
}

// runWithMember runs the director until ctx is done. The member leaves the cluster while the director finishes open requests, and has
// left when runWithMember returns. cancel must cancel ctx: runWithMember calls it, so that the member also leaves if the director ends
// with an error.
func runWithMember(ctx context.Context, cancel context.CancelFunc, served *director.Director, member Member, reloads chan os.Signal) error {
	memberLeft := make(chan struct{})
	go func() {
		defer close(memberLeft)
		<-ctx.Done()
		member.Leave()
	}()
	err := served.Run(ctx, reloads, func() (*config.Config, error) {
		member.Reload()
		return config.FromEnv()
	})
	cancel() // ctx is not done if the director ended with an error
	<-memberLeft
	return err
}

// firstError returns the first of two errors that is not nil, or nil if both are.
func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// Check reads a configuration file and prints a summary of it. It returns the first error in the file.
func Check(out io.Writer, path string) error {
	conf, err := config.ParseFile(path, "", "")
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%s listens at %s, journal service at %s\n", conf.Name, conf.Listen, conf.DiscoveryAddr)
	fmt.Fprintf(out, "limits: %g cores, %d MB, %d sockets\n", conf.Cores, conf.MemoryMB, conf.Sockets)
	fmt.Fprintf(out, "%d vhosts, %d events known, the last is %d\n", len(conf.ClassNames), len(conf.Known), conf.LastEvent)
	return nil
}
