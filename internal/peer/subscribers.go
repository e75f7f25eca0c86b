package peer

// The subscribers of a bus: which names may subscribe, which are connected, and their counts.

import (
	"bufio"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
)

// SubscribersStatus is the status of all subscribers together. All counters except Connected are totals since the start. The JSON keys
// must not change.
type SubscribersStatus struct {
	Connected int   `json:"connected"`
	Bytes     int64 `json:"bytes"`  // bytes written to them, including frame headers
	Frames    int64 `json:"frames"` // writes to them, each with one frame, or with a pong and a message
	Accepted  int   `json:"taken"`
	Rejected  int   `json:"refused"`  // hellos with a name that is not listed, or of an earlier incarnation
	Displaced int   `json:"put_out"`  // connections closed in favour of a newer one of the same name
	Removed   int   `json:"removed"`  // connections closed because their name may no longer subscribe
	Slow      int   `json:"slow"`     // connections closed because a write was not complete within slowSubscriberTimeout
	Silent    int   `json:"silent"`   // connections closed because no frame was received for subscriberSilenceTimeout
	Oversize  int   `json:"oversize"` // messages of the publisher that were dropped because their payload was too long
}

// subscriberTable holds the connected subscribers of a bus and the names that may subscribe.
type subscriberTable struct {
	snapshot atomic.Pointer[[]*Subscriber] // values of byName, used to wake the subscribers without a lock
	bytes    atomic.Int64                  // see SubscribersStatus.Bytes
	frames   atomic.Int64                  // see SubscribersStatus.Frames

	mu                sync.Mutex             // must not be held when the lock of the bus is taken
	allowed           map[string]bool        // names that may subscribe
	knownIncarnations map[string]uint64      // highest known incarnation, by allowed name
	byName            map[string]*Subscriber // connected subscribers
	counts            SubscribersStatus
}

// AllowSubscribers replaces the names that may subscribe. It closes the connections of other names.
func (b *Bus) AllowSubscribers(names []string) {
	table := &b.subscribers
	allowed, known := map[string]bool{}, map[string]uint64{}
	table.mu.Lock()
	for _, name := range names {
		allowed[name] = true
		if incarnation, ok := table.knownIncarnations[name]; ok {
			known[name] = incarnation
		}
	}
	table.allowed, table.knownIncarnations = allowed, known
	table.mu.Unlock()
	table.end(reasonRemoved, func(s *Subscriber) bool { return !allowed[s.Name] })
}

// WakeSubscribers calls Subscriber.Wake for each connected subscriber. It never blocks and takes no lock.
func (b *Bus) WakeSubscribers() {
	snapshot := b.subscribers.snapshot.Load()
	if snapshot == nil {
		return
	}
	for _, s := range *snapshot {
		s.Wake()
	}
}

// end closes the connections of the subscribers that match, and counts them under a reason.
func (t *subscriberTable) end(reason closeReason, matches func(s *Subscriber) bool) {
	t.mu.Lock()
	var matching []*Subscriber
	for _, s := range t.byName {
		if matches(s) {
			matching = append(matching, s)
		}
	}
	t.mu.Unlock()
	for _, s := range matching {
		s.end(reason)
	}
}

// status returns the counts, with the present values of Connected, Bytes and Frames.
func (t *subscriberTable) status() SubscribersStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	status := t.counts
	status.Connected = len(t.byName)
	status.Bytes = t.bytes.Load()
	status.Frames = t.frames.Load()
	return status
}

// count applies a change to the counts under the lock.
func (t *subscriberTable) count(change func(c *SubscribersStatus)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.counts)
}

// updateSnapshot replaces the snapshot after a change of byName. Called under the lock.
func (t *subscriberTable) updateSnapshot() {
	snapshot := slices.Collect(maps.Values(t.byName))
	t.snapshot.Store(&snapshot)
}

// remove removes a subscriber whose connection has ended, unless a newer connection has replaced it.
func (t *subscriberTable) remove(s *Subscriber) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byName[s.Name] == s {
		delete(t.byName, s.Name)
		t.updateSnapshot()
	}
}

// registration is the decision on a hello that may come from a subscriber.
type registration uint8

const (
	notSubscriber   registration = iota // the name may not subscribe
	oldIncarnation                      // rejected, because a later incarnation is known
	newRegistration                     // registered, in place of any earlier connection of the name
)

// register decides on a new subscriber, and registers it if it is accepted. It returns the highest known incarnation of the name, and
// the earlier connection that the new one replaces, or nil.
func (t *subscriberTable) register(s *Subscriber, c *inbound) (decision registration, known uint64, replaced *Subscriber) {
	b := c.bus
	b.mu.Lock()
	defer b.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	known = t.knownIncarnations[s.Name]
	switch {
	case b.links[s.Name] != nil || !t.allowed[s.Name]:
		return notSubscriber, known, nil
	case s.incarnation < known:
		b.counts.OldIncarnation++
		t.counts.Rejected++
		return oldIncarnation, known, nil
	}
	c.setState(inboundSubscriber)
	replaced = t.byName[s.Name]
	t.byName[s.Name] = s
	t.knownIncarnations[s.Name] = s.incarnation
	t.counts.Accepted++
	t.updateSnapshot()
	return newRegistration, s.incarnation, replaced
}

// serveSubscriber serves a connection until it ends if the name in its hello may subscribe. Otherwise it returns false, and has written
// nothing.
func (c *inbound) serveSubscriber(hello helloFrame, in *bufio.Reader) bool {
	b := c.bus
	if hello.version != protocolVersion || b.options.Publisher == nil {
		return false
	}
	s := newSubscriber(b, c.socket, hello)
	decision, known, replaced := b.subscribers.register(s, c)
	switch decision {
	case notSubscriber:
		return false
	case oldIncarnation:
		c.writeHello(s.ownIncarnation, known) // reports the known incarnation; an error needs no handling, as the connection ends
		return true
	}
	if replaced != nil {
		replaced.end(reasonDisplaced)
	}
	limitBuffers(c.socket)
	if c.writeHello(s.ownIncarnation, known) == nil {
		s.run(in)
	}
	s.end(reasonDisconnected)
	b.subscribers.remove(s)
	return true
}

// limitBuffers limits the memory that the kernel uses for a subscriber that reads nothing.
func limitBuffers(socket net.Conn) {
	if tcp, ok := socket.(*net.TCPConn); ok {
		tcp.SetReadBuffer(subscriberSocketBuffer)
		tcp.SetWriteBuffer(subscriberSocketBuffer)
	}
}
