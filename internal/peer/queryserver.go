package peer

// A server that only answers requests, for instances without a bus.

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

// QueryServer answers requests and has neither peers nor subscribers. It serves one request per connection, and up to
// maxUnidentified connections at a time. Further connections wait in the kernel's backlog.
type QueryServer struct {
	listener    net.Listener
	handlers    QueryHandlers
	connections chan struct{}   // semaphore: one element for each open connection, at most maxUnidentified
	closing     context.Context // done when Close is called
	close       context.CancelFunc
	goroutines  sync.WaitGroup
}

// OpenQueryServer listens at an address until Close. It returns an error if the listener cannot be opened.
func OpenQueryServer(addr string, handlers QueryHandlers) (*QueryServer, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return newQueryServer(listener, handlers), nil
}

// newQueryServer returns a server that serves a listener until Close.
func newQueryServer(listener net.Listener, handlers QueryHandlers) *QueryServer {
	s := &QueryServer{listener: listener, handlers: handlers, connections: make(chan struct{}, maxUnidentified)}
	s.closing, s.close = context.WithCancel(context.Background())
	s.goroutines.Go(s.accept)
	return s
}

// Addr returns the address that the server listens at.
func (s *QueryServer) Addr() string { return s.listener.Addr().String() }

// Close stops accepting, closes the connections that have sent no request yet and waits until pending responses are written. It
// returns the error of closing the listener.
func (s *QueryServer) Close() error {
	s.close()
	err := s.listener.Close()
	s.goroutines.Wait()
	return err
}

// accept accepts connections until Close.
func (s *QueryServer) accept() {
	var backoff acceptBackoff
	for {
		socket, err := s.listener.Accept()
		if s.closing.Err() != nil {
			if err == nil {
				socket.Close()
			}
			return
		}
		if err != nil {
			s.pause(backoff.delayAfter(err))
			continue
		}
		backoff.reset()
		select {
		case <-s.closing.Done():
			socket.Close()
			return
		case s.connections <- struct{}{}:
		}
		s.goroutines.Go(func() { s.serve(socket) })
	}
}

// pause waits until a delay has passed or Close is called.
func (s *QueryServer) pause(delay time.Duration) {
	select {
	case <-s.closing.Done():
	case <-time.After(delay):
	}
}

// serve reads one request, answers it and closes the connection. The read deadline guards against a client that sends nothing.
func (s *QueryServer) serve(socket net.Conn) {
	defer func() { <-s.connections }()
	defer socket.Close()
	socket.SetReadDeadline(time.Now().Add(helloTimeout))
	stopReading := context.AfterFunc(s.closing, func() { socket.SetReadDeadline(time.Now()) })
	defer stopReading()
	received, err := readFrame(bufio.NewReader(socket), maxRequestBytes)
	if err != nil {
		return
	}
	if request, ok := received.(requestFrame); ok {
		s.handlers.reply(socket, request)
	}
}
