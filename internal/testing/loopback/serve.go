// Package loopback serves connections on loopback sockets for the duration of a test.
package loopback

import (
	"net"
	"net/netip"
	"sync"
	"testing"
)

// Serve listens on a free loopback port until the test ends, and returns its address. It calls handle for each connection, in a
// separate goroutine, and closes the connection when handle returns. When the test ends, all connections are closed, and the
// cleanup waits until every call of handle has returned. The test fails if Serve cannot listen.
func Serve(t testing.TB, handle func(conn net.Conn)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: listener, handle: handle, conns: map[net.Conn]bool{}}
	s.goroutines.Go(s.accept)
	t.Cleanup(s.close)
	return netip.MustParseAddrPort(listener.Addr().String())
}

// server is a listener and its open connections.
type server struct {
	listener   net.Listener
	handle     func(conn net.Conn)
	goroutines sync.WaitGroup

	mu     sync.Mutex        // guards the fields below
	conns  map[net.Conn]bool // the open connections
	closed bool
}

// accept serves connections until the listener is closed.
func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.goroutines.Go(func() { s.serve(conn) })
	}
}

// serve calls handle for a connection and closes it afterwards.
func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	if !s.add(conn) {
		return
	}
	defer s.remove(conn)
	s.handle(conn)
}

// add registers an open connection. It returns false if the test has ended.
func (s *server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = true
	return !s.closed
}

// remove removes a connection that has been handled.
func (s *server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// close closes the listener and the open connections, and waits for all goroutines.
func (s *server) close() {
	s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}
