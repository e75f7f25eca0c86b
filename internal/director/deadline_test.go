package director

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// These tests check that the timeout in a request to a node (`w`) is at most the time that the client has left when the bytes are
// written, with some slack.

// timeoutSlack is half of the slack that the protocol allows.
const timeoutSlack = 75 * time.Millisecond

// checkTimeout checks the timeout in a command. It must be called just after the command arrived at the node.
func (c nodeCommand) checkTimeout(t *testing.T, deadline time.Time) {
	t.Helper()
	left := time.Until(deadline)
	if timeout := c.timeout(t); timeout <= 0 || timeout > left+timeoutSlack {
		t.Errorf("got timeout %v, want at most %v, the time that the client has left, plus slack", timeout, left)
	}
}

// timeout returns the timeout in a command.
func (c nodeCommand) timeout(t testing.TB) time.Duration {
	t.Helper()
	for field := range strings.SplitSeq(c.fields, ",") {
		if text, ok := strings.CutPrefix(field, "w="); ok {
			milliseconds, err := strconv.Atoi(text)
			if err != nil {
				t.Error(err)
			}
			return time.Duration(milliseconds) * time.Millisecond
		}
	}
	t.Fatalf("got fields %q, want a timeout in them", c.fields)
	return 0
}

// slowNetwork delays dials to nodes.
type slowNetwork struct {
	systemNetwork
	journal string // address of the journal service, dials to which are not delayed
	delay   time.Duration
}

func (n *slowNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if address != n.journal {
		time.Sleep(n.delay)
	}
	return n.systemNetwork.DialContext(ctx, network, address)
}

// The timeout must count from the write, also over a connection whose dial is slow: in a first attempt, and in the one after a
// rejection.
func TestTimeoutAfterSlowDial(t *testing.T) {
	w := startWith(t, 2, nil, func(w *harness) {
		w.director.UseNetwork(&slowNetwork{journal: w.journal.Addr().String(), delay: 270 * time.Millisecond})
	})
	const timeout = 2 * time.Second
	deadline := time.Now().Add(timeout)
	id := w.sendRequest("page", int(timeout.Milliseconds()), "")
	first := w.nextCommand("GET")
	first.checkTimeout(t, deadline)
	first.reply(t, "SHED", "-", "")
	second := w.nextCommand("GET")
	second.checkTimeout(t, deadline)
	second.reply(t, "HIT", "-", "")
	w.expectAnswer(id, "", "")
}

// fullNetwork is a Network with a single connection to a node. The connection is established with full buffers, so that nothing
// more can be written until the node reads.
type fullNetwork struct {
	systemNetwork
	journal      string // address of the journal service, which is dialled as usual
	directorConn chan net.Conn
	peerConn     net.Conn // the node's end
	junk         int      // number of bytes in the buffers
}

func (n *fullNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if address == n.journal {
		return n.systemNetwork.DialContext(ctx, network, address)
	}
	select {
	case conn := <-n.directorConn:
		return conn, nil
	default:
		return nil, errors.New("no more than one connection can be dialled")
	}
}

const (
	fullBuffer = 64 << 10               // bytes of each side's buffer
	fullQuiet  = 100 * time.Millisecond // without progress the buffers count as full; longer than window updates are delayed
)

// fill makes the connection and fills its buffers.
func (n *fullNetwork) fill(t *testing.T) {
	listener := listen(t)
	directorConn := dial(t, listener.Addr().String())
	peerConn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peerConn.Close() })
	directorConn.(*net.TCPConn).SetWriteBuffer(fullBuffer) // fixed sizes, since the buffers would otherwise grow while they are filled
	peerConn.(*net.TCPConn).SetReadBuffer(fullBuffer)
	for quiet := false; !quiet; {
		directorConn.SetWriteDeadline(time.Now().Add(fullQuiet))
		written, err := directorConn.Write(make([]byte, 64<<10))
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatal(err)
		}
		n.junk += written
		quiet = written == 0
	}
	n.directorConn, n.peerConn = make(chan net.Conn, 1), peerConn
	n.directorConn <- directorConn
}

// startFull starts a harness in which the connection to the node is established with full buffers and carries all requests.
func startFull(t *testing.T) (*harness, *fullNetwork) {
	n := &fullNetwork{}
	n.fill(t)
	return startWith(t, 1, nil, func(w *harness) {
		n.journal = w.journal.Addr().String()
		w.director.UseNetwork(n)
		w.director.pool.socketsLeft, w.director.pool.socketsReserved = 1, 1
	}), n
}

// tryUntilInTime calls try up to ten times until it returns true. try returns false if the machine was too busy to meet its time
// limit.
func tryUntilInTime(t *testing.T, try func() bool) {
	t.Helper()
	for range 10 {
		if try() {
			return
		}
	}
	t.Error("none of ten tries was in time")
}

// awaitQueued waits until the given number of messages is queued for the node.
func (w *harness) awaitQueued(messages int) {
	w.t.Helper()
	w.waitUntil(fmt.Sprintf("%d queued", messages), func() bool {
		w.director.pool.mu.Lock()
		defer w.director.pool.mu.Unlock()
		conns := w.director.pool.byID[1].conns
		return len(conns) == 1 && conns[0].socket != nil && len(conns[0].queue) == messages
	})
}

// The timeout must count from the write, also for two requests that wait while the send buffer is full.
func TestTimeoutWithFullSendBuffer(t *testing.T) {
	tryUntilInTime(t, func() bool {
		w, n := startFull(t)
		const timeout = time.Second
		deadline := time.Now().Add(timeout)
		w.sendRequest("page", int(timeout.Milliseconds()), "")
		w.sendRequest("page", int(timeout.Milliseconds()), "")
		time.Sleep(110 * time.Millisecond) // during which the node reads nothing
		in := bufio.NewReader(n.peerConn)
		if _, err := io.CopyN(io.Discard, in, int64(n.junk)); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			n.peerConn.SetReadDeadline(time.Now().Add(testTimeout))
			command, err := readNodeCommand(in)
			if err != nil || command.word != "GET" {
				return false
			}
			command.checkTimeout(t, deadline)
		}
		return true
	})
}

// pause stops this process while a shell runs commands, and returns once the process runs again. The files are passed to the
// shell from descriptor 3 on and closed in this process. The shell waits for a moment after the stop, since threads that are
// running stop slightly later. The shell makes the sockets blocking: call nonblocking for those that are still open in this
// process.
func pause(t *testing.T, forSeconds float64, commands string, files ...*os.File) {
	t.Helper()
	script := fmt.Sprintf("read go; kill -STOP $PPID; sleep 0.02; %s; sleep %g; kill -CONT $PPID", commands, forSeconds)
	shell := exec.Command("sh", "-c", script)
	shell.ExtraFiles = files
	var stderr strings.Builder
	shell.Stderr = &stderr
	in, err := shell.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := shell.Start(); err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		f.Close()
	}
	io.WriteString(in, "go\n")
	if err := shell.Wait(); err != nil {
		t.Fatalf("%v: %s", err, stderr.String())
	}
}

// nonblocking makes a socket nonblocking again after a shell has used it, so that this process can use it.
func nonblocking(t *testing.T, conn net.Conn) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { err = syscall.SetNonblock(int(fd), true) })
	if err != nil {
		t.Fatal(err)
	}
}

// file returns a copy of a connection's descriptor as a file, for another process.
func file(t *testing.T, conn net.Conn) *os.File {
	t.Helper()
	f, err := conn.(*net.TCPConn).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	return f
}

// The timeout must count from the write, also if the process is paused while a message waits for the socket, and the socket
// becomes writable during the pause.
func TestTimeoutAfterProcessPause(t *testing.T) {
	tryUntilInTime(t, func() bool {
		w, n := startFull(t)
		const timeout = time.Second
		deadline := time.Now().Add(timeout)
		w.sendRequest("page", int(timeout.Milliseconds()), "")
		w.awaitQueued(1)
		pause(t, 0.08, fmt.Sprintf("head -c %d <&3 >/dev/null", n.junk), file(t, n.peerConn))
		nonblocking(t, n.peerConn)
		n.peerConn.SetReadDeadline(time.Now().Add(testTimeout))
		command, err := readNodeCommand(bufio.NewReader(n.peerConn))
		if err != nil || command.word != "GET" {
			return false
		}
		command.checkTimeout(t, deadline)
		return true
	})
}

// On a connection without a descriptor, a message that could not be written must be encoded again with the time that is left.
func TestTimeoutRecomputedAfterBlockedWrite(t *testing.T) {
	w := start(t, 1)
	directorConn, peerConn := net.Pipe() // unbuffered: a write blocks until the other end reads
	r := w.bareRequest(w.director.clock.now() + time.Second)
	deadline := time.Now().Add(time.Second)
	slow := bareAttempt(r, "slow")
	slow.command.Timeout = time.Second // as at the time of the order
	w.newWritingConn(slow, directorConn)
	time.Sleep(130 * time.Millisecond) // during which the node reads nothing; too short for the attempt to become void
	command, err := readNodeCommand(bufio.NewReader(peerConn))
	if err != nil || command.id != "slow" {
		t.Fatalf("got %v, %v; want the request with id slow", command, err)
	}
	command.checkTimeout(t, deadline)
}

// After a pause between encoding and writing a request, the request must be encoded again, since its timeout is too long by then.
func TestPauseBetweenEncodingAndWriting(t *testing.T) {
	w := start(t, 1)
	deadline := time.Now().Add(time.Second)
	r := w.bareRequest(w.director.clock.now() + time.Second)
	directorConn, peerConn := w.acceptPair(listen(t))
	conn := w.newDiallingConn(bareAttempt(r, "paused"))
	if !conn.established(directorConn, nil) {
		t.Fatal("the connection is not established")
	}
	message, item, firstByteBy := conn.nextMessage()
	size := message.size()
	time.Sleep(2 * writeSlice) // the pause
	n, err := writeMessage(directorConn, message, firstByteBy, time.Now().Add(time.Second))
	if n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("wrote %d of %d bytes, %v; want none, os.ErrDeadlineExceeded", n, size, err)
	}
	if !conn.handleWritten(item, n, size, err) {
		t.Error("the connection has ended, want it to stay usable")
	}
	message, _, firstByteBy = conn.nextMessage()
	if _, err := writeMessage(directorConn, message, firstByteBy, time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	peerConn.SetReadDeadline(time.Now().Add(testTimeout))
	command, err := readNodeCommand(bufio.NewReader(peerConn))
	if err != nil || command.id != "paused" {
		t.Fatalf("got %v, %v; want the request with id paused", command, err)
	}
	command.checkTimeout(t, deadline)
}

// pausedBeforeWrite is a connection on which setting a write deadline blocks for the pause, and the deadline has no effect.
type pausedBeforeWrite struct {
	net.Conn
	pause   time.Duration
	written int
}

func (c *pausedBeforeWrite) SetWriteDeadline(time.Time) error {
	time.Sleep(c.pause)
	return nil
}

func (c *pausedBeforeWrite) Write(b []byte) (int, error) {
	c.written += len(b)
	return len(b), nil
}

// After a pause between setting the write deadline and the write, nothing may be written, although the deadline has no effect
// yet.
func TestPauseAfterWriteDeadlineSet(t *testing.T) {
	for _, test := range []struct {
		pause time.Duration
		want  error
	}{
		{0, nil},
		{2 * writeSlice, os.ErrDeadlineExceeded},
	} {
		conn := &pausedBeforeWrite{pause: test.pause}
		const message = "GET"
		n, err := writeMessage(conn, messageParts{[]byte(message)}, time.Now().Add(writeSlice), time.Now().Add(time.Hour))
		if err != test.want || n != conn.written || (err == nil) != (n == len(message)) {
			t.Errorf("pause of %v: wrote %d bytes, returned %d, %v; want error %v", test.pause, conn.written, n, err, test.want)
		}
	}
}

// Nothing may be written once no time is left, neither after the client's deadline nor after the attempt's own timeout.
func TestNothingWrittenAfterDeadline(t *testing.T) {
	w := start(t, 1)
	now := w.director.clock.now()
	for name, c := range map[string]struct {
		deadline, timeout time.Duration
		want              Ending
	}{
		"client deadline": {now, 0, NotSent},
		"attempt timeout": {now + time.Hour, time.Nanosecond, OrderExpired},
	} {
		r := w.bareRequest(c.deadline)
		late := bareAttempt(r, "")
		late.orderedAt, late.command.Order.Timeout = now, c.timeout
		if message, _, _ := w.newDiallingConn(late).nextMessage(); message != nil {
			t.Errorf("%s: got message %q, want none", name, message)
		}
		if ended := w.nextEnded(r); ended.ending != c.want {
			t.Errorf("%s: ended as %v, want %v", name, ended.ending, c.want)
		}
	}
}

// pausedConn is a connection whose first write writes only some bytes, and returns after a pause.
type pausedConn struct {
	net.Conn
	wait time.Duration
	once sync.Once
}

func (c *pausedConn) Write(b []byte) (n int, err error) {
	first := false
	c.once.Do(func() { first = true })
	if !first {
		return c.Conn.Write(b)
	}
	n, err = c.Conn.Write(b[:fewBytes])
	time.Sleep(c.wait)
	return n, err
}

// The rest of a partly written request must not be written once the timeout in it is too long by more than half of the slack. The
// attempt must then end as PartlySent, and its connection must end as well. The rest of a cancellation may be written later.
func TestRestOfPartlyWrittenRequest(t *testing.T) {
	const late = 130 * time.Millisecond
	for name, test := range map[string]struct {
		paused       bool // the process is paused within the request; otherwise the node does not read the rest
		cancellation bool
		wait         time.Duration
		complete     bool
	}{
		"process paused":           {paused: true, wait: late},
		"process paused for less":  {paused: true, wait: 20 * time.Millisecond, complete: true},
		"node reads the rest late": {wait: late},
		"node reads it in time":    {wait: 35 * time.Millisecond, complete: true},
		"cancellation":             {cancellation: true, wait: late, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			if test.complete { // on a busy machine the writer itself may be late
				tryUntilInTime(t, func() bool { return writesRest(t, test.paused, test.cancellation, test.wait) })
			} else if writesRest(t, test.paused, test.cancellation, test.wait) {
				t.Error("the rest was written, want PartlySent")
			}
		})
	}
}

// writesRest writes a request or a cancellation whose rest can be written only after the wait. It returns whether the rest was
// written. If it was not, writesRest checks how the request ended.
func writesRest(t *testing.T, paused, cancellation bool, wait time.Duration) bool {
	t.Helper()
	w := start(t, 1)
	directorConn, peerConn := net.Pipe() // unbuffered: a write blocks until the other end reads
	r := w.bareRequest(time.Hour)
	partial := bareAttempt(r, "in-part")
	c := w.newDiallingConn(partial)
	if cancellation {
		w.director.pool.mu.Lock()
		c.queue = nil
		partial.advance(attemptWriting)
		c.enqueue(outgoing{attempt: partial, cancellation: true, reason: Cancelled})
		w.director.pool.mu.Unlock()
	}
	if paused {
		directorConn = &pausedConn{Conn: directorConn, wait: wait}
	}
	c.established(directorConn, nil)
	go c.write(directorConn)
	peerConn.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := io.ReadFull(peerConn, make([]byte, fewBytes)); err != nil {
		t.Fatal(err)
	}
	if !paused {
		time.Sleep(wait)
	}
	if _, err := io.ReadFull(peerConn, make([]byte, fewBytes)); err == nil {
		return true
	}
	w.expectEnding(r, PartlySent)
	if !c.hasEnded() {
		t.Error("the connection has not ended")
	}
	return false
}

const (
	readTimeout  = 2 * time.Second        // timeout of the requests that are read late
	unreadFor    = 120 * time.Millisecond // minimum time for which they are unread
	unreadMargin = 20 * time.Millisecond
)

// simulateStall makes the clock report a stall of the process that began at the given time, has just ended and needs no more
// catch-up.
func (c *clock) simulateStall(from time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stalledFrom, c.backlogFrom, c.catchUpUntil = from, from, c.now()
}

// unreadClient connects a new client that the director has accepted but does not read yet.
func (w *harness) unreadClient() *clientConn {
	directorConn, peerConn := w.acceptPair(listen(w.t))
	w.useConn(peerConn)
	return newClientConn(w.director, directorConn)
}

// forwardedTimeout sends a request, answers it as the node, and returns the timeout that the node received. afterSend, unless nil,
// is called after the request was sent.
func (w *harness) forwardedTimeout(afterSend func()) time.Duration {
	w.t.Helper()
	id := w.sendRequest("page", int(readTimeout.Milliseconds()), "")
	if afterSend != nil {
		afterSend()
	}
	command := w.nextCommand("GET")
	command.reply(w.t, "HIT", "-", "")
	w.expectAnswer(id, "", "")
	return command.timeout(w.t)
}

// Bytes that a reader reads only after the catch-up of a stall must count as arrived at the beginning of the stall. Once the
// reader has found no bytes unread, bytes that it reads must count as just arrived.
func TestRequestReadLateAfterStall(t *testing.T) {
	w := start(t, 1)
	c := w.unreadClient()
	stalledFrom := w.director.clock.now()
	timeout := w.forwardedTimeout(func() {
		time.Sleep(unreadFor)
		w.director.clock.simulateStall(stalledFrom)
		go c.read()
	})
	if timeout > readTimeout-unreadFor {
		t.Errorf("got timeout %v for a request that was unread for %v, want it shortened by that time", timeout, unreadFor)
	}
	tryUntilInTime(t, func() bool { return w.forwardedTimeout(nil) > readTimeout-unreadFor+unreadMargin })
}

// For a reader that was waiting during a stall, bytes that arrive after the stall must count as just arrived, also within the time
// that other readers need to catch up.
func TestRequestAfterStallOfIdleConnection(t *testing.T) {
	tryUntilInTime(t, func() bool {
		w := start(t, 1)
		w.forwardedTimeout(nil)
		stalledFrom := w.director.clock.now()
		time.Sleep(unreadFor)
		w.director.clock.simulateStall(stalledFrom)
		w.director.clients.each((*clientConn).noteIfEmpty) // as the timers' goroutine does at the end of a stall
		return w.forwardedTimeout(nil) > readTimeout-unreadFor+unreadMargin
	})
}

// When the timers' goroutine detects a stall, it must check all client connections for unread bytes.
func TestStallChecksAllClients(t *testing.T) {
	w := start(t, 1)
	w.forwardedTimeout(nil)
	before := w.director.clock.now()
	w.director.clock.mu.Lock()
	w.director.clock.lastWake = -time.Hour
	w.director.clock.mu.Unlock()
	w.waitUntil("checked", func() bool {
		checked := false
		w.director.clients.each(func(c *clientConn) { checked = checked || time.Duration(c.emptyAt.Load()) > before })
		return checked
	})
	if took := w.director.clock.now() - before; took > clientIdleTimeout/2 { // without a stall, its reader checks only after clientIdleTimeout
		t.Errorf("checked after %v, want at most half of clientIdleTimeout", took)
	}
}

// blockingListener is a listener whose Accept returns only once it is released, as in a goroutine that gets no core.
type blockingListener struct {
	net.Listener
	calls    atomic.Int32
	released chan struct{}
}

func (l *blockingListener) Accept() (net.Conn, error) {
	l.calls.Add(1)
	conn, err := l.Listener.Accept()
	<-l.released
	return conn, err
}

// If a client connects and writes during a stall, and its connection is accepted only after the catch-up, its request must count
// as arrived at the beginning of the stall.
func TestConnectionAcceptedLateAfterStall(t *testing.T) {
	w := start(t, 1)
	l := &blockingListener{Listener: listen(t), released: make(chan struct{})}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	w.serveOn(ctx, l)
	w.waitUntil("accepting", func() bool { return l.calls.Load() > 0 })
	stalledFrom := w.director.clock.now()
	w.connect(l.Addr().String())
	timeout := w.forwardedTimeout(func() {
		time.Sleep(unreadFor)
		w.director.clock.simulateStall(stalledFrom)
		close(l.released)
	})
	if timeout > readTimeout-unreadFor {
		t.Errorf("got timeout %v for a request that was unread for %v, want it shortened by that time", timeout, unreadFor)
	}
	tryUntilInTime(t, func() bool {
		time.Sleep(recentStallTime)
		w.connect(l.Addr().String())
		return w.forwardedTimeout(nil) > readTimeout-unreadFor+unreadMargin
	})
}

// Bytes that clients write while accept fails must count as arrived at the first fault. Bytes that arrive later on such a
// connection, or on one that did not wait to be accepted, must count as just arrived.
func TestConnectionAcceptedAfterFaults(t *testing.T) {
	w := start(t, 1)
	l := &failingListener{TCPListener: listen(t).(*net.TCPListener), last: syscall.EMFILE}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	w.serveOn(ctx, l)
	w.waitUntil("failing", func() bool { return l.calls.Load() > 0 })
	w.connect(l.Addr().String())
	timeout := w.forwardedTimeout(func() {
		time.Sleep(unreadFor)
		l.mu.Lock()
		l.last = 0
		l.mu.Unlock()
	})
	if timeout > readTimeout-unreadFor {
		t.Errorf("got timeout %v for a request that was unread for %v, want it shortened by that time", timeout, unreadFor)
	}
	fresh := func() bool { return w.forwardedTimeout(nil) > readTimeout-unreadFor+unreadMargin }
	tryUntilInTime(t, fresh)
	tryUntilInTime(t, func() bool {
		w.connect(l.Addr().String())
		return fresh()
	})
}

// Bytes that clients write while the accepting goroutine is delayed outside of a call of accept must count as arrived when the
// clients connected.
func TestConnectionAcceptedAfterDelay(t *testing.T) {
	w := start(t, 1)
	listener := listen(t)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	w.serveOn(ctx, listener)
	w.connect(listener.Addr().String())
	w.forwardedTimeout(nil)
	w.director.clients.mu.Lock()
	dial(t, listener.Addr().String()) // blocks the accepting goroutine at the locked mutex
	w.connect(listener.Addr().String())
	timeout := w.forwardedTimeout(func() {
		time.Sleep(unreadFor)
		w.director.clients.mu.Unlock()
	})
	if timeout > readTimeout-unreadFor {
		t.Errorf("got timeout %v for a request that was unread for %v, want it shortened by that time", timeout, unreadFor)
	}
	tryUntilInTime(t, func() bool { return w.forwardedTimeout(nil) > readTimeout-unreadFor+unreadMargin })
	tryUntilInTime(t, func() bool {
		w.connect(listener.Addr().String())
		return w.forwardedTimeout(nil) > readTimeout-unreadFor+unreadMargin
	})
}

// acceptCall is one call of accept. Times are milliseconds since the director's start.
type acceptCall struct {
	called, returned time.Duration
	arrival          time.Duration // the earliest arrival of its connection; 0: when it returned
	empty            bool          // no connection waited before the call
	failed           bool
	want             time.Duration // since when its connection may have waited; not checked if the call failed
}

// Tests the estimate of how long a connection may have waited to be accepted, after different results of the earlier calls of
// accept.
func TestAcceptBacklog(t *testing.T) {
	const ms = time.Millisecond
	for name, calls := range map[string][]acceptCall{
		"no fault": {
			{called: 0, returned: 100, empty: true, want: 100},
			{called: 100, returned: 101, empty: true, want: 101},
		},
		"faults in a row": {
			{called: 10, returned: 10, empty: true, failed: true},
			{called: 20, returned: 20, failed: true},
			{called: 40, returned: 41, want: 10},
		},
		"two connections after a fault": {
			{called: 10, returned: 10, empty: true, failed: true},
			{called: 20, returned: 20, want: 10},
			{called: 20, returned: 21, want: 10},
		},
		"a fault between two connections": {
			{called: 10, returned: 10, empty: true, failed: true},
			{called: 20, returned: 20, want: 10},
			{called: 20, returned: 20, failed: true},
			{called: 200, returned: 200, want: 10},
		},
		"a fault while none waits, then a connection": {
			{called: 10, returned: 10, empty: true, failed: true},
			{called: 30, returned: 30, want: 10},
		},
		"an empty queue ends the backlog": {
			{called: 10, returned: 10, empty: true, failed: true},
			{called: 20, returned: 30, empty: true, want: 30},
			{called: 30, returned: 31, empty: true, want: 31},
		},
		"a late return while a connection waits does not end the backlog": {
			{called: 10, returned: 10, empty: true, failed: true},
			{called: 20, returned: 50, want: 10},
			{called: 50, returned: 60, want: 10},
		},
		"acceptBacklogTimeout ends the backlog": {
			{called: 10, returned: 10, empty: true, failed: true},
			{called: 20, returned: 20, want: 10},
			{called: 21, returned: 120, want: 10},
			{called: 120, returned: 121, want: 121},
		},
		"delayed between calls": {
			{called: 10, returned: 50, empty: true, want: 50},
			{called: 200, returned: 200, want: 10},
			{called: 200, returned: 201, want: 10},
			{called: 201, returned: 300, empty: true, want: 300},
		},
		"delayed again before all are accepted": {
			{called: 10, returned: 50, empty: true, want: 50},
			{called: 200, returned: 200, want: 10},
			{called: 350, returned: 350, want: 10},
			{called: 350, returned: 351, want: 10},
		},
		"a call that failed after a wait": {
			{called: 10, returned: 500, empty: true, failed: true},
			{called: 510, returned: 510, want: 500 - acceptFaultDelay/ms},
		},
		"a stall": {
			{called: 10, returned: 500, empty: true, arrival: 200, want: 200},
			{called: 520, returned: 520, want: 200},
			{called: 520, returned: 540, empty: true, want: 540},
		},
		"a stall after a fault": {
			{called: 10, returned: 10, empty: true, failed: true},
			{called: 20, returned: 500, arrival: 100, want: 10},
		},
		"a fault after a stall": {
			{called: 10, returned: 500, empty: true, arrival: 200, failed: true},
			{called: 510, returned: 510, want: 200},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var backlog acceptBacklog
			for i, c := range calls {
				if c.arrival == 0 {
					c.arrival = c.returned
				}
				backlog.noteQueue(c.called*ms, c.empty)
				if c.failed {
					backlog.noteFault(c.called*ms, c.returned*ms, c.arrival*ms)
				} else if since := backlog.noteAccepted(c.returned*ms, c.arrival*ms); since != c.want*ms {
					t.Errorf("call %d: got wait since %v, want %v", i, since, c.want*ms)
				}
			}
		})
	}
}

// The accept queue of a listener must be empty until a client connects, and again once its connection is accepted.
func TestAcceptQueue(t *testing.T) {
	listener := listen(t)
	queue := newAcceptQueue(listener)
	for range 2 {
		if !queue.isEmpty() {
			t.Fatal("queue is not empty before a client connects")
		}
		conn := dial(t, listener.Addr().String())
		if queue.isEmpty() {
			t.Fatal("queue is empty after a client connected")
		}
		if _, err := listener.Accept(); err != nil {
			t.Fatal(err)
		}
		conn.Close()
	}
}
