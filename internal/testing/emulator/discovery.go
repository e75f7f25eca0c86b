package emulator

// This file is the emulated discovery service: a numbered log of events, streamed to each director.

import (
	"context"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/discovery"
	"indigochute.example/indigochute/internal/routing"
)

const (
	heartbeatInterval = time.Second     // between frames to a director while no event is published
	helloTimeout      = 5 * time.Second // until a director has sent its first message
	frameTimeout      = 5 * time.Second // until a director has accepted a frame
	helloSize         = 8               // bytes of a director's first message
)

// discoveryService serves the endpoint list and its changes. Its goroutines belong to the fleet and end with the context
// passed to startDiscovery. A method that needs both locks takes the fleet's lock first.
type discoveryService struct {
	fleet *Fleet
	addr  netip.AddrPort

	mu        sync.Mutex               // guards the fields below
	events    []discovery.Event        // event number n is at index n-1
	states    map[uint32]routing.State // announced by setState, by machine
	published chan struct{}            // closed and replaced at each event
}

// startDiscovery listens on a free port and publishes the full snapshot as the first event. It returns an error if it
// cannot listen.
func startDiscovery(ctx context.Context, fleet *Fleet) (*discoveryService, error) {
	listener, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return nil, err
	}
	d := &discoveryService{fleet: fleet, addr: addrOf(listener), states: map[uint32]routing.State{}, published: make(chan struct{})}
	snapshot := discovery.Event{Number: 1, Complete: true}
	for _, machine := range fleet.machines {
		snapshot.Endpoints = append(snapshot.Endpoints, d.announced(machine.ID))
	}
	d.events = append(d.events, snapshot)
	context.AfterFunc(ctx, func() { listener.Close() })
	fleet.goroutines.Go(func() { d.accept(ctx, listener) })
	return d, nil
}

// announced returns a machine's endpoint in the state that setState announced last, or ready if it announced none. The
// caller holds d.mu once the service runs.
func (d *discoveryService) announced(id uint32) discovery.Endpoint {
	server := d.fleet.servers[id]
	endpoint := discovery.Endpoint{ID: id, Addr: server.advertised, Zone: server.machine.Zone, Kind: server.machine.DiscoveryKind(),
		State: routing.Ready, Capacity: 1}
	if state, ok := d.states[id]; ok {
		endpoint.State = state
	}
	return endpoint
}

// current returns a machine's endpoint as it is now: gone if the machine is down, and with its start time if it was
// started after the fleet. The caller holds the fleet's lock and d.mu.
func (d *discoveryService) current(id uint32) discovery.Endpoint {
	endpoint := d.announced(id)
	up, booted, bootedAt := d.fleet.world.Up(id)
	if !up {
		endpoint.State = routing.Gone
	}
	if booted {
		endpoint.StartedUnix = d.fleet.unixMilli(bootedAt)
	}
	return endpoint
}

// snapshot returns the number of the last event, and all endpoints as they are now.
func (d *discoveryService) snapshot() (last uint64, endpoints []discovery.Endpoint) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, machine := range d.fleet.machines {
		endpoints = append(endpoints, d.current(machine.ID))
	}
	return uint64(len(d.events)), endpoints
}

// announceChange publishes a machine after the fleet's list delay, in its state of that moment. The delay models how late
// directors hear of a change. Close does not stop the timer, which may fire after it.
func (d *discoveryService) announceChange(id uint32) {
	time.AfterFunc(d.fleet.description.ListDelay.Duration(), func() {
		d.publishEndpoint(id, func() {})
	})
}

// setState publishes a machine in another state.
func (d *discoveryService) setState(id uint32, state routing.State) {
	d.publishEndpoint(id, func() { d.states[id] = state })
}

// publishEndpoint calls change under d.mu, and then publishes the machine as it is.
func (d *discoveryService) publishEndpoint(id uint32, change func()) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
	d.publish(discovery.Event{Endpoints: []discovery.Endpoint{d.current(id)}})
}

// announcePurge publishes a purge of all copies of an object that are older than now.
func (d *discoveryService) announcePurge(object uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.publish(discovery.Event{Purge: &discovery.Purge{Object: object, StampUnix: time.Now().UnixMilli()}})
}

// publish appends an event, numbers it and wakes the streams. The caller holds d.mu.
func (d *discoveryService) publish(event discovery.Event) {
	event.Number = uint64(len(d.events) + 1)
	d.events = append(d.events, event)
	close(d.published)
	d.published = make(chan struct{})
}

// accept serves connections until the listener is closed.
func (d *discoveryService) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		d.fleet.goroutines.Go(func() { d.serve(ctx, conn) })
	}
}

// serve streams events to a director until its connection fails or ctx ends. While no event is published the stream carries
// heartbeats: frames that hold only the number of the last event.
func (d *discoveryService) serve(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	last, ok := d.readHello(conn)
	if !ok {
		return
	}
	for {
		events, published := d.eventsAfter(last)
		conn.SetWriteDeadline(time.Now().Add(frameTimeout))
		if _, err := conn.Write(appendFrames(nil, last, events)); err != nil {
			return
		}
		last += uint64(len(events))
		select {
		case <-published:
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
			return
		}
	}
}

// readHello reads a director's first message, the number of the last event that it has. It returns false if the peer is not
// a director of this fleet: ports are reused, so another program may connect here.
func (d *discoveryService) readHello(conn net.Conn) (last uint64, ok bool) {
	hello := make([]byte, helloSize)
	conn.SetReadDeadline(time.Now().Add(helloTimeout))
	if _, err := io.ReadFull(conn, hello); err != nil {
		return 0, false
	}
	last, err := discovery.ReadHello(hello)
	if err != nil {
		return 0, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return last, last <= uint64(len(d.events))
}

// eventsAfter returns the events after number last, and a channel that is closed when the next one is published.
func (d *discoveryService) eventsAfter(last uint64) ([]discovery.Event, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.events[last:]), d.published
}

// appendFrames appends the frames of the events that follow event number last, or a heartbeat if there are none.
func appendFrames(frames []byte, last uint64, events []discovery.Event) []byte {
	if len(events) == 0 {
		return discovery.AppendEvent(frames, &discovery.Event{Number: last})
	}
	for i := range events {
		frames = discovery.AppendEvent(frames, &events[i])
	}
	return frames
}
