// Package emulator runs an emulated cache fleet on loopback sockets, for tests and trials without machines: caches,
// parents, an origin, a discovery service, real directors, and a load generator with its clients. Package
// simulation models the machines. This package connects the model to sockets and the real clock, and checks the rules of the
// protocol from outside. Fleet.Close ends everything that the package starts.
package emulator

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/director"
	"indigochute.example/indigochute/internal/simulation"
	"indigochute.example/indigochute/internal/topology"
)

// Options of an emulated fleet.
type Options struct {
	// Seed is the seed of the first director. The seeds of the others are derived from it.
	Seed uint64
	// BodySize returns the size of a response's body in bytes. If it is nil, the fleet's description decides.
	BodySize func(class int, object uint64, part uint32) int
	// Log is the logger of the directors and of the emulator itself. If it is nil, nothing is logged.
	Log *logrus.Logger
	// NewObserver, if set, returns the observer of a director that StartDirectors starts, or nil for none.
	NewObserver func(director int, zone int, start time.Time) director.Observer
	// AdvertisedAddr, if set, returns the address of a machine that discovery announces to directors in place of the
	// machine's own address, such as the address of a fault proxy.
	AdvertisedAddr func(machine topology.Machine, addr netip.AddrPort) (netip.AddrPort, error)
}

// Fleet is a running emulation. Its methods are safe for concurrent use, except those that add directors and Close.
type Fleet struct {
	description *topology.Topology
	options     Options
	start       time.Time // time 0 of the simulated world
	machines    []topology.Machine
	servers     map[uint32]*machineServer // by machine ID
	discovery   *discoveryService
	directors   []*directorInstance
	rules       *ruleChecker
	lateness    *lateness // of handling the world's events
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup // all goroutines except the directors'
	wake        chan struct{}  // notifies runWorld that the next event may have changed

	mu      sync.Mutex // guards the fields below
	world   *simulation.World
	pending map[uint64]*pendingRequest // by the request's ID in the world
	lastID  uint64                     // ID of the last request submitted to the world
}

// originAddr is the advertised address of the origin. Endpoint lists need one, but nothing connects to it.
const originAddr = "127.0.0.1:9"

// directorEndTimeout bounds how long Close waits for each director.
const directorEndTimeout = 10 * time.Second

// Start starts a fleet without directors. It returns an error if a machine or discovery cannot listen, or the error of
// Options.AdvertisedAddr.
func Start(description *topology.Topology, options Options) (*Fleet, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := newFleet(description, options, cancel)
	if err := f.startServers(); err != nil {
		f.Close()
		return nil, err
	}
	var err error
	if f.discovery, err = startDiscovery(ctx, f); err != nil {
		f.Close()
		return nil, err
	}
	f.goroutines.Go(func() { f.runWorld(ctx) })
	return f, nil
}

// newFleet returns a fleet that is not started, with the defaults of the options filled in.
func newFleet(description *topology.Topology, options Options, cancel context.CancelFunc) *Fleet {
	if options.Log == nil {
		options.Log = logrus.New()
		options.Log.SetOutput(io.Discard)
	}
	if options.BodySize == nil {
		options.BodySize = func(class int, object uint64, part uint32) int {
			return description.Classes[class].SizeOf(object, part)
		}
	}
	f := &Fleet{
		description: description,
		options:     options,
		start:       time.Now(),
		machines:    description.Machines(),
		servers:     map[uint32]*machineServer{},
		lateness:    newLateness(),
		cancel:      cancel,
		world:       simulation.New(description),
		pending:     map[uint64]*pendingRequest{},
		wake:        make(chan struct{}, 1),
	}
	f.rules = newRuleChecker(f)
	return f
}

// startServers opens the port of each machine except the origin.
func (f *Fleet) startServers() error {
	for _, machine := range f.machines {
		server := &machineServer{fleet: f, machine: machine, conns: map[*directorConn]bool{}}
		f.servers[machine.ID] = server
		if err := server.start(); err != nil {
			return err
		}
	}
	return nil
}

// Machines returns the fleet's machines, in the order of its description.
func (f *Fleet) Machines() []topology.Machine { return f.machines }

// Violations returns one line for each violation of the protocol's rules that was seen so far.
func (f *Fleet) Violations() []string { return f.rules.list() }

// Lateness returns the 99th percentile of how late the emulator handled the world's events. If it is high, a run measures the
// machine that it runs on and not the directors.
func (f *Fleet) Lateness() time.Duration { return f.lateness.percentile99() }

// Close shuts the directors down and waits up to directorEndTimeout for each. Then it stops everything else and waits until
// all goroutines of the fleet have ended.
func (f *Fleet) Close() {
	f.StopDirectors()
	f.cancel()
	for _, server := range f.servers {
		server.close()
	}
	f.goroutines.Wait()
}
