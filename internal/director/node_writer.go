package director

import (
	"errors"
	"net"
	"os"
	"slices"
	"time"

	"indigochute.example/indigochute/internal/resp"
)

// This file writes requests and cancellations to a node. A request states the timeout that the node has for it, counted from the
// arrival of its last byte. So the message is encoded only when the socket accepts bytes. If the bytes are not written in time,
// the request is void.

const (
	// writeSlice bounds the time from encoding a message to writing its first byte. After that the message is encoded again,
	// since its client has less time left or may have left. So the timeout in a message is at most writeSlice too long, which
	// is a sixth of the slack that the protocol allows.
	writeSlice = 25 * time.Millisecond
	// requestRestTimeout bounds the time from encoding a request to writing its last byte. It is half of the slack, since the
	// node counts its timeout from the arrival of the complete request. A request that is not written completely by then is
	// never executed.
	requestRestTimeout = 75 * time.Millisecond
	// cancelRestTimeout is the same bound for a cancellation, which has no timeout that could pass.
	cancelRestTimeout = 2 * time.Second
	// After a stall of the process, a writer lets the readers run first. It waits for clock.catchUpTime at most catchUpRounds
	// times. Then it checks at most clientCheckRounds times, every clientCheckInterval, whether everything that the client of
	// the next message wrote has been read.
	catchUpRounds       = 3
	clientCheckRounds   = 10
	clientCheckInterval = 2 * time.Millisecond
)

// write writes the queued messages until the connection ends.
func (c *nodeConn) write(socket net.Conn) {
	waiter := newWriteWaiter(socket)
	for range c.wake {
		for c.writeNext(socket, waiter) {
		}
		if c.hasEnded() {
			return
		}
	}
}

// writeNext waits until the socket accepts bytes, for writeSlice at most, and then writes the next message. It returns false
// once the queue is empty or the connection has ended.
func (c *nodeConn) writeNext(socket net.Conn, waiter writeWaiter) bool {
	if !c.checkQueue() {
		return false
	}
	err := waiter.wait(socket, writeSlice)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	if err != nil {
		c.endNow(endingOf(err), err)
		return false
	}
	c.awaitClientReaders()
	encodedAt := time.Now()
	message, item, firstByteBy := c.nextMessage()
	if message == nil {
		return true
	}
	lastByteBy := encodedAt.Add(requestRestTimeout)
	if item.cancellation {
		lastByteBy = encodedAt.Add(cancelRestTimeout)
	}
	size := message.size()
	n, err := writeMessage(socket, message, firstByteBy, lastByteBy)
	return c.handleWritten(item, n, size, err)
}

// awaitClientReaders waits until everything that clients wrote during a stall of the process has been read, for some tens of
// milliseconds at most. Otherwise an attempt could begin although its client has left.
func (c *nodeConn) awaitClientReaders() {
	clock := c.pool.clock
	for range catchUpRounds {
		wait := clock.catchUpTime()
		if wait <= 0 {
			break
		}
		time.Sleep(wait)
	}
	for range clientCheckRounds {
		if !clock.stalledRecently() || c.nextClientCaughtUp() {
			return
		}
		time.Sleep(clientCheckInterval)
	}
}

// nextClientCaughtUp returns whether everything that the client of the next message wrote has been read.
func (c *nodeConn) nextClientCaughtUp() bool {
	c.pool.mu.Lock()
	var client *clientConn
	if len(c.queue) > 0 {
		client = c.queue[0].attempt.request.client
	}
	c.pool.mu.Unlock()
	return client == nil || client.isCaughtUp()
}

// checkQueue returns whether a message waits to be written, and records since when. It ends the connection if the node has read
// no bytes for stuckAfter or the lifetime of an order, since the messages that wait for it would be void. It retires the
// connection if a write was blocked until no messages were left to write.
func (c *nodeConn) checkQueue() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pruneQueue()
	now := c.pool.clock.now()
	blocked := c.writingSince > 0 && now-c.writingSince > writeSlice
	switch {
	case c.hasEndedLocked():
		return false
	case len(c.queue) == 0:
		c.writingSince = 0
		if blocked { // the next request would probably not be written either
			c.retire()
		}
		return false
	case c.writingSince == 0:
		c.writingSince = now
	case now-c.writingSince > min(stuckAfter, c.pool.orderLifetime):
		c.end(Stalled, nil)
		return false
	}
	return true
}

// pruneQueue removes void messages from the front of the queue.
func (c *nodeConn) pruneQueue() {
	for len(c.queue) > 0 && !c.hasEndedLocked() && c.endIfVoid(c.queue[0]) {
		c.queue = slices.Delete(c.queue, 0, 1)
	}
}

// endIfVoid returns whether a message is void, which means that it must no longer be written, and ends its attempt if so. A
// request is void if its attempt has finished, its client has left, it has waited for too long, or its time has passed. A
// cancellation is void only if its attempt has finished.
func (c *nodeConn) endIfVoid(item outgoing) bool {
	attempt, now := item.attempt, c.pool.clock.now()
	switch {
	case attempt.isFinished():
		return true
	case item.cancellation:
		return false
	case attempt.request.isClientGone() || attempt.request.client.hasLeft() || now >= attempt.request.deadline:
		c.finishAttempt(attempt, NotSent)
		return true
	case attempt.orderHasExpired(now, c.pool.orderLifetime):
		c.finishAttempt(attempt, OrderExpired)
		return true
	}
	return false
}

// orderHasExpired returns whether an attempt must no longer begin: its order has waited for longer than the lifetime, its
// startBefore has passed, or its timeout has passed.
func (a *attempt) orderHasExpired(now, lifetime time.Duration) bool {
	tooOld := now-a.orderedAt > lifetime
	tooLate := a.startBefore > 0 && now >= a.startBefore
	return tooOld || tooLate || now >= a.waitsUntil()
}

// nextMessage removes the next item from the queue and encodes its message. It also returns the time by which the first byte
// must be written. That bound counts from now, as the timeout in the message does, since the process may be paused before the
// message is written. The message is nil if there is nothing to write.
func (c *nodeConn) nextMessage() (message messageParts, item outgoing, firstByteBy time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pruneQueue()
	if len(c.queue) == 0 || c.hasEndedLocked() {
		return nil, outgoing{}, time.Time{}
	}
	item = c.queue[0]
	c.queue = slices.Delete(c.queue, 0, 1)
	now := c.pool.clock.now()
	if c.writingSince == 0 {
		c.writingSince = now
	}
	attempt := item.attempt
	if item.cancellation {
		return messageParts{resp.AppendCancel(nil, attempt.command.ID)}, item, c.pool.clock.at(now + writeSlice)
	}
	attempt.advance(attemptWriting)
	attempt.command.Timeout = attempt.waitsUntil() - now
	within := min(writeSlice, attempt.command.Timeout)
	if attempt.startBefore > 0 {
		within = min(within, attempt.startBefore-now)
	}
	return resp.RequestParts(&attempt.command), item, c.pool.clock.at(now + within)
}

// handleWritten records that n of a message's size bytes were written, and returns whether the writer may go on. It also ends
// the attempt if the connection ended during the write: end does not do that, since only the writer can determine whether the
// request was written completely, so that the node may execute it.
func (c *nodeConn) handleWritten(item outgoing, n, size int, err error) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.hasEndedLocked() {
		c.putBack(item)
		return true
	}
	c.writingSince = 0
	if item.cancellation {
		c.handleCancellationWritten(item)
	} else {
		c.handleAttemptWritten(item.attempt, n, size)
	}
	if err != nil {
		c.end(endingOf(err), err)
	}
	return err == nil
}

// handleCancellationWritten ends an attempt after its cancellation was written, or after the connection was closed, which has
// the same effect at the node.
func (c *nodeConn) handleCancellationWritten(item outgoing) {
	switch {
	case c.hasEndedLocked():
		item.attempt.finish(item.reason)
	case !item.attempt.isFinished():
		c.finishAttempt(item.attempt, item.reason)
	}
}

// handleAttemptWritten advances an attempt that was written completely. It ends one that was not, or whose connection has
// ended in the meantime.
func (c *nodeConn) handleAttemptWritten(attempt *attempt, n, size int) {
	switch {
	case n == size && c.hasEndedLocked():
		attempt.finish(AnswerLost)
	case n == size:
		attempt.writtenAt = c.pool.clock.now()
		attempt.advance(attemptWritten)
	case n > 0:
		attempt.finish(PartlySent)
	default:
		attempt.finish(OrderExpired)
	}
}

// putBack returns a message of which no byte was written to the front of the queue. Its attempt counts as not begun. If the
// attempt was cancelled in the meantime, it ends instead.
func (c *nodeConn) putBack(item outgoing) {
	if item.cancellation {
		c.queue = slices.Insert(c.queue, 0, item)
		return
	}
	attempt := item.attempt
	attempt.advance(attemptQueued)
	cancelled := c.queuedCancellation(attempt)
	switch {
	case cancelled >= 0:
		reason := c.queue[cancelled].reason
		c.queue = slices.Delete(c.queue, cancelled, cancelled+1)
		c.finishAttempt(attempt, reason)
	case attempt.unwanted:
		c.finishAttempt(attempt, NotSent)
	default:
		c.queue = slices.Insert(c.queue, 0, item)
	}
}
