package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/msgpack"
)

// Classes of the settings.
const (
	clipClass  = "repair-clip"
	pageClass  = "manual-page"
	writeClass = "job-log"
)

// call is a request of a client and its end.
type call struct {
	message msgpack.Message
	sentAt  time.Time // when its last byte was written
	done    chan struct{}

	// Set before done is closed.
	endedAt  time.Time
	answered bool // a whole answer arrived; false: the connection ended without one
	response msgpack.Response
}

// outcome names the end of the request.
func (c *call) outcome() string {
	switch {
	case !c.answered:
		return "no answer, the connection ended"
	case c.response.Rejected:
		return "refused"
	case c.response.Failed:
		return "failed"
	}
	return "served"
}

// client is one connection of a client to a director.
type client struct {
	name   string
	record *record
	socket net.Conn
	quiet  bool // the record has no lines about its answers

	mu     sync.Mutex
	lastID uint32
	open   map[uint32]*call
	ended  bool
}

// connect connects a client.
func connect(record *record, name, address string) (*client, error) {
	return connectClient(&client{name: name, record: record, open: map[uint32]*call{}}, address)
}

// connectClient connects a client whose other fields are set.
func connectClient(c *client, address string) (*client, error) {
	socket, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	c.socket = socket
	go c.read()
	return c, nil
}

// newID returns a new request id.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// prepare numbers a message, gives it a new request id, and registers it as open.
func (c *client) prepare(message msgpack.Message) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	message.ID = c.lastID
	message.RequestID = newID()
	sent := &call{message: message, done: make(chan struct{})}
	c.open[message.ID] = sent
	return sent
}

// send writes a request at once. The request is registered also if the write fails.
func (c *client) send(message msgpack.Message) *call {
	sent := c.prepare(message)
	c.record.line("client %s: sends %d %s %s object %s part %s shard %q, %d ms", c.name, sent.message.ID, sent.message.RequestID,
		message.Class, message.Object, message.Part, message.Group, message.Timeout.Milliseconds())
	c.socket.Write(msgpack.AppendRequest(nil, &sent.message))
	sent.sentAt = time.Now()
	return sent
}

// giveUp tells the director that the client stops waiting. No answer is owed from then on.
func (c *client) giveUp(waiting *call) {
	c.record.line("client %s: gives up %d", c.name, waiting.message.ID)
	c.socket.Write(msgpack.AppendCancel(nil, waiting.message.ID))
}

// hasEnded returns whether the director has ended the connection.
func (c *client) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// read reads answers until the connection ends. Then it ends the open requests without an answer.
func (c *client) read() {
	in := bufio.NewReader(c.socket)
	for {
		response, err := msgpack.ReadResponse(in)
		if err != nil {
			c.end(err)
			return
		}
		c.mu.Lock()
		waiting := c.open[response.ID]
		delete(c.open, response.ID)
		c.mu.Unlock()
		if waiting == nil {
			c.record.line("client %s: an answer to %d, which is not open", c.name, response.ID)
			continue
		}
		waiting.endedAt, waiting.answered, waiting.response = time.Now(), true, response
		if !c.quiet {
			c.record.line("client %s: answer to %d: %s, %d bytes", c.name, response.ID, waiting.outcome(), len(response.Body))
		}
		close(waiting.done)
	}
}

// end records the end of the connection.
func (c *client) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	c.record.line("client %s: the connection ended with %d requests open: %v", c.name, len(c.open), err)
	for id, waiting := range c.open {
		delete(c.open, id)
		waiting.endedAt = time.Now()
		close(waiting.done)
	}
}

// close closes the connection.
func (c *client) close() { c.socket.Close() }
