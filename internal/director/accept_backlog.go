package director

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// This file estimates how long a connection may have waited before it was accepted.

const (
	// acceptFaultDelay is the longest time that a connection may have waited when the call of accept that should have returned
	// it failed.
	acceptFaultDelay = 5 * time.Millisecond
	// maxAcceptGap is the longest time between two calls of accept that does not count as a delay. After a longer one,
	// queued connections are assumed to have waited during it.
	maxAcceptGap = 5 * time.Millisecond
	// acceptBacklogTimeout is how long after the first connection accepted after a delay further connections are assumed to
	// have been queued during the delay as well. Without it, clients that connect without a pause would count as late for ever.
	acceptBacklogTimeout = 100 * time.Millisecond
)

// acceptQueue reports whether connections wait to be accepted by a listener. The queue of a listener that is not a socket
// counts as empty.
type acceptQueue struct {
	raw syscall.RawConn // nil: the listener is not a socket
}

// newAcceptQueue returns the accept queue of a listener.
func newAcceptQueue(listener net.Listener) acceptQueue {
	socket, ok := listener.(syscall.Conn)
	if !ok {
		return acceptQueue{}
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return acceptQueue{}
	}
	return acceptQueue{raw}
}

// isEmpty returns whether no connection waits to be accepted, as far as is known.
func (q acceptQueue) isEmpty() bool {
	if q.raw == nil {
		return true
	}
	waiting := false
	q.raw.Control(func(descriptor uintptr) {
		waiting, _ = pollNow(descriptor, unix.POLLIN)
	})
	return !waiting
}

// acceptBacklog records since when a connection may have waited to be accepted. While accept fails, the process is stalled or
// the accepting goroutine is delayed, clients still connect and write, and their deadlines run. Times count from the director's
// start.
type acceptBacklog struct {
	emptyAt      time.Duration // the last time at which no connection was known to wait
	lastReturned time.Duration // when the last call of accept returned
	waiting      bool          // connections may have waited during a fault, a stall or another delay
	since        time.Duration // if waiting: the earliest time at which their wait may have begun
	until        time.Duration // if waiting: connections accepted until then may have waited; 0: none accepted since the delay
}

// noteQueue records whether the accept queue was empty just before a call of accept.
func (b *acceptBacklog) noteQueue(at time.Duration, empty bool) {
	switch {
	case empty:
		b.waiting, b.emptyAt = false, at
	case !b.waiting:
		b.begin(b.emptyAt)
	case at-b.lastReturned > maxAcceptGap:
		b.until = 0
	}
}

// noteFault records a call of accept that failed. The arrival is the earliest time at which the connection that the call would
// have returned may have arrived. After a stall of the process it is before the call returned.
func (b *acceptBacklog) noteFault(called, returned, arrival time.Duration) {
	faultAt := max(called, returned-acceptFaultDelay)
	b.begin(min(arrival, faultAt))
	b.lastReturned = returned
}

// noteAccepted records a call of accept that returned a connection. It returns the earliest time at which that connection's
// wait may have begun.
func (b *acceptBacklog) noteAccepted(returned, arrival time.Duration) time.Duration {
	b.lastReturned = returned
	if arrival < returned {
		b.begin(arrival)
	}
	switch {
	case !b.waiting:
		return arrival
	case b.until == 0:
		b.until = returned + acceptBacklogTimeout
	case returned > b.until:
		b.waiting, b.emptyAt = false, returned
		return arrival
	}
	return min(arrival, b.since)
}

// begin records that connections may have waited since the given time, or since the recorded time if that is earlier.
func (b *acceptBacklog) begin(from time.Duration) {
	if b.waiting {
		from = min(from, b.since)
	}
	b.waiting, b.since, b.until = true, from, 0
}
