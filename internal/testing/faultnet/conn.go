package faultnet

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is a connection whose reads and writes may fail. It embeds the interface net.Conn instead of *net.TCPConn, as net.Buffers
// would use the writev method of *net.TCPConn and bypass Write.
type conn struct {
	net.Conn
	network *Network
	place   Place

	mu                  sync.Mutex
	breakErr            error         // the error of every later read and write; nil while the connection is not broken
	closed              bool          // Close was called
	deadline            time.Time     // of writes
	changed             chan struct{} // closed and replaced when one of the fields above changes
	sendBufferFullUntil time.Time     // until then every write waits
}

// newConn returns a conn that wraps a real connection.
func newConn(n *Network, wrapped net.Conn, place Place) *conn {
	return &conn{Conn: wrapped, network: n, place: place, changed: make(chan struct{})}
}

// longPast is a deadline that has passed.
var longPast = time.Unix(1, 0)

// Read reads from the wrapped connection. If a ShortRead is drawn, it reads at most maxShortRead bytes.
func (c *conn) Read(b []byte) (int, error) {
	kind := c.draw(ShortRead)
	c.breakBy(kind)
	if err := c.failure("read"); err != nil {
		return 0, err
	}
	if kind == ShortRead && len(b) > 0 {
		b = b[:min(len(b), c.network.randomSize(maxShortRead))]
	}
	n, err := c.Conn.Read(b)
	if breakErr := c.failure("read"); breakErr != nil && err != nil { // the connection broke while the read waited
		return n, breakErr
	}
	return n, err
}

// Write writes all of b, or returns an error and the number of bytes written before it.
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
		first, err := c.Conn.Write(b[:c.network.randomSize(len(b)-1)])
		if err != nil {
			return first, err
		}
		sent = first
		if err := c.delayWrite(c.network.randomDelay(c.network.plan.MaxWritePause)); err != nil {
			return sent, err
		}
	}
	rest, err := c.Conn.Write(b[sent:])
	return sent + rest, err
}

// writeDeadlinePassed returns an error if the deadline for writes has passed. The check is needed because drawing and injecting
// a fault takes time between the caller's last check of the clock and the write, unlike a write to a real connection.
func (c *conn) writeDeadlinePassed() error {
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	if !deadline.IsZero() && !time.Now().Before(deadline) {
		return c.wrap("write", os.ErrDeadlineExceeded)
	}
	return nil
}

// awaitSendBuffer waits while the send buffer counts as full because of a BlockedWrite, drawn for this write or an earlier one.
func (c *conn) awaitSendBuffer(kind Kind) error {
	c.breakBy(kind)
	if kind == BlockedWrite {
		until := time.Now().Add(c.network.randomDelay(c.network.plan.MaxWriteBlock))
		c.mu.Lock()
		if until.After(c.sendBufferFullUntil) {
			c.sendBufferFullUntil = until
		}
		c.mu.Unlock()
	}
	c.mu.Lock()
	wait := time.Until(c.sendBufferFullUntil)
	c.mu.Unlock()
	if wait <= 0 {
		return c.failure("write")
	}
	return c.delayWrite(wait)
}

// draw draws a fault of a read or a write: one of the given kinds, or one that breaks the connection.
func (c *conn) draw(kinds ...Kind) Kind {
	return c.network.draw(c.place, c.RemoteAddr().String(), append(kinds, TimedOut, HostUnreachable, Reset)...)
}

// breakBy breaks the connection if the kind is TimedOut, HostUnreachable or Reset. Reads and writes in progress fail.
func (c *conn) breakBy(kind Kind) {
	switch kind {
	case TimedOut, HostUnreachable, Reset:
	default:
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.breakErr == nil && !c.closed {
		c.breakErr = errnos[kind]
		c.Conn.SetDeadline(longPast)
		c.notifyLocked()
	}
}

// notifyLocked makes delayed writes check their conditions again. The caller holds c.mu.
func (c *conn) notifyLocked() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// failure returns the error of a call on the connection if it is broken, else nil.
func (c *conn) failure(call string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failureLocked(call)
}

// failureLocked is failure for a caller that holds c.mu.
func (c *conn) failureLocked(call string) error {
	if c.breakErr == nil || c.closed {
		return nil
	}
	return c.wrap(call, os.NewSyscallError(call, c.breakErr))
}

// wrap returns an error in the form of the net package.
func (c *conn) wrap(call string, err error) error {
	return &net.OpError{Op: call, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

// delayWrite delays a write. It returns an error if the connection breaks or is closed during the delay, or if the deadline for
// writes passes. If the process was paused until both the delay and the deadline were over, it returns the error of the
// deadline, as a real connection does.
func (c *conn) delayWrite(delay time.Duration) error {
	if report := c.network.plan.OnDelay; report != nil {
		from := time.Now()
		defer func() { report(Delay{c.place, c.RemoteAddr().String(), from, time.Now()}) }()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
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
		var deadlinePassed <-chan time.Time
		if !deadline.IsZero() {
			deadlinePassed = time.After(time.Until(deadline))
		}
		select {
		case <-timer.C:
			waited = true
		case <-changed:
		case <-deadlinePassed:
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

// SetReadDeadline sets the deadline of reads. It has no effect on a broken connection, whose reads fail at once.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.breakErr != nil {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline of writes. It has no effect on a broken connection, whose writes fail at once.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.breakErr != nil {
		return nil
	}
	c.deadline = t
	c.notifyLocked()
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite closes the writing side, so that the peer reads the end of the stream.
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
	if c.breakErr != nil && !c.closed {
		c.Conn.(*net.TCPConn).SetLinger(0)
	}
	c.closed = true
	c.notifyLocked()
	return c.Conn.Close()
}

// rawConn is a conn with access to its file descriptor. Faults that break or block the connection are injected at reads and
// writes of the descriptor as well.
type rawConn struct{ *conn }

// SyscallConn returns the file descriptor, for reads, for peeks and for waiting until it is writable. Short reads and writes are
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

// Read implements syscall.RawConn. It returns an error if the connection is broken or breaks while Read waits.
func (d *descriptor) Read(ready func(fd uintptr) bool) error {
	d.conn.breakBy(d.conn.draw())
	if err := d.conn.failure("read"); err != nil {
		return err
	}
	err := d.RawConn.Read(ready)
	if breakErr := d.conn.failure("read"); breakErr != nil && err != nil {
		return breakErr
	}
	return err
}

// Write implements syscall.RawConn. It waits while the send buffer counts as full, and returns an error if the connection is
// broken or breaks meanwhile.
func (d *descriptor) Write(ready func(fd uintptr) bool) error {
	if err := d.conn.awaitSendBuffer(d.conn.draw(BlockedWrite)); err != nil {
		return err
	}
	err := d.RawConn.Write(ready)
	if breakErr := d.conn.failure("write"); breakErr != nil && err != nil {
		return breakErr
	}
	return err
}
