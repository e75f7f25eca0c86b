// Package service runs a director as a process: its log, its signals, and the reading of its configuration. Optional parts of
// serving are passed in through Options.
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

// logCloseTimeout is how long Serve waits at its end for a reader of the log that hangs.
const logCloseTimeout = time.Second

// Options are the optional parts of serving. The zero value logs text at level info and has neither Watch nor Join.
type Options struct {
	Level logrus.Level // least severe level that is logged; 0: info
	JSON  bool         // log lines are JSON

	// Watch, where set, is called after the configuration is read. The Watcher that it returns is notified of each request
	// that ended. Its Close is called after the last. Start is the start time of the director, with its monotonic part;
	// RequestRecord.ArrivedAt counts from it. Serve returns an error of Watch.
	Watch func(conf *config.Config, start time.Time, log *logrus.Entry) (Watcher, error)

	// Join, where set, is called before the director serves, and makes it a member of a cluster. The Member that it returns
	// is notified of SIGHUP and of the signal to end. Serve returns an error of Join.
	Join func(*config.Config, *director.Director, *logrus.Entry) (Member, error)
}

// Member is a director's membership of a cluster.
type Member interface {
	Reload() // reads the member's configuration again
	Leave()  // hands over the leases; takes seconds at most
	Close()  // is called last, once
}

// Watcher is notified of ended requests until it is closed.
type Watcher interface {
	director.Observer
	Close() error
}

// Serve runs a director with the configuration file that ROUTER_CONFIG names, until SIGTERM or SIGINT. SIGHUP reads the file again.
// Log lines go to logOutput, which may hang. Serve returns the first error of reading the configuration, of an option, of the
// director, or of closing the Watcher.
func Serve(logOutput io.Writer, options Options) (err error) {
	// Signals are caught before the configuration is read, so that an early SIGHUP does not end the process. The channel holds
	// one signal: a SIGHUP that comes while another is handled makes the director read the file once more.
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

// newLogger returns a logger to out with the level and the format of the options.
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

// runWithMember runs the director until ctx is done. The member leaves while the director finishes open requests, and has left when
// runWithMember returns. Cancel must cancel ctx: runWithMember calls it so that the member also leaves where the director ends by
// itself.
func runWithMember(ctx context.Context, cancel context.CancelFunc, served *director.Director, member Member, reloads chan os.Signal) error {
	left := make(chan struct{})
	go func() {
		defer close(left)
		<-ctx.Done()
		member.Leave()
	}()
	err := served.Run(ctx, reloads, func() (*config.Config, error) {
		member.Reload()
		return config.FromEnv()
	})
	cancel() // the director may have ended by an error
	<-left
	return err
}

// firstError returns the first of two errors that is not nil, or nil.
func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

// Check reads a configuration and prints a summary of it. It returns the first fault.
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
