// Package faultproxy puts TCP proxies between processes and injects network faults there: drops (partitions), latency,
// jitter, limited bandwidth, corruption and resets. Links are controlled in groups, by calls or by a schedule. Random faults
// are drawn from one seed.
//
// Links carry TCP streams, so a link that drops does not lose the bytes that it has read. The bytes wait, as at a sender whose
// packets are lost. Once the link heals they are forwarded, if the connection still exists then. While a link drops, it
// accepts new connections but forwards nothing on them.
package faultproxy

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Network is a set of links that share one random source. It is safe for concurrent use.
type Network struct {
	goroutines sync.WaitGroup // of the links and their connections
	onCommand  func(command string)

	mu     sync.Mutex // guards the fields below
	random *rand.Rand
	links  []*Link
}

// randomStream is the second half of the generator's seed. It keeps this package's draws apart from others with the same seed.
const randomStream = 0x4e1a

// New returns a network without links whose random faults are drawn from seed. onCommand, if not nil, is called with a line of
// text before each command that changes links. It must not block.
func New(seed uint64, onCommand func(command string)) *Network {
	if onCommand == nil {
		onCommand = func(string) {}
	}
	return &Network{random: rand.New(rand.NewPCG(seed, randomStream)), onCommand: onCommand}
}

// draw returns a random number from 0 up to 1.
func (n *Network) draw() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64()
}

// AddLink listens on a free loopback port and forwards connections to target, a host:port at which nothing needs to listen yet.
// Patterns select the link by its name, such as n0>n1. The link ends with Network.Close. AddLink returns an error if it cannot
// listen.
func (n *Network) AddLink(name, target string) (*Link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link := &Link{
		Name:        name,
		network:     n,
		target:      target,
		listener:    listener,
		changed:     make(chan struct{}),
		connections: map[*connection]bool{},
	}
	n.mu.Lock()
	n.links = append(n.links, link)
	n.mu.Unlock()
	n.goroutines.Go(link.acceptConnections)
	return link, nil
}

// Links returns the links whose names match the pattern, in which each * stands for any text, including none.
func (n *Network) Links(pattern string) (found []*Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, link := range n.links {
		if matches(link.Name, pattern) {
			found = append(found, link)
		}
	}
	return found
}

// SetFault sets the fault of the links that match the pattern, in one direction or both. It replaces their previous fault in
// that direction.
func (n *Network) SetFault(pattern string, direction Direction, fault Fault) {
	n.onCommand(fmt.Sprintf("links %s, %s: %s", pattern, direction, fault))
	for _, link := range n.Links(pattern) {
		link.setFault(direction, fault)
	}
}

// Heal ends the faults of the links that match the pattern. Connections that were accepted during a fault continue.
func (n *Network) Heal(pattern string) { n.SetFault(pattern, Both, Fault{}) }

// Reset resets the open connections of the links that match the pattern.
func (n *Network) Reset(pattern string) {
	n.onCommand("cut " + pattern)
	for _, link := range n.Links(pattern) {
		open := link.openConnections()
		link.countReset(len(open))
		for _, c := range open {
			c.reset()
		}
	}
}

// HalfClose ends the forward direction of the open connections of the links that match the pattern. The target reads an end of
// file, as if the client had closed its writing side.
func (n *Network) HalfClose(pattern string) {
	n.onCommand("half-close " + pattern)
	for _, link := range n.Links(pattern) {
		for _, c := range link.openConnections() {
			c.halfClose()
		}
	}
}

// ResetAfter makes each link that matches the pattern reset a connection after the given number of further bytes, at least 1,
// in the forward direction. The reset usually falls into the middle of a frame.
func (n *Network) ResetAfter(pattern string, bytes int) {
	n.onCommand(fmt.Sprintf("cut %s after %d bytes", pattern, bytes))
	for _, link := range n.Links(pattern) {
		link.setResetAfter(bytes)
	}
}

// Close closes all links, resets their connections and waits until their goroutines have ended, which takes at most dialTimeout.
func (n *Network) Close() {
	n.mu.Lock()
	links := n.links
	n.links = nil
	n.mu.Unlock()
	for _, link := range links {
		link.close()
	}
	n.goroutines.Wait()
}
