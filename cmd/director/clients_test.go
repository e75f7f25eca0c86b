package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/msgpack"
)

// sentRequest is a request that was written completely.
type sentRequest struct {
	written    time.Time     // time at which its last byte was written
	deadline   time.Duration // its timeout
	responses  int           // number of responses received
	answeredAt time.Time     // time of the first response
}

// connection is a client's connection to a director.
type connection struct {
	conn  net.Conn
	ended chan struct{} // closed when the stream from the director has ended

	mu      sync.Mutex              // guards the fields below
	sent    map[uint32]*sentRequest // by message id
	open    int                     // number of requests without a response
	endedAt time.Time
	lastID  uint32
}

// connect opens a connection. A goroutine reads its responses until the connection ends.
func connect(address string) (*connection, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &connection{conn: conn, ended: make(chan struct{}), sent: map[uint32]*sentRequest{}}
	go c.read()
	return c, nil
}

// read records responses until the stream of responses ends.
func (c *connection) read() {
	defer close(c.ended)
	in := bufio.NewReader(c.conn)
	for {
		response, err := msgpack.ReadResponse(in)
		if err != nil {
			c.mu.Lock()
			c.endedAt = time.Now()
			c.mu.Unlock()
			c.conn.Close()
			return
		}
		c.recordResponse(response.ID)
	}
}

// recordResponse counts a response to the request with an id.
func (c *connection) recordResponse(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	request := c.sent[id]
	if request == nil {
		return
	}
	request.responses++
	if request.responses == 1 {
		request.answeredAt = time.Now()
		c.open--
	}
}

// send writes a request in a number of pieces, with a pause after each piece except the last. It returns false if the write fails.
func (c *connection) send(class string, deadline time.Duration, pieces int, pause time.Duration) bool {
	id, request := c.record(deadline)
	unique := nextRequestNumber()
	message := msgpack.AppendRequest(nil, &msgpack.Message{
		ID:        id,
		Class:     class,
		RequestID: fmt.Sprintf("%016x", unique),
		Object:    fmt.Sprintf("%016x", unique%50),
		Part:      "0",
		Group:     "3",
		Timeout:   deadline,
	})
	err := writeInPieces(c.conn, message, pieces, pause)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil { // the request is incomplete, so no response is expected
		delete(c.sent, id)
		c.open--
		return false
	}
	request.written = time.Now()
	return true
}

// record records a request before it is written, because its response may arrive before the write returns. It returns the message id.
func (c *connection) record(deadline time.Duration) (id uint32, request *sentRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	request = &sentRequest{deadline: deadline, written: time.Now()}
	c.sent[c.lastID] = request
	c.open++
	return c.lastID, request
}

// writeInPieces writes a message in a number of pieces, with a pause after each piece except the last.
func writeInPieces(conn net.Conn, message []byte, pieces int, pause time.Duration) error {
	for left := pieces; left > 0; left-- {
		length := len(message) / left
		if _, err := conn.Write(message[:length]); err != nil {
			return err
		}
		message = message[length:]
		if left > 1 {
			time.Sleep(pause)
		}
	}
	return nil
}

// unanswered returns the number of requests without a response.
func (c *connection) unanswered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// requestNumber is the number of the last request that any client sent.
var requestNumber atomic.Uint64

// nextRequestNumber returns a number that no request has used.
func nextRequestNumber() uint64 { return requestNumber.Add(1) }

// clientGroup contains the clients of one trial. They send requests until stop is closed.
type clientGroup struct {
	address   string
	classes   []string
	deadlines []time.Duration // timeouts of the classes, in the same order
	stop      chan struct{}
	running   sync.WaitGroup

	mu          sync.Mutex
	connections []*connection
}

const (
	maxOpen        = 30                    // requests in flight on one connection; the protocol allows 32
	pieceInterval  = 25 * time.Millisecond // pause between the pieces of a message
	oneShotTimeout = 2 * time.Second       // time after which a connection with a single request is closed, with or without a response
)

// connect opens a connection of the group. It returns nil if the process accepts no connection.
func (g *clientGroup) connect() *connection {
	conn, err := connect(g.address)
	if err != nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.connections = append(g.connections, conn)
	return conn
}

// send sends a request in a number of pieces. Number counts the requests of one client and selects the class, so that the classes
// alternate.
func (g *clientGroup) send(conn *connection, number, pieces int) bool {
	class := number % len(g.classes)
	return conn.send(g.classes[class], g.deadlines[class], pieces, pieceInterval)
}

// repeat calls send at an interval, with the numbers 0, 1, 2 and so on, until the group is stopped.
func (g *clientGroup) repeat(interval time.Duration, send func(number int)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for number := 0; ; number++ {
		select {
		case <-g.stop:
			return
		case <-tick.C:
		}
		send(number)
	}
}

// sendSteadily sends requests on one connection. When that ends, it opens a new one, as long as the process accepts connections.
func (g *clientGroup) sendSteadily(interval time.Duration, pieces int) {
	conn := g.connect()
	g.repeat(interval, func(number int) {
		switch {
		case conn == nil:
			conn = g.connect()
		case conn.unanswered() >= maxOpen:
		case !g.send(conn, number, pieces):
			conn = g.connect()
		}
	})
}

// sendOnNewConnections opens a new connection for each request.
func (g *clientGroup) sendOnNewConnections(interval time.Duration) {
	g.repeat(interval, func(number int) {
		if conn := g.connect(); conn != nil {
			g.send(conn, number, 1)
			time.AfterFunc(oneShotTimeout, func() { conn.conn.Close() })
		}
	})
}

// sendOnIdleConnections opens a number of connections immediately, and later sends one request on each: on the first connection at a given
// time, and on the others one after another at an interval.
func (g *clientGroup) sendOnIdleConnections(count int, first time.Time, interval time.Duration) {
	var idle []*connection
	for range count {
		if conn := g.connect(); conn != nil {
			idle = append(idle, conn)
		}
	}
	for number, conn := range idle {
		sendAt := first.Add(time.Duration(number) * interval)
		time.Sleep(time.Until(sendAt))
		g.send(conn, number, 1)
	}
}

// waitEnded waits until all connections have ended.
func (g *clientGroup) waitEnded(t *testing.T) {
	t.Helper()
	for _, conn := range g.connections {
		select {
		case <-conn.ended:
		case <-time.After(5 * time.Second):
			t.Error("a connection is still open after the process has ended")
		}
	}
}
