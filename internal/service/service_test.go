package service

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/config"
	"indigochute.example/indigochute/internal/director"
)

// configuration is a director's configuration with LISTEN in place of the port.
const configuration = `{"name":"n0","listen":"127.0.0.1:LISTEN","seed":"0000000000000007","journal":"127.0.0.1:1",
 "limits":{"cores":1,"memory_mb":64,"sockets":64},"known":{"pos":1,"entries":[]},
 "settings":{"classes":[{"name":"page","aim":200000,"deadline":200000,"idempotency":"read_like"}],
 "instances":1,"zone":0,"zones":["here"],"models":["box"],"limits":{"sendCap":4},
 "rules":{"fallMultiple":3,"tipAfter":3000000,"rampTime":9000000}}}`

// restoreLimits restores the limits of the Go runtime, which Serve sets, at the end of the test.
func restoreLimits(t *testing.T) {
	t.Helper()
	maxProcs := runtime.GOMAXPROCS(0)
	memoryLimit := debug.SetMemoryLimit(-1)
	gcPercent := debug.SetGCPercent(100)
	t.Cleanup(func() {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(memoryLimit)
		runtime.GOMAXPROCS(maxProcs)
	})
}

// writeConfiguration writes the configuration of a director that listens on the given port, and returns its path.
func writeConfiguration(t *testing.T, port string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(strings.Replace(configuration, "LISTEN", port, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestWatchReceivesDirectorStartTime checks that Options.Watch receives the director's own start time, from which the times in its
// records count, with a monotonic reading. A time taken later would be wrong if the wall clock was stepped in between.
func TestWatchReceivesDirectorStartTime(t *testing.T) {
	restoreLimits(t)
	t.Setenv("ROUTER_CONFIG", writeConfiguration(t, "1"))
	joined := errors.New("error of Join")
	var watchStart, directorStart time.Time
	err := Serve(io.Discard, Options{
		Watch: func(_ *config.Config, start time.Time, _ *logrus.Entry) (Watcher, error) {
			watchStart = start
			return closingWatcher{}, nil
		},
		Join: func(_ *config.Config, served *director.Director, _ *logrus.Entry) (Member, error) {
			directorStart = served.StartTime()
			return nil, joined
		},
	})
	if !errors.Is(err, joined) || watchStart != directorStart || !strings.Contains(watchStart.String(), "m=") {
		t.Errorf("got error %v, want %v; Watch got start %v, want %v", err, joined, watchStart, directorStart)
	}
}

// closingWatcher is a Watcher of which only Close may be called. Close returns err.
type closingWatcher struct {
	director.Observer
	err error
}

func (w closingWatcher) Close() error { return w.err }

// idleMember is a Member that does nothing.
type idleMember struct{}

func (idleMember) Reload() {}
func (idleMember) Leave()  {}
func (idleMember) Close()  {}

// TestServeReturnsWatcherCloseError checks that Serve fails if the end of a capture could not be written, even if the director itself
// ended without an error.
func TestServeReturnsWatcherCloseError(t *testing.T) {
	restoreLimits(t)
	t.Setenv("ROUTER_CONFIG", writeConfiguration(t, "0"))
	incomplete := errors.New("error of Close")
	err := Serve(io.Discard, Options{
		Watch: func(*config.Config, time.Time, *logrus.Entry) (Watcher, error) {
			return closingWatcher{err: incomplete}, nil
		},
		Join: func(*config.Config, *director.Director, *logrus.Entry) (Member, error) {
			return idleMember{}, syscall.Kill(syscall.Getpid(), syscall.SIGTERM) // Serve has installed its handler by now
		},
	})
	if !errors.Is(err, incomplete) {
		t.Errorf("Serve: got error %v, want %v", err, incomplete)
	}
}
