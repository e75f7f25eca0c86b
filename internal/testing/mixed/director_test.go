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

// The director runs in a process of its own, so that the test can pause it and go on measuring. The process is another run of
// the test binary. Its network is a faultnet.Network. It writes reports to its standard output, one a line: the kind of the
// report, a space and the text.
const (
	reportFault  = "fault"   // UNIX_NANOSECOND, place, kind and the peer's address, separated by tabs: a fault is injected
	reportDelay  = "delayed" // FROM TO CLIENT, Unix nanoseconds: a fault delayed a write to a client
	reportSlow   = "slow"    // FROM TO, Unix nanoseconds: the write of a log line was slow, possibly under a lock
	reportStall  = "stalled" // FROM TO, Unix nanoseconds: this process did not run
	reportCounts = "counts"  // JSON, written at the end of the process: how many faults were injected
)

const (
	seedVariable      = "MIXED_DIRECTOR_SEED"  // environment variable with the seed; if it is set, this process runs the director
	faultTimeVariable = "MIXED_FAULTS_MS"      // environment variable with the time in milliseconds during which faults are injected
	minStall          = 20 * time.Millisecond  // shortest stall that is reported
	stallInterval     = 5 * time.Millisecond   // between two checks for a stall
	slowLineRate      = 0.1                    // fraction of log lines whose write is slow
	maxSlowLine       = 120 * time.Millisecond // longest write of a slow line
	maxDialDelay      = 350 * time.Millisecond // longest delay of a late dial
	maxWriteBlock     = 250 * time.Millisecond // longest time for which a write is blocked
	maxWritePause     = 30 * time.Millisecond  // longest pause between the pieces of a short write
	directorCores     = 2

	listenerDescriptor = 3 // descriptor of the director's listener, the first of exec.Cmd.ExtraFiles
)

// TestMain runs the tests, or the director if seedVariable is set.
func TestMain(m *testing.M) {
	if seed := os.Getenv(seedVariable); seed != "" {
		if err := serve(seed, os.Getenv(faultTimeVariable)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// plan returns the plan of faults of the director's system calls. Faults are injected for the given time.
func plan(faultTime time.Duration) faultnet.Plan {
	uniformExcept := func(at faultnet.Place, rate float64, exceptions faultnet.Rates) faultnet.Rates {
		rates := faultnet.Rates{}
		for _, kind := range faultnet.Kinds(at) {
			rates[kind] = rate
		}
		for kind, rate := range exceptions {
			rates[kind] = rate
		}
		return rates
	}
	return faultnet.Plan{
		Dial:   uniformExcept(faultnet.AtDial, 0.02, faultnet.Rates{faultnet.LateDial: 0.1}),
		Accept: uniformExcept(faultnet.AtAccept, 0.03, nil),
		Dialed: uniformExcept(faultnet.OnDialed, 0.001,
			faultnet.Rates{faultnet.ShortRead: 0.1, faultnet.ShortWrite: 0.05, faultnet.BlockedWrite: 0.02}),
		Accepted: uniformExcept(faultnet.OnAccepted, 0.0003,
			faultnet.Rates{faultnet.ShortWrite: 0.05, faultnet.BlockedWrite: 0.002, faultnet.ShortRead: 0}),
		Windows:       []faultnet.Window{{Until: faultTime}},
		MaxDialDelay:  maxDialDelay,
		MaxWriteBlock: maxWriteBlock,
		MaxWritePause: maxWritePause,
	}
}

// serve runs the director until SIGTERM.
func serve(seedText, faultTimeText string) error {
	seed, err := strconv.ParseUint(seedText, 10, 64)
	if err != nil {
		return err
	}
	faultMilliseconds, err := strconv.Atoi(faultTimeText)
	if err != nil {
		return err
	}
	conf, err := config.FromEnv()
	if err != nil {
		return err
	}
	director.SetRuntimeLimits(conf)
	log := logrus.New()
	log.SetOutput(&slowWriter{output: os.Stderr, random: rand.New(rand.NewPCG(seed, 2))})
	faults := plan(time.Duration(faultMilliseconds) * time.Millisecond)
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
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if err := d.Run(ctx, reload, config.FromEnv); err != nil {
		return err
	}
	counts, err := json.Marshal(network.Counts())
	if err != nil {
		return err
	}
	report(reportCounts, string(counts))
	return nil
}

// inheritingNetwork is a network with faults whose listener was opened by the parent process. If the parent passed only a port
// number, another process could take the port before the director listens.
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
	defer file.Close() // the listener has its own descriptor
	listener, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
}

// report writes a report to the parent process.
func report(kind, text string) { fmt.Printf("%s %s\n", kind, text) }

// reportStalls reports each interval in which this process did not run, because it was paused or the machine was busy.
func reportStalls() {
	for {
		before := time.Now()
		time.Sleep(stallInterval)
		if now := time.Now(); now.Sub(before) > stallInterval+minStall {
			report(reportStall, fmt.Sprint(before.UnixNano(), now.UnixNano()))
		}
	}
}

// parseDelay parses the text of a reportDelay.
func parseDelay(text string) (s interval, client string, err error) {
	var from, to int64
	_, err = fmt.Sscan(text, &from, &to, &client)
	return interval{time.Unix(0, from), time.Unix(0, to)}, client, err
}

// parseStall parses the text of a reportStall or a reportSlow.
func parseStall(text string) (s interval, err error) {
	var from, to int64
	_, err = fmt.Sscan(text, &from, &to)
	return interval{time.Unix(0, from), time.Unix(0, to)}, err
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
		return f, errors.New("invalid number of fields of a fault")
	}
	ns, err := strconv.ParseInt(fields[0], 10, 64)
	f.Fault = faultnet.Fault{Place: faultnet.Place(fields[1]), Kind: faultnet.Kind(fields[2]), Remote: fields[3]}
	f.at = time.Unix(0, ns)
	return f, err
}

// breaksClientConnection reports whether the fault broke a client's connection.
func (f timedFault) breaksClientConnection() bool {
	switch f.Kind {
	case faultnet.TimedOut, faultnet.HostUnreachable, faultnet.Reset:
		return f.Place == faultnet.OnAccepted
	}
	return false
}

// slowWriter is a log output that writes some lines slowly. Lines are often written under a lock, which a slow write holds for a
// long time.
type slowWriter struct {
	output io.Writer

	mu     sync.Mutex
	random *rand.Rand
}

func (w *slowWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.random.Float64() < slowLineRate {
		from := time.Now()
		time.Sleep(time.Duration(w.random.Float64() * float64(maxSlowLine)))
		report(reportSlow, fmt.Sprint(from.UnixNano(), time.Now().UnixNano()))
	}
	return w.output.Write(line)
}
