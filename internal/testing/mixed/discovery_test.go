package mixed

import (
	"io"
	"net"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/discovery"
)

// discoveryService is a discovery service for the test.
type discoveryService struct {
	mu     sync.Mutex
	events []discovery.Event // the first event has the number firstEvent + 1
	silent bool              // whether it accepts connections but sends nothing
	closed chan struct{}     // closed when the service must end
}

const (
	firstEvent     = 1                     // number of the event that the configuration contains
	sendInterval   = 25 * time.Millisecond // between two rounds of sending
	heartbeatEvery = 20                    // rounds from one heartbeat to the next
)

// publish numbers an event and adds it to the events that are sent.
func (s *discoveryService) publish(e discovery.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.Number = firstEvent + uint64(len(s.events)) + 1
	s.events = append(s.events, e)
}

// setSilent stops or resumes all sending.
func (s *discoveryService) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// listen serves connections of the director at a new address.
func (s *discoveryService) listen() (net.Listener, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return listener, nil
}

// serve reads the number of the last event that the director has, and sends all later events until the service is closed.
func (s *discoveryService) serve(conn net.Conn) {
	defer conn.Close()
	var hello [8]byte
	if _, err := io.ReadFull(conn, hello[:]); err != nil {
		return
	}
	sent, err := discovery.ReadHello(hello[:])
	if err != nil {
		return
	}
	for round := 0; ; round++ {
		var frames []byte
		frames, sent = s.framesAfter(sent, round%heartbeatEvery == 0)
		if _, err := conn.Write(frames); err != nil {
			return
		}
		select {
		case <-s.closed:
			return
		case <-time.After(sendInterval):
		}
	}
}

// framesAfter encodes the events after a number, or a heartbeat if there are none and a heartbeat is due. It returns the number
// of the last event encoded so far.
func (s *discoveryService) framesAfter(number uint64, heartbeatDue bool) (frames []byte, last uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last = number
	if s.silent {
		return nil, last
	}
	for _, e := range s.events {
		if e.Number > last {
			frames, last = discovery.AppendEvent(frames, &e), e.Number
		}
	}
	if len(frames) == 0 && heartbeatDue {
		frames = discovery.AppendEvent(nil, &discovery.Event{Number: last})
	}
	return frames, last
}
