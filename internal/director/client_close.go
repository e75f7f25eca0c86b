package director

import (
	"errors"
	"os"
	"time"
)

// This file closes a client's connection gracefully. The director stops handling messages, answers the open requests and closes
// its writing side, so that the client sees the end of the stream. It then reads and discards what the client still writes until
// the client closes as well, within a time limit. If the director closed a socket with unread bytes, the system would reset the
// connection, and answers in transit would be lost.

const (
	lingerQuiet     = 200 * time.Millisecond // client silence after the last answer, after which the answer counts as arrived
	lingerTimeout   = time.Second            // longest linger after the last answer, even if the client still writes
	lingerPoll      = 10 * time.Millisecond  // longest wait for bytes between two checks of the state
	lastAnswersPoll = time.Millisecond       // interval of the checks whether all requests are answered
)

// shutDown closes the connection, gracefully unless it is broken or its client has closed it. It is called for every
// connection that was read.
func (c *clientConn) shutDown(socket *drainingReader, ending Ending, err error) {
	c.closeRead()
	if ending == Closed || ending == Broken {
		c.close(ending, err)
		return
	}
	c.startPending()
	c.awaitLastAnswers()
	c.linger(socket)
	c.close(ending, err)
}

// linger reads and discards what the client still writes. It returns once the client has closed the connection or the
// connection is broken. After the writing side was closed, it also returns once the client has been silent for lingerQuiet, or
// after lingerTimeout.
func (c *clientConn) linger(socket *drainingReader) {
	var timer lingerTimer
	if c.closeWriteIfIdle() { // before anything is read and discarded
		timer.start(time.Now())
	}
	for {
		c.socket.SetReadDeadline(time.Now().Add(lingerPoll))
		n, err := socket.discard()
		if n > 0 {
			c.pace(discardCost, 0)
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		now := time.Now()
		if n > 0 {
			timer.quietAt = now.Add(lingerQuiet)
		}
		switch {
		case !timer.isRunning() && c.closeWriteIfIdle():
			timer.start(now)
		case timer.isRunning() && timer.hasExpired(now):
			return
		}
	}
}

// lingerTimer determines when a linger ends. It is started when the writing side is closed.
type lingerTimer struct {
	quietAt time.Time // when the client counts as silent; postponed each time the client writes
	end     time.Time // when lingerTimeout has passed; zero: the timer is not running
}

// start starts the timer.
func (l *lingerTimer) start(now time.Time) {
	l.quietAt, l.end = now.Add(lingerQuiet), now.Add(lingerTimeout)
}

// isRunning returns whether the timer was started.
func (l *lingerTimer) isRunning() bool { return !l.end.IsZero() }

// hasExpired returns whether the client has been silent for lingerQuiet, or lingerTimeout has passed.
func (l *lingerTimer) hasExpired(now time.Time) bool { return now.After(l.quietAt) || now.After(l.end) }

// closeWhenIdle makes the reader close the connection as soon as no request is open on it and no bytes are unread.
func (c *clientConn) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.raiseCloseMode(closesWhenIdle)
	c.wakeReaderIfDone()
}

// closeAfterAnswers makes the reader accept no more messages, and close the connection as soon as all requests that it has read
// are answered. Bytes that are unread by then were written just before the client sees the end of the stream.
func (c *clientConn) closeAfterAnswers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.raiseCloseMode(closesAfterAnswers)
	if !c.readClosed && !c.midMessage {
		c.socket.SetReadDeadline(time.Now())
	}
}

// raiseCloseMode raises closeMode; it never lowers it. No other function changes closeMode. Called under mu.
func (c *clientConn) raiseCloseMode(to closeMode) { c.closeMode = max(c.closeMode, to) }

// wakeReaderIfDone wakes the reader if the connection is idle and closes when idle. The reader then closes it. Called under mu.
func (c *clientConn) wakeReaderIfDone() {
	if c.closeMode >= closesWhenIdle && !c.readClosed && !c.midMessage && c.isIdle() {
		c.socket.SetReadDeadline(time.Now())
	}
}

// awaitLastAnswers waits, during the director's shutdown, until all requests that were read are answered or the connection is
// closed.
func (c *clientConn) awaitLastAnswers() {
	for c.awaitsLastAnswers() && !c.closeWriteIfIdle() {
		time.Sleep(lastAnswersPoll)
	}
}

// awaitsLastAnswers returns whether the connection is open and must close after its answers.
func (c *clientConn) awaitsLastAnswers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closeMode == closesAfterAnswers && !c.closed
}

// closeRead records that no more messages are accepted.
func (c *clientConn) closeRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readClosed = true
}

// closeWriteIfIdle closes the connection's writing side if no answer is pending, so that the client sees the end of the
// stream. Reading goes on. It returns whether the writing side is closed.
func (c *clientConn) closeWriteIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writeClosed && !c.isIdle() {
		return false
	}
	c.writeClosed = true
	if socket, ok := c.socket.(interface{ CloseWrite() error }); ok {
		socket.CloseWrite()
	}
	return true
}

// closeWriteIfCaughtUp calls closeWriteIfIdle if everything that the client wrote has been read and handled. An incomplete
// message counts as handled.
func (c *clientConn) closeWriteIfCaughtUp() {
	if c.isCaughtUp() {
		c.closeWriteIfIdle()
	}
}

// isWriteClosed returns whether the writing side is closed, so that the client sees the end of the stream.
func (c *clientConn) isWriteClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writeClosed
}

// close closes the connection immediately and notifies its open requests that their client has left. Later calls have no
// further effect.
func (c *clientConn) close(ending Ending, err error) {
	c.socket.Close()
	if lost, first := c.markClosed(); first {
		c.director.clients.remove(c)
		c.chargeConnection()
		c.director.clientLog.connection("client connection", ending, err, lost)
	}
}

// markClosed records that the connection is closed, and notifies the open requests that their client has left. It returns
// how many were open, and whether this was the first call.
func (c *clientConn) markClosed() (lost int, first bool) {
	c.mu.Lock()
	first = !c.closed
	c.closed = true
	open := c.open
	c.open = map[uint32]*request{}
	c.mu.Unlock()
	for _, r := range open {
		r.markClientGone()
	}
	return len(open), first
}
