package director

import (
	"runtime"
	"runtime/debug"

	"indigochute.example/indigochute/internal/config"
)

// The bounds of what the director holds at a time, and the count of the bodies that requests hold.

// bounds are the limits of what this director holds. They guard against clients and nodes that make it run out of descriptors
// or memory. A request over a bound is rejected, never queued.
type bounds struct {
	clientSockets      int // connections of clients
	nodeSockets        int // connections to nodes
	maxRequests        int // open requests
	maxBodyBytes       int64
	maxClientBodyBytes int64 // of one client, so that a client that reads slowly leaves memory for others
}

const (
	bytesPerMB      = 1 << 20
	bytesPerRequest = 16 << 10 // of a request without its body: stack, buffers, records
	gcPercent       = 400      // the collector runs seldom while memory use is far from the limit
)

// newBounds divides the configured sockets and memory. Half of the sockets are for clients, including connections that are
// ending. A third is for nodes. The rest is for discovery, the listener and as a reserve. A quarter of the memory is for
// requests, and another quarter for bodies.
func newBounds(conf *config.Config) bounds {
	quarter := int64(conf.MemoryMB) * bytesPerMB / 4
	requestsInMemory := int(quarter / bytesPerRequest)
	return bounds{
		clientSockets:      max(1, conf.Sockets/2),
		nodeSockets:        max(1, conf.Sockets/3),
		maxRequests:        max(1, min(conf.MaxOpenRequests, requestsInMemory)),
		maxBodyBytes:       quarter,
		maxClientBodyBytes: quarter / 4,
	}
}

// SetRuntimeLimits sets the limits of the Go runtime for the process: the number of threads that run at a time, and the memory from
// which on the garbage collector works harder, three quarters of the configured memory.
func SetRuntimeLimits(conf *config.Config) {
	runtime.GOMAXPROCS(max(1, int(conf.Cores)))
	debug.SetMemoryLimit(int64(conf.MemoryMB) * bytesPerMB * 3 / 4)
	debug.SetGCPercent(gcPercent)
}

// reserveOwnBody reserves the request's own body. It returns false for a client that already holds more than half of its
// bound, as there might be no memory for the answer.
func (r *request) reserveOwnBody() bool {
	if r.client.bodyBytes.Load() > r.director.bounds.maxClientBodyBytes/2 {
		return false
	}
	return r.reserveBody(len(r.message.Body))
}

// reserveBody counts a body that the request holds until its end. It returns false, and counts nothing, if all bodies or
// those of the client would exceed their bound.
func (r *request) reserveBody(size int) bool {
	r.countBytes(int64(size))
	bounds := &r.director.bounds
	if r.director.bodyBytes.Load() > bounds.maxBodyBytes || r.client.bodyBytes.Load() > bounds.maxClientBodyBytes {
		r.countBytes(-int64(size))
		return false
	}
	return true
}

// countBytes adds to the bytes that the request, its client and the director hold. A negative size releases bytes.
func (r *request) countBytes(size int64) {
	r.heldBytes.Add(size)
	r.client.bodyBytes.Add(size)
	r.director.bodyBytes.Add(size)
}
