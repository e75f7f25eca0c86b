package mixed

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"indigochute.example/indigochute/internal/msgpack"
)

// class is a request class of the configuration.
type class struct {
	name, effect string
	deadline     time.Duration
}

var classes = []class{
	{"quick", "read_like", 300 * time.Millisecond},
	{"page", "read_like", 900 * time.Millisecond},
	{"log", "idempotency_key", 900 * time.Millisecond},
	{"order", "non_idempotent", 1200 * time.Millisecond},
}

// request is a request that a client wrote completely.
type request struct {
	conn        *connection
	class       int           // index in classes
	timeout     time.Duration // until its deadline, counted from sentAt
	sentAt      time.Time     // when its last byte was written
	abandonedAt time.Time     // when the client cancelled it or disconnected; zero if it waits for the answer
	answers     int           // number of answers
	answeredAt  time.Time     // when the first answer arrived
	served      bool          // whether the first answer is a success
}

// connection is a connection of a client. The trial's lock guards its records. Only openCount is read without the lock, as
// clients check it frequently.
type connection struct {
	trial     *trial
	socket    *net.TCPConn
	localAddr string // address of the client
	openedAt  time.Time
	byID      map[uint32]*request
	openCount atomic.Int32 // requests without an answer that were not cancelled
	endedAt   time.Time    // when either side ended it; zero while it is open
	err       error        // the error with which its stream ended
	lastID    uint32
	readDelay time.Duration // before it reads each answer; 0 means that it reads at once
	done      chan struct{} // closed when its stream has ended
}

// connect opens a connection. With a read delay its answers are read late, from a small buffer.
func (t *trial) connect(readDelay time.Duration) (*connection, error) {
	openedAt := time.Now() // read before the dial, as the connection may be accepted or break during it
	conn, err := net.Dial("tcp", t.address)
	if err != nil {
		return nil, err
	}
	reader, err := enableTimestamps(conn.(*net.TCPConn)) // before the client may close the connection
	if err != nil {
		return nil, err
	}
	c := &connection{
		trial:     t,
		socket:    conn.(*net.TCPConn),
		localAddr: conn.LocalAddr().String(),
		openedAt:  openedAt,
		byID:      map[uint32]*request{},
		readDelay: readDelay,
		done:      make(chan struct{}),
	}
	if readDelay > 0 {
		c.socket.SetReadBuffer(lateReaderBuffer)
	}
	go c.read(reader)
	return c, nil
}

// read records answers until the stream ends.
func (c *connection) read(timestamps *timestampReader) {
	defer close(c.done)
	reader := bufio.NewReader(timestamps)
	for {
		time.Sleep(c.readDelay)
		answer, err := msgpack.ReadResponse(reader)
		if err != nil {
			c.recordEnd(err)
			c.socket.Close()
			return
		}
		c.recordAnswer(answer.ID, !answer.Rejected && !answer.Failed, timestamps.receivedAt)
	}
}

// recordEnd records that the stream ended with an error, unless the client ended the connection first.
func (c *connection) recordEnd(err error) {
	now := time.Now()
	c.trial.mu.Lock()
	defer c.trial.mu.Unlock()
	if c.endedAt.IsZero() {
		c.endedAt, c.err = now, err
	}
}

// recordAnswer records an answer and whether it is a success.
func (c *connection) recordAnswer(id uint32, served bool, receivedAt time.Time) {
	c.trial.mu.Lock()
	defer c.trial.mu.Unlock()
	r := c.byID[id]
	if r == nil {
		c.trial.strayAnswers++
		return
	}
	if r.answers == 0 {
		r.answeredAt, r.served = receivedAt, served
		if r.abandonedAt.IsZero() {
			c.openCount.Add(-1)
		}
	}
	r.answers++
}

// send writes a request with a body of bodyBytes in the given number of pieces. It returns false if the write fails.
func (c *connection) send(class int, timeout time.Duration, bodyBytes, pieces int) bool {
	r, message := c.newRequest(class, timeout, bodyBytes)
	err := c.write(msgpack.AppendRequest(nil, message), pieces)
	sentAt := time.Now()
	c.trial.mu.Lock()
	defer c.trial.mu.Unlock()
	if err != nil { // the request was not written completely
		delete(c.byID, message.ID)
		delete(c.trial.requests, message.RequestID)
		c.openCount.Add(-1)
		return false
	}
	r.sentAt = sentAt
	return true
}

// newRequest records a request that is about to be written, and returns it with its message.
func (c *connection) newRequest(class int, timeout time.Duration, bodyBytes int) (*request, *msgpack.Message) {
	t := c.trial
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastID++
	c.lastID++
	message := &msgpack.Message{
		ID:        c.lastID,
		Class:     classes[class].name,
		RequestID: fmt.Sprintf("%016x", t.lastID),
		Object:    fmt.Sprintf("%016x", 1+t.lastID%objects),
		Part:      "0",
		Group:     "3",
		Timeout:   timeout,
		Body:      make([]byte, bodyBytes),
	}
	if classes[class].effect == "idempotency_key" {
		message.IdempotencyKey = message.RequestID + message.RequestID
	}
	r := &request{conn: c, class: class, timeout: timeout, sentAt: time.Now()}
	c.byID[message.ID], t.requests[message.RequestID] = r, r
	c.openCount.Add(1)
	return r, message
}

// write writes b in the given number of pieces, with pauses between them.
func (c *connection) write(b []byte, pieces int) (err error) {
	for remaining := pieces; remaining > 0 && err == nil; remaining-- {
		n := len(b) / remaining
		_, err = c.socket.Write(b[:n])
		if b = b[n:]; remaining > 1 {
			time.Sleep(pieceInterval)
		}
	}
	return err
}

// cancel cancels the newest open request, if there is one.
func (c *connection) cancel() {
	id, r := c.newestOpen()
	if r == nil {
		return
	}
	if _, err := c.socket.Write(msgpack.AppendCancel(nil, id)); err != nil {
		return // the director ended the connection; the rule that it answers the request still applies
	}
	c.trial.mu.Lock()
	defer c.trial.mu.Unlock()
	if r.abandonedAt.IsZero() {
		r.abandonedAt = time.Now()
		if r.answers == 0 {
			c.openCount.Add(-1)
		}
	}
	c.trial.counts["client: cancelled request"]++
}

// newestOpen returns the newest request that is neither answered nor cancelled, or nil.
func (c *connection) newestOpen() (uint32, *request) {
	c.trial.mu.Lock()
	defer c.trial.mu.Unlock()
	for id := c.lastID; id > 0; id-- {
		if r := c.byID[id]; r != nil && r.answers == 0 && r.abandonedAt.IsZero() {
			return id, r
		}
	}
	return 0, nil
}

// disconnect closes the connection, or resets it if reset is set. Requests may be open on it.
func (c *connection) disconnect(reset bool) {
	if reset {
		c.socket.SetLinger(0)
	}
	c.trial.mu.Lock() // so that no answer is recorded during the close
	defer c.trial.mu.Unlock()
	if !c.endedAt.IsZero() { // the director ended it; the rule that it answers the open requests still applies
		return
	}
	c.socket.Close()
	c.endedAt = time.Now()
	for _, r := range c.byID {
		if r.answers == 0 && r.abandonedAt.IsZero() {
			r.abandonedAt = c.endedAt
			c.trial.counts["client: abandoned request"]++
		}
	}
}

// openRequests counts the requests without an answer that were not cancelled.
func (c *connection) openRequests() int { return int(c.openCount.Load()) }

// ended reports whether the stream has ended.
func (c *connection) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// finish closes the connection after its requests were answered or their deadlines have passed.
func (c *connection) finish() {
	c.trial.mu.Lock()
	if c.endedAt.IsZero() {
		c.endedAt = time.Now()
	}
	c.trial.mu.Unlock()
	c.socket.Close()
}

const (
	objects           = 200                     // number of different objects that are requested
	maxOpenRequests   = 24                      // open requests on a connection; the protocol allows 32
	answerGrace       = 2500 * time.Millisecond // how long a client waits for answers before it closes a connection
	lateReaderGrace   = 6 * time.Second         // like answerGrace, for a client that delays its reads
	maxReadDelay      = 60 * time.Millisecond   // before each answer
	lateReaderBuffer  = 64 << 10                // bytes of the receive buffer of a client that delays its reads
	pieceInterval     = 2 * time.Millisecond    // between the pieces of a message
	dialRetryInterval = 10 * time.Millisecond   // after a failed dial
	pollInterval      = 2 * time.Millisecond    // between two checks whether all requests are answered
	maxUpload         = 48000                   // bytes of a request's body
)

// client is a client whose behaviour is drawn at random, within what the protocol allows clients.
type client struct {
	*trial
	random *rand.Rand
}

// runClient opens connections one after another until the load is over.
func (t *trial) runClient(number int) {
	c := &client{t, t.randomSource(firstClientStream + uint64(number))}
	for !t.stopped() {
		readDelay, grace := time.Duration(0), answerGrace
		if c.random.Float64() < 0.1 {
			readDelay, grace = randomUpTo(c.random, maxReadDelay), lateReaderGrace
			t.count("client: delayed reads")
		}
		conn, err := t.connect(readDelay)
		if err != nil {
			t.count("client: failed dial")
			time.Sleep(dialRetryInterval)
			continue
		}
		t.count("client: connection")
		ending := c.random.Float64()
		c.sendRequests(conn)
		c.endConnection(conn, ending, grace)
	}
}

// sendRequests sends requests on a connection, with pauses, and cancels some.
func (c *client) sendRequests(conn *connection) {
	for range 1 + c.random.IntN(25) {
		if c.stopped() || conn.ended() {
			return
		}
		for range 1 + c.random.IntN(3)*c.random.IntN(3) {
			c.sendRandomRequest(conn)
		}
		if c.random.Float64() < 0.2 {
			time.Sleep(randomUpTo(c.random, 100*time.Millisecond))
			conn.cancel()
		}
		time.Sleep(randomUpTo(c.random, maxStepInterval))
	}
}

// sendRandomRequest sends a request with a random class, timeout and body, unless maxOpenRequests are open.
func (c *client) sendRandomRequest(conn *connection) {
	class := c.random.IntN(len(classes))
	timeout := classes[class].deadline
	switch draw := c.random.Float64(); {
	case draw < 0.1: // a very short timeout
		timeout = time.Millisecond + randomUpTo(c.random, 40*time.Millisecond)
	case draw < 0.5:
		timeout = timeout/5 + randomUpTo(c.random, timeout*4/5)
	}
	bodyBytes, pieces := 0, 1
	if c.random.Float64() < 0.1 {
		bodyBytes = c.random.IntN(maxUpload)
	}
	if c.random.Float64() < 0.2 {
		pieces = 2 + c.random.IntN(3)
	}
	if conn.openRequests() < maxOpenRequests {
		conn.send(class, timeout.Truncate(time.Millisecond), bodyBytes, pieces)
	}
}

// endConnection closes a connection: with requests open, within a message, or once all requests are answered or the grace is
// over.
func (c *client) endConnection(conn *connection, ending float64, grace time.Duration) {
	switch {
	case ending < 0.35:
		time.Sleep(randomUpTo(c.random, 300*time.Millisecond))
		conn.disconnect(ending < 0.15)
	case ending < 0.4:
		message := msgpack.AppendRequest(nil, &msgpack.Message{ID: 1 << 30, Class: "page", RequestID: "ffffffffffffffff",
			Object: "00000000000000ff", Part: "0", Group: "3", Timeout: time.Second, Body: make([]byte, 100)})
		conn.write(message[:1+c.random.IntN(len(message)-1)], 1)
		conn.disconnect(false)
		c.count("client: disconnected within a message")
	default:
		for deadline := time.Now().Add(grace); conn.openRequests() > 0 && !conn.ended() && time.Now().Before(deadline); {
			time.Sleep(pollInterval)
		}
		conn.finish()
	}
}
