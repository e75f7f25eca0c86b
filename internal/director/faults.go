package director

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// This file handles faults of the director's own host, such as a temporary lack of descriptors, buffers, ports or a route. They
// say nothing about the node at the other end, so the operation is retried within a time limit.

const (
	firstBackoff = 10 * time.Millisecond // wait before the first retry after a fault of this host; it doubles with each retry
	maxBackoff   = 80 * time.Millisecond // longest wait before a retry
)

// backoff is an exponential backoff: the wait doubles with each retry, up to a limit.
type backoff struct{ next, limit time.Duration }

// newBackoff returns the backoff for dials and for opening the listener.
func newBackoff() backoff { return backoff{next: firstBackoff, limit: maxBackoff} }

// take returns the wait before the next retry, and doubles the wait after that.
func (b *backoff) take() time.Duration {
	wait := b.next
	b.next = min(2*b.next, b.limit)
	return wait
}

// isLocalFault returns whether an error is a system call that failed because of a fault of this host. It returns false for
// errors that the other side or the network may have caused, and for errors that do not come from a system call.
func isLocalFault(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.ECONNREFUSED, syscall.EHOSTUNREACH, syscall.EHOSTDOWN, syscall.ETIMEDOUT, syscall.ECONNRESET,
		syscall.ECONNABORTED, syscall.EPIPE:
		return false
	}
	return true
}

// dialWithRetries dials, with retries if a fault of this host prevents it. No dial begins after retryFor, and each dial may take
// the timeout. It returns the last error, or the context's error once the context has ended.
func dialWithRetries(ctx context.Context, network Network, address string, timeout, retryFor time.Duration) (net.Conn, error) {
	end := time.Now().Add(retryFor)
	for wait := newBackoff(); ; {
		socket, err := dialWithin(ctx, network, address, timeout)
		pause := wait.take()
		if err == nil || !isLocalFault(err) || time.Now().Add(pause).After(end) {
			return socket, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(pause):
		}
	}
}

// readSome calls Read, and calls it again if a signal interrupted it.
func readSome(from io.Reader, b []byte) (n int, err error) {
	for n == 0 {
		if n, err = from.Read(b); !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
	return n, nil
}

// uninterrupted is a reader that repeats a read that a signal interrupted.
type uninterrupted struct{ io.Reader }

// Read reads as readSome does.
func (u uninterrupted) Read(b []byte) (int, error) { return readSome(u.Reader, b) }

// writeAll writes all of b, or until an error. It goes on after a short write and after a signal interrupted it.
func writeAll(to io.Writer, b []byte) (n int, err error) {
	for n < len(b) {
		written, err := to.Write(b[n:])
		n += written
		switch {
		case errors.Is(err, syscall.EINTR): // try again
		case err != nil:
			return n, err
		case written == 0:
			return n, io.ErrShortWrite
		}
	}
	return n, nil
}
