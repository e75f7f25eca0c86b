package director

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/config"
	"indigochute.example/indigochute/internal/discovery"
	"indigochute.example/indigochute/internal/routing"
)

// This file has the pool of connections to nodes. The pool holds each node's address, selects the connection for an attempt and
// counts the sockets that are left.

const (
	// reservedSocketsDivisor determines the share of the pool's sockets, 1/reservedSocketsDivisor, that is reserved for nodes
	// without a connection. While more sockets than these are left, each request gets a connection of its own. After that,
	// requests share connections, and no health checks are made.
	reservedSocketsDivisor = 4
	// An idle connection is reused only for this fraction of the time after which nodes close idle connections. Later, the node
	// may be closing it at that moment.
	reusableIdleNumerator, reusableIdleDenominator = 4, 5
)

// connectionPool holds the connections to all nodes. Its mutex guards them and the attempts on them. Nothing blocks while it
// is held. A goroutine that holds the director's mutex may lock it, but not the other way round.
type connectionPool struct {
	config          *config.Config
	clock           *clock
	log             *rateLimitedLog
	network         Network
	socketsReserved int
	orderLifetime   time.Duration // an order whose attempt has not begun after this time is void

	mu          sync.Mutex
	byID        map[uint32]*node
	socketsLeft int // how many more may be opened
}

// node is a node as discovery lists it, with the connections to it.
type node struct {
	addr        netip.AddrPort
	startedUnix int64 // Unix milliseconds, by the journal's clock; 0: long ago
	kind        int   // one of the kinds in the settings: cache, parent or origin
	ready       bool
	conns       []*nodeConn // those that have not ended
}

// newConnectionPool returns a pool that may open the given number of sockets.
func newConnectionPool(conf *config.Config, sockets int, clock *clock, log *rateLimitedLog) *connectionPool {
	p := &connectionPool{
		config:          conf,
		clock:           clock,
		log:             log,
		network:         systemNetwork{},
		socketsReserved: sockets / reservedSocketsDivisor,
		orderLifetime:   orderLifetime,
		byID:            map[uint32]*node{},
		socketsLeft:     sockets,
	}
	for _, grace := range []time.Duration{conf.DrainGrace, conf.PurgeGrace} {
		if grace > 0 {
			p.orderLifetime = min(p.orderLifetime, grace/orderLifetimeDivisor)
		}
	}
	return p
}

// updateEndpoint records a node as discovery lists it. If the node is draining, has moved, has restarted or is gone, attempts
// that have not begun end. Connections from before a move or restart accept no more attempts.
func (p *connectionPool) updateEndpoint(listed discovery.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.byID[listed.ID]
	if known == nil {
		known = &node{}
		p.byID[listed.ID] = known
	}
	moved := known.addr != listed.Addr || known.startedUnix != listed.StartedUnix
	for _, conn := range slices.Clone(known.conns) {
		if moved || listed.State != routing.Ready {
			conn.expireQueued()
		}
		if moved || listed.State == routing.Gone {
			conn.retire()
		}
	}
	known.addr, known.startedUnix, known.kind = listed.Addr, listed.StartedUnix, listed.Kind
	known.ready = listed.State == routing.Ready
	if listed.State == routing.Gone { // removed, so that the map does not grow as nodes are replaced; sendAttempt ends later orders for it
		delete(p.byID, listed.ID)
	}
}

// superseded returns the nodes that are listed at an address at which an event lists another node as ready that was not there before,
// as gone. A process that comes up at an address replaces the one that had it, whether or not discovery has noticed its end. Nodes that
// the event itself lists are as it says.
func (p *connectionPool) superseded(listed []discovery.Endpoint) (gone []discovery.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	taken := p.newAddresses(listed)
	if len(taken) == 0 {
		return nil
	}
	inEvent := map[uint32]bool{}
	for _, endpoint := range listed {
		inEvent[endpoint.ID] = true
	}
	for id, known := range p.byID {
		if taken[known.addr] && !inEvent[id] {
			gone = append(gone, discovery.Endpoint{ID: id, Addr: known.addr, Kind: known.kind, State: routing.Gone})
		}
	}
	slices.SortFunc(gone, func(a, b discovery.Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return gone
}

// newAddresses returns the addresses at which a list has a ready node that was not there before. Called under the mutex.
func (p *connectionPool) newAddresses(listed []discovery.Endpoint) (taken map[netip.AddrPort]bool) {
	for _, endpoint := range listed {
		known := p.byID[endpoint.ID]
		if endpoint.State != routing.Ready || known != nil && known.addr == endpoint.Addr {
			continue
		}
		if taken == nil {
			taken = map[netip.AddrPort]bool{}
		}
		taken[endpoint.Addr] = true
	}
	return taken
}

// expireQueued ends the attempts on the connection that have not begun.
func (c *nodeConn) expireQueued() {
	for _, open := range c.open {
		if open.state == attemptQueued {
			delete(c.open, open.command.ID)
			open.finish(OrderExpired)
		}
	}
}

// sendAttempt queues an attempt on an existing or a new connection to the node. The attempt ends immediately if the node is not
// listed, or if there is neither a connection that can carry it nor a socket for a new one.
func (p *connectionPool) sendAttempt(nodeID uint32, next *attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	target := p.byID[nodeID]
	if target == nil {
		next.finish(OrderExpired)
		return
	}
	conn := p.pick(target, next)
	needsNew := conn == nil || conn.isBusy() && p.hasSpareSocket()
	if needsNew && (p.socketsLeft > 0 || p.closeIdle()) {
		p.socketsLeft--
		conn = p.open(target)
		go conn.run(target.addr)
	}
	if conn == nil {
		next.finish(NoSocket)
		return
	}
	conn.enqueueAttempt(next)
}

// hasSpareSocket returns whether more sockets are left than those reserved. Called under the mutex.
func (p *connectionPool) hasSpareSocket() bool { return p.socketsLeft > p.socketsReserved }

// open adds a new connection to the node. The caller starts its run method, which dials.
func (p *connectionPool) open(target *node) *nodeConn {
	conn := &nodeConn{pool: p, node: target, open: map[string]*attempt{}, wake: make(chan struct{}, 1)}
	conn.dialContext, conn.cancelDial = context.WithCancel(context.Background())
	target.conns = append(target.conns, conn)
	return conn
}

// pick returns the connection to a node that can carry the attempt and has the fewest open attempts. Among idle connections it
// prefers the most recently used. It returns nil if none can carry the attempt.
func (p *connectionPool) pick(target *node, next *attempt) (best *nodeConn) {
	now := p.clock.now()
	for _, conn := range target.conns {
		if p.canCarry(conn, next, now) && (best == nil || conn.isBetterThan(best)) {
			best = conn
		}
	}
	return best
}

// isBetterThan returns whether this connection is preferred to another one for the next attempt.
func (c *nodeConn) isBetterThan(other *nodeConn) bool {
	if len(c.open) != len(other.open) {
		return len(c.open) < len(other.open)
	}
	return !c.isBusy() && c.lastUsed > other.lastUsed
}

// canCarry returns whether a connection may carry an attempt. It returns false if an earlier attempt of the same request used
// the connection, or if another request with the same id recently did: an answer to the earlier attempt could be mistaken for an
// answer to this one.
func (p *connectionPool) canCarry(conn *nodeConn, next *attempt, now time.Duration) bool {
	if conn.state >= nodeConnRetired || conn.isStuck(now) || len(conn.open) >= p.config.MaxStreams {
		return false
	}
	if next.request.usedConnection(conn) || slices.Contains(conn.recentIDs[:], next.command.ID) {
		return false
	}
	if !conn.isIdle() {
		return true
	}
	return now-conn.lastUsed <= p.config.IdleTimeout*reusableIdleNumerator/reusableIdleDenominator
}

// usedConnection returns whether an earlier attempt of the request used the connection. Called in the request's goroutine,
// under the pool's mutex.
func (r *request) usedConnection(conn *nodeConn) bool {
	return slices.ContainsFunc(r.attempts, func(earlier *attempt) bool { return earlier.conn == conn })
}

// closeIdle closes the connection that has been idle for longest, which frees its socket. It returns false if none is idle.
func (p *connectionPool) closeIdle() bool {
	var longest *nodeConn
	for _, known := range p.byID {
		for _, conn := range known.conns {
			if conn.isIdle() && (longest == nil || conn.lastUsed < longest.lastUsed) {
				longest = conn
			}
		}
	}
	if longest == nil {
		return false
	}
	longest.end(Stopped, nil)
	return true
}

// takeSpareSocket takes a socket for a health check, and returns the address of the node. ok is false if the node is not
// listed or no socket can be spared, as requests take precedence. Called under the mutex.
func (p *connectionPool) takeSpareSocket(target *node) (addr string, ok bool) {
	if target == nil || !p.hasSpareSocket() {
		return "", false
	}
	p.socketsLeft--
	return target.addr.String(), true
}

// returnSocket returns a socket that takeSpareSocket took.
func (p *connectionPool) returnSocket() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.socketsLeft++
}
