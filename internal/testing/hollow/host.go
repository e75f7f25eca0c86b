package hollow

// This file starts, reloads and ends the nodes of a host.

import (
	"cmp"
	"errors"
	"fmt"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/clusterconfig"
	"indigochute.example/indigochute/internal/peer"
)

// unlinkedSamplePeriod is how often a host updates how long its directors have been without a link.
const unlinkedSamplePeriod = 250 * time.Millisecond

// anyAddress lets the system choose a free port on loopback.
const anyAddress = "127.0.0.1:0"

// Host runs many nodes in this process. Its methods are safe for concurrent use.
type Host struct {
	spec    Spec
	log     *logrus.Entry
	checker *Checker
	server  *peer.QueryServer
	nodes   []*node // does not change once the host is open

	stop       chan struct{}  // closed when the host ends
	background sync.WaitGroup // waits for sampleUnlinked, which ends with stop

	mu     sync.Mutex // guards closed
	closed bool
}

// Open starts all nodes of a spec. The host answers queries until Close or Shutdown.
func Open(spec Spec, log *logrus.Entry) (*Host, error) {
	if err := spec.Validate(); err != nil {
		return nil, err
	}
	h := &Host{spec: spec, log: log, checker: NewChecker(), stop: make(chan struct{})}
	if err := h.start(); err != nil {
		h.Close()
		return nil, err
	}
	debug.FreeOSMemory() // as a real director does after it has read its cluster configuration
	h.background.Go(h.sampleUnlinked)
	return h, nil
}

// start starts the nodes and the server for queries. After an error the caller calls Close.
func (h *Host) start() (err error) {
	configs, machines := configFiles{}, fakeMachines(h.spec.Machines)
	for _, spec := range h.spec.Nodes {
		config, err := configs.read(spec.ConfigFile)
		if err != nil {
			return err
		}
		n := &node{NodeSpec: spec, director: &idleDirector{machines: machines}}
		if err := n.start(config, h.checker, h.log); err != nil {
			return fmt.Errorf("hollow: %s: %w", spec.Name, err)
		}
		h.nodes = append(h.nodes, n)
	}
	h.server, err = peer.OpenQueryServer(cmp.Or(h.spec.Address, anyAddress), h.handlers())
	return err
}

// configFiles caches cluster configuration files by path, so that each is read once.
type configFiles map[string]*clusterconfig.File

// read returns the file at a path.
func (c configFiles) read(path string) (*clusterconfig.File, error) {
	if cached := c[path]; cached != nil {
		return cached, nil
	}
	config, err := clusterconfig.Read(path, "")
	if err == nil {
		c[path] = config
	}
	return config, err
}

// Addr returns the address at which the host answers queries.
func (h *Host) Addr() string { return h.server.Addr() }

// Reload reads the cluster configuration files again and reloads all nodes. The error joins the errors of nodes that rejected
// their file. All other nodes are reloaded even if there is an error.
func (h *Host) Reload() error {
	var failures []error
	configs := configFiles{}
	for _, n := range h.nodes {
		config, err := configs.read(n.ConfigFile)
		if err == nil {
			err = n.participant.Reload(config)
		}
		if err != nil {
			failures = append(failures, fmt.Errorf("%s: %w", n.Name, err))
		}
	}
	return errors.Join(failures...)
}

// sampleUnlinked updates the longest times without a link of all directors each unlinkedSamplePeriod, until the host ends.
func (h *Host) sampleUnlinked() {
	ticker := time.NewTicker(unlinkedSamplePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-ticker.C:
			for _, n := range h.nodes {
				n.updateUnlinked()
			}
		}
	}
}

// Shutdown ends all nodes gracefully, after they have handed over their jobs.
func (h *Host) Shutdown() { h.endAll(participant.Leave) }

// Close ends all nodes immediately.
func (h *Host) Close() { h.endAll(participant.Close) }

// endAll ends all nodes concurrently. It does nothing if the host has been ended before.
func (h *Host) endAll(end func(participant)) {
	h.mu.Lock()
	alreadyClosed := h.closed
	h.closed = true
	h.mu.Unlock()
	if alreadyClosed {
		return
	}
	close(h.stop)
	h.background.Wait()
	if h.server != nil {
		h.server.Close()
	}
	var ending sync.WaitGroup
	for _, n := range slices.Backward(h.nodes) {
		ending.Go(func() { end(n.participant) })
	}
	ending.Wait()
}
