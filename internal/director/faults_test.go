package director

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/config"
	"indigochute.example/indigochute/internal/routing"
)

// These tests inject faults of system calls through Network, listeners and connections.

// dialError returns the error of package net for a failed dial.
func dialError(errno syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
}

// failingNetwork is a Network whose first dials and listens fail, and that may wrap connections.
type failingNetwork struct {
	systemNetwork
	address string                  // only dials to this address fail; empty: dials to all
	errno   syscall.Errno           // the error of the failing calls
	dials   atomic.Int32            // number of dials that still fail
	listens atomic.Int32            // number of listens that still fail
	wrap    func(net.Conn) net.Conn // nil: connections are not wrapped
}

func (n *failingNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if (n.address == "" || n.address == address) && n.dials.Add(-1) >= 0 {
		return nil, dialError(n.errno)
	}
	conn, err := n.systemNetwork.DialContext(ctx, network, address)
	if err == nil && n.wrap != nil {
		conn = n.wrap(conn)
	}
	return conn, err
}

func (n *failingNetwork) Listen(address string) (net.Listener, error) {
	if n.listens.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Err: os.NewSyscallError("socket", n.errno)}
	}
	return n.systemNetwork.Listen("127.0.0.1:0")
}

// always is a number of failures that exceeds the number of calls in any test.
const always = 1 << 30

// A transient fault of this host must not fail a request and must not count as a failure of the node.
func TestTransientLocalFaultOfDial(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENETUNREACH, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENFILE,
		syscall.EMFILE, syscall.ENOMEM, syscall.EPERM, syscall.EACCES, syscall.EAGAIN} {
		n := &failingNetwork{errno: errno}
		w := startWith(t, 1, nil, func(w *harness) {
			n.address = w.nodes[0].Addr().String()
			n.dials.Store(3)
			w.director.UseNetwork(n)
		})
		w.expectServed("order", "x", "-", "")
		w.expectServed("page", "", "-", "again")
	}
}

// A fault of this host that lasts longer than the lifetime of an order must end the attempt as LocalFault: the request was never
// executed, and the node is not at fault.
func TestPersistentLocalFaultOfDial(t *testing.T) {
	n := &failingNetwork{errno: syscall.ENETUNREACH}
	n.dials.Store(always)
	w := startWith(t, 1, nil, func(w *harness) { w.director.UseNetwork(n) })
	r := w.bareRequest(time.Hour)
	before := time.Now()
	w.director.pool.sendAttempt(1, bareAttempt(r, ""))
	if ended := w.expectEnding(r, LocalFault); ended.ending.result() != routing.LocalError {
		t.Errorf("got result %v, want %v", ended.ending.result(), routing.LocalError)
	}
	if took := time.Since(before); took < w.director.pool.orderLifetime/2 || took > time.Second {
		t.Errorf("ended after %v, want about the lifetime of an order, %v", took, w.director.pool.orderLifetime)
	}
}

// A health check that a fault of this host prevents must report nothing about the node, and must return its socket to the pool.
func TestHealthCheckWithLocalFault(t *testing.T) {
	n := &failingNetwork{errno: syscall.EADDRNOTAVAIL}
	w := startWith(t, 1, nil, func(w *harness) { w.director.UseNetwork(n) })
	n.dials.Store(2)
	results := make(chan routing.Result, 1)
	report := func(e routing.Result) { results <- e }
	w.director.pool.checkHealth(1, report)
	w.nextCommand("PING").reply(t, "PONG", "-", "")
	if e := <-results; e != routing.Served {
		t.Errorf("after the fault: got %v, want Served", e)
	}
	n.dials.Store(always)
	w.director.pool.config.DialTimeout = 50 * time.Millisecond
	w.director.pool.mu.Lock()
	all := w.director.pool.socketsLeft
	w.director.pool.mu.Unlock()
	w.director.pool.checkHealth(1, report)
	w.waitUntil("over", func() bool {
		w.director.pool.mu.Lock()
		defer w.director.pool.mu.Unlock()
		return w.director.pool.socketsLeft == all
	})
	select {
	case e := <-results:
		t.Errorf("during the fault: got result %v, want none", e)
	case <-time.After(50 * time.Millisecond):
	}
	if alive, checked := w.director.CheckMachine(Machine{ID: 1}, 50*time.Millisecond, "", ""); alive || checked {
		t.Errorf("CheckMachine: got alive %v, checked %v; want false, false", alive, checked)
	}
}

// After a fault of this host, the journal service must be dialled again within 2*watchRetryDelay.
func TestWatchAfterLocalFault(t *testing.T) {
	n := &failingNetwork{errno: syscall.EMFILE}
	n.dials.Store(3)
	before := time.Now()
	w := startWith(t, 1, nil, func(w *harness) { w.director.UseNetwork(n) })
	w.acceptWatch(w.journal)
	if took := time.Since(before); took > 2*watchRetryDelay {
		t.Errorf("connected after %v, want at most 2*watchRetryDelay", took)
	}
}

// faultyConn is a connection on which every second call is interrupted, and the others read or write fewBytes at most.
type faultyConn struct {
	net.Conn
	reads, writes atomic.Int32
}

const fewBytes = 7

func (c *faultyConn) Read(b []byte) (int, error) {
	if c.reads.Add(1)%2 == 1 {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.EINTR)}
	}
	return c.Conn.Read(b[:min(fewBytes, len(b))])
}

func (c *faultyConn) Write(b []byte) (int, error) {
	if c.writes.Add(1)%2 == 1 {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", syscall.EINTR)}
	}
	return c.Conn.Write(b[:min(fewBytes, len(b))])
}

// Interrupted calls, short reads and short writes must not cause errors on connections to nodes, clients and the journal service,
// nor on those of health checks.
func TestInterruptedAndShortCalls(t *testing.T) {
	n := &failingNetwork{wrap: func(conn net.Conn) net.Conn { return &faultyConn{Conn: conn} }}
	w := startWith(t, 1, nil, func(w *harness) { w.director.UseNetwork(n) })
	directorConn, peerConn := w.acceptPair(listen(t))
	go newClientConn(w.director, &faultyConn{Conn: directorConn}).read()
	w.useConn(peerConn)
	w.expectServed("order", "a body of some bytes", "-", "an answer of some bytes")
	results := make(chan routing.Result, 1)
	w.director.pool.checkHealth(1, func(e routing.Result) { results <- e })
	w.nextCommand("PING").reply(t, "PONG", "-", "")
	if e := <-results; e != routing.Served {
		t.Errorf("health check: got %v, want Served", e)
	}
	if _, from := w.acceptWatch(w.journal); from != 1 {
		t.Errorf("watch: got start from %d, want 1", from)
	}
}

// A connection that is broken by the other side or the network must end as Broken, with each error that the system may report.
func TestBrokenConnections(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET, syscall.EPIPE} {
		for _, err := range []error{errno, &net.OpError{Op: "read", Err: os.NewSyscallError("read", errno)}} {
			if e := endingOf(err); e != Broken {
				t.Errorf("%v: got %v, want %v", err, e, Broken)
			}
		}
	}
}

// failingListener is a listener whose calls of Accept fail with errors that the test sets.
type failingListener struct {
	*net.TCPListener
	mu     sync.Mutex
	errnos []syscall.Errno // errors of the next calls, one each
	last   syscall.Errno   // error of all calls after those; 0: none
	calls  atomic.Int32
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.calls.Add(1)
	l.mu.Lock()
	errno := l.last
	if len(l.errnos) > 0 {
		errno, l.errnos = l.errnos[0], l.errnos[1:]
	}
	l.mu.Unlock()
	if errno != 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
	}
	return l.TCPListener.Accept()
}

// Transient faults of accept must not close a client's connection. A permanent fault must be logged once a second at most, be
// retried at a bounded rate, and not delay the shutdown.
func TestAcceptFaults(t *testing.T) {
	w := start(t, 1)
	l := &failingListener{
		TCPListener: listen(t).(*net.TCPListener),
		errnos: []syscall.Errno{syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
			syscall.EPERM, syscall.EINTR, syscall.ECONNABORTED},
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := w.serveOn(ctx, l)
	w.connect(l.Addr().String())
	w.expectServed("page", "", "-", "after the faults")
	l.mu.Lock()
	l.last = syscall.EMFILE
	l.mu.Unlock()
	dial(t, l.Addr().String()) // makes the call of Accept in progress return
	before, calls := time.Now(), l.calls.Load()
	w.waitUntil("tried often", func() bool { return l.calls.Load() > calls+10 })
	stop()
	w.awaitEnd(ended)
	seconds := int(time.Since(before)/time.Second) + 2 // the transient faults are logged as well
	if logged := w.logged.count("msg=accept"); logged == 0 || logged > seconds+1 {
		t.Errorf("logged %d times in %d s, want 1 to %d times", logged, seconds, seconds+1)
	}
	if tries := int(l.calls.Load() - calls); tries > 120*seconds {
		t.Errorf("%d tries in %d s, want %d at most", tries, seconds, 120*seconds)
	}
}

// The director must listen once a fault of this host has passed, and return the error if it persists. It must return immediately
// if the address is in use.
func TestListenFaults(t *testing.T) {
	w := start(t, 1)
	ctx, stop := context.WithCancel(context.Background())
	run := func(errno syscall.Errno, times int32) error {
		n := &failingNetwork{errno: errno}
		n.listens.Store(times)
		d := New(w.director.config, w.director.log)
		d.UseNetwork(n)
		return d.Run(ctx, make(chan os.Signal), func() (*config.Config, error) { return nil, nil })
	}
	before := time.Now()
	if err := run(syscall.EADDRINUSE, always); !errors.Is(err, syscall.EADDRINUSE) || time.Since(before) > listenTimeout/2 {
		t.Errorf("address in use: got %v after %v, want EADDRINUSE at once", err, time.Since(before))
	}
	if err := run(syscall.EMFILE, always); !errors.Is(err, syscall.EMFILE) {
		t.Errorf("persistent fault: got %v, want EMFILE", err)
	}
	time.AfterFunc(200*time.Millisecond, stop)
	if err := run(syscall.EMFILE, 3); err != nil {
		t.Errorf("transient fault: got %v, want no error", err)
	}
}
