package director

import (
	"bufio"
	"errors"
	"net"
	"os"
	"time"

	"indigochute.example/indigochute/internal/resp"
	"indigochute.example/indigochute/internal/routing"
)

// This file reads answers from a node and ends the attempts that they belong to.

const (
	answerTimeout      = 3 * time.Second        // from the first byte of an answer to its last
	answerStallTimeout = 500 * time.Millisecond // longest time between two reads within one answer
	nodeReadBuffer     = 4 << 10                // bytes; what is longer is read past the buffer
)

// read reads the node's answers until the connection ends.
func (c *nodeConn) read(socket net.Conn) {
	answers := &answerReader{conn: c, socket: socket}
	buffered := bufio.NewReaderSize(answers, nodeReadBuffer)
	for {
		answers.completeBy = time.Time{} // no limit on the time between answers
		buffered.Peek(1)                 // waits for the first byte; ReadResponse returns an error again
		answers.completeBy = c.beginAnswer()
		response, err := resp.ReadResponse(buffered, c.admitArrivingBody)
		if err != nil {
			c.arriving.release()
			c.endNow(endingOf(err), err)
			return
		}
		c.handleResponse(response)
	}
}

// beginAnswer records that an answer has begun to arrive, and returns the time by which it must be complete.
func (c *nodeConn) beginAnswer() time.Time {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.readingSince = c.pool.clock.now()
	return time.Now().Add(answerTimeout)
}

// answerReader reads from a node's socket and limits the time that an answer may be incomplete. If a node stops within an
// answer, the answers behind it would be lost as well.
type answerReader struct {
	conn       *nodeConn
	socket     net.Conn
	completeBy time.Time // deadline of the answer that is being received; zero: none is being received
}

// Read reads some bytes. It returns os.ErrDeadlineExceeded if the answer does not continue in time. After a stall of this
// process it reads once more, since bytes may have arrived during the stall.
func (r *answerReader) Read(b []byte) (int, error) {
	deadline := r.completeBy
	if nextReadBy := time.Now().Add(answerStallTimeout); deadline.After(nextReadBy) {
		deadline = nextReadBy
	}
	r.socket.SetReadDeadline(deadline)
	n, err := readSome(r.socket, b)
	if errors.Is(err, os.ErrDeadlineExceeded) && r.conn.pool.clock.stalledJustNow() {
		r.socket.SetReadDeadline(time.Now().Add(stuckAfter))
		n, err = readSome(r.socket, b)
	}
	return n, err
}

// arrivingBody is the body of an answer that is being read, for which bytes are reserved.
type arrivingBody struct {
	client *clientConn // whose bytes are reserved; nil: none are
	size   int64
}

// release releases the reserved bytes.
func (b *arrivingBody) release() {
	if b.client != nil {
		b.client.releaseBody(b.size)
	}
	*b = arrivingBody{}
}

// admitArrivingBody reserves the bytes of an answer's body that is about to be read. It returns false if the body must be
// discarded: no client is waiting for it, or it would exceed a bound.
func (c *nodeConn) admitArrivingBody(id string, status resp.Status, length int) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	answered := c.open[id]
	served := status == resp.Hit || status == resp.NotModified
	if answered == nil || answered.isFinished() || !served || !answered.request.client.reserveBody(int64(length)) {
		return false
	}
	c.arriving = arrivingBody{client: answered.request.client, size: int64(length)}
	return true
}

// handleResponse ends the attempt that an answer belongs to. It ignores an answer that belongs to no open attempt: a duplicate,
// an unsolicited answer, or an answer to a cancelled attempt.
func (c *nodeConn) handleResponse(response resp.Response) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	defer c.arriving.release()
	firstByteAt := c.readingSince
	c.lastAnswer, c.readingSince = c.pool.clock.now(), 0
	answered := c.open[response.ID]
	if answered == nil || answered.isFinished() || response.Status == resp.Pong {
		return
	}
	ending := endingOfStatus(response.Status)
	switch {
	case ending == AnsweredNotModified && answered.command.ETag == "": // the request named no copy that could be valid
		ending = AnsweredFault
	case response.BodyDropped && ending.result() == routing.Served:
		ending = NoMemory
	}
	answered.request.answerBytes += c.arriving.size
	c.arriving = arrivingBody{} // the request releases it
	arrivedAt := c.pool.clock.arrivalTime()
	answered.response, answered.firstByteAt = response, firstByteAt
	answered.directorStalled = answered.orderedAt <= arrivedAt && arrivedAt < c.lastAnswer
	c.finishAttempt(answered, ending)
}
