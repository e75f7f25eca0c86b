package director

import (
	"net"
	"time"
)

// This file writes answers to a client. The goroutine of a request writes its answer itself, and waits if the client reads
// slowly. Short answers, such as rejections for a bound, come from the reader's goroutine, which must not wait. They are queued
// and written by writeShortAnswers.

// postShort queues a short answer. If the queue is full it waits for a place. If there is none within shortAnswerTimeout, the
// client counts as gone and its connection is closed.
func (c *clientConn) postShort(answer []byte) {
	for expired := time.After(shortAnswerTimeout); !c.tryPostShort(answer); {
		select {
		case <-c.shortAnswersTaken:
		case <-expired:
			c.close(Stalled, nil)
			return
		}
	}
}

// tryPostShort queues a short answer, or returns false if maxShortAnswers are queued already. It drops the answer if no more
// answers are written on the connection.
func (c *clientConn) tryPostShort(answer []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.writeClosed {
		return true
	}
	if len(c.shortAnswers) >= maxShortAnswers {
		return false
	}
	c.shortAnswers = append(c.shortAnswers, answer)
	if !c.shortWriterRunning {
		c.shortWriterRunning = true
		go c.writeShortAnswers()
	}
	return true
}

// writeShortAnswers writes the queued short answers until the queue is empty.
func (c *clientConn) writeShortAnswers() {
	for {
		answers := c.takeShortAnswers()
		if answers == nil {
			return
		}
		select {
		case c.shortAnswersTaken <- struct{}{}:
		default:
		}
		c.write(answers...)
	}
}

// takeShortAnswers empties the queue of short answers and returns them. If the queue is empty or the connection is closed, it
// returns nil and records that writeShortAnswers ends.
func (c *clientConn) takeShortAnswers() [][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	answers := c.shortAnswers
	c.shortAnswers = nil
	if len(answers) == 0 || c.closed {
		c.shortWriterRunning = false
		c.wakeReaderIfDone()
		return nil
	}
	return answers
}

// write writes answers to the client. It serializes calls of several goroutines. It closes the connection if the write fails
// or takes longer than clientWriteTimeout.
func (c *clientConn) write(answers ...[]byte) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.socket.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	if err := writeParts(c.socket, answers); err != nil {
		c.close(endingOf(err), err)
	}
}

// writeParts writes the parts in order. On a TCP socket this normally takes a single system call.
func writeParts(conn net.Conn, parts [][]byte) error {
	if socket, ok := conn.(*net.TCPConn); ok {
		buffers := net.Buffers(parts)
		_, err := buffers.WriteTo(socket)
		return err
	}
	for _, part := range parts {
		if _, err := writeAll(conn, part); err != nil {
			return err
		}
	}
	return nil
}
