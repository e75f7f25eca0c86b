package director

import (
	"net"

	"indigochute.example/indigochute/internal/msgpack"
)

// This file handles the messages of one connection until the goroutines of its requests are started, and keeps the set of its
// open requests.

// handleMessage handles one message, for whose body bodyBytes are reserved. It returns an error if the connection must end.
func (c *clientConn) handleMessage(message msgpack.Message, bodyBytes int64) error {
	arrivedAt := c.arrivalTime()
	c.mu.Lock()
	c.hasSentMessage, c.lastActivity = true, arrivedAt
	c.mu.Unlock()
	if len(c.pending) > 0 && c.director.clock.now()-c.pendingSince > maxPendingWait {
		c.startPendingEarly()
	}
	switch message.Kind {
	case msgpack.Request:
		r := newRequest(c.director, c, message, arrivedAt)
		r.ownBodyBytes = bodyBytes
		return c.handleRequest(r)
	case msgpack.ReadinessCheck:
		c.postShort(msgpack.Readiness(message.ID, !c.director.shuttingDown.Load()))
	case msgpack.Cancellation:
		c.cancelRequest(message.ID)
	}
	return nil
}

// handleRequest registers a request as pending, or rejects it immediately if a bound is reached.
func (c *clientConn) handleRequest(r *request) error {
	open, err := c.register(r)
	if err != nil {
		r.releaseBounds()
		return err
	}
	if open > maxOpenPerClient || c.rejecting || !r.reserveBounds() {
		r.rejectForBound()
		r.releaseBounds()
		return nil
	}
	if len(c.pending) == 0 {
		c.pendingSince = c.director.clock.now()
	}
	if c.pending = append(c.pending, r); len(c.pending) >= maxOpenPerClient {
		c.startPendingEarly()
	}
	return nil
}

// cancelRequest notifies a request that its client no longer waits for it.
func (c *clientConn) cancelRequest(messageID uint32) {
	c.mu.Lock()
	r := c.open[messageID]
	c.mu.Unlock()
	if r != nil {
		r.markClientGone()
	}
}

// startPendingEarly starts the pending requests although bytes may be unread. If the client has left meanwhile, the connection ends, and
// the requests with it.
func (c *clientConn) startPendingEarly() {
	if len(c.pending) > 0 && c.hasLeft() {
		c.close(Closed, nil)
	}
	c.startPending()
}

// startPending starts the goroutines of the pending requests. It rejects those beyond maxGoroutinesPerClient.
func (c *clientConn) startPending() {
	for _, r := range c.pending {
		select {
		case c.serveSlots <- struct{}{}:
			go func() {
				r.serve()
				<-c.serveSlots
			}()
		default:
			r.rejectForBound()
			r.releaseBounds()
		}
	}
	clear(c.pending)
	c.pending = c.pending[:0]
}

// register adds a request to the open requests and returns how many are open now. It returns errDuplicateMessageID if the
// message id is in use, as two answers under one id would be ambiguous, and net.ErrClosed if no more answers are written.
func (c *clientConn) register(r *request) (open int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.writeClosed || c.closed:
		return 0, net.ErrClosed
	case c.open[r.message.ID] != nil:
		return 0, errDuplicateMessageID
	}
	c.open[r.message.ID] = r
	return len(c.open), nil
}

// openCount returns how many requests are open on the connection.
func (c *clientConn) openCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// release removes an answered request from the open requests. Later calls do nothing.
func (c *clientConn) release(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[r.message.ID] == r {
		delete(c.open, r.message.ID)
		c.lastActivity = c.director.clock.now()
		c.wakeReaderIfDone()
	}
}
