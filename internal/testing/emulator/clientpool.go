package emulator

// This file holds the clients' connections to one director.

import (
	"net/netip"
	"slices"
	"sync"

	"indigochute.example/indigochute/internal/msgpack"
)

const (
	attemptsPerConn = 8    // in flight on a connection before another is opened
	maxConns        = 200  // to one director
	maxQueuedSends  = 4096 // requests waiting to be written on one connection
)

// connectionPool is the clients' connections to one director. The load closes it.
type connectionPool struct {
	load     *Load
	director netip.AddrPort

	mu     sync.Mutex // guards the fields below and the connections' state
	conns  []*clientConn
	closed bool
}

// send queues an attempt on the connection with the fewest attempts in flight, or on a new connection. If that connection's queue is full
// the request is not sent, and the attempt ends at its deadline.
func (p *connectionPool) send(attempt *clientAttempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn := p.leastLoaded()
	if conn == nil || p.mayGrow() && len(conn.inFlight) >= attemptsPerConn {
		conn = p.open()
	}
	conn.lastID++
	attempt.message.ID, attempt.conn = conn.lastID, conn
	conn.inFlight[conn.lastID] = attempt
	select {
	case conn.outgoing <- msgpack.AppendRequest(nil, &attempt.message):
	default:
	}
}

// mayGrow reports whether another connection may be opened. The caller holds p.mu.
func (p *connectionPool) mayGrow() bool { return len(p.conns) < maxConns }

// leastLoaded returns the first connection with the fewest attempts in flight, or nil if the pool is empty. The caller holds
// p.mu.
func (p *connectionPool) leastLoaded() (least *clientConn) {
	for _, conn := range p.conns {
		if least == nil || len(conn.inFlight) < len(least.inFlight) {
			least = conn
		}
	}
	return least
}

// open adds a connection, which dials in a goroutine of its own. The caller holds p.mu.
func (p *connectionPool) open() *clientConn {
	conn := &clientConn{pool: p, outgoing: make(chan []byte, maxQueuedSends), inFlight: map[uint32]*clientAttempt{}}
	p.conns = append(p.conns, conn)
	p.load.connections.Go(conn.run)
	return conn
}

// forget removes an attempt whose deadline has passed. A response to it that still arrives is a violation.
func (p *connectionPool) forget(attempt *clientAttempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if attempt.conn != nil {
		delete(attempt.conn.inFlight, attempt.message.ID)
	}
}

// remove removes a connection that has ended, closes its queue and returns the attempts that were in flight on it.
func (p *connectionPool) remove(conn *clientConn) map[uint32]*clientAttempt {
	p.mu.Lock()
	defer p.mu.Unlock()
	inFlight := conn.inFlight
	conn.inFlight = map[uint32]*clientAttempt{}
	if !conn.ended {
		conn.ended = true
		close(conn.outgoing)
	}
	p.conns = slices.DeleteFunc(p.conns, func(other *clientConn) bool { return other == conn })
	return inFlight
}

// close closes the connections. One that is still dialing closes itself when it finds the pool closed.
func (p *connectionPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, conn := range p.conns {
		if conn.socket != nil {
			conn.socket.Close()
		}
	}
}
