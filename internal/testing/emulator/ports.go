package emulator

// This file finds ports for processes that are started later, and waits until they listen.

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// Ports are chosen from the portCount ports that begin at firstPort. They lie below the ephemeral ports, which start at
	// 32768 on Linux: an outgoing connection might take one of those before the process listens.
	firstPort    = 12000
	portCount    = 20000
	portAttempts = 200 // random ports that are tried before FreePort fails

	dialInterval = 5 * time.Millisecond // between attempts to connect to a process that does not listen yet
)

// chosenPorts holds every port that FreePort has tried in this process.
var chosenPorts sync.Map

// FreePort returns a loopback address at which nothing listens now, for a process that will listen there later. It never
// returns the same address twice. It returns an error if portAttempts random ports were all taken.
func FreePort() (netip.AddrPort, error) {
	var err error
	for range portAttempts {
		port := uint16(firstPort + rand.N(portCount))
		if _, chosen := chosenPorts.LoadOrStore(port, true); chosen {
			continue
		}
		var listener net.Listener
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
		if listener, err = net.Listen("tcp", addr.String()); err == nil {
			return addr, listener.Close()
		}
	}
	return netip.AddrPort{}, fmt.Errorf("emulator: no free port found: %w", err)
}

// WaitListening waits until connections are accepted at an address. After the timeout it returns the last dial error.
func WaitListening(addr netip.AddrPort, timeout time.Duration) error {
	for deadline := time.Now().Add(timeout); ; time.Sleep(dialInterval) {
		conn, err := net.Dial("tcp", addr.String())
		if err == nil {
			return conn.Close()
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("emulator: nothing listens at %v: %w", addr, err)
		}
	}
}
