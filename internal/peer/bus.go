// Package peer is the transport between directors over TCP. It carries short messages, each with a topic, from any instance that
// the operator file lists to any other, in frames of limited length. It does not interpret the messages.
//
// Each instance dials every other one. It writes its own messages on the connections that it dialled, and receives messages on
// the connections that the others dialled. Delivery is not guaranteed: a message is lost if the connection is down for long, if
// the queue is full or if either end restarts. A sender that needs delivery must send the message again. A message may be late,
// but it is never delivered to an incarnation that it was not meant for: every frame carries the incarnations of both ends.
//
// The instances of a bus are its peers. A bus may also have subscribers: any number of listed names that dial it, send little
// and receive the messages of a Publisher. Uplinks is the subscriber's side: links to two of the instances that publish. Any
// program may send a request and get one response, each on a separate connection: see Query.
//
// A connection that misbehaves uses a limited amount of this process's memory, processor time and log, and does not delay other
// connections: see the constants in options.go and subscriber.go.
//
// There is no TLS and no authentication: the name in a hello is trusted. The package is for closed networks only.
package peer

import (
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Bus is one instance's end of the transport. Its methods are safe for concurrent use.
type Bus struct {
	options    Options
	listener   net.Listener
	start      time.Time     // pings carry the time since the start, by the monotonic clock
	stop       chan struct{} // closed by Close
	goroutines sync.WaitGroup

	incarnation atomic.Uint64
	pongBytes   atomic.Int64 // bytes of pongs written
	subscribers subscriberTable

	mu                sync.Mutex            // locked before that of a link and before that of the subscribers
	links             map[string]*link      // to the other instances, by name
	knownIncarnations map[string]uint64     // highest known incarnation, by name of each peer that is or was listed
	inboundByName     map[string][]*inbound // connections that peers dialled, oldest first
	unidentified      []*inbound            // connections without a hello yet, oldest first
	counts            Counts
	rejectionLog      LogLimit // limits the log lines about names that are not listed
}

// Open opens the listener and starts to dial the peers. It returns an error if the listener cannot be opened.
func Open(o Options) (*Bus, error) {
	if o.OpenListener == nil {
		o.OpenListener = net.Listen
	}
	listener, err := o.OpenListener("tcp", o.Listen)
	if err != nil {
		return nil, err
	}
	b := &Bus{
		options:           o,
		listener:          listener,
		start:             time.Now(),
		stop:              make(chan struct{}),
		links:             map[string]*link{},
		knownIncarnations: map[string]uint64{},
		inboundByName:     map[string][]*inbound{},
	}
	b.incarnation.Store(newIncarnation(o.WallClock))
	b.subscribers.byName = map[string]*Subscriber{}
	b.AllowSubscribers(o.Subscribers)
	b.SetPeers(o.Peers)
	b.goroutines.Go(b.accept)
	return b, nil
}

// Close closes every connection and waits for all goroutines. It must be called exactly once.
func (b *Bus) Close() {
	close(b.stop)
	b.listener.Close()
	b.mu.Lock()
	for _, connection := range b.inbounds() {
		connection.setState(inboundClosed)
	}
	for _, peerLink := range b.links {
		peerLink.end()
	}
	b.subscribers.end(reasonClosing, func(*Subscriber) bool { return true })
	b.mu.Unlock()
	b.goroutines.Wait()
}

// sinceStart returns the time since Open, by the monotonic clock.
func (b *Bus) sinceStart() time.Duration { return time.Since(b.start) }

// Addr returns the address that the bus listens at.
func (b *Bus) Addr() string { return b.listener.Addr().String() }

// Incarnation returns the present incarnation of this instance. It is raised when another instance reports a higher one for its name.
func (b *Bus) Incarnation() uint64 { return b.incarnation.Load() }

// SetPeers replaces the addresses of the other instances, by name. Links to unchanged addresses are kept.
func (b *Bus) SetPeers(peers map[string]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endLinksExcept(peers)
	b.closeInboundsExcept(peers)
	b.subscribers.end(reasonRemoved, func(s *Subscriber) bool { _, isPeer := peers[s.Name]; return isPeer })
	for name, addr := range peers {
		if b.links[name] == nil && name != b.options.Name {
			peerLink := newLink(b, name, addr)
			b.links[name] = peerLink
			b.goroutines.Go(peerLink.run)
		}
	}
}

// endLinksExcept ends the links to peers that are not in the list, or are listed with another address. Called under the lock.
func (b *Bus) endLinksExcept(peers map[string]string) {
	for name, peerLink := range b.links {
		if peers[name] != peerLink.addr {
			peerLink.end()
			delete(b.links, name)
		}
	}
}

// closeInboundsExcept closes the connections that were dialled by peers that are no longer listed. Called under the lock.
func (b *Bus) closeInboundsExcept(peers map[string]string) {
	for name, connections := range b.inboundByName {
		if _, listed := peers[name]; listed {
			continue
		}
		for _, connection := range slices.Clone(connections) {
			connection.setState(inboundClosed)
		}
	}
}

// Send queues a message for one peer. It returns false if no peer of that name is listed, or if the payload is longer than
// MaxPayloadBytes.
func (b *Bus) Send(to, topic string, payload []byte) bool {
	b.mu.Lock()
	peerLink := b.links[to]
	b.mu.Unlock()
	if peerLink == nil || len(payload) > MaxPayloadBytes {
		return false
	}
	peerLink.enqueue(message{topic, payload})
	return true
}

// Broadcast queues a message for every peer. A payload that is longer than MaxPayloadBytes is not sent.
func (b *Bus) Broadcast(topic string, payload []byte) {
	b.mu.Lock()
	names := slices.Sorted(maps.Keys(b.links))
	b.mu.Unlock()
	for _, name := range names {
		b.Send(name, topic, payload)
	}
}
