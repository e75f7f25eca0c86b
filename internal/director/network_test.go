package director

import (
	"context"
	"net"
	"os"
	"slices"
	"sync"
	"testing"

	"indigochute.example/indigochute/internal/routing"
)

// recordingNetwork is a Network that records every address that is listened on or dialled.
type recordingNetwork struct {
	systemNetwork
	mu       sync.Mutex
	listened []string
	dialled  []string
}

func (n *recordingNetwork) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	n.listened = append(n.listened, address)
	n.mu.Unlock()
	return n.systemNetwork.Listen("127.0.0.1:0")
}

func (n *recordingNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	n.dialled = append(n.dialled, address)
	n.mu.Unlock()
	return n.systemNetwork.DialContext(ctx, network, address)
}

// has returns whether an address was listened on or dialled.
func (n *recordingNetwork) has(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Contains(n.listened, address) || slices.Contains(n.dialled, address)
}

// Guards against code that bypasses the Network: the listener and the connections to nodes, to the journal service and for
// health checks must all be opened through it.
func TestAllConnectionsUseNetwork(t *testing.T) {
	n := &recordingNetwork{}
	w := startWith(t, 2, nil, func(w *harness) { w.director.UseNetwork(n) })
	home := w.expectServed("page", "", "-", "")
	if address := w.nodes[home.node].Addr().String(); !n.has(address) {
		t.Errorf("the node at %s was not dialled through the Network", address)
	}
	w.waitUntil("journal service dialled", func() bool { return n.has(w.journal.Addr().String()) })
	results := make(chan routing.Result, 1)
	w.director.pool.checkHealth(uint32(2-home.node), func(e routing.Result) { results <- e })
	w.nextCommand("PING").reply(t, "PONG", "-", "")
	if e := <-results; e != routing.Served || !n.has(w.nodes[1-home.node].Addr().String()) {
		t.Errorf("health check: got result %d, want Served through the Network", e)
	}
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if err := w.director.Run(ctx, make(chan os.Signal), nil); err != nil || !n.has("127.0.0.1:1") {
		t.Errorf("Run returned %v or did not listen through the Network", err)
	}
}
