// Package testcluster runs several director processes of the built program in front of emulated machines. There is a fault
// proxy on every link: between directors, to the machines, and to the counter that periodic jobs call. Processes can be
// killed, paused, resumed, restarted and shut down. Events are recorded with the times of one clock. Close ends everything that
// the package starts. Processes also end when the calling process does.
package testcluster

// This file starts and closes a cluster.

import (
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/testing/emulator"
	"indigochute.example/indigochute/internal/testing/faultproxy"
	"indigochute.example/indigochute/internal/topology"
)

// maxListenTime is how long a process may take from its start until it accepts clients.
const maxListenTime = 10 * time.Second

// Options of a cluster.
type Options struct {
	Program   string // path of the built program
	Directors int    // number of director processes, which are named n0, n1 and so on
	Seed      uint64
	Topology  string // YAML of the emulated machines, in which %d stands for the number of directors; empty means SmallTopology

	// ClusterConfig is YAML that follows the list of instances in each cluster configuration file. COUNTER in it stands for
	// the address of the counter.
	ClusterConfig   string
	NoClusterConfig bool      // directors have no cluster configuration file and run independently
	SingleMember    bool      // each cluster configuration file lists only its own director
	ClockRates      []float64 // speed of each instance's lease clock relative to real time; 1 for instances without an element

	// Processes, if set, lists the processes to run, and Directors is ignored.
	Processes []ProcessSpec
	// ClusterConfigFor, if set, returns the text of a process's cluster configuration file in place of the default text.
	ClusterConfigFor func(c *Cluster, p *Process) (string, error)
}

// ProcessSpec describes a process of a cluster.
type ProcessSpec struct {
	Name          string
	ServesClients bool // clients of the emulated machines connect to it
}

// complete fills in the defaults. Afterwards Processes lists all processes, and Directors is the number of those that serve
// clients.
func (o *Options) complete() {
	if o.Topology == "" {
		o.Topology = SmallTopology
	}
	if o.Processes == nil {
		for i := range o.Directors {
			o.Processes = append(o.Processes, ProcessSpec{Name: "n" + strconv.Itoa(i), ServesClients: true})
		}
		return
	}
	o.Directors = 0
	for _, spec := range o.Processes {
		if spec.ServesClients {
			o.Directors++
		}
	}
}

// Cluster is a running cluster. Its methods are safe for concurrent use.
type Cluster struct {
	Emulator  *emulator.Fleet     // the emulated machines
	Network   *faultproxy.Network // its links are named n0>n1, n0>counter, and >NAME to each machine
	Counter   *Counter
	Processes []*Process

	options  Options
	topology *topology.Topology
	dir      string // directory of the configuration files; Close removes it
	start    time.Time

	mu     sync.Mutex // guards events
	events []Event
}

// Start starts a cluster and waits until each process accepts clients.
func Start(options Options) (*Cluster, error) {
	options.complete()
	machines, err := topology.Parse("rig", fmt.Appendf(nil, options.Topology, options.Directors))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig")
	if err != nil {
		return nil, err
	}
	c := &Cluster{options: options, topology: machines, dir: dir, start: time.Now()}
	if err := c.startAll(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// startAll starts the fault proxy, the counter, the machines and the processes, in this order. After an error the caller
// calls Close, which ends those that were started.
func (c *Cluster) startAll() (err error) {
	c.Network = faultproxy.New(c.options.Seed, func(command string) { c.AddEvent("net", command) })
	if c.Counter, err = newCounter(c); err != nil {
		return err
	}
	emulatorOptions := emulator.Options{Seed: c.options.Seed, AdvertisedAddr: c.linkMachine}
	if c.Emulator, err = emulator.Start(c.topology, emulatorOptions); err != nil {
		return err
	}
	if err := c.addProcesses(); err != nil {
		return err
	}
	return c.startProcesses()
}

// linkMachine opens the link to a machine, which listens at address. It returns the address of the link, which is announced to
// directors in place of the machine's own.
func (c *Cluster) linkMachine(machine topology.Machine, address netip.AddrPort) (netip.AddrPort, error) {
	link, err := c.Network.AddLink(">"+machine.Name, address.String())
	if err != nil {
		return address, err
	}
	return netip.ParseAddrPort(link.Addr())
}

// addProcesses creates all processes and chooses their addresses, without starting them.
func (c *Cluster) addProcesses() error {
	directors := 0
	for i, spec := range c.options.Processes {
		p := &Process{Name: spec.Name, cluster: c, index: i, directorIndex: directors}
		if err := p.chooseAddresses(spec.ServesClients); err != nil {
			return err
		}
		if spec.ServesClients {
			directors++
		}
		c.Processes = append(c.Processes, p)
	}
	return nil
}

// chooseAddresses sets the addresses at which the process will listen. If it serves clients, it also registers the process with
// the emulator, whose clients connect to it from then on.
func (p *Process) chooseAddresses(servesClients bool) (err error) {
	if servesClients {
		p.ClientAddress, p.reportEnded, err = p.cluster.Emulator.AddExternalDirector(0)
	} else {
		p.ClientAddress, err = emulator.FreePort()
	}
	if err != nil {
		return err
	}
	peerAddress, err := emulator.FreePort()
	if err != nil {
		return err
	}
	p.PeerAddress = peerAddress.String()
	return nil
}

// startProcesses starts all processes and waits until they accept clients. The cluster configuration files are written
// before any process starts, as they name the links to all processes.
func (c *Cluster) startProcesses() error {
	for _, p := range c.Processes {
		if err := p.writeClusterConfig(); err != nil {
			return err
		}
	}
	for _, p := range c.Processes {
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, p := range c.Processes {
		if err := emulator.WaitListening(p.ClientAddress, maxListenTime); err != nil {
			return fmt.Errorf("%s: %w\n%s", p.Name, err, p.Log())
		}
	}
	return nil
}

// Close ends everything that the cluster started.
func (c *Cluster) Close() {
	for _, p := range c.Processes {
		p.Kill()
	}
	if c.Emulator != nil {
		for _, p := range c.Processes {
			if p.reportEnded != nil {
				p.reportEnded()
			}
		}
		c.Emulator.Close()
	}
	if c.Counter != nil {
		c.Counter.server.Close()
	}
	c.Network.Close()
	os.RemoveAll(c.dir)
}
