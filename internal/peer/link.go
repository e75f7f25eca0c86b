package peer

// A link to a peer: its state and its queue. Its goroutines are in linkconn.go.

import (
	"net"
	"sync"
	"time"
)

// message is a message in the queue of a link.
type message struct {
	topic   string
	payload []byte
}

// queuedBytes returns how much of maxQueuedBytes the message takes.
func (m message) queuedBytes() int { return len(m.payload) + maxFrameOverhead }

// linkState is the state of a link to a peer.
type linkState uint8

const (
	linkWaiting  linkState = iota // waits for the next dial, or dials
	linkDialling                  // connected; the peer has not answered the hello yet
	linkUp
	linkRejected // as linkWaiting, after a rejected hello: the peer does not list this instance, or knows a later incarnation of it
	linkEnded
)

// linkStateNames has the states as LinkStatus shows them. They are part of the JSON output and must not change.
var linkStateNames = [...]string{"waiting", "dialling", "up", "refused", "ended"}

// link is the connection to one peer, with a bounded queue of messages. One goroutine dials and writes, and dials again whenever
// the connection fails; another reads pongs while the link is up.
type link struct {
	bus  *Bus
	name string
	addr string
	wake chan struct{} // holds an element while messages may be waiting
	done chan struct{} // closed in linkEnded

	mu              sync.Mutex
	state           linkState
	socket          net.Conn // nil unless connected
	queue           []message
	queuedBytes     int
	peerIncarnation uint64        // of the peer's last hello; 0: none yet
	lastFrame       time.Time     // when the last frame of the peer came
	rtt             time.Duration // of the last ping; 0: not known
	sent            int           // messages
	writtenBytes    int64
	dropped         int // messages
	dials           int
}

func newLink(b *Bus, name, addr string) *link {
	return &link{bus: b, name: name, addr: addr, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// status returns the status of the link. Inbound is the number of connections that the peer dialled.
func (l *link) status(inbound int) LinkStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LinkStatus{
		Name:         l.name,
		Addr:         l.addr,
		State:        linkStateNames[l.state],
		Inbound:      inbound,
		Queued:       len(l.queue),
		Sent:         l.sent,
		WrittenBytes: l.writtenBytes,
		Dropped:      l.dropped,
		Dials:        l.dials,
		RTT:          milliseconds(l.rtt),
	}
}

// setState is the only function that changes the state. The socket is that of linkDialling, and nil for all other states. An
// ended link stays ended. It returns whether the link is in the state now.
func (l *link) setState(to linkState, socket net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == linkEnded {
		return to == linkEnded
	}
	l.state = to
	switch to {
	case linkDialling:
		l.socket, l.lastFrame = socket, time.Now()
	case linkWaiting, linkRejected:
		l.closeSocket()
	case linkEnded:
		l.closeSocket()
		l.queue, l.queuedBytes = nil, 0
		close(l.done)
	}
	return true
}

// closeSocket closes the connection, if there is one. Called under the lock.
func (l *link) closeSocket() {
	if l.socket != nil {
		l.socket.Close()
	}
	l.socket = nil
}

// end ends the link for good and drops its queue.
func (l *link) end() { l.setState(linkEnded, nil) }

// enqueue queues a message. Above maxQueuedMessages or maxQueuedBytes it drops the oldest messages: newer ones are worth more, and
// a peer that does not read must not fill this process's memory.
func (l *link) enqueue(m message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == linkEnded {
		return
	}
	l.queue = append(l.queue, m)
	l.queuedBytes += m.queuedBytes()
	for len(l.queue) > maxQueuedMessages || l.queuedBytes > maxQueuedBytes {
		l.pop()
		l.dropped++
	}
	l.wakeWriter()
}

// dequeue removes the oldest message and counts it as sent. It returns false if the queue is empty.
func (l *link) dequeue() (oldest message, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 {
		return message{}, false
	}
	l.sent++
	return l.pop(), true
}

// pop removes the oldest message. The queue must not be empty. Called under the lock.
func (l *link) pop() message {
	oldest := l.queue[0]
	l.queue[0] = message{} // frees its payload
	l.queue = l.queue[1:]
	l.queuedBytes -= oldest.queuedBytes()
	return oldest
}

// wakeWriter makes the writer look at the queue. It never blocks.
func (l *link) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// helloReceived records the peer's hello. It drops messages that were queued for another incarnation of the peer.
func (l *link) helloReceived(incarnation uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peerIncarnation != 0 && l.peerIncarnation != incarnation {
		l.dropped += len(l.queue)
		l.queue, l.queuedBytes = nil, 0
	}
	l.peerIncarnation, l.lastFrame = incarnation, time.Now()
}

// pongReceived records a pong and its round trip time. An rtt below 0 means that the pong answers no ping of this instance.
func (l *link) pongReceived(rtt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastFrame = time.Now()
	if rtt >= 0 {
		l.rtt = rtt
	}
}

// silent reports whether no frame of the peer came for silenceTimeout.
func (l *link) silent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastFrame) > silenceTimeout
}
