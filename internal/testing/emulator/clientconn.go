package emulator

// This file holds one connection of clients to a director: it writes requests and hands responses to their attempts.

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"

	"indigochute.example/indigochute/internal/msgpack"
)

const (
	clientDialTimeout = 2 * time.Second
	clientBufferSize  = 32 << 10 // bytes read at once
)

// clientConn is a connection to a director.
type clientConn struct {
	pool     *connectionPool
	outgoing chan []byte // closed once the connection has ended

	// The pool's lock guards the fields below.
	socket   net.Conn                  // nil until dialed
	inFlight map[uint32]*clientAttempt // by message ID
	lastID   uint32                    // ID of the last message sent
	ended    bool
}

// run dials the director and writes the queued requests until the connection ends.
func (c *clientConn) run() {
	socket, err := net.DialTimeout("tcp", c.pool.director.String(), clientDialTimeout)
	if err != nil {
		c.end()
		return
	}
	if !c.setSocket(socket) {
		socket.Close()
		c.end()
		return
	}
	c.pool.load.connections.Go(func() { c.readResponses(socket) })
	for message := range c.outgoing {
		if _, err := socket.Write(message); err != nil {
			return // the reader fails as well, and ends the connection
		}
	}
}

// setSocket stores the dialed connection. It returns false if the pool was closed during the dial.
func (c *clientConn) setSocket(socket net.Conn) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.pool.closed {
		return false
	}
	c.socket = socket
	return true
}

// readResponses handles responses until the connection ends. Bytes that are not a response violate rule 1 and also end it.
func (c *clientConn) readResponses(socket net.Conn) {
	reader := bufio.NewReaderSize(socket, clientBufferSize)
	for {
		response, err := msgpack.ReadResponse(reader)
		if err != nil {
			if !isConnectionEnd(err) {
				c.pool.load.fleet.rules.violated("rule 1: invalid response: %v", err)
			}
			break
		}
		c.handle(&response)
	}
	socket.Close()
	c.end()
}

// isConnectionEnd reports whether a read failed because the connection ended or was reset. Otherwise the bytes read were
// not a response.
func isConnectionEnd(err error) bool {
	var network *net.OpError
	return err == io.EOF || errors.Is(err, net.ErrClosed) || errors.As(err, &network)
}

// handle passes a response to its attempt. Rule 1: each request has one final response, before its deadline.
func (c *clientConn) handle(response *msgpack.Response) {
	c.pool.mu.Lock()
	attempt := c.inFlight[response.ID]
	delete(c.inFlight, response.ID)
	neverSent := response.ID > c.lastID
	c.pool.mu.Unlock()
	rules := c.pool.load.fleet.rules
	switch {
	case attempt != nil:
		attempt.respond(response)
	case neverSent:
		rules.violated("rule 1: response to message %d, which was never sent", response.ID)
	default:
		rules.violated("rule 1: second response, or response after the client timeout, to message %d", response.ID)
	}
}

// end removes a connection that has ended from its pool and fails the attempts in flight on it.
func (c *clientConn) end() {
	for _, attempt := range c.pool.remove(c) {
		attempt.fail()
	}
}
