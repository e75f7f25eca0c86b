package director

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// This file writes a message to a node's socket within time limits, and waits until the socket accepts bytes.

// maxUnsentBytes is the TCP_NOTSENT_LOWAT of sockets to nodes. The socket becomes writable only while fewer bytes than this are
// unsent in the host's send buffer. So a message is sent immediately and does not wait behind bytes that the node does not read.
const maxUnsentBytes = 1

// messageParts is an encoded message in parts that are written in order, so that its body is not copied.
type messageParts net.Buffers

// size returns the number of bytes that are left to write.
func (m messageParts) size() (bytes int) {
	for _, part := range m {
		bytes += len(part)
	}
	return bytes
}

// write writes all parts, or until an error. It removes what was written. On a TCP socket this is a single system call while the
// socket accepts bytes.
func (m *messageParts) write(socket net.Conn) (n int, err error) {
	if tcp, ok := socket.(*net.TCPConn); ok {
		written, err := (*net.Buffers)(m).WriteTo(tcp)
		return int(written), err
	}
	n, err = socket.Write((*m)[0])
	if (*m)[0] = (*m)[0][n:]; len((*m)[0]) == 0 {
		*m = (*m)[1:]
	}
	return n, err
}

// writeMessage writes a message. Its first byte must be written before firstByteBy, each later one before lastByteBy, since the
// process may be paused after the message was encoded or after the first byte was written. It returns os.ErrDeadlineExceeded if
// the message was not written in time. It checks the time just before each write, because a write deadline that passed during a
// pause has no effect until the runtime's timers run again.
func writeMessage(socket net.Conn, message messageParts, firstByteBy, lastByteBy time.Time) (n int, err error) {
	for message.size() > 0 {
		deadline := firstByteBy
		if n > 0 {
			deadline = lastByteBy
		}
		socket.SetWriteDeadline(deadline)
		if !time.Now().Before(deadline) {
			return n, os.ErrDeadlineExceeded
		}
		written, err := message.write(socket)
		n += written
		switch {
		case errors.Is(err, syscall.EINTR): // try again
		case n > 0 && errors.Is(err, os.ErrDeadlineExceeded): // the rest may be written until lastByteBy
		case err != nil:
			return n, err
		case written == 0:
			return n, io.ErrShortWrite
		}
	}
	return n, nil
}

// writeWaiter waits until a socket is writable, so that a message is encoded only when it can be sent immediately. For a
// connection that is not a socket it does not wait.
type writeWaiter struct {
	raw syscall.RawConn // nil: the connection is not a socket
}

// newWriteWaiter returns the writeWaiter of a socket, and sets the socket's TCP_NOTSENT_LOWAT to maxUnsentBytes. If the
// option cannot be set, the socket still works, but messages may wait in its send buffer.
func newWriteWaiter(conn net.Conn) writeWaiter {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return writeWaiter{}
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return writeWaiter{}
	}
	raw.Control(func(descriptor uintptr) {
		unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
	return writeWaiter{raw}
}

// wait returns nil once the socket is writable or has failed; the next write returns the failure. It returns
// os.ErrDeadlineExceeded if neither happens within the timeout.
func (w writeWaiter) wait(socket net.Conn, timeout time.Duration) error {
	if w.raw == nil {
		return nil
	}
	socket.SetWriteDeadline(time.Now().Add(timeout))
	return w.raw.Write(func(descriptor uintptr) bool {
		ready, err := pollNow(descriptor, unix.POLLOUT)
		return ready || err != nil
	})
}

// pollNow returns whether a descriptor is ready for one of the events, or has failed, without waiting.
func pollNow(descriptor uintptr, events int16) (ready bool, err error) {
	happened, err := pollEvents(descriptor, events)
	return happened != 0, err
}

// pollEvents returns which of the events a descriptor is ready for, and whether it has failed, without waiting. It polls again if a
// signal interrupts it.
func pollEvents(descriptor uintptr, events int16) (happened int16, err error) {
	descriptors := []unix.PollFd{{Fd: int32(descriptor), Events: events}}
	_, err = unix.Poll(descriptors, 0)
	for err == unix.EINTR {
		_, err = unix.Poll(descriptors, 0)
	}
	return descriptors[0].Revents, err
}
