package hollow

// This file starts control machines as processes, and directors that follow them.

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"indigochute.example/indigochute/internal/cluster"
	"indigochute.example/indigochute/internal/testing/emulator"
)

// GOMAXPROCS of the processes.
const (
	hostThreads    = 4 // of a process with many directors
	controlThreads = 2 // of a process with one control machine
)

const (
	maxLinkTime    = time.Minute // until all links are up
	linkPollPeriod = 200 * time.Millisecond
)

// ControlPlane holds hollow control machines, each a process of its own, and the cluster configuration of all nodes that follow
// them.
type ControlPlane struct {
	Layout     Layout
	ConfigFile string
	Machines   []*Process
	dir        string // of ConfigFile
}

// StartControlPlane starts a number of control machines at free addresses. Each has the given number of fake machines whose
// health it checks. StartControlPlane does not wait until the control machines are connected.
func StartControlPlane(program string, layout Layout, control, machines int) (c *ControlPlane, err error) {
	if layout.Control, err = freeAddresses(control); err != nil {
		return nil, err
	}
	c = &ControlPlane{Layout: layout}
	if c.dir, c.ConfigFile, err = writeClusterConfig(&layout); err != nil {
		c.Close()
		return nil, err
	}
	for i := range control {
		spec := Spec{Machines: machines, Nodes: []NodeSpec{{fmt.Sprintf("c%d", i), c.ConfigFile}}}
		p, err := Start(program, spec, controlThreads)
		if err != nil {
			c.Close()
			return nil, err
		}
		c.Machines = append(c.Machines, p)
	}
	return c, nil
}

// StartDirectors starts a number of the layout's directors in one process, beginning with director number from.
func (c *ControlPlane) StartDirectors(program string, from, number int) (*Process, error) {
	return Start(program, Spec{Nodes: c.Layout.NodeSpecs(c.ConfigFile, from, number)}, hostThreads)
}

// Close ends the control machines.
func (c *ControlPlane) Close() error {
	var failures []error
	for _, p := range c.Machines {
		if p.Running() {
			failures = append(failures, p.Close())
		}
	}
	if c.dir != "" {
		os.RemoveAll(c.dir)
	}
	return errors.Join(failures...)
}

// awaitSubscribers waits until directors have the given number of links to the control machines, and each control machine has
// health reports.
func (c *ControlPlane) awaitSubscribers(links int) error {
	connected, withReports := 0, 0
	_, err := Await("links to control machines, and health reports", maxLinkTime, func() bool {
		time.Sleep(linkPollPeriod)
		connected, withReports = 0, 0
		for _, address := range c.Layout.Control {
			status, err := cluster.QueryInstance(address)
			if err != nil {
				continue
			}
			connected += status.Bus.Subscribers.Connected
			if status.Health.Alive > 0 {
				withReports++
			}
		}
		return connected == links && withReports == len(c.Layout.Control)
	})
	if err != nil {
		return fmt.Errorf("%w: %d of %d links are up, %d control machines have health reports", err, connected, links, withReports)
	}
	return nil
}

// freeAddresses returns a number of free loopback addresses.
func freeAddresses(number int) (all []string, err error) {
	for range number {
		address, err := emulator.FreePort()
		if err != nil {
			return nil, err
		}
		all = append(all, address.String())
	}
	return all, nil
}

// writeClusterConfig writes a layout's cluster configuration file into a new directory, which the caller removes.
func writeClusterConfig(layout *Layout) (dir, path string, err error) {
	if dir, err = os.MkdirTemp("", "hollow"); err != nil {
		return "", "", err
	}
	path = filepath.Join(dir, "operator.yaml")
	return dir, path, os.WriteFile(path, []byte(layout.ClusterConfig()), 0o600)
}
