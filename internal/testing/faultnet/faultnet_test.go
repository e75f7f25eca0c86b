package faultnet

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

// testTimeout is how long a test waits for an event that must happen. It is windowed longer than any event here takes.
const testTimeout = 10 * time.Second

// pair returns the two ends of a connection over loopback, accepted by one network and dialled by the other.
func pair(t *testing.T, accepting, dialing *Network) (accepted, dialed net.Conn) {
	t.Helper()
	l, err := accepting.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err = dialing.DialContext(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		accepted.Close()
		dialed.Close()
	})
	return accepted, dialed
}

// expectError checks that an error has the net package's form: an operation, a system call and an error number.
func expectError(t *testing.T, err error, operation, call string, number syscall.Errno) {
	t.Helper()
	var outer *net.OpError
	var inner *os.SyscallError
	if !errors.As(err, &outer) || !errors.As(err, &inner) || outer.Op != operation || inner.Syscall != call || !errors.Is(err, number) {
		t.Errorf("got %#v, want %s: %s: %v", err, operation, call, number)
	}
}

// Each injected error of a dial has the form of the net package. One of them is compared with a real error.
func TestDialErrorsMatchNetPackage(t *testing.T) {
	calls := map[Kind]string{
		NetUnreachable:      "connect",
		HostUnreachable:     "connect",
		AddressNotAvailable: "connect",
		NotPermitted:        "connect",
		Refused:             "connect",
		TimedOut:            "connect",
		ProcessFilesFull:    "socket",
		SystemFilesFull:     "socket",
		NoBuffers:           "socket",
		NoMemory:            "socket",
	}
	for kind, call := range calls {
		n := New(1, Plan{Dial: Rates{kind: 1}})
		_, err := n.DialContext(context.Background(), "tcp", "127.0.0.1:1")
		expectError(t, err, "dial", call, errnos[kind])
		if got, want := err.(net.Error).Timeout(), kind == TimedOut; got != want {
			t.Errorf("%s: Timeout() is %v, want %v", kind, got, want)
		}
		if counts := n.Counts(); counts["dial "+string(kind)] != 1 || len(counts) != 1 {
			t.Errorf("%s: counted %v, want 1 of this kind", kind, counts)
		}
	}
	if got, want := len(calls), len(Kinds(AtDial))-1; got != want { // all kinds but Late
		t.Errorf("tested %d errors, want %d", got, want)
	}
	_, injected := New(1, Plan{Dial: Rates{Refused: 1}}).DialContext(context.Background(), "tcp", "127.0.0.1:1")
	_, real := New(1, Plan{}).DialContext(context.Background(), "tcp", "127.0.0.1:1")
	if injected.Error() != real.Error() {
		t.Errorf("injected %q, real %q", injected, real)
	}
}

// A late dial succeeds after a delay. If its context ends during the delay, the dial fails like a real one.
func TestLateDial(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	n := New(1, Plan{Dial: Rates{LateDial: 1}, MaxDialDelay: 100 * time.Millisecond})
	before := time.Now()
	c, err := n.DialContext(context.Background(), "tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	if took := time.Since(before); took < 10*time.Millisecond {
		t.Errorf("connected after %v, want 10 ms or more", took)
	}
	n = New(1, Plan{Dial: Rates{LateDial: 1}, MaxDialDelay: time.Hour})
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = n.DialContext(ctx, "tcp", l.Addr().String())
	if netErr, ok := err.(net.Error); !ok || !netErr.Timeout() {
		t.Errorf("got %v, want a timeout", err)
	}
}

// A call of Accept that fails loses no connection: a pending connection is accepted by a later call. Deadlines and Close work as
// on a real listener.
func TestAcceptErrorsKeepPendingConnections(t *testing.T) {
	for _, kind := range Kinds(AtAccept) {
		n := New(1, Plan{Accept: Rates{kind: 1}})
		l, err := n.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		pending, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, err = l.Accept()
		expectError(t, err, "accept", "accept4", errnos[kind])
		n.Stop()
		c, err := l.Accept()
		if err != nil {
			t.Fatalf("%s: Accept after Stop returned %v, want the pending connection", kind, err)
		}
		c.Close()
		pending.Close()
		l.(interface{ SetDeadline(time.Time) error }).SetDeadline(time.Now())
		if _, err = l.Accept(); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("after the deadline: got %v, want %v", err, os.ErrDeadlineExceeded)
		}
		l.Close()
		if _, err = l.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("after Close: got %v, want %v", err, net.ErrClosed)
		}
	}
}

// Short reads and writes transfer all bytes in order. net.Buffers are written through Write as well.
func TestShortReadsAndWritesTransferAllBytes(t *testing.T) {
	short := Rates{ShortRead: 0.5, ShortWrite: 0.5}
	accepting := New(1, Plan{Accepted: short, Plain: true, MaxWritePause: time.Millisecond})
	dialing := New(2, Plan{Dialed: short, MaxWritePause: time.Millisecond})
	accepted, dialed := pair(t, accepting, dialing)
	text := bytes.Repeat([]byte("0123456789abcdef"), 4096)
	go func() {
		buffers := net.Buffers{text[:100], text[100:1000], text[1000:]}
		buffers.WriteTo(dialed)
	}()
	got := make([]byte, len(text))
	if _, err := io.ReadFull(accepted, got); err != nil || !bytes.Equal(got, text) {
		t.Errorf("got error %v or other bytes than were written", err)
	}
	if n := dialing.Counts()["dialed short write"]; n == 0 || n > 3 {
		t.Errorf("%d short writes, want 1 to 3", n)
	}
	if accepting.Counts()["accepted short read"] == 0 {
		t.Error("no short read was counted, want at least 1")
	}
	accepting = New(1, Plan{Accepted: Rates{ShortRead: 1}, Plain: true})
	accepted, dialed = pair(t, accepting, New(1, Plan{}))
	dialed.Write(text)
	if n, err := accepted.Read(got); n < 1 || n > maxShortRead || err != nil {
		t.Errorf("short read of %d bytes, %v; want 1 to %d bytes", n, err, maxShortRead)
	}
}

// A blocked write sends its bytes after a delay. It sends nothing if its deadline passes during the delay, even a deadline that was
// set during it, or if the connection is closed.
func TestBlockedWriteEndsByDelayDeadlineOrClose(t *testing.T) {
	dialing := New(1, Plan{Dialed: Rates{BlockedWrite: 1}, MaxWriteBlock: 30 * time.Millisecond})
	accepted, dialed := pair(t, New(1, Plan{}), dialing)
	before := time.Now()
	if n, err := dialed.Write([]byte("x")); n != 1 || err != nil || time.Since(before) < 3*time.Millisecond {
		t.Errorf("Write returned %d, %v after %v, want 1, nil after at least 3 ms", n, err, time.Since(before))
	}
	if _, err := io.ReadFull(accepted, make([]byte, 1)); err != nil {
		t.Error(err)
	}
	for name, end := range map[string]func(net.Conn){
		"deadline set before":       func(c net.Conn) { c.SetWriteDeadline(time.Now().Add(5 * time.Millisecond)) },
		"deadline set during write": func(c net.Conn) { time.AfterFunc(5*time.Millisecond, func() { c.SetWriteDeadline(longPast) }) },
		"close":                     func(c net.Conn) { time.AfterFunc(5*time.Millisecond, func() { c.Close() }) },
	} {
		accepted, dialed = pair(t, New(1, Plan{}), New(1, Plan{Dialed: Rates{BlockedWrite: 1}, MaxWriteBlock: time.Hour}))
		end(dialed)
		n, err := dialed.Write([]byte("x"))
		if n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
			t.Errorf("%s: Write returned %d, %v, want 0 and a deadline or close error", name, n, err)
		}
		dialed.Close()
		if b, err := io.ReadAll(accepted); len(b) > 0 || err != nil {
			t.Errorf("%s: the peer read %q, %v, want nothing", name, b, err)
		}
	}
}

// timerlessConn is a connection whose write deadlines have no effect, as after a pause of the process, before the runtime has run
// its timers.
type timerlessConn struct {
	net.Conn
	written int
}

func (c *timerlessConn) SetWriteDeadline(time.Time) error { return nil }

func (c *timerlessConn) Write(b []byte) (int, error) {
	c.written += len(b)
	return len(b), nil
}

// The time that it takes to inject a fault counts towards the write's deadline.
func TestWriteDeadlinePassesDuringInjection(t *testing.T) {
	const injectionTime = 10 * time.Millisecond
	for name, test := range map[string]struct {
		deadlineIn  time.Duration
		wantWritten int
		wantErr     error
	}{
		"passed":     {injectionTime / 2, 0, os.ErrDeadlineExceeded},
		"not passed": {time.Hour, 3, nil},
	} {
		here, there := net.Pipe()
		defer here.Close()
		defer there.Close()
		system := &timerlessConn{Conn: here}
		faults := Plan{Dialed: Rates{ShortWrite: 1}, MaxWritePause: time.Millisecond, OnFault: func(Fault) { time.Sleep(injectionTime) }}
		c := newConn(New(1, faults), system, OnDialed)
		c.SetWriteDeadline(time.Now().Add(test.deadlineIn))
		n, err := c.Write([]byte("xyz"))
		if !errors.Is(err, test.wantErr) || n != test.wantWritten || system.written != test.wantWritten {
			t.Errorf("%s: Write returned %d, %v and wrote %d bytes; want %d, %v", name, n, err, system.written, test.wantWritten, test.wantErr)
		}
	}
}

// A BlockedWrite delays a wait for the descriptor to become writable, and later writes, until the send buffer has space again.
func TestBlockedWriteBlocksDescriptor(t *testing.T) {
	dialing := New(1, Plan{Dialed: Rates{BlockedWrite: 1}, MaxWriteBlock: time.Hour})
	_, dialed := pair(t, New(1, Plan{}), dialing)
	raw, err := dialed.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	called := false
	ready := func(uintptr) bool {
		called = true
		return true
	}
	dialed.SetWriteDeadline(time.Now().Add(5 * time.Millisecond))
	if err := raw.Write(ready); !errors.Is(err, os.ErrDeadlineExceeded) || called {
		t.Errorf("blocked: got error %v, called %v, want a passed deadline and no call", err, called)
	}
	dialing.Stop()
	dialed.SetWriteDeadline(time.Now().Add(5 * time.Millisecond))
	if n, err := dialed.Write([]byte("x")); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("after Stop, still blocked: Write returned %d, %v, want 0 and a passed deadline", n, err)
	}
	inner := dialed.(*rawConn).conn
	inner.mu.Lock()
	inner.sendBufferFullUntil = time.Time{}
	inner.mu.Unlock()
	dialed.SetWriteDeadline(time.Time{})
	if err := raw.Write(ready); err != nil || !called {
		t.Errorf("after the block: got error %v, called %v, want nil, true", err, called)
	}
	if n, err := dialed.Write([]byte("x")); n != 1 || err != nil {
		t.Errorf("after the block: Write returned %d, %v, want 1, nil", n, err)
	}
}

// Once a connection is broken, calls in progress and all later calls fail, and Close resets it.
func TestBrokenConnectionFailsAllCalls(t *testing.T) {
	for _, kind := range []Kind{TimedOut, HostUnreachable, Reset} {
		for _, plain := range []bool{true, false} {
			network := New(1, Plan{Plain: plain})
			here, there := pair(t, network, New(1, Plan{}))
			read := func() error {
				_, err := here.Read(make([]byte, 1))
				return err
			}
			if raw, ok := here.(syscall.Conn); ok != !plain {
				t.Fatalf("plain %v: has SyscallConn: %v", plain, ok)
			} else if ok {
				d, err := raw.SyscallConn()
				if err != nil {
					t.Fatal(err)
				}
				read = func() error { return d.Read(func(uintptr) bool { return false }) }
			}
			waiting := make(chan error, 1)
			go func() { waiting <- read() }()
			time.Sleep(5 * time.Millisecond) // usually the read waits by now; otherwise it fails as well
			network.mu.Lock()
			network.rates[OnAccepted] = Rates{kind: 1}
			network.mu.Unlock()
			_, err := here.Write([]byte("x"))
			expectError(t, err, "write", "write", errnos[kind])
			network.Stop()
			select {
			case err := <-waiting:
				expectError(t, err, "read", "read", errnos[kind])
			case <-time.After(testTimeout):
				t.Fatal("a read in progress does not fail when the connection breaks")
			}
			here.SetDeadline(time.Time{}) // must not repair the connection
			expectError(t, read(), "read", "read", errnos[kind])
			here.Close()
			there.SetDeadline(time.Now().Add(testTimeout))
			if _, err := there.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("after Close the peer reads %v, want %v", err, syscall.ECONNRESET)
			}
		}
	}
}

// Faults are drawn inside the windows only. Networks with the same seed draw the same faults, and networks with other seeds draw
// others.
func TestDrawnFaultsFollowWindowsAndSeed(t *testing.T) {
	windowed := New(1, Plan{Dial: Rates{Refused: 1}, Windows: []Window{{From: time.Hour, Until: 2 * time.Hour}}})
	for at, want := range map[time.Duration]bool{0: false, time.Hour - 1: false, time.Hour: true, 2*time.Hour - 1: true, 2 * time.Hour: false} {
		if on := windowed.faultsOn(at); on != want {
			t.Errorf("at %v: faults on is %v, want the opposite", at, on)
		}
	}
	if kind := windowed.draw(AtDial, "", Refused); kind != "" {
		t.Errorf("drew %s outside the window, want no fault", kind)
	}
	drawAll := func(seed uint64) (kinds string) {
		n := New(seed, Plan{Dial: Rates{Refused: 0.3, NoMemory: 0.3}})
		for range 100 {
			kinds += string(n.draw(AtDial, "", allowed[AtDial]...)) + " "
		}
		return kinds
	}
	first, second, other := drawAll(1), drawAll(1), drawAll(2)
	if first != second || first == other {
		t.Error("the drawn faults differ for equal seeds or are equal for different seeds")
	}
	n := New(3, Plan{Dial: Rates{Refused: 0.3}})
	for range 10000 {
		n.draw(AtDial, "", allowed[AtDial]...)
	}
	if count := n.Counts()["dial ECONNREFUSED"]; count < 2800 || count > 3200 {
		t.Errorf("%d faults in 10000 calls at a rate of 0.3, want 2800 to 3200", count)
	}
}

// Plan.Injected is called with each fault and the peer's address of its connection.
func TestPlanReportsInjectedFaults(t *testing.T) {
	var mu sync.Mutex
	var injected []Fault
	n := New(1, Plan{Accepted: Rates{Reset: 1}, OnFault: func(f Fault) {
		mu.Lock()
		defer mu.Unlock()
		injected = append(injected, f)
	}})
	accepted, dialed := pair(t, n, New(1, Plan{}))
	accepted.Write([]byte("x"))
	if len(injected) != 1 || injected[0] != (Fault{OnAccepted, Reset, dialed.LocalAddr().String()}) {
		t.Errorf("got faults %v, want one reset of the accepted connection", injected)
	}
}

// New panics on an invalid plan.
func TestNewPanicsOnInvalidPlan(t *testing.T) {
	for name, plan := range map[string]Plan{
		"kind that is not allowed": {Accept: Rates{Refused: 0.1}},
		"sum of rates above 1":     {Dial: Rates{Refused: 0.6, NoMemory: 0.6}},
	} {
		t.Run(name, func(t *testing.T) {
			defer func() {
				if recover() == nil {
					t.Error("New did not panic")
				}
			}()
			New(1, plan)
		})
	}
}
