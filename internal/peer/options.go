package peer

// The options of a bus, and the limits and timeouts of its connections.

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"
)

// Limits on the resources that connections may use. They guard against a peer, or a program that poses as one, that exhausts memory
// or processor time.
const (
	helloTimeout          = 2 * time.Second // for reading the first frame of a connection, and for writing the answer to it
	maxUnidentified       = 32              // connections that have sent no hello yet; above that the oldest is closed
	maxConnectionsPerPeer = 2               // connections accepted from one peer; above that the oldest is closed
	maxQueuedMessages     = 4096            // messages in the queue for one peer; above that the oldest is dropped
	maxQueuedBytes        = 4 << 20         // bytes in the queue for one peer; above that the oldest messages are dropped
	maxFrameRate          = 2000            // frames a second that are read from one peer or control machine
	maxByteRate           = 16 << 20        // bytes a second that are read from one peer or control machine
)

// Timeouts and intervals of a link to a peer.
const (
	pingInterval     = 400 * time.Millisecond
	silenceTimeout   = 1600 * time.Millisecond // time without a frame after which the link is closed and dialled again
	dialTimeout      = time.Second
	minRedialBackoff = 50 * time.Millisecond // after the first failure; doubled with each further one; see randomBackoff
	maxRedialBackoff = time.Second
)

// Sender identifies the instance that sent a message. An instance has a different incarnation after each restart.
type Sender struct {
	Name        string
	Incarnation uint64
}

// Options are the options of a bus.
type Options struct {
	Name   string
	Listen string            // address to listen at; port 0 means any free port
	Peers  map[string]string // addresses of the other instances, by name
	Log    *logrus.Entry
	// Handlers handle the messages of peers, by topic. A handler runs in the goroutine of the sender's connection, so it may run
	// concurrently for several senders, or for two connections of one sender. Handlers must not block for long.
	Handlers map[string]func(from Sender, payload []byte)
	// QueryHandlers answer requests, which any program may send.
	QueryHandlers QueryHandlers

	Subscribers    []string  // names that may subscribe, except for those of peers
	Publisher      Publisher // if nil, no name may subscribe
	SubscriberRate int       // bytes a second that may be written to each subscriber, with a burst of one second; 0 means no limit
	// AcceptRate is the maximum number of connections accepted a second, with a burst of a quarter of a second; 0 means no limit.
	// Further connections wait in the kernel's backlog. The limit keeps directors that all reconnect at the same moment from taking
	// all processor time.
	AcceptRate float64

	WallClock func() time.Time // used only for the incarnation; nil means the system clock
	// Dial connects to peers. Nil means net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// OpenListener opens the listener. Nil means net.Listen.
	OpenListener func(network, addr string) (net.Listener, error)
}
