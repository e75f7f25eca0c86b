package faultproxy

// This file holds one connection through a link, from its accept to its reset.

import (
	"net"
	"sync"
	"time"
)

// connection is a client's connection to a link, together with the link's own connection to the target.
type connection struct {
	link   *Link
	client net.Conn
	server net.Conn      // nil until the target was dialed; guarded by link.mu
	ended  chan struct{} // closed by reset
	once   sync.Once     // makes reset take effect only once
}

const (
	dropTimeout = time.Minute // how long a connection waits for a link to stop dropping before it is reset
	dialTimeout = time.Second // until the target accepts
)

// open dials the target once the link passes bytes, and starts forwarding in both directions.
func (c *connection) open() {
	refusesOrPasses := func(fault Fault) bool { return fault.Refuse || !fault.Drop }
	fault, ok := c.awaitFault(Forward, refusesOrPasses)
	if !ok || fault.Refuse {
		c.reset()
		return
	}
	server, err := net.DialTimeout("tcp", c.link.target, dialTimeout)
	if err != nil {
		c.reset()
		return
	}
	if !c.setServer(server) {
		server.Close()
		return
	}
	c.link.network.goroutines.Go(func() { c.forward(Forward, c.client, server) })
	c.link.network.goroutines.Go(func() { c.forward(Reverse, server, c.client) })
}

// setServer sets the connection to the target. It returns false if the connection was reset before.
func (c *connection) setServer(server net.Conn) bool {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	c.server = server
	return c.link.connections[c]
}

// awaitFault waits until the fault in a direction is acceptable, and returns that fault. It returns false if the
// connection ends or dropTimeout passes first.
func (c *connection) awaitFault(direction Direction, acceptable func(Fault) bool) (Fault, bool) {
	fault, changed := c.link.fault(direction)
	if acceptable(fault) {
		return fault, true
	}
	timeout := time.NewTimer(dropTimeout)
	defer timeout.Stop()
	for !acceptable(fault) {
		select {
		case <-changed:
		case <-c.ended:
			return fault, false
		case <-timeout.C:
			return fault, false
		}
		fault, changed = c.link.fault(direction)
	}
	return fault, true
}

// wait pauses for the given time. It returns false as soon as the connection ends.
func (c *connection) wait(pause time.Duration) bool {
	if pause <= 0 {
		select {
		case <-c.ended:
			return false
		default:
			return true
		}
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-c.ended:
		return false
	case <-timer.C:
		return true
	}
}

// halfClose ends the writing side of the connection to the target.
func (c *connection) halfClose() {
	c.link.mu.Lock()
	server, ok := c.server.(*net.TCPConn)
	c.link.mu.Unlock()
	if ok {
		server.CloseWrite()
	}
}

// reset closes both sides with a TCP reset. Only the first call has an effect.
func (c *connection) reset() {
	c.once.Do(func() {
		close(c.ended)
		c.link.mu.Lock()
		delete(c.link.connections, c)
		sides := []net.Conn{c.client, c.server}
		c.link.mu.Unlock()
		for _, side := range sides {
			if tcp, ok := side.(*net.TCPConn); ok {
				tcp.SetLinger(0)
				tcp.Close()
			}
		}
	})
}
