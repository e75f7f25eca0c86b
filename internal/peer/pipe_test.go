package peer

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// pipeListener is a listener for connections of net.Pipe. Their deadlines are by the clock of a synctest bubble, so that tests of
// timing do not depend on the load of the machine.
type pipeListener struct {
	connections chan net.Conn
	closed      chan struct{}
	closing     sync.Once
	dropping    atomic.Bool // whether its connections drop all writes, like a network path that fails without a reset

	mu     sync.Mutex
	open   []net.Conn  // both ends of each connection dialled since the last cut
	dialed []time.Time // times of these dials
}

// newPipeListener returns a listener without connections.
func newPipeListener() *pipeListener {
	return &pipeListener{connections: make(chan net.Conn), closed: make(chan struct{})}
}

// listen is an Options.OpenListener.
func (l *pipeListener) listen(string, string) (net.Listener, error) { return l, nil }

// dial connects. It returns when the connection is accepted or the listener is closed.
func (l *pipeListener) dial() net.Conn {
	clientEnd, serverEnd := net.Pipe()
	client, server := pipeConn{clientEnd, l}, pipeConn{serverEnd, l}
	l.mu.Lock()
	l.open = append(l.open, client, server)
	l.dialed = append(l.dialed, time.Now())
	l.mu.Unlock()
	select {
	case l.connections <- server:
	case <-l.closed:
		server.Close()
	}
	return client
}

// cut closes all connections and clears the lists of them. The listener continues to accept.
func (l *pipeListener) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, connection := range l.open {
		connection.Close()
	}
	l.open, l.dialed = nil, nil
}

// dialTimes returns the times of the dials since the last cut.
func (l *pipeListener) dialTimes() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.dialed)
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.connections:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return pipeAddr{} }

// pipeAddr is the address of a pipeListener.
type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "pipe" }

// pipeConn is one end of a connection of a pipeListener.
type pipeConn struct {
	net.Conn
	listener *pipeListener
}

// Write writes, or drops the bytes while the listener drops writes.
func (c pipeConn) Write(b []byte) (int, error) {
	if c.listener.dropping.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes this end. While the listener drops writes, the other end does not see the close, as with a network path that fails.
func (c pipeConn) Close() error {
	if c.listener.dropping.Load() {
		return c.SetDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}

// pipeNetwork has the listeners of instances by name. The name of an instance is also its address.
type pipeNetwork map[string]*pipeListener

// add adds the listener of an instance.
func (n pipeNetwork) add(name string) *pipeListener {
	n[name] = newPipeListener()
	return n[name]
}

// openControlMachine opens a control machine in this network. It is closed when the test ends.
func (n pipeNetwork) openControlMachine(t *testing.T, name string, change func(o *Options)) (*Bus, *listPublisher) {
	t.Helper()
	bus, publisher := openControlMachine(t, name, func(o *Options) {
		o.OpenListener = n.add(name).listen
		if change != nil {
			change(o)
		}
	})
	t.Cleanup(bus.Close)
	return bus, publisher
}

// dial is an UplinkOptions.Dial.
func (n pipeNetwork) dial(_ context.Context, _, addr string) (net.Conn, error) {
	return n[addr].dial(), nil
}
