package director

import (
	"bufio"
	"context"
	"net/netip"
	"time"

	"indigochute.example/indigochute/internal/discovery"
	"indigochute.example/indigochute/internal/routing"
)

// This file watches the journal service over one connection after another, and applies its events once each and in order.

const (
	// watchSilenceTimeout is how long no frame may arrive on a connection. The service sends a frame each second. A change must
	// reach the director within 7 s, even if nothing arrives on the first two connections.
	watchSilenceTimeout = 1600 * time.Millisecond
	watchRetryDelay     = 200 * time.Millisecond // between the end of a connection and the next dial
	watchDialTimeout    = time.Second
)

// watchEnd is the result of one connection to the journal service.
type watchEnd struct {
	receivedEvents bool // at least one event arrived
	err            error
}

// discoveryWatch is the state of the watch between connections. It belongs to watchDiscovery's goroutine.
type discoveryWatch struct {
	director     *Director
	address      netip.AddrPort
	number       int     // number of moves of the service so far
	loggedFault  string  // the last error that was logged; a repeated error is logged once
	localBackoff backoff // between dials that fail for faults of this host
}

// watchDiscovery watches the journal service, and follows it to new addresses, until the director stops.
func (d *Director) watchDiscovery(stop <-chan struct{}) {
	watch := &discoveryWatch{director: d, address: d.config.DiscoveryAddr, localBackoff: newBackoff()}
	for watch.connectOnce(stop) {
	}
}

// connectOnce makes one connection and returns when the next one is due. It returns false once the director stops.
func (w *discoveryWatch) connectOnce(stop <-chan struct{}) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel() // ends a dial or a read in progress
	ended := make(chan watchEnd, 1)
	go func(address netip.AddrPort, number int) { // arguments, since a move may change both fields before this runs
		receivedEvents, err := w.director.watchOnce(ctx, address, number)
		ended <- watchEnd{receivedEvents, err}
	}(w.address, w.number)
	var retry <-chan time.Time
	for {
		select {
		case <-stop:
			return false
		case address := <-w.director.journalMoves:
			cancel()
			w.moveTo(address)
			return true
		case end := <-ended:
			retry = time.After(w.delayAfter(end))
			w.logEnd(end)
		case <-retry:
			return true
		}
	}
}

// moveTo moves the watch to another address. Events that were read from the old address and are not applied yet are dropped.
func (w *discoveryWatch) moveTo(address netip.AddrPort) {
	w.address, w.loggedFault = address, ""
	w.number++
	w.director.mu.Lock()
	defer w.director.mu.Unlock()
	w.director.watchNumber = w.number
}

// logEnd logs the end of a connection, unless no event arrived on it and the same error was logged last.
func (w *discoveryWatch) logEnd(end watchEnd) {
	if fault := end.err.Error(); end.receivedEvents || fault != w.loggedFault {
		w.loggedFault = fault
		w.director.log.WithError(end.err).Warn("feed: connection to the journal service lost, reconnecting")
	}
}

// delayAfter returns how long to wait before the next connection after one has ended.
func (w *discoveryWatch) delayAfter(end watchEnd) time.Duration {
	if isLocalFault(end.err) {
		return w.localBackoff.take()
	}
	w.localBackoff = newBackoff()
	return watchRetryDelay
}

// watchOnce reads and applies the events of one connection until the connection ends, an event reveals a gap or the context
// ends. It returns whether any event arrived, and the cause of the end, which is never nil.
func (d *Director) watchOnce(ctx context.Context, address netip.AddrPort, watchNumber int) (receivedEvents bool, err error) {
	socket, err := dialWithin(ctx, d.network, address.String(), watchDialTimeout)
	if err != nil {
		return false, err
	}
	defer socket.Close()
	defer context.AfterFunc(ctx, func() { socket.Close() })()
	d.mu.Lock()
	last := d.lastEvent
	d.mu.Unlock()
	socket.SetDeadline(time.Now().Add(watchSilenceTimeout))
	if _, err := writeAll(socket, discovery.AppendHello(nil, last)); err != nil {
		return false, err
	}
	buffered := bufio.NewReader(uninterrupted{socket})
	for {
		socket.SetReadDeadline(time.Now().Add(watchSilenceTimeout))
		event, err := discovery.Read(buffered)
		if err == nil {
			err = d.handleEvent(watchNumber, event)
		}
		if err != nil {
			return receivedEvents, err
		}
		receivedEvents = true
	}
}

// handleEvent applies an event if it is the next one. It ignores an event of an earlier watch and an event that was applied
// before. It returns a discovery.Gap if the event reveals that others are missing. The connection then ends, and the next one
// starts from the last event applied. If the same gap appears again, the missing events are not available, and handleEvent
// accepts the gap, since applying later events is better than applying none. An empty frame has the number of the newest event:
// all events up to that number should have arrived before it.
func (d *Director) handleEvent(watchNumber int, event discovery.Event) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.recoverDefect("feed")
	if event.Number <= d.lastEvent || watchNumber != d.watchNumber {
		return nil
	}
	empty := event.Endpoints == nil && event.Purge == nil
	if event.Number > d.lastEvent+1 || empty {
		gap := discovery.Gap{Last: d.lastEvent, Next: event.Number, Empty: empty}
		if d.lastGap != gap {
			d.lastGap = gap
			return gap
		}
		if empty {
			return nil
		}
		d.log.WithError(gap).Warn("feed: missing events are unavailable, continuing after the gap")
	}
	d.lastEvent = event.Number
	d.applyEvent(event)
	return nil
}

// applyEvent passes an event on to the journal clock, routing and the pool. Called under the director's mutex.
func (d *Director) applyEvent(event discovery.Event) {
	now := d.clock.now()
	d.journal.updateOrigin(now, event)
	if event.Purge != nil {
		purgedAt := d.journal.since(now, event.Purge.StampUnix)
		d.router.HandlePurge(now, event.Purge.Group, event.Purge.Object, now-purgedAt)
	}
	if event.Endpoints == nil {
		return
	}
	endpoints := make([]routing.Endpoint, len(event.Endpoints))
	starts := map[uint32]time.Duration{}
	for i, listed := range event.Endpoints {
		endpoints[i] = d.endpointOf(now, listed)
		if endpoints[i].StartKnown && listed.State != routing.Gone {
			starts[listed.ID] = endpoints[i].StartedAt
		}
		d.pool.updateEndpoint(listed)
	}
	d.journal.noteStarts(event, starts)
	d.router.UpdateEndpoints(now, endpoints, event.Complete)
}

// endpointOf converts an endpoint that discovery lists to the form that routing uses.
func (d *Director) endpointOf(now time.Duration, listed discovery.Endpoint) routing.Endpoint {
	endpoint := routing.Endpoint{
		Node:     listed.ID,
		State:    listed.State,
		Kind:     listed.Kind,
		Zone:     listed.Zone,
		Cell:     listed.Cell,
		Capacity: listed.Capacity,
	}
	if listed.StartedUnix != 0 {
		endpoint.StartKnown, endpoint.StartedAt = true, d.journal.startOf(now, listed.ID, listed.StartedUnix)
	}
	return endpoint
}
