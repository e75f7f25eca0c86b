package peer

// Connections that the other side dialled: the first frame decides whether one is a request, a peer or a subscriber. Subscribers
// are served in subscriber.go.

import (
	"bufio"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// inboundState is the state of a connection that the other side dialled.
type inboundState uint8

const (
	inboundUnidentified inboundState = iota // no hello was accepted yet
	inboundPeer                             // a hello of a peer was accepted
	inboundSubscriber                       // a hello of a subscriber was accepted; a Subscriber serves it
	inboundClosed
)

// inbound is a connection that the other side dialled. One goroutine reads it.
type inbound struct {
	bus    *Bus
	socket net.Conn
	state  inboundState // guarded by the lock of the bus
	sender Sender       // set before the state becomes inboundPeer
}

// setState is the only function that changes the state. It keeps the lists of the bus in step with it. A closed connection stays
// closed. Called under the lock of the bus.
func (c *inbound) setState(to inboundState) {
	if c.state == inboundClosed {
		return
	}
	b, name := c.bus, c.sender.Name
	switch c.state {
	case inboundUnidentified:
		b.unidentified = c.removedFrom(b.unidentified)
	case inboundPeer:
		b.inboundByName[name] = c.removedFrom(b.inboundByName[name])
	}
	c.state = to
	switch to {
	case inboundPeer:
		b.inboundByName[name] = append(b.inboundByName[name], c)
	case inboundClosed:
		c.socket.Close()
	}
}

// removedFrom returns a list without this connection. It changes the list in place.
func (c *inbound) removedFrom(connections []*inbound) []*inbound {
	return slices.DeleteFunc(connections, func(other *inbound) bool { return other == c })
}

// close ends the connection. It takes the lock of the bus.
func (c *inbound) close() {
	c.bus.mu.Lock()
	defer c.bus.mu.Unlock()
	c.setState(inboundClosed)
}

// inbounds returns the connections of peers, and those that have sent no hello yet. It does not return those of subscribers.
// Called under the lock.
func (b *Bus) inbounds() (all []*inbound) {
	for _, name := range slices.Sorted(maps.Keys(b.inboundByName)) {
		all = append(all, b.inboundByName[name]...)
	}
	return append(all, b.unidentified...)
}

// run serves the connection until it ends or the other side sends a frame that is not accepted. If the first frame is not
// complete within helloTimeout it closes the connection, which guards against clients that connect and send nothing.
func (c *inbound) run() {
	defer c.close()
	in := bufio.NewReader(c.socket)
	c.socket.SetReadDeadline(time.Now().Add(helloTimeout))
	first, err := readFrame(in, maxRequestBytes)
	if err != nil {
		c.bus.countUnreadable(err)
		return
	}
	switch first := first.(type) {
	case requestFrame:
		c.bus.options.QueryHandlers.reply(c.socket, first)
	case helloFrame:
		c.serve(first, in)
	default:
		c.bus.count(func(n *Counts) { n.Unreadable++ })
		c.writeHello(c.bus.Incarnation(), 0)
	}
}

// serve serves a connection that began with a hello: as a subscriber's if its name may subscribe, otherwise as a peer's.
func (c *inbound) serve(hello helloFrame, in *bufio.Reader) {
	if c.serveSubscriber(hello, in) {
		return
	}
	if !c.handleHello(hello) {
		return
	}
	pacer := newReadPacer(maxFrameRate, maxByteRate)
	for {
		c.socket.SetReadDeadline(time.Now().Add(silenceTimeout + pingInterval))
		f, err := readFrame(in, maxFrameBytes)
		if err != nil {
			c.bus.countUnreadable(err)
			return
		}
		size, ok := c.handleFrame(f)
		if !ok {
			return
		}
		pacer.wait(maxFrameOverhead+size, c.bus.stop)
	}
}

// handleHello decides on the hello of a peer and answers it with this instance's own. A sender that is rejected learns from the
// answer which incarnation of it is known here. It returns false if the hello was rejected or the answer could not be written.
func (c *inbound) handleHello(hello helloFrame) (accepted bool) {
	b := c.bus
	b.mu.Lock()
	listed, known := b.links[hello.name] != nil, b.knownIncarnations[hello.name]
	switch {
	case hello.version != protocolVersion:
		b.counts.Unreadable++
	case !listed:
		b.counts.Unlisted++
	case hello.sender < known:
		b.counts.OldIncarnation++
	default:
		accepted, known = true, hello.sender
		c.becomePeer(Sender{hello.name, hello.sender})
	}
	b.mu.Unlock()
	if !listed {
		b.rejectUnlisted(hello.name, c.socket.RemoteAddr())
	}
	return c.writeHello(b.Incarnation(), known) == nil && accepted
}

// becomePeer makes this a connection of a peer. It closes the connections of the peer's earlier incarnations, and the peer's
// oldest connection if it has more than maxConnectionsPerPeer. Called under the lock of the bus.
func (c *inbound) becomePeer(sender Sender) {
	b := c.bus
	b.knownIncarnations[sender.Name] = sender.Incarnation
	for _, other := range slices.Clone(b.inboundByName[sender.Name]) {
		if other.sender.Incarnation < sender.Incarnation {
			other.setState(inboundClosed)
		}
	}
	c.sender = sender
	c.setState(inboundPeer)
	if connections := b.inboundByName[sender.Name]; len(connections) > maxConnectionsPerPeer {
		connections[0].setState(inboundClosed)
		b.counts.Displaced++
	}
}

// writeHello writes this instance's own hello, with the highest incarnation known of the other side; 0: none.
func (c *inbound) writeHello(incarnation, known uint64) error {
	hello := helloFrame{version: protocolVersion, name: c.bus.options.Name, sender: incarnation, receiver: known}
	c.socket.SetWriteDeadline(time.Now().Add(helloTimeout))
	_, err := c.socket.Write(hello.appendTo(nil))
	return err
}

// rejectUnlisted counts and logs a hello under a name that is not listed. The log limit guards against a program that dials in
// a loop.
func (b *Bus) rejectUnlisted(name string, addr net.Addr) {
	if b.options.Publisher != nil {
		b.subscribers.count(func(n *SubscribersStatus) { n.Rejected++ })
	}
	b.mu.Lock()
	skipped, ok := b.rejectionLog.Allow(time.Now())
	b.mu.Unlock()
	if ok {
		log := b.options.Log.WithFields(logrus.Fields{"peer": name, "addr": addr, "skipped": skipped})
		log.Warn("peer: a name that is not listed is refused")
	}
}

// handleFrame handles one frame of a peer and returns the size of its payload in bytes. It returns false if the connection must
// be closed.
func (c *inbound) handleFrame(f frame) (size int, ok bool) {
	switch f := f.(type) {
	case pingFrame:
		return 0, c.writePong(f) == nil
	case dataFrame:
		return len(f.payload), c.handleData(f)
	}
	c.bus.count(func(n *Counts) { n.Unreadable++ })
	return 0, false
}

// writePong answers a ping and counts the bytes written.
func (c *inbound) writePong(ping pingFrame) error {
	c.socket.SetWriteDeadline(time.Now().Add(silenceTimeout))
	written, err := c.socket.Write(pongFrame(ping).appendTo(nil))
	c.bus.pongBytes.Add(int64(written))
	return err
}

// handleData passes a message to the handler of its topic. It returns false if the message is from or to another incarnation: so
// would be all later ones of this connection.
func (c *inbound) handleData(data dataFrame) (current bool) {
	b := c.bus
	handle := b.options.Handlers[data.topic]
	b.mu.Lock()
	current = c.isCurrent(data)
	switch {
	case !current:
		b.counts.OldIncarnation++
	case handle == nil:
		b.counts.UnknownTopic++
	}
	b.mu.Unlock()
	if current && handle != nil {
		handle(c.sender, data.payload)
	}
	return current
}

// isCurrent reports whether a message is from the latest known incarnation of the peer, and meant for this instance's present
// one. Called under the lock of the bus.
func (c *inbound) isCurrent(data dataFrame) bool {
	fromLatest := data.sender == c.sender.Incarnation && data.sender >= c.bus.knownIncarnations[c.sender.Name]
	return fromLatest && data.isFor(c.bus.Incarnation())
}
