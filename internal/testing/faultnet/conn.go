package faultnet

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is a connection whose reads and writes may fail. It embeds the interface net.Conn and not *net.TCPConn. Otherwise
// net.Buffers would find that type's method for several buffers and bypass Write.
type conn struct {
	net.Conn
	network *Network
	place   Place

	mu                  sync.Mutex
	broken              error         // the error of every later read and write; nil: the connection is not broken
	closed              bool          // by this side
	deadline            time.Time     // of writes
	changed             chan struct{} // closed and replaced when one of the three fields above changes
	sendBufferFullUntil time.Time     // blocked writes wait until then
}

// newConn returns a conn over a connection of the system.
func newConn(n *Network, system net.Conn, place Place) *conn {
	return &conn{Conn: system, network: n, place: place, changed: make(chan struct{})}
}

// longPast is a deadline that has passed.
var longPast = time.Unix(1, 0)

// Read reads as the system does. If a short read is drawn, it reads a few bytes at most.
func (c *conn) Read(b []byte) (int, error) {
	kind := c.draw(ShortRead)
	c.breakBy(kind)
	if err := c.failure("read"); err != nil {
		return 0, err
	}
	if kind == ShortRead && len(b) > 0 {
		b = b[:min(len(b), c.network.oneTo(maxShortRead))]
	}
	n, err := c.Conn.Read(b)
	if failed := c.failure("read"); failed != nil && err != nil { // it broke while the read waited
		return n, failed
	}
	return n, err
}

// Write writes all of b, or returns an error and the number of bytes that left before.
func (c *conn) Write(b []byte) (int, error) {
	kind := c.draw(ShortWrite, BlockedWrite)
	if err := c.awaitSendBuffer(kind); err != nil {
		return 0, err
	}
	if err := c.writeDeadlinePassed(); err != nil {
		return 0, err
	}
	sent := 0
	if kind == ShortWrite && len(b) > 1 {
		first, err := c.Conn.Write(b[:c.network.oneTo(len(b)-1)])
		if err != nil {
			return first, err
		}
		sent = first
		if err := c.delayWrite(c.network.upTo(c.network.plan.MaxWritePause)); err != nil {
			return sent, err
		}
	}
	rest, err := c.Conn.Write(b[sent:])
	return sent + rest, err
}

// writeDeadlinePassed returns an error if the deadline for writes has passed. It is needed because drawing and injecting a
// fault takes time after the caller's last check of the clock, which a write to a real connection does not.
func (c *conn) writeDeadlinePassed() error {
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	if !deadline.IsZero() && !time.Now().Before(deadline) {
		return c.wrap("write", os.ErrDeadlineExceeded)
	}
	return nil
}

// awaitSendBuffer waits while a BlockedWrite that was drawn now or before keeps the send buffer full.
func (c *conn) awaitSendBuffer(kind Kind) error {
	c.breakBy(kind)
	if kind == BlockedWrite {
		until := time.Now().Add(c.network.upTo(c.network.plan.MaxWriteBlock))
		c.mu.Lock()
		if until.After(c.sendBufferFullUntil) {
			c.sendBufferFullUntil = until
		}
		c.mu.Unlock()
	}
	c.mu.Lock()
	full := time.Until(c.sendBufferFullUntil)
	c.mu.Unlock()
	if full <= 0 {
		return c.failure("write")
	}
	return c.delayWrite(full)
}

// draw draws a fault of a read or a write: one of the given kinds, or one that breaks the connection.
func (c *conn) draw(others ...Kind) Kind {
	return c.network.draw(c.place, c.RemoteAddr().String(), append(others, TimedOut, HostUnreachable, Reset)...)
}

// breakBy breaks the connection if the kind is one that does. It wakes reads and writes that wait.
func (c *conn) breakBy(kind Kind) {
	switch kind {
	case TimedOut, HostUnreachable, Reset:
	default:
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken == nil && !c.closed {
		c.broken = errnos[kind]
		c.Conn.SetDeadline(longPast)
		c.wakeLocked()
	}
}

// wakeLocked makes delayed writes check their conditions again. Called under the lock.
func (c *conn) wakeLocked() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// failure returns the error of a call on the connection if it is broken, else nil.
func (c *conn) failure(call string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failureLocked(call)
}

// failureLocked is failure for a caller that holds the lock.
func (c *conn) failureLocked(call string) error {
	if c.broken == nil || c.closed {
		return nil
	}
	return c.wrap(call, os.NewSyscallError(call, c.broken))
}

// wrap returns an error in the form that the net package gives it.
func (c *conn) wrap(call string, err error) error {
	return &net.OpError{Op: call, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// delayWrite delays a write. It returns an error if meanwhile the connection breaks or is closed, or the deadline for writes
// passes. If the process was paused until both the delay and the deadline were over, the deadline counts, as in the system.
func (c *conn) delayWrite(span time.Duration) error {
	if delayed := c.network.plan.OnDelay; delayed != nil {
		from := time.Now()
		defer func() { delayed(Delay{c.place, c.RemoteAddr().String(), from, time.Now()}) }()
	}
	over := time.NewTimer(span)
	defer over.Stop()
	for waited := false; ; {
		c.mu.Lock()
		err, deadline, changed := c.failureLocked("write"), c.deadline, c.changed
		closed := c.closed
		c.mu.Unlock()
		switch {
		case err != nil:
			return err
		case closed:
			return c.wrap("write", net.ErrClosed)
		case !deadline.IsZero() && !time.Now().Before(deadline):
			return c.wrap("write", os.ErrDeadlineExceeded)
		case waited:
			return nil
		}
		var passed <-chan time.Time
		if !deadline.IsZero() {
			passed = time.After(time.Until(deadline))
		}
		select {
		case <-over.C:
			waited = true
		case <-changed:
		case <-passed:
		}
	}
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline sets the deadline of reads. It has no effect on a broken connection, whose reads must not wait.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken != nil {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline of writes. It has no effect on a broken connection, whose writes must not wait.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken != nil {
		return nil
	}
	c.deadline = t
	c.wakeLocked()
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite closes the writing side, so that the other side sees the end of the stream.
func (c *conn) CloseWrite() error {
	if err := c.failure("close"); err != nil {
		return err
	}
	return c.Conn.(*net.TCPConn).CloseWrite()
}

// Close closes the connection. A broken connection is reset.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken != nil && !c.closed {
		c.Conn.(*net.TCPConn).SetLinger(0)
	}
	c.closed = true
	c.wakeLocked()
	return c.Conn.Close()
}

// rawConn is a conn that shows its descriptor. Reads and writes of the descriptor may break the connection or block as well.
type rawConn struct{ *conn }

// SyscallConn returns the descriptor, for reads, for peeks and for waiting until it takes bytes. Short reads and writes are
// not injected there.
func (c *rawConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	return &descriptor{raw, c.conn}, err
}

// descriptor is the syscall.RawConn of a rawConn.
type descriptor struct {
	syscall.RawConn
	conn *conn
}

// Read is the Read of a syscall.RawConn. It returns an error if the connection is broken or breaks while it waits.
func (d *descriptor) Read(ready func(fd uintptr) bool) error {
	d.conn.breakBy(d.conn.draw())
	if err := d.conn.failure("read"); err != nil {
		return err
	}
	err := d.RawConn.Read(ready)
	if failed := d.conn.failure("read"); failed != nil && err != nil {
		return failed
	}
	return err
}

// Write is the Write of a syscall.RawConn. It waits while the send buffer is full, and returns an error if the connection is
// broken or breaks.
func (d *descriptor) Write(ready func(fd uintptr) bool) error {
	if err := d.conn.awaitSendBuffer(d.conn.draw(BlockedWrite)); err != nil {
		return err
	}
	err := d.RawConn.Write(ready)
	if failed := d.conn.failure("write"); failed != nil && err != nil {
		return failed
	}
	return err
}
