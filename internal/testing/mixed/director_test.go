package mixed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/config"
	"indigochute.example/indigochute/internal/director"
	"indigochute.example/indigochute/internal/testing/faultnet"
)

// The director runs in a process of its own, so that it can be paused without what measures it. The process is another run of
// the test binary. It serves on a faultnet.Network. It writes reports to its standard output, one a line: a word for the kind
// of report, a space and the text.
const (
	reportFault  = "fault"   // UNIX_NANOSECOND, place, kind, the other side's address, with tabs between: a fault is injected
	reportDelay  = "delayed" // FROM TO CLIENT, Unix nanoseconds: a fault delayed a write to a client
	reportSlow   = "slow"    // FROM TO, Unix nanoseconds: a log line took long, while its writer may have held a lock
	reportStall  = "stalled" // FROM TO, Unix nanoseconds: nothing ran in this process
	reportCounts = "counts"  // JSON, at its end: how many faults were injected
)

const (
	seedVariable  = "MIXED_DIRECTOR_SEED"  // environment variable; if set, this process is the director
	spanVariable  = "MIXED_FAULTS_MS"      // environment variable: for how many milliseconds faults are injected
	leastStall    = 20 * time.Millisecond  // shortest stall that is reported
	stallInterval = 5 * time.Millisecond   // between two checks for a stall
	slowLineRate  = 0.1                    // rate of log lines that take long to be written
	slowLineMost  = 120 * time.Millisecond // longest time that such a line takes
	longestLate   = 350 * time.Millisecond // longest time that a late connection takes to come up
	longestBlock  = 250 * time.Millisecond // longest time for which a connection takes no bytes
	longestPause  = 30 * time.Millisecond  // longest pause between the pieces of a short write
	directorCores = 2

	listenerDescriptor = 3 // descriptor of the director's listener, the first of exec.Cmd.ExtraFiles
)

// TestMain runs the tests, or the director if this process was started as one.
func TestMain(m *testing.M) {
	if seed := os.Getenv(seedVariable); seed != "" {
		if err := serve(seed, os.Getenv(spanVariable)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// plan returns the plan of the faults of the director's system calls, which are injected for the given time.
func plan(span time.Duration) faultnet.Plan {
	each := func(at faultnet.Place, rate float64, others faultnet.Rates) faultnet.Rates {
		rates := faultnet.Rates{}
		for _, kind := range faultnet.Kinds(at) {
			rates[kind] = rate
		}
		for kind, rate := range others {
			rates[kind] = rate
		}
		return rates
	}
	return faultnet.Plan{
		Dial:   each(faultnet.AtDial, 0.02, faultnet.Rates{faultnet.LateDial: 0.1}),
		Accept: each(faultnet.AtAccept, 0.03, nil),
		Dialed: each(faultnet.OnDialed, 0.001,
			faultnet.Rates{faultnet.ShortRead: 0.1, faultnet.ShortWrite: 0.05, faultnet.BlockedWrite: 0.02}),
		Accepted: each(faultnet.OnAccepted, 0.0003,
			faultnet.Rates{faultnet.ShortWrite: 0.05, faultnet.BlockedWrite: 0.002, faultnet.ShortRead: 0}),
		Windows:       []faultnet.Window{{Until: span}},
		MaxDialDelay:  longestLate,
		MaxWriteBlock: longestBlock,
		MaxWritePause: longestPause,
	}
}

// serve runs the director until SIGTERM.
func serve(seedText, spanText string) error {
	seed, err := strconv.ParseUint(seedText, 10, 64)
	if err != nil {
		return err
	}
	span, err := strconv.Atoi(spanText)
	if err != nil {
		return err
	}
	conf, err := config.FromEnv()
	if err != nil {
		return err
	}
	director.SetRuntimeLimits(conf)
	log := logrus.New()
	log.SetOutput(&slowWriter{to: os.Stderr, chance: rand.New(rand.NewPCG(seed, 2))})
	faults := plan(time.Duration(span) * time.Millisecond)
	faults.OnFault = func(f faultnet.Fault) { report(reportFault, timedFault{f, time.Now()}.line()) }
	faults.OnDelay = func(d faultnet.Delay) {
		if d.Place == faultnet.OnAccepted {
			report(reportDelay, fmt.Sprint(d.From.UnixNano(), d.To.UnixNano(), " ", d.Remote))
		}
	}
	listener, err := inheritedListener()
	if err != nil {
		return err
	}
	network := inheritingNetwork{faultnet.New(seed, faults), listener}
	go reportStalls()
	d := director.New(conf, logrus.NewEntry(log))
	d.UseNetwork(network)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	if err := d.Run(ctx, again, config.FromEnv); err != nil {
		return err
	}
	counts, err := json.Marshal(network.Counts())
	if err != nil {
		return err
	}
	report(reportCounts, string(counts))
	return nil
}

// inheritingNetwork is a faulty network on which the director listens on a socket that its parent process opened. If the parent
// only named a port, another process could take it before the director listens.
type inheritingNetwork struct {
	*faultnet.Network
	listener *net.TCPListener
}

// Listen returns the inherited listener.
func (n inheritingNetwork) Listen(string) (net.Listener, error) {
	return n.WrapListener(n.listener), nil
}

// inheritedListener returns the listener that this process was started with.
func inheritedListener() (*net.TCPListener, error) {
	file := os.NewFile(listenerDescriptor, "listener")
	defer file.Close() // the listener has its own
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// report writes one line for the parent process.
func report(kind, text string) { fmt.Printf("%s %s\n", kind, text) }

// reportStalls reports each span in which this process had no core, because it was paused or the machine was busy.
func reportStalls() {
	for {
		before := time.Now()
		time.Sleep(stallInterval)
		if now := time.Now(); now.Sub(before) > stallInterval+leastStall {
			report(reportStall, fmt.Sprint(before.UnixNano(), now.UnixNano()))
		}
	}
}

// parseDelay parses the text of a reportDelay.
func parseDelay(text string) (s span, client string, err error) {
	var from, to int64
	_, err = fmt.Sscan(text, &from, &to, &client)
	return span{time.Unix(0, from), time.Unix(0, to)}, client, err
}

// parseStall parses the text of a reportStall or a reportSlow.
func parseStall(text string) (s span, err error) {
	var from, to int64
	_, err = fmt.Sscan(text, &from, &to)
	return span{time.Unix(0, from), time.Unix(0, to)}, err
}

// timedFault is a fault with the time at which it was injected.
type timedFault struct {
	faultnet.Fault
	at time.Time
}

// faultFields is the number of fields in a reportFault.
const faultFields = 4

// line returns the text of a reportFault.
func (f timedFault) line() string {
	return fmt.Sprintf("%d\t%s\t%s\t%s", f.at.UnixNano(), f.Place, f.Kind, f.Remote)
}

// parseFault parses the text of a reportFault.
func parseFault(line string) (f timedFault, err error) {
	fields := strings.Split(line, "\t")
	if len(fields) != faultFields {
		return f, errors.New("not the fields of a fault")
	}
	ns, err := strconv.ParseInt(fields[0], 10, 64)
	f.Fault = faultnet.Fault{Place: faultnet.Place(fields[1]), Kind: faultnet.Kind(fields[2]), Remote: fields[3]}
	f.at = time.Unix(0, ns)
	return f, err
}

// breaks returns whether the fault ended a client's connection.
func (f timedFault) breaks() bool {
	switch f.Kind {
	case faultnet.TimedOut, faultnet.HostUnreachable, faultnet.Reset:
		return f.Place == faultnet.OnAccepted
	}
	return false
}

// slowWriter is a log output that takes long to write some lines. Lines are often written under a lock, which is then held for
// long.
type slowWriter struct {
	to io.Writer

	mu     sync.Mutex
	chance *rand.Rand
}

func (w *slowWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.chance.Float64() < slowLineRate {
		from := time.Now()
		time.Sleep(time.Duration(w.chance.Float64() * float64(slowLineMost)))
		report(reportSlow, fmt.Sprint(from.UnixNano(), time.Now().UnixNano()))
	}
	return w.to.Write(line)
}
