package emulator

// This file holds a machine's listener and the set of directors' connections to it.

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"indigochute.example/indigochute/internal/topology"
)

// machineServer is the network side of a machine. Its goroutines belong to the fleet; close ends them.
type machineServer struct {
	fleet      *Fleet
	machine    topology.Machine
	addr       netip.AddrPort // where it listens while it is up
	advertised netip.AddrPort // the address that discovery announces

	healthChecks atomic.Int64 // received
	requests     atomic.Int64 // received

	mu       sync.Mutex   // guards the fields below
	listener net.Listener // nil while the machine is down
	conns    map[*directorConn]bool
	closed   bool
}

// anyLoopbackPort is the address to listen at on a free loopback port.
const anyLoopbackPort = "127.0.0.1:0"

// start opens the machine's port for the first time. The origin has no port.
func (m *machineServer) start() error {
	if m.machine.Role == topology.OriginRole {
		m.addr = netip.MustParseAddrPort(originAddr)
		m.advertised = m.addr
		return nil
	}
	if err := m.listen(); err != nil {
		return err
	}
	m.advertised = m.addr
	if advertise := m.fleet.options.AdvertisedAddr; advertise != nil {
		var err error
		m.advertised, err = advertise(m.machine, m.addr)
		return err
	}
	return nil
}

// listen opens the machine's port: a free port at the first start, and the same port at later starts. It does nothing if the
// machine was closed.
func (m *machineServer) listen() error {
	address := anyLoopbackPort
	if m.addr.IsValid() {
		address = m.addr.String()
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	if !m.addr.IsValid() {
		m.addr = addrOf(listener)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return listener.Close()
	}
	m.listener = listener
	m.fleet.goroutines.Go(func() { m.accept(listener) })
	return nil
}

// addrOf returns the address of a TCP listener.
func addrOf(listener net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(listener.Addr().String())
}

// accept serves connections until the listener is closed.
func (m *machineServer) accept(listener net.Listener) {
	for {
		socket, err := listener.Accept()
		if err != nil {
			return
		}
		conn := newDirectorConn(m, socket)
		if !m.register(conn, listener) {
			socket.Close()
			return
		}
		m.fleet.goroutines.Go(conn.writeResponses)
		m.fleet.goroutines.Go(conn.readCommands)
	}
}

// register adds a connection that the listener accepted. It returns false if the machine has been stopped since.
func (m *machineServer) register(conn *directorConn, listener net.Listener) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listener != listener {
		return false
	}
	m.conns[conn] = true
	return true
}

// forget removes a connection that has ended.
func (m *machineServer) forget(conn *directorConn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.conns, conn)
}

// stop closes the port and resets every connection.
func (m *machineServer) stop() {
	m.mu.Lock()
	listener, conns := m.listener, m.conns
	m.listener, m.conns = nil, map[*directorConn]bool{}
	m.mu.Unlock()
	if listener != nil {
		listener.Close()
	}
	for conn := range conns {
		if tcp, ok := conn.socket.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.socket.Close()
	}
}

// reopen opens the port of a machine that was started again.
func (m *machineServer) reopen() {
	if m.machine.Role == topology.OriginRole {
		return
	}
	if err := m.listen(); err != nil {
		m.fleet.options.Log.WithError(err).Error("emulator: cannot reopen the port of a restarted machine")
	}
}

// close stops the machine for good.
func (m *machineServer) close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.stop()
}
