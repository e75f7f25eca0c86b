package peer

import (
	"bytes"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// faultyListener is a listener whose accepts fail while fault is set.
type faultyListener struct {
	net.Listener
	fault atomic.Pointer[error]
	calls atomic.Int64 // accepts that failed
}

func (l *faultyListener) Accept() (net.Conn, error) {
	if err := l.fault.Load(); err != nil {
		l.calls.Add(1)
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", *err)}
	}
	return l.Listener.Accept()
}

// newFaultyListener returns a listener at a free loopback address whose accepts fail with an error until fault is unset.
func newFaultyListener(t *testing.T, err error) *faultyListener {
	t.Helper()
	inner, listenErr := net.Listen("tcp", "127.0.0.1:0")
	if listenErr != nil {
		t.Fatal(listenErr)
	}
	listener := &faultyListener{Listener: inner}
	listener.fault.Store(&err)
	return listener
}

// acceptFaults are errors of accept whose cause is on this host.
var acceptFaults = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM}

// answerWho returns handlers that answer requests of topic "who" with a name.
func answerWho(name string) QueryHandlers {
	return QueryHandlers{"who": func([]byte) ([]byte, error) { return []byte(name), nil }}
}

// openBusWithListener opens a bus that uses a listener and answers requests of topic "who".
func openBusWithListener(t *testing.T, listener net.Listener, log io.Writer) *Bus {
	t.Helper()
	return mustOpen(t, Options{
		Name:          "a",
		Log:           logTo(log),
		QueryHandlers: answerWho("a"),
		OpenListener:  func(string, string) (net.Listener, error) { return listener, nil },
	})
}

// An accept that fails with a local error must be retried at growing intervals, with at most one log line a second. The bus must
// accept connections again once the error no longer occurs. All times are by the clock of a synctest bubble.
func TestAcceptRecoversFromLocalErrors(t *testing.T) {
	const span = 700 * time.Millisecond
	const accepts = 8 // in the span, after 0, 5, 15, 35, 75, 155, 315 and 515 ms
	for _, fault := range acceptFaults {
		t.Run(fault.Error(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pipes := newPipeListener()
				listener := &faultyListener{Listener: pipes}
				listener.fault.Store(&fault)
				var log bytes.Buffer
				bus := openBusWithListener(t, listener, &log)

				time.Sleep(span)
				if got := listener.calls.Load(); got != accepts {
					t.Errorf("got %d accepts in %v, want %d", got, span, accepts)
				}

				listener.fault.Store(nil)
				connection := pipes.dial()
				connection.SetDeadline(time.Now().Add(5 * time.Second))
				response, err := exchangeRequest(connection, requestFrame{version: protocolVersion, topic: "who"})
				if err != nil || !response.ok {
					t.Errorf("after the error ended: got %+v, %v, want a response", response, err)
				}
				connection.Close()
				bus.Close()
				if lines := strings.Count(log.String(), "cannot accept connections"); lines != 1 {
					t.Errorf("got %d log lines, want 1", lines)
				}
			})
		})
	}
}

// A bus must accept TCP connections again after a local error.
func TestAcceptRecoversOverTCP(t *testing.T) {
	listener := newFaultyListener(t, syscall.EMFILE)
	bus := openBusWithListener(t, listener, io.Discard)
	t.Cleanup(bus.Close)
	eventually(t, "accepts have failed", func() bool { return listener.calls.Load() >= 3 })
	listener.fault.Store(nil)
	if _, err := Query(bus.Addr(), "who", nil, 5*time.Second); err != nil {
		t.Errorf("after the error ended: got %v, want no error", err)
	}
}

// After a connection that its client aborted before it was accepted, the next accept must not be delayed.
func TestAbortedConnectionNeedsNoBackoff(t *testing.T) {
	backoff := acceptBackoff{log: logTo(io.Discard)}
	if wait := backoff.delayAfter(&net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.ECONNABORTED)}); wait != 0 {
		t.Errorf("got a delay of %v, want none", wait)
	}
}

// The error of a closed listener, which ends the accept loop, must not be logged as a fault.
func TestClosedListenerIsNotLogged(t *testing.T) {
	var log bytes.Buffer
	backoff := acceptBackoff{log: logTo(&log)}
	backoff.delayAfter(&net.OpError{Op: "accept", Err: net.ErrClosed})
	if log.Len() > 0 {
		t.Errorf("after the listener was closed: got %q, want no line", log.String())
	}
	backoff.delayAfter(&net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)})
	if lines := strings.Count(log.String(), "cannot accept connections"); lines != 1 {
		t.Errorf("after an error: got %d lines, want 1", lines)
	}
}

// A QueryServer must accept connections again after local errors and aborted connections.
func TestQueryServerRecoversFromAcceptErrors(t *testing.T) {
	for _, fault := range append(acceptFaults, syscall.ECONNABORTED) {
		listener := newFaultyListener(t, fault)
		server := newQueryServer(listener, answerWho("a"))
		eventually(t, "accepts have failed", func() bool { return listener.calls.Load() >= 3 })
		listener.fault.Store(nil)
		if _, err := Query(server.Addr(), "who", nil, 5*time.Second); err != nil {
			t.Errorf("after %v ended: got %v, want no error", fault, err)
		}
		server.Close()
	}
}
