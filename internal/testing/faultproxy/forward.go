package faultproxy

// This file forwards bytes in one direction of a connection and applies the link's faults to them.

import (
	"net"
	"slices"
	"time"
)

const (
	queueLength = 256      // chunks in flight in one direction; when the queue is full, the sender waits
	maxReadSize = 16 << 10 // largest chunk in bytes
	minReadSize = 1 << 10  // initial size of the read buffer in bytes, small as there are many links and most carry little

	resetDelay = time.Millisecond      // between the last bytes and a reset, so that the bytes arrive
	closeDelay = 50 * time.Millisecond // between the target's end of file and the reset of the connection
)

// chunk holds the bytes that one read returned.
type chunk struct {
	data []byte
	due  time.Time // when it may be written
}

// forward carries bytes in one direction until either side ends. A separate goroutine reads ahead, so that bytes that wait for
// their latency do not delay later reads.
func (c *connection) forward(direction Direction, from, to net.Conn) {
	queue := make(chan chunk, queueLength)
	c.link.network.goroutines.Go(func() {
		defer close(queue)
		c.readChunks(direction, from, queue)
	})
	if !c.writeChunks(direction, queue, to) {
		c.reset()
		for range queue { // discard the chunks until the reader has ended
		}
		return
	}
	c.endDirection(direction, to)
}

// readChunks queues each chunk with the time when it is due, until a read fails or the connection ends. It doubles the buffer,
// up to maxReadSize, whenever a read fills it.
func (c *connection) readChunks(direction Direction, from net.Conn, queue chan<- chunk) {
	var due time.Time
	buffer := make([]byte, minReadSize)
	for {
		size, err := from.Read(buffer)
		if size > 0 {
			data := slices.Clone(buffer[:size])
			if size == len(buffer) && size < maxReadSize {
				buffer = make([]byte, 2*size)
			}
			due = c.nextDue(direction, due)
			select {
			case queue <- chunk{data, due}:
			case <-c.ended:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// nextDue returns when a chunk that is read now may be written: after the link's latency and jitter, and not before the chunk
// ahead of it.
func (c *connection) nextDue(direction Direction, previous time.Time) time.Time {
	fault, _ := c.link.fault(direction)
	due := time.Now().Add(fault.Latency)
	if fault.Jitter > 0 {
		due = due.Add(time.Duration(c.link.network.draw() * float64(fault.Jitter)))
	}
	if due.Before(previous) {
		return previous
	}
	return due
}

// writeChunks writes each chunk when it is due, until the queue is closed. It returns false if the connection must be reset.
func (c *connection) writeChunks(direction Direction, queue <-chan chunk, to net.Conn) bool {
	responded := false
	for next := range queue {
		if !c.wait(time.Until(next.due)) || !c.write(direction, next.data, to) {
			return false
		}
		if direction == Reverse && !responded {
			responded = true
			c.link.recordFirstResponse()
		}
	}
	return true
}

// write writes data with the link's present fault applied, which may corrupt the data. It returns false if the connection must be
// reset.
func (c *connection) write(direction Direction, data []byte, to net.Conn) bool {
	fault, ok := c.awaitFault(direction, func(fault Fault) bool { return !fault.Drop })
	if !ok {
		return false
	}
	network := c.link.network
	if fault.CorruptProbability > 0 && network.draw() < fault.CorruptProbability {
		network.flipBit(data)
	}
	if fault.Bandwidth > 0 && !c.wait(transferTime(len(data), fault.Bandwidth)) {
		return false
	}
	if before, due := c.link.takeReset(direction, len(data)); due {
		to.Write(data[:before])
		time.Sleep(resetDelay)
		return false
	}
	_, err := to.Write(data)
	return err == nil
}

// transferTime returns how long size bytes take at a bandwidth in bytes a second.
func transferTime(size, bandwidth int) time.Duration {
	return time.Duration(float64(size) / float64(bandwidth) * float64(time.Second))
}

// flipBit flips one random bit of data.
func (n *Network) flipBit(data []byte) {
	at := int(n.draw() * float64(len(data)))
	data[at] ^= 1 << int(n.draw()*8)
}

// endDirection forwards the sender's end of file. If the sender is the target, it resets the connection after closeDelay.
func (c *connection) endDirection(direction Direction, to net.Conn) {
	if tcp, ok := to.(*net.TCPConn); !ok || tcp.CloseWrite() != nil { // the connection was reset before
		c.reset()
	}
	if direction == Reverse {
		c.wait(closeDelay)
		c.reset()
	}
}
