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

// testTimeout is how long a test waits for something that must happen; far longer than anything here takes.
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

// Each error of a dial has the form that the net package gives it. One is compared with a real error.
func TestDialErrors(t *testing.T) {
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
		t.Errorf("tried %d errors, want %d", got, want)
	}
	_, injected := New(1, Plan{Dial: Rates{Refused: 1}}).DialContext(context.Background(), "tcp", "127.0.0.1:1")
	_, real := New(1, Plan{}).DialContext(context.Background(), "tcp", "127.0.0.1:1")
	if injected.Error() != real.Error() {
		t.Errorf("injected %q, real %q", injected, real)
	}
}

// A late dial succeeds after a while. If its context ends before, it fails as a real dial does.
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
	if timed, ok := err.(net.Error); !ok || !timed.Timeout() {
		t.Errorf("got %v, want a timeout", err)
	}
}

// A call of Accept that fails loses no connection: one that waits is accepted by a later call. Deadlines and Close work as in
// the system.
func TestAcceptErrors(t *testing.T) {
	for _, kind := range Kinds(AtAccept) {
		n := New(1, Plan{Accept: Rates{kind: 1}})
		l, err := n.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		waiting, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, err = l.Accept()
		expectError(t, err, "accept", "accept4", errnos[kind])
		n.Stop()
		c, err := l.Accept()
		if err != nil {
			t.Fatalf("%s: then %v", kind, err)
		}
		c.Close()
		waiting.Close()
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
func TestShortReadsAndWrites(t *testing.T) {
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
		t.Errorf("got %v or other bytes than were written", err)
	}
	if n := dialing.Counts()["dialed short write"]; n == 0 || n > 3 {
		t.Errorf("%d short writes, want 1 to 3", n)
	}
	if accepting.Counts()["accepted short read"] == 0 {
		t.Error("no short read")
	}
	accepting = New(1, Plan{Accepted: Rates{ShortRead: 1}, Plain: true})
	accepted, dialed = pair(t, accepting, New(1, Plan{}))
	dialed.Write(text)
	if n, err := accepted.Read(got); n < 1 || n > maxShortRead || err != nil {
		t.Errorf("short read of %d bytes, %v; want 1 to %d bytes", n, err, maxShortRead)
	}
}

// The bytes of a blocked write leave after a while. If its deadline passes before, even one set meanwhile, or the connection is
// closed, nothing leaves.
func TestBlockedWrites(t *testing.T) {
	dialing := New(1, Plan{Dialed: Rates{BlockedWrite: 1}, MaxWriteBlock: 30 * time.Millisecond})
	accepted, dialed := pair(t, New(1, Plan{}), dialing)
	before := time.Now()
	if n, err := dialed.Write([]byte("x")); n != 1 || err != nil || time.Since(before) < 3*time.Millisecond {
		t.Errorf("%d, %v after %v", n, err, time.Since(before))
	}
	if _, err := io.ReadFull(accepted, make([]byte, 1)); err != nil {
		t.Error(err)
	}
	for name, end := range map[string]func(net.Conn){
		"deadline before":    func(c net.Conn) { c.SetWriteDeadline(time.Now().Add(5 * time.Millisecond)) },
		"deadline meanwhile": func(c net.Conn) { time.AfterFunc(5*time.Millisecond, func() { c.SetWriteDeadline(longPast) }) },
		"close":              func(c net.Conn) { time.AfterFunc(5*time.Millisecond, func() { c.Close() }) },
	} {
		accepted, dialed = pair(t, New(1, Plan{}), New(1, Plan{Dialed: Rates{BlockedWrite: 1}, MaxWriteBlock: time.Hour}))
		end(dialed)
		n, err := dialed.Write([]byte("x"))
		if n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
			t.Errorf("%s: %d, %v", name, n, err)
		}
		dialed.Close()
		if b, err := io.ReadAll(accepted); len(b) > 0 || err != nil {
			t.Errorf("%s: %q had left, %v", name, b, err)
		}
	}
}

// timerlessConn is a connection whose write deadlines have no effect, as before the runtime's timers run again after a pause.
type timerlessConn struct {
	net.Conn
	written int
}

func (c *timerlessConn) SetWriteDeadline(time.Time) error { return nil }

func (c *timerlessConn) Write(b []byte) (int, error) {
	c.written += len(b)
	return len(b), nil
}

// The time that it takes to inject a fault counts against the write's deadline.
func TestDeadlinePassesWhileAFaultIsInjected(t *testing.T) {
	const injecting = 10 * time.Millisecond
	for name, test := range map[string]struct {
		within  time.Duration
		written int
		want    error
	}{
		"passed":     {injecting / 2, 0, os.ErrDeadlineExceeded},
		"not passed": {time.Hour, 3, nil},
	} {
		here, there := net.Pipe()
		defer here.Close()
		defer there.Close()
		system := &timerlessConn{Conn: here}
		faults := Plan{Dialed: Rates{ShortWrite: 1}, MaxWritePause: time.Millisecond, OnFault: func(Fault) { time.Sleep(injecting) }}
		c := newConn(New(1, faults), system, OnDialed)
		c.SetWriteDeadline(time.Now().Add(test.within))
		n, err := c.Write([]byte("xyz"))
		if !errors.Is(err, test.want) || n != test.written || system.written != test.written {
			t.Errorf("%s: Write returned %d, %v and wrote %d bytes; want %d, %v", name, n, err, system.written, test.written, test.want)
		}
	}
}

// A full send buffer blocks a wait for the descriptor to take bytes, and later writes, until it has room.
func TestBlockedDescriptors(t *testing.T) {
	dialing := New(1, Plan{Dialed: Rates{BlockedWrite: 1}, MaxWriteBlock: time.Hour})
	_, dialed := pair(t, New(1, Plan{}), dialing)
	raw, err := dialed.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	asked := false
	ready := func(uintptr) bool {
		asked = true
		return true
	}
	dialed.SetWriteDeadline(time.Now().Add(5 * time.Millisecond))
	if err := raw.Write(ready); !errors.Is(err, os.ErrDeadlineExceeded) || asked {
		t.Errorf("%v, asked: %v", err, asked)
	}
	dialing.Stop()
	dialed.SetWriteDeadline(time.Now().Add(5 * time.Millisecond))
	if n, err := dialed.Write([]byte("x")); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("then %d, %v", n, err)
	}
	inner := dialed.(*rawConn).conn
	inner.mu.Lock()
	inner.sendBufferFullUntil = time.Time{}
	inner.mu.Unlock()
	dialed.SetWriteDeadline(time.Time{})
	if err := raw.Write(ready); err != nil || !asked {
		t.Errorf("with room: %v, asked: %v", err, asked)
	}
	if n, err := dialed.Write([]byte("x")); n != 1 || err != nil {
		t.Errorf("with room: %d, %v", n, err)
	}
}

// On a broken connection calls in progress and all later calls fail, and Close resets it.
func TestBrokenConnections(t *testing.T) {
	for _, kind := range []Kind{TimedOut, HostUnreachable, Reset} {
		for _, plain := range []bool{true, false} {
			network := New(1, Plan{Plain: plain})
			here, there := pair(t, network, New(1, Plan{}))
			read := func() error {
				_, err := here.Read(make([]byte, 1))
				return err
			}
			if raw, ok := here.(syscall.Conn); ok != !plain {
				t.Fatalf("plain %v: has a descriptor: %v", plain, ok)
			} else if ok {
				d, err := raw.SyscallConn()
				if err != nil {
					t.Fatal(err)
				}
				read = func() error { return d.Read(func(uintptr) bool { return false }) }
			}
			waiting := make(chan error, 1)
			go func() { waiting <- read() }()
			time.Sleep(5 * time.Millisecond) // the read waits by now as a rule; if not, it fails all the same
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
				t.Fatal("the read still waits")
			}
			here.SetDeadline(time.Time{}) // does not repair it
			expectError(t, read(), "read", "read", errnos[kind])
			here.Close()
			there.SetDeadline(time.Now().Add(testTimeout))
			if _, err := there.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the other side reads %v, want %v", err, syscall.ECONNRESET)
			}
		}
	}
}

// Faults are drawn inside the windows only. Two networks with the same seed draw the same faults, with other seeds others.
func TestWindowsAndSeeds(t *testing.T) {
	far := New(1, Plan{Dial: Rates{Refused: 1}, Windows: []Window{{From: time.Hour, Until: 2 * time.Hour}}})
	for at, want := range map[time.Duration]bool{0: false, time.Hour - 1: false, time.Hour: true, 2*time.Hour - 1: true, 2 * time.Hour: false} {
		if on := far.faultsOn(at); on != want {
			t.Errorf("at %v: %v", at, on)
		}
	}
	if kind := far.draw(AtDial, "", Refused); kind != "" {
		t.Errorf("%s outside the window", kind)
	}
	drawn := func(seed uint64) (all string) {
		n := New(seed, Plan{Dial: Rates{Refused: 0.3, NoMemory: 0.3}})
		for range 100 {
			all += string(n.draw(AtDial, "", allowed[AtDial]...)) + " "
		}
		return all
	}
	first, second, other := drawn(1), drawn(1), drawn(2)
	if first != second || first == other {
		t.Error("the faults drawn do not depend on the seed alone")
	}
	rate := New(3, Plan{Dial: Rates{Refused: 0.3}})
	for range 10000 {
		rate.draw(AtDial, "", allowed[AtDial]...)
	}
	if n := rate.Counts()["dial ECONNREFUSED"]; n < 2800 || n > 3200 {
		t.Errorf("%d faults in 10000 calls at a rate of 0.3, want about 3000", n)
	}
}

// Plan.Injected is called with each fault and the address of its connection.
func TestInjectedIsCalled(t *testing.T) {
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
		t.Errorf("%v", injected)
	}
}

// New panics on an invalid plan.
func TestImpossiblePlans(t *testing.T) {
	for name, plan := range map[string]Plan{
		"kind that cannot occur there": {Accept: Rates{Refused: 0.1}},
		"rates over one":               {Dial: Rates{Refused: 0.6, NoMemory: 0.6}},
	} {
		t.Run(name, func(t *testing.T) {
			defer func() {
				if recover() == nil {
					t.Error("New accepted the plan")
				}
			}()
			New(1, plan)
		})
	}
}
