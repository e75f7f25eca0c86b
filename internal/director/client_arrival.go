package director

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// This file estimates when a client's bytes arrived, and detects unread bytes. A process that was stalled, or that accepted a
// connection late, reads bytes that may have arrived long before. Deadlines count from the arrival.

// setConnectedAt sets the earliest time at which the connection may have been established. Bytes that were waiting when it was
// accepted count as arrived at that time. It must be called before the connection is read.
func (c *clientConn) setConnectedAt(at time.Duration) {
	c.connectedAt = at
	c.emptyAt.Store(int64(at))
}

// arrivalTime returns the earliest time at which the bytes that the reader reads now may have arrived. Shortly after the
// connection was accepted this is the time at which it was established, since the bytes may have waited since then.
func (c *clientConn) arrivalTime() time.Duration {
	clock := c.director.clock
	emptyAt := time.Duration(c.emptyAt.Load())
	arrival := clock.arrivalTimeSince(emptyAt)
	neverEmpty := emptyAt <= c.connectedAt
	if neverEmpty && clock.now() < c.acceptedAt+backlogTimeout {
		return min(arrival, c.connectedAt)
	}
	return arrival
}

// noteEmpty records a time at which no bytes were unread. It keeps the latest time; several goroutines may call it.
func (c *clientConn) noteEmpty(at time.Duration) {
	for last := c.emptyAt.Load(); int64(at) > last; last = c.emptyAt.Load() {
		if c.emptyAt.CompareAndSwap(last, int64(at)) {
			return
		}
	}
}

// noteIfEmpty calls noteEmpty if no bytes are unread. It is called after a stall, since a reader that was waiting during the
// stall has not recorded this itself. Bytes that this reader receives later then count as arrived after the stall.
func (c *clientConn) noteIfEmpty() {
	if checkedAt := c.director.clock.now(); c.isCaughtUp() {
		c.noteEmpty(checkedAt)
	}
}

// isCaughtUp returns whether everything that the client wrote, the end of its stream included, has been read and handled. It
// must peek before it loads unhandled, since the reader sets unhandled before it reads from the socket.
func (c *clientConn) isCaughtUp() bool {
	_, anything := c.peek()
	return !anything && !c.unhandled.Load()
}

// hasUnread returns whether bytes have arrived that have not been read from the socket yet.
func (c *clientConn) hasUnread() bool {
	bytes, _ := c.peek()
	return bytes
}

// peek returns without waiting whether the next read would return bytes, and whether it would return anything at all, such as
// bytes, an error or the end of the stream. Both are false for a connection that is not a socket.
func (c *clientConn) peek() (bytes, anything bool) {
	if c.raw == nil {
		return false, false
	}
	c.raw.Control(func(descriptor uintptr) {
		n, _, err := syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		bytes, anything = err == nil && n > 0, err != syscall.EAGAIN
	})
	return bytes, anything
}

// hasLeft returns whether the client has closed its connection while bytes from before that are unread. Otherwise the reader sees the
// close itself, without delay, and hasLeft asks nothing.
func (c *clientConn) hasLeft() bool { return c.unhandled.Load() && c.hasClosed() }

// hasClosed returns whether the client has closed its connection, whatever is unread. It is false for a connection that is not a
// socket.
func (c *clientConn) hasClosed() (closed bool) {
	if c.raw == nil {
		return false
	}
	c.raw.Control(func(descriptor uintptr) {
		events, err := pollEvents(descriptor, unix.POLLRDHUP)
		closed = err == nil && events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed
}

// rawConn returns the raw connection of a socket, or nil if the connection is not a socket.
func rawConn(conn net.Conn) syscall.RawConn {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// drainingReader reads a client's connection. It calls beforeWait, which starts the pending requests, only when it has to wait
// for more bytes. So a cancellation that arrived together with its request is read before the request is started.
type drainingReader struct {
	socket     net.Conn
	raw        syscall.RawConn        // nil: not a socket, so it is unknown whether bytes are unread
	beforeWait func()                 // called each time before Read waits
	noteEmpty  func(at time.Duration) // called with a time at which no bytes were unread
	now        func() time.Duration
	unhandled  *atomic.Bool // true from before a read until Read waits again
}

// newDrainingReader returns the reader of a client's connection.
func newDrainingReader(c *clientConn) *drainingReader {
	return &drainingReader{
		socket:     c.socket,
		beforeWait: c.startPending,
		noteEmpty:  c.noteEmpty,
		now:        c.director.clock.now,
		unhandled:  &c.unhandled,
		raw:        c.raw,
	}
}

// Read reads the bytes that have arrived. If there are none it waits for some, until the socket's read deadline.
func (r *drainingReader) Read(b []byte) (n int, err error) {
	if r.raw == nil {
		r.beforeWait()
		r.noteEmpty(r.now()) // assumed, since it cannot be determined
		return readSome(r.socket, b)
	}
	if len(b) == 0 {
		return 0, nil
	}
	return r.readArrived(func(descriptor int) (int, error) { return r.readOrNoteEmpty(descriptor, b) })
}

const discardBuffer = 16 << 10 // bytes

// discardBuffers holds the buffers of discard. One is in use only during a system call, so there are few, however many connections
// wait for bytes to discard.
var discardBuffers = sync.Pool{New: func() any { return new([discardBuffer]byte) }}

// discard is Read for bytes that are not used. It returns how many were read, at most discardBuffer.
func (r *drainingReader) discard() (n int, err error) {
	if r.raw == nil {
		return r.Read(make([]byte, discardBuffer))
	}
	return r.readArrived(func(descriptor int) (int, error) {
		buffer := discardBuffers.Get().(*[discardBuffer]byte)
		defer discardBuffers.Put(buffer)
		return r.readOrNoteEmpty(descriptor, buffer[:])
	})
}

// readArrived calls read, which must not wait, each time bytes have arrived, until it returns another error than EAGAIN.
func (r *drainingReader) readArrived(read func(descriptor int) (int, error)) (n int, err error) {
	waitErr := r.raw.Read(func(descriptor uintptr) bool {
		n, err = read(int(descriptor))
		return err != syscall.EAGAIN
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", err)}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// readOrNoteEmpty reads without waiting. If no bytes are unread, it records that and returns EAGAIN. The recorded time is taken
// before the read, so that bytes that arrive in between are either read or count as arrived later.
func (r *drainingReader) readOrNoteEmpty(descriptor int, b []byte) (n int, err error) {
	r.unhandled.Store(true)
	checkedAt := r.now()
	n, err = syscall.Read(descriptor, b)
	for err == syscall.EINTR {
		n, err = syscall.Read(descriptor, b)
	}
	if err == syscall.EAGAIN {
		r.beforeWait()
		r.noteEmpty(checkedAt)
		r.unhandled.Store(false)
	}
	return n, err
}
