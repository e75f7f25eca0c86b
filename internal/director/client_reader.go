package director

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"time"

	"indigochute.example/indigochute/internal/msgpack"
)

// This file reads the messages of a client's connection until it ends.

const (
	clientReadBuffer   = 2 << 10              // bytes; what is longer is read past the buffer
	maxMessageBytes    = 192 << 10            // of a message, with all that is not used; over the limits of body and fields together
	rejectionsDonePoll = 5 * time.Millisecond // interval of the checks whether the last rejections are written
)

var (
	errDuplicateMessageID  = errors.New("the message id is in use by another open request")
	errMessageTooLong      = fmt.Errorf("the message has more than %d bytes", maxMessageBytes)
	errOnlyUselessMessages = errors.New("too many invalid or rejected messages in a row")
)

// read reads the connection's messages until it ends. It waits only for messages, so that it detects a cancellation or the end
// of the stream immediately. Requests that arrived during a stall of the process are started only after everything that
// arrived with them was read, since the client may have left during the stall.
func (c *clientConn) read() {
	socket := newDrainingReader(c)
	buffered := bufio.NewReaderSize(&messageReader{c, socket}, clientReadBuffer)
	messages := msgpack.NewReader(buffered)
	messages.AdmitBodies(c.admitArrivingBody)
	ending, err := c.readMessages(buffered, messages)
	if errors.Is(err, errDuplicateMessageID) || errors.Is(err, errOnlyUselessMessages) {
		ending, err = c.rejectRemaining(buffered, messages, err)
	}
	c.shutDown(socket, ending, err)
	c.startPending() // the client has left: these requests end without an attempt
}

// messageReader reads the bytes of messages from a client's connection, and ends a message that is too long.
type messageReader struct {
	conn   *clientConn
	socket *drainingReader
}

// Read reads bytes of messages. It returns errMessageTooLong if the current message has more than maxMessageBytes.
func (r *messageReader) Read(b []byte) (int, error) {
	if r.conn.bytesRead.Load()-r.conn.messageBegan > maxMessageBytes {
		return 0, errMessageTooLong
	}
	n, err := r.socket.Read(b)
	r.conn.bytesRead.Add(int64(n))
	return n, err
}

// readMessages reads and handles messages until the connection must end, and returns how and why it ends.
func (c *clientConn) readMessages(buffered *bufio.Reader, messages *msgpack.Reader) (Ending, error) {
	for c.awaitMessage(buffered) {
		err := c.readMessage(messages)
		useless := c.paceMessage()
		if err == nil {
			err = useless
		}
		if err != nil {
			return endingOf(err), err
		}
	}
	return Stopped, nil
}

// readMessage reads and handles one message. If the message is invalid but its id could be read, it answers with the error.
func (c *clientConn) readMessage(messages *msgpack.Reader) error {
	message, bodyBytes, err := c.nextMessage(messages)
	if err == nil {
		err = c.handleMessage(message, bodyBytes)
	}
	if err != nil && message.HasID && endingOf(err) == Unreadable {
		c.postShort(msgpack.Failure(message.ID, err.Error()))
	}
	return err
}

// nextMessage reads one message. It also returns how many bytes are reserved for the message's body, which is 0 after an error.
func (c *clientConn) nextMessage(messages *msgpack.Reader) (message msgpack.Message, bodyBytes int64, err error) {
	c.messageBegan = c.bytesRead.Load()
	message, err = messages.Read()
	bodyBytes, c.arrivingBody = c.arrivingBody, 0
	if err != nil {
		c.releaseOwnBody(bodyBytes)
		bodyBytes = 0
	}
	return message, bodyBytes, err
}

// admitArrivingBody reserves the bytes of a request's body that is about to be read. It returns false if the body must be
// discarded because the request will be rejected.
func (c *clientConn) admitArrivingBody(length int) bool {
	if c.rejecting || c.director.rejecting.Load() || c.openCount() >= maxOpenPerClient || !c.reserveOwnBody(int64(length)) {
		return false
	}
	c.arrivingBody = int64(length)
	return true
}

// awaitMessage waits for the first byte of a message or for the end of the stream, which the next read returns again. It
// returns false once no more messages are accepted: the client has been silent for too long or the connection is closing, and
// it has no open requests and no unread bytes.
func (c *clientConn) awaitMessage(buffered *bufio.Reader) bool {
	for {
		if !c.beginWait(buffered.Buffered() > 0) {
			return false
		}
		_, err := buffered.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.beginMessage()
			return true
		}
	}
}

// beginWait sets the read deadline for the first byte of the next message. If no more messages are accepted, it records that
// and returns false.
func (c *clientConn) beginWait(midMessage bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.midMessage = midMessage
	wait, ok := c.messageWait()
	if !ok {
		c.readClosed = true
		return false
	}
	c.socket.SetReadDeadline(time.Now().Add(wait))
	return true
}

// messageWait returns how long to wait for a message before the next check. ok is false if no more messages are accepted.
// Called under mu.
func (c *clientConn) messageWait() (wait time.Duration, ok bool) {
	limit := clientIdleTimeout
	if !c.hasSentMessage {
		limit = firstMessageTimeout
	}
	left := c.lastActivity + limit - c.director.clock.now()
	idle := c.isIdle()
	mayEnd := c.closeMode >= closesWhenIdle || left <= 0
	switch {
	case c.closeMode == closesAfterAnswers && !c.midMessage:
		return 0, false
	case idle && mayEnd && !c.midMessage && !c.hasUnread():
		return 0, false
	case !idle:
		return clientIdleTimeout, true
	case mayEnd: // but bytes are unread, or a message has arrived in part
		return messageTimeout, true
	}
	return left, true
}

// beginMessage records that a message has begun to arrive, and sets the deadline by which it must be complete.
func (c *clientConn) beginMessage() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.midMessage = true
	c.socket.SetReadDeadline(time.Now().Add(messageTimeout))
}

// rejectRemaining prepares closing a connection after a protocol violation by its client. It rejects the requests that the
// client may have written before it sees the end of the stream, at most as many as a client may have open. It returns how and
// why reading ended.
func (c *clientConn) rejectRemaining(buffered *bufio.Reader, messages *msgpack.Reader, cause error) (Ending, error) {
	c.startPendingEarly()
	c.closeRead()
	c.rejecting = true
	for read := 0; ; {
		enough := read >= maxOpenPerClient || c.uselessInRow.Load() >= maxUselessInRow+maxOpenPerClient
		if (enough || buffered.Buffered() == 0) && c.closeWriteIfIdle() {
			return Unreadable, cause
		}
		if enough {
			time.Sleep(rejectionsDonePoll)
			continue
		}
		c.socket.SetReadDeadline(time.Now().Add(lingerPoll))
		if _, err := buffered.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		c.socket.SetReadDeadline(time.Now().Add(messageTimeout))
		message, bodyBytes, err := c.nextMessage(messages)
		if err != nil {
			return endingOf(err), err
		}
		c.handleMessage(message, bodyBytes) // the error is ignored: the open request that has a duplicate id is answered anyway
		c.pace(messageCost, uselessPause)
		read++
	}
}
