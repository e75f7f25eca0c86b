package director

import (
	"context"
	"net"
	"time"
)

// This file has the interface to the operating system's network, which tests replace.

// Network is the interface between the director and the operating system's network. The director opens every listener and
// every outgoing connection through it. Implementations return the errors of package net, and DialContext returns soon after
// its context ends.
type Network interface {
	Listen(address string) (net.Listener, error)
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// systemNetwork is the default Network: the operating system's.
type systemNetwork struct{}

// Listen listens over TCP.
func (systemNetwork) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// DialContext dials as net.Dialer does.
func (systemNetwork) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, address)
}

// UseNetwork sets the network through which the director listens and dials. It must be called before Run.
func (d *Director) UseNetwork(network Network) {
	d.network = network
	d.pool.network = network
}

// dialWithin dials over TCP for at most the timeout, or until the context ends.
func dialWithin(ctx context.Context, network Network, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return network.DialContext(ctx, "tcp", address)
}
