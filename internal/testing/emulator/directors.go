package emulator

// This file starts the directors of a fleet and keeps the addresses at which they listen.

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"indigochute.example/indigochute/internal/config"
	"indigochute.example/indigochute/internal/director"
	"indigochute.example/indigochute/internal/discovery"
)

// directorInstance is one director, in this process or another.
type directorInstance struct {
	zone   int
	addr   netip.AddrPort // where clients connect
	cancel context.CancelFunc
	done   chan error // receives once the director has ended
}

const (
	directorStartTimeout = 5 * time.Second // from a director's start until it listens

	// hashMultiplier is 2^64 divided by the golden ratio. Multiplication by it spreads consecutive numbers over all 64 bits.
	hashMultiplier = 0x9e3779b97f4a7c15
)

// StartDirectors starts every director of the fleet's description in this process, and returns once all of them listen.
func (f *Fleet) StartDirectors() error {
	number := 0
	for zone := range f.description.Zones {
		for range f.description.Zones[zone].Directors {
			if err := f.startDirector(zone, number); err != nil {
				return err
			}
			number++
		}
	}
	return nil
}

// StopDirectors has all directors of the fleet shut down gracefully, and waits for their end for directorEndTimeout each at most.
// Their observers are notified of hardly any request after that.
func (f *Fleet) StopDirectors() {
	for _, instance := range f.directors {
		instance.cancel()
	}
	for _, instance := range f.directors {
		select {
		case <-instance.done:
		case <-time.After(directorEndTimeout):
		}
	}
	f.directors = nil
}

// startDirector starts a director in a zone, with the given number within the fleet, and returns once it listens.
func (f *Fleet) startDirector(zone, number int) error {
	addr, err := FreePort()
	if err != nil {
		return err
	}
	text, err := f.DirectorConfig(zone, number, addr.String())
	if err != nil {
		return err
	}
	settings, err := config.Parse(text, "", "")
	if err != nil {
		return fmt.Errorf("standin: the director's configuration: %w", err)
	}
	process := director.New(settings, f.options.Log.WithField("name", settings.Name))
	if f.options.NewObserver != nil {
		if observer := f.options.NewObserver(number, zone, process.StartTime()); observer != nil {
			process.Observe(observer)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	instance := &directorInstance{zone: zone, addr: addr, cancel: cancel, done: make(chan error, 1)}
	go func() {
		instance.done <- process.Run(ctx, make(chan os.Signal), func() (*config.Config, error) { return settings, nil })
	}()
	f.directors = append(f.directors, instance)
	return WaitListening(addr, directorStartTimeout)
}

// DirectorConfig returns the configuration file of the director with the given number within this fleet. The director
// belongs to a zone and accepts clients at listen, a host:port.
func (f *Fleet) DirectorConfig(zone, number int, listen string) ([]byte, error) {
	return f.NamedDirectorConfig("n"+strconv.Itoa(number), zone, number, listen)
}

// NamedDirectorConfig is DirectorConfig for a director with a name of its own.
func (f *Fleet) NamedDirectorConfig(name string, zone, number int, listen string) ([]byte, error) {
	kinds := []string{"cache", "parent", "origin"}
	zones := []string{}
	for _, described := range f.description.Zones {
		zones = append(zones, described.Name)
	}
	last, endpoints := f.discovery.snapshot()
	seed := f.options.Seed + uint64(number)*hashMultiplier
	known := discovery.NewSnapshot(last, endpoints, zones, kinds)
	return f.description.Config(name, listen, f.discovery.addr.String(), zone, number, seed, known)
}

// AddExternalDirector returns an address for a director of a zone that runs in another process. Clients of the zone
// connect there from now on. The caller calls ended once when that director has ended; Close waits for the call.
func (f *Fleet) AddExternalDirector(zone int) (addr netip.AddrPort, ended func(), err error) {
	if addr, err = FreePort(); err != nil {
		return addr, nil, err
	}
	instance := &directorInstance{zone: zone, addr: addr, cancel: func() {}, done: make(chan error, 1)}
	f.directors = append(f.directors, instance)
	return addr, func() { instance.done <- nil }, nil
}

// DirectorAddr returns the client address of one of a zone's directors. The index wraps around after the last one. It
// returns false if the zone has no director.
func (f *Fleet) DirectorAddr(zone, index int) (netip.AddrPort, bool) {
	var addrs []netip.AddrPort
	for _, instance := range f.directors {
		if instance.zone == zone {
			addrs = append(addrs, instance.addr)
		}
	}
	if len(addrs) == 0 {
		return netip.AddrPort{}, false
	}
	return addrs[index%len(addrs)], true
}
