package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/discovery"
	"indigochute.example/indigochute/internal/msgpack"
	"indigochute.example/indigochute/internal/resp"
	"indigochute.example/indigochute/internal/routing"
)

// acceptAll accepts connections until the listener is closed. It calls serve in a new goroutine for each connection.
func acceptAll(listener net.Listener, serve func(net.Conn)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serve(conn)
	}
}

// discoveryService emulates the discovery service. It sends all its events to each watch.
type discoveryService struct {
	net.Listener

	mu      sync.Mutex
	last    uint64 // number of the last event
	events  []discovery.Event
	watches int // connections so far
}

// startDiscovery starts a discovery service without events. The first event that it publishes gets the number last+1.
func startDiscovery(t *testing.T, last uint64) *discoveryService {
	t.Helper()
	s := &discoveryService{Listener: listenAnywhere(t), last: last}
	go acceptAll(s, s.serve)
	return s
}

// publish adds an event and sets its number.
func (s *discoveryService) publish(event discovery.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	event.Number = s.last
	s.events = append(s.events, event)
}

// watchCount returns the number of watches so far.
func (s *discoveryService) watchCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

// serve sends events on one watch until the connection ends: all events after the one that its hello names, and later the new ones.
func (s *discoveryService) serve(conn net.Conn) {
	defer conn.Close()
	var hello [8]byte
	if _, err := io.ReadFull(conn, hello[:]); err != nil {
		return
	}
	sent, _ := discovery.ReadHello(hello[:])
	s.mu.Lock()
	s.watches++
	s.mu.Unlock()
	for {
		var frames []byte
		frames, sent = s.framesAfter(sent)
		if _, err := conn.Write(frames); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// framesAfter returns the frames of all events after the one with a number, or a heartbeat if there are none. Last is the number of the
// last event that has been sent with these frames.
func (s *discoveryService) framesAfter(number uint64) (frames []byte, last uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last = number
	for _, event := range s.events {
		if event.Number > last {
			frames = discovery.AppendEvent(frames, &event)
			last = event.Number
		}
	}
	if len(frames) == 0 {
		frames = discovery.AppendEvent(nil, &discovery.Event{Number: last})
	}
	return frames, last
}

// namedNode emulates a node. It responds to each request with a hit whose body is the node's name.
type namedNode struct {
	net.Listener
	name string
}

// startNamedNode starts a node that listens until the end of the test.
func startNamedNode(t *testing.T, name string) *namedNode {
	t.Helper()
	n := &namedNode{listenAnywhere(t), name}
	go acceptAll(n, n.serve)
	return n
}

// serve responds to the commands on one connection until it ends.
func (n *namedNode) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		command, err := resp.ReadCommand(in)
		if err != nil {
			return
		}
		response := resp.Response{ID: command.ID, Status: resp.Hit, Body: []byte(n.name)}
		if command.HealthCheck {
			response = resp.Response{ID: command.ID, Status: resp.Pong}
		}
		if !command.Cancel {
			conn.Write(resp.AppendResponse(nil, &response))
		}
	}
}

// endpoint returns an endpoint with the ID of the first cache in the configuration and the address of this node.
func (n *namedNode) endpoint(t *testing.T) discovery.Endpoint {
	t.Helper()
	address, err := netip.ParseAddrPort(n.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return discovery.Endpoint{ID: 1, Addr: address, State: routing.Ready, Capacity: 1}
}

// startUnresponsiveNode starts a node that accepts connections and reads them, but never responds. It returns its address.
func startUnresponsiveNode(t *testing.T) string {
	t.Helper()
	listener := listenAnywhere(t)
	go acceptAll(listener, func(conn net.Conn) { io.Copy(io.Discard, conn) })
	return listener.Addr().String()
}

// pageMessage returns a request of class page for an object that no other request asks for.
func pageMessage(id uint32, timeout time.Duration) *msgpack.Message {
	unique := fmt.Sprintf("%016x", nextRequestNumber())
	return &msgpack.Message{
		ID:        id,
		Class:     "page",
		RequestID: unique,
		Object:    unique,
		Part:      "0",
		Group:     "3",
		Timeout:   timeout,
	}
}

// pageRequest returns a pageMessage in the form in which a client writes it.
func pageRequest(id uint32, timeout time.Duration) []byte {
	return msgpack.AppendRequest(nil, pageMessage(id, timeout))
}

// request sends one request on a new connection and returns the response.
func (p *process) request() (msgpack.Response, error) {
	conn, err := net.Dial("tcp", p.addr)
	if err != nil {
		return msgpack.Response{}, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(responseTimeout))
	conn.Write(pageRequest(1, 2*time.Second))
	return msgpack.ReadResponse(bufio.NewReader(conn))
}

// dialAccepted connects a client and waits until the process has accepted the connection. It uses a readiness check for that, because a
// client cannot distinguish an accepted connection from one in the system's queue, which waits for a descriptor.
func (p *process) dialAccepted() (net.Conn, *bufio.Reader) {
	p.t.Helper()
	conn := p.dial()
	conn.SetDeadline(time.Now().Add(responseTimeout))
	in := bufio.NewReader(conn)
	if _, err := conn.Write(msgpack.AppendReadinessCheck(nil, 1)); err != nil {
		p.t.Fatal(err)
	}
	ready := make([]byte, len(msgpack.Readiness(1, true)))
	if _, err := io.ReadFull(in, ready); err != nil {
		p.t.Fatalf("the connection was not accepted: %v", err)
	}
	return conn, in
}

// waitServedBy waits until the node with the given name serves a request.
func (p *process) waitServedBy(name string) {
	p.t.Helper()
	var last msgpack.Response
	var err error
	for deadline := time.Now().Add(responseTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if last, err = p.request(); err == nil && string(last.Body) == name {
			return
		}
	}
	p.t.Fatalf("%s serves no request; got last response %+v, error %v: %s", name, last, err, p.readLog())
}

// waitLogged waits until the log contains a text a number of times.
func (p *process) waitLogged(text string, times int) {
	p.t.Helper()
	failure := fmt.Sprintf("%q is not logged %d times", text, times)
	p.waitUntil(failure, func() bool { return strings.Count(p.readLog(), text) >= times })
}

// waitUntil waits until a condition holds. If it does not hold within responseTimeout, the test fails with the given text and the log.
func (p *process) waitUntil(failure string, holds func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(responseTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			p.t.Fatalf("%s: %s", failure, p.readLog())
		}
	}
}
