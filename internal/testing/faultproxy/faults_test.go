package faultproxy

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// A link that drops forwards nothing in the direction, not even on new connections. The bytes that waited arrive once it heals.
// Other links forward bytes meanwhile. A connection survives several faults.
func TestDropHoldsBytesUntilHealed(t *testing.T) {
	network := newNetwork(t)
	link, otherLink := addEchoLink(t, network, "a>b"), addEchoLink(t, network, "a>c")
	dropped, passing := dial(t, link), dial(t, otherLink)
	if got, err := dropped.exchange("x", time.Second); got != "x\n" {
		t.Fatalf("before the faults: got %q, %v", got, err)
	}
	for _, direction := range []Direction{Both, Forward, Reverse} {
		network.SetFault("*>b", direction, Fault{Drop: true})
		if got, err := dropped.exchange("held", 100*time.Millisecond); !isTimeout(err) {
			t.Errorf("%s: through the dropping link: got %q, %v, want a timeout", direction, got, err)
		}
		if got, err := passing.exchange("y", time.Second); got != "y\n" {
			t.Errorf("%s: through the other link: got %q, %v, want the line back", direction, got, err)
		}
		if direction != Reverse {
			if got, err := dial(t, link).exchange("new", 100*time.Millisecond); !isTimeout(err) {
				t.Errorf("%s: on a new connection: got %q, %v, want a timeout", direction, got, err)
			}
		}
		network.Heal("a*")
		dropped.conn.SetDeadline(time.Now().Add(time.Second))
		if got, err := dropped.reader.ReadString('\n'); got != "held\n" {
			t.Errorf("%s: after healing: got %q, %v, want the line that waited", direction, got, err)
		}
	}
}

// Latency delays bytes in each direction, and jitter adds to it.
func TestLatency(t *testing.T) {
	const latency = 60 * time.Millisecond
	network := newNetwork(t)
	conn := dial(t, addEchoLink(t, network, "a>b"))
	network.SetFault("a>b", Both, Fault{Latency: latency, Jitter: 20 * time.Millisecond})
	start := time.Now()
	got, err := conn.exchange("late", 2*time.Second)
	if got != "late\n" {
		t.Errorf("got %q, %v, want the line back", got, err)
	}
	if took := time.Since(start); took < 2*latency {
		t.Errorf("the line came back after %v, want at least %v", took, 2*latency)
	}
}

// A limited bandwidth delays bytes by their transfer time.
func TestBandwidth(t *testing.T) {
	network := newNetwork(t)
	conn := dial(t, addEchoLink(t, network, "a>b"))
	network.SetFault("a>b", Forward, Fault{Bandwidth: 1000})
	start := time.Now()
	got, err := conn.exchange(string(make([]byte, 200)), 2*time.Second)
	if len(got) != 201 {
		t.Errorf("got %d bytes, %v, want 201", len(got), err)
	}
	if took := time.Since(start); took < 190*time.Millisecond {
		t.Errorf("200 bytes took %v at 1000 bytes a second, want at least 190 ms", took)
	}
}

// A link that corrupts every chunk changes the forwarded bytes.
func TestCorruption(t *testing.T) {
	network := newNetwork(t)
	conn := dial(t, addEchoLink(t, network, "a>b"))
	network.SetFault("a>b", Forward, Fault{CorruptProbability: 1})
	if got, err := conn.exchange("garbled", time.Second); got == "garbled\n" {
		t.Errorf("got %q, %v, want another line", got, err)
	}
}

// A link that refuses resets new connections.
func TestRefuse(t *testing.T) {
	network := newNetwork(t)
	link := addEchoLink(t, network, "a>b")
	network.SetFault("a>b", Both, Fault{Refuse: true})
	conn, err := net.Dial("tcp", link.Addr())
	if err != nil { // the reset may already fail the dial
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("dial failed with %v, want a reset", err)
		}
		return
	}
	defer conn.Close()
	refused := &client{conn, bufio.NewReader(conn)}
	if got, err := refused.exchange("x", time.Second); err == nil || isTimeout(err) {
		t.Errorf("got %q, %v, want a reset", got, err)
	}
}

// Reset ends the open connections of a link.
func TestReset(t *testing.T) {
	network := newNetwork(t)
	conn := dial(t, addEchoLink(t, network, "a>b"))
	if got, err := conn.exchange("x", time.Second); got != "x\n" {
		t.Fatalf("before the reset: got %q, %v", got, err)
	}
	network.Reset("a>b")
	if got, err := conn.exchange("x", time.Second); err == nil {
		t.Errorf("after the reset: got %q, want an error", got)
	}
}

// A fault replaces the previous fault in its direction. An open connection survives all faults until it is reset.
func TestOpenConnectionSurvivesFaultsUntilReset(t *testing.T) {
	network := newNetwork(t)
	conn := dial(t, addEchoLink(t, network, "a>b"))
	for _, fault := range []Fault{
		{Latency: 60 * time.Millisecond, Jitter: 20 * time.Millisecond},
		{Bandwidth: 1000},
		{CorruptProbability: 1},
		{Refuse: true},
	} {
		network.SetFault("a>b", Both, fault)
		conn.conn.SetDeadline(time.Now().Add(2 * time.Second))
		if _, err := conn.conn.Write([]byte("x\n")); err != nil {
			t.Errorf("with %s: %v", fault, err)
		}
		if _, err := conn.reader.ReadByte(); err != nil {
			t.Errorf("with %s: no byte comes back: %v", fault, err)
		}
	}
	network.Heal("*")
	conn.conn.Write([]byte("\nhealed\n"))
	for {
		line, err := conn.reader.ReadString('\n')
		if err != nil {
			t.Fatalf("after healing: %v", err)
		}
		if line == "healed\n" {
			break
		}
	}
	network.Reset("a>b")
	if got, err := conn.exchange("x", time.Second); err == nil {
		t.Errorf("after the reset: got %q, want an error", got)
	}
}

// ResetAfter resets a connection after a number of bytes. No later byte arrives.
func TestResetAfterBytes(t *testing.T) {
	const resetAfter = 10
	network := newNetwork(t)
	conn := dial(t, addEchoLink(t, network, "a>b"))
	network.ResetAfter("a>b", resetAfter)
	conn.conn.SetDeadline(time.Now().Add(time.Second))
	conn.conn.Write([]byte("0123456789abcdef"))
	got, err := io.ReadAll(conn.conn)
	if len(got) > resetAfter || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %q, %v, want at most %d bytes and a reset", got, err, resetAfter)
	}
}

// The target of a connection that is half-closed reads an end of file, and ends the connection.
func TestHalfClose(t *testing.T) {
	network := newNetwork(t)
	conn := dial(t, addEchoLink(t, network, "a>b"))
	conn.exchange("x", time.Second)
	network.HalfClose("a>b")
	conn.conn.SetDeadline(time.Now().Add(time.Second))
	if got, err := io.ReadAll(conn.reader); len(got) > 0 || isTimeout(err) {
		t.Errorf("got %q, %v, want the end of the connection", got, err)
	}
}
