package faultproxy

// This file holds a link: its listener, its present faults, its connections and their statistics.

import (
	"net"
	"slices"
	"sync"
	"time"
)

// Link is a proxy in front of one target. It listens at its own address, which its users dial in place of the target's
// address. It is safe for concurrent use.
type Link struct {
	Name     string // such as n0>n1
	network  *Network
	target   string // host:port
	listener net.Listener

	mu          sync.Mutex           // guards the fields below
	faults      [Reverse + 1]Fault   // by direction, Forward or Reverse
	changed     chan struct{}        // closed and replaced when faults change
	connections map[*connection]bool // the open ones
	resetAfter  int                  // bytes in the forward direction until a connection is reset; 0 if no reset is due
	stats       Stats                // without Open
	closed      bool
}

// Stats are the statistics of a link's connections.
type Stats struct {
	Open  int // connections open now
	Reset int // connections that Network.Reset has reset
	// FirstResponses holds the times of the first byte in the reverse direction, in order, for the latest 4,096 connections
	// that had one.
	FirstResponses []time.Time
}

// maxFirstResponses bounds Stats.FirstResponses.
const maxFirstResponses = 4096

// acceptRetryDelay is the pause after a failed accept. An accept fails, for example, if the process has no free file descriptor.
const acceptRetryDelay = time.Millisecond

// Addr returns the host:port that users of the link dial.
func (l *Link) Addr() string { return l.listener.Addr().String() }

// Stats returns the statistics of the link's connections so far.
func (l *Link) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := l.stats
	stats.Open = len(l.connections)
	stats.FirstResponses = slices.Clone(stats.FirstResponses)
	return stats
}

// recordFirstResponse records that a connection has just forwarded its first byte from the target.
func (l *Link) recordFirstResponse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.stats.FirstResponses) == maxFirstResponses {
		l.stats.FirstResponses = slices.Delete(l.stats.FirstResponses, 0, 1)
	}
	l.stats.FirstResponses = append(l.stats.FirstResponses, time.Now())
}

// countReset counts connections that Network.Reset is about to reset.
func (l *Link) countReset(connections int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Reset += connections
}

// openConnections returns the connections that are open now.
func (l *Link) openConnections() (open []*connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.connections {
		open = append(open, c)
	}
	return open
}

// setFault replaces the fault in one or both directions, and notifies the connections that wait for a change.
func (l *Link) setFault(direction Direction, fault Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, affected := range [...]Direction{Forward, Reverse} {
		if direction == Both || direction == affected {
			l.faults[affected] = fault
		}
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// fault returns the present fault in a direction, Forward or Reverse, and a channel that is closed at the next change.
func (l *Link) fault(direction Direction) (Fault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults[direction], l.changed
}

// setResetAfter makes the link reset a connection after the given number of further bytes in the forward direction, at least 1.
func (l *Link) setResetAfter(bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetAfter = max(1, bytes)
}

// takeReset reports whether a reset is due within the next size bytes of a direction, and how many of these bytes are forwarded
// before it. It reports each reset once. If no reset is due, the bytes count as forwarded.
func (l *Link) takeReset(direction Direction, size int) (before int, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if direction != Forward || l.resetAfter == 0 {
		return 0, false
	}
	if l.resetAfter > size {
		l.resetAfter -= size
		return 0, false
	}
	before = l.resetAfter
	l.resetAfter = 0
	return before, true
}

// acceptConnections accepts connections until the link is closed.
func (l *Link) acceptConnections() {
	for {
		client, err := l.listener.Accept()
		if err == nil {
			l.network.goroutines.Go(func() { l.serve(client) })
			continue
		}
		if l.isClosed() {
			return
		}
		time.Sleep(acceptRetryDelay)
	}
}

// serve registers an accepted connection and connects it to the target.
func (l *Link) serve(client net.Conn) {
	c := &connection{link: l, client: client, ended: make(chan struct{})}
	if !l.register(c) {
		client.Close()
		return
	}
	c.open()
}

// register adds a connection to the open ones. It returns false if the link is closed.
func (l *Link) register(c *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.connections[c] = true
	return true
}

func (l *Link) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// close closes the listener and resets all connections.
func (l *Link) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.listener.Close()
	for _, c := range l.openConnections() {
		c.reset()
	}
}
