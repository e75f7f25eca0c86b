package director

import (
	"runtime"
	"runtime/debug"
	"sync/atomic"

	"indigochute.example/indigochute/internal/config"
)

// This file has the director's resource bounds and the accounting of what is held.
//
// Bytes that another process sends are counted before memory for them is allocated: a client's message in client_reader.go, a
// node's answer in node_reader.go. What is over a bound is read and discarded. So the memory that the director holds does not
// depend on how much is sent to it at once, nor on when the goroutines of requests run.

// bounds are the limits on the resources that this director holds at a time. They keep clients and nodes from exhausting its
// descriptors or memory. A request over a bound is rejected, never queued.
type bounds struct {
	clientSockets      int   // connections of clients
	nodeSockets        int   // connections to nodes
	maxRequests        int64 // requests that were read, until their goroutines end
	maxBodyBytes       int64 // bodies of requests and answers, from before they are read until their requests end
	maxOwnBodyBytes    int64 // of these, the bodies of requests, so that answers have room
	maxClientBodyBytes int64 // of these, per client, so that a client that reads slowly does not use up the memory for others
	maxRecordBytes     int64 // records of objects that decisions keep
}

const (
	bytesPerMB = 1 << 20
	gcPercent  = 400 // the collector runs rarely while memory use is far from the limit
)

// newBounds divides the configured sockets and memory. Half of the sockets are for clients, including connections that are
// closing. A third is for nodes. The rest is for discovery, the listener and a reserve. Where the share of memory holds fewer
// connections, that is the bound. A quarter of the bodies at most are those of requests.
func newBounds(conf *config.Config) bounds {
	shares := divideMemory(int64(conf.MemoryMB)*bytesPerMB, listedEndpoints(conf.Known))
	return bounds{
		clientSockets:      max(1, min(conf.Sockets/2, int(shares.clients/bytesPerClient))),
		nodeSockets:        max(1, min(conf.Sockets/3, int(shares.nodes/bytesPerNodeConn))),
		maxRequests:        max(1, min(int64(conf.MaxOpenRequests), shares.requests/bytesPerRequest)),
		maxBodyBytes:       shares.bodies,
		maxOwnBodyBytes:    shares.bodies / 4,
		maxClientBodyBytes: shares.bodies / 4,
		maxRecordBytes:     shares.records,
	}
}

// SetRuntimeLimits sets the limits of the Go runtime for the process: the number of threads that run at a time, and the memory
// limit above which the garbage collector runs more often, three quarters of the configured memory.
func SetRuntimeLimits(conf *config.Config) {
	runtime.GOMAXPROCS(max(1, int(conf.Cores)))
	debug.SetMemoryLimit(int64(conf.MemoryMB) * bytesPerMB * 3 / 4)
	debug.SetGCPercent(gcPercent)
}

// boundedCounter counts how much of a bounded resource is held. Its methods may be called concurrently.
type boundedCounter struct{ atomic.Int64 }

// reserve adds an amount, unless more than the limit would then be held. It returns whether it did. The count does not exceed
// the limit even for a moment, so one reservation that is refused does not cause the refusal of another.
func (c *boundedCounter) reserve(amount, limit int64) bool {
	for {
		held := c.Load()
		if held+amount > limit {
			return false
		}
		if c.CompareAndSwap(held, held+amount) {
			return true
		}
	}
}

// release subtracts an amount that was reserved.
func (c *boundedCounter) release(amount int64) { c.Add(-amount) }

// reserveOwnBody reserves the bytes of a request's own body before they are read. A client may send no request while it holds more
// than half of its bound. The rest is left for answers.
func (c *clientConn) reserveOwnBody(size int64) bool {
	d := c.director
	if c.holdsTooMuch() || !d.ownBodyBytes.reserve(size, d.bounds.maxOwnBodyBytes) {
		return false
	}
	if !c.reserveBody(size) {
		d.ownBodyBytes.release(size)
		return false
	}
	return true
}

// holdsTooMuch returns whether the client holds more than half of its bound, so that it may send no further request.
func (c *clientConn) holdsTooMuch() bool {
	return c.bodyBytes.Load() > c.director.bounds.maxClientBodyBytes/2
}

// releaseOwnBody releases what reserveOwnBody reserved.
func (c *clientConn) releaseOwnBody(size int64) {
	c.director.ownBodyBytes.release(size)
	c.releaseBody(size)
}

// reserveBody reserves bytes of a body for one of the client's requests. If the bodies of all requests or those of the client
// would exceed their bound, it reserves nothing and returns false.
func (c *clientConn) reserveBody(size int64) bool {
	d := c.director
	if !d.bodyBytes.reserve(size, d.bounds.maxBodyBytes) {
		return false
	}
	if !c.bodyBytes.reserve(size, d.bounds.maxClientBodyBytes) {
		d.bodyBytes.release(size)
		return false
	}
	return true
}

// releaseBody releases bytes that reserveBody reserved.
func (c *clientConn) releaseBody(size int64) {
	c.bodyBytes.release(size)
	c.director.bodyBytes.release(size)
}

// reserveBounds counts the request as open. It returns false if a bound is reached: its body was not admitted, its client holds
// too much, or the director has too many open requests.
func (r *request) reserveBounds() bool {
	d := r.director
	noRoom := r.message.BodyDropped || len(r.message.Body) == 0 && r.client.holdsTooMuch()
	r.countedOpen = !noRoom && d.openRequests.reserve(1, d.bounds.maxRequests)
	return r.countedOpen
}

// releaseBounds releases everything that is counted for the request. It is called once no attempt is open.
func (r *request) releaseBounds() {
	r.client.releaseOwnBody(r.ownBodyBytes)
	r.client.releaseBody(r.answerBytes)
	r.ownBodyBytes, r.answerBytes = 0, 0
	if r.countedOpen {
		r.countedOpen = false
		r.director.openRequests.release(1)
	}
}
