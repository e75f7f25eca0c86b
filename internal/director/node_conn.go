package director

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"
)

// This file has a connection to a node: its state, the attempts on it, and how it is opened and closed. node_reader.go reads
// and handles answers, node_writer.go writes requests, and pool.go selects the connection of an attempt.

const (
	// stuckAfter is how long a message may be incomplete before the connection counts as stuck and gets no more attempts.
	stuckAfter = 200 * time.Millisecond
	// orderLifetime is how long an order may wait until its attempt begins. After that the order is void, since the endpoint
	// list may have changed or a purge may have been received. If the settings have a short grace, the lifetime is the
	// shortest grace divided by orderLifetimeDivisor.
	orderLifetime        = 300 * time.Millisecond
	orderLifetimeDivisor = 3
	// recentIDCount is how many ids of ended attempts a connection keeps, since a second answer to them may still arrive.
	recentIDCount = 16
)

// nodeConn is one connection to a node; it carries many attempts. The pool's mutex guards all of it except reading from and
// writing to the socket. Times count from the director's start.
type nodeConn struct {
	pool         *connectionPool
	node         *node
	state        nodeConnState
	socket       net.Conn // nil until the dial succeeds; the dial already counts as one of the pool's sockets
	dialContext  context.Context
	cancelDial   context.CancelFunc
	open         map[string]*attempt   // attempts that have not ended, by request id; after the connection's end, those that the writer ends
	recentIDs    [recentIDCount]string // request ids of the attempts that ended last, a ring buffer
	nextRecentID int                   // number of ids written to recentIDs so far
	queue        []outgoing            // messages that wait to be written, the next one first
	wake         chan struct{}         // wakes the writer to check the queue and the state
	lastUsed     time.Duration         // when the last attempt on it ended, or when it was established
	lastAnswer   time.Duration         // when the last answer arrived, or when it was established
	writingSince time.Duration         // since when a message has been waiting or being written; 0: none
	readingSince time.Duration         // since when an answer has been arriving; 0: none
	arriving     arrivingBody          // belongs to the reader's goroutine
}

// nodeConnState is the state of a connection. It only increases, in advance.
type nodeConnState uint8

const (
	nodeConnDialling nodeConnState = iota
	nodeConnUp
	nodeConnRetired // accepts no more attempts, and ends with its last one
	nodeConnEnded
)

// outgoing is a message that waits to be written: an attempt, or the cancellation of one.
type outgoing struct {
	attempt      *attempt
	cancellation bool
	reason       Ending // how a cancelled attempt ends
}

// advance raises the state; it never lowers it. No other function changes the state.
func (c *nodeConn) advance(to nodeConnState) { c.state = max(c.state, to) }

// isBusy returns whether the connection carries attempts. Called under the pool's mutex.
func (c *nodeConn) isBusy() bool { return len(c.open) > 0 }

// isIdle returns whether the connection is established and carries no attempt. Called under the pool's mutex.
func (c *nodeConn) isIdle() bool { return !c.isBusy() && c.socket != nil }

// hasEndedLocked is hasEnded for a caller that holds the pool's mutex.
func (c *nodeConn) hasEndedLocked() bool { return c.state == nodeConnEnded }

// hasEnded returns whether the connection has ended.
func (c *nodeConn) hasEnded() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.hasEndedLocked()
}

// run dials, then reads and writes the connection until it ends.
func (c *nodeConn) run(addr netip.AddrPort) {
	socket, err := dialWithRetries(c.dialContext, c.pool.network, addr.String(), c.pool.config.DialTimeout, c.pool.orderLifetime)
	if !c.established(socket, err) {
		return
	}
	go c.read(socket)
	c.write(socket)
}

// established records the result of the dial, and returns whether the connection is established. A connection that ended
// during the dial returns its socket to the pool only now.
func (c *nodeConn) established(socket net.Conn, err error) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if err == nil && !c.hasEndedLocked() {
		c.advance(nodeConnUp)
		c.socket, c.lastUsed, c.lastAnswer = socket, c.pool.clock.now(), c.pool.clock.now()
		return true
	}
	if socket != nil {
		socket.Close()
	}
	c.end(endingOfDial(err), err)
	c.pool.socketsLeft++
	return false
}

// enqueueAttempt queues an attempt on the connection.
func (c *nodeConn) enqueueAttempt(next *attempt) {
	next.conn = c
	c.open[next.command.ID] = next
	c.enqueue(outgoing{attempt: next})
}

// enqueue queues a message, and wakes the writer.
func (c *nodeConn) enqueue(item outgoing) {
	c.queue = append(c.queue, item)
	c.wakeWriter()
}

// wakeWriter makes the writer check the queue and the state. It never blocks.
func (c *nodeConn) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// cancel cancels an attempt. If some of its bytes may have been written, it queues a cancellation for the node. An answer that
// still arrives is ignored, since no attempt is open under its id.
func (c *nodeConn) cancel(open *attempt, reason Ending) {
	if !open.hasBegun() {
		c.finishAttempt(open, reason)
		return
	}
	if c.queuedCancellation(open) >= 0 {
		return
	}
	now := c.pool.clock.now()
	if c.isWriteStuck(now) { // the node reads nothing, so it would not read the cancellation either
		c.end(Stalled, nil)
		return
	}
	c.enqueue(outgoing{attempt: open, cancellation: true, reason: reason})
	// A node that has been silent for so long may be unreachable. An idle connection does not show that, but a new dial does.
	silentSince := max(open.writtenAt, c.lastAnswer)
	if now-silentSince > c.pool.config.DialTimeout {
		c.retire()
	}
}

// queuedCancellation returns the index in the queue of an attempt's cancellation, or -1 if none is queued.
func (c *nodeConn) queuedCancellation(of *attempt) int {
	return slices.IndexFunc(c.queue, func(item outgoing) bool { return item.attempt == of && item.cancellation })
}

// finishAttempt ends an attempt on the connection. A retired connection ends with its last attempt.
func (c *nodeConn) finishAttempt(ended *attempt, ending Ending) {
	delete(c.open, ended.command.ID)
	if ended.hasBegun() {
		c.recentIDs[c.nextRecentID%recentIDCount] = ended.command.ID
		c.nextRecentID++
	}
	ended.finish(ending)
	c.lastUsed = c.pool.clock.now()
	if c.state >= nodeConnRetired {
		c.retire()
	}
}

// retire makes the connection accept no more attempts. It ends with its last attempt, or immediately if it has none.
func (c *nodeConn) retire() {
	c.advance(nodeConnRetired)
	if len(c.open) == 0 {
		c.end(Stopped, nil)
	}
}

// isStuck returns whether a message has been incomplete for too long in either direction, so that other messages would wait
// behind it.
func (c *nodeConn) isStuck(now time.Duration) bool { return c.isWriteStuck(now) || c.isReadStuck(now) }

// isWriteStuck returns whether a message has been waiting or being written for longer than stuckAfter.
func (c *nodeConn) isWriteStuck(now time.Duration) bool {
	return c.writingSince > 0 && now-c.writingSince > stuckAfter
}

// isReadStuck returns whether an answer has been incomplete for longer than stuckAfter.
func (c *nodeConn) isReadStuck(now time.Duration) bool {
	return c.readingSince > 0 && now-c.readingSince > stuckAfter
}

// endNow is end for a caller that does not hold the pool's mutex.
func (c *nodeConn) endNow(ending Ending, err error) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.end(ending, err)
}

// end ends the connection and the attempts on it, except attempts that are being written. The writer ends those, since only the
// writer can determine whether they were written completely, so that the node may execute them. Later calls do nothing.
func (c *nodeConn) end(ending Ending, err error) {
	if c.hasEndedLocked() {
		return
	}
	c.advance(nodeConnEnded)
	c.cancelDial()
	if c.socket != nil {
		c.socket.Close()
		c.pool.socketsLeft++
	}
	c.node.conns = slices.DeleteFunc(c.node.conns, func(other *nodeConn) bool { return other == c })
	for _, item := range c.queue {
		if item.cancellation { // closing the connection has the same effect at the node
			item.attempt.finish(item.reason)
		}
	}
	for _, open := range c.open {
		c.endOpen(open, ending)
	}
	c.wakeWriter() // so that the writer returns
	c.pool.log.connection("connection to "+c.node.addr.String(), ending, err, len(c.open))
}

// endOpen ends an attempt whose connection has ended.
func (c *nodeConn) endOpen(open *attempt, ending Ending) {
	switch open.state {
	case attemptQueued:
		if ending == ConnectFailed || ending == LocalFault {
			open.finish(ending)
		} else {
			open.finish(OrderExpired)
		}
	case attemptWriting: // the writer ends it
	case attemptWritten:
		open.finish(AnswerLost)
	}
}
