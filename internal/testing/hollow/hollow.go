// Package hollow runs many nodes in one process. A node is a director without clients and machines, a control machine, or an
// instance of a mesh. It consists only of the part that communicates with other nodes: the real package cluster over real TCP
// on loopback. A checker compares the events that each director accepts with those that all should have. A Host runs nodes and
// answers queries. A Process is a Host in a child process, which ends with its parent.
package hollow

// This file describes the nodes that a host runs.

import "fmt"

// Bounds of a host.
const (
	maxNodes    = 1024
	maxMachines = 16000 // fake machines of each node
)

// Spec describes what a host runs. The process of a host reads it as JSON.
type Spec struct {
	Address  string     `json:"desk"`     // where the host answers queries; port 0 is any free port, empty any on loopback
	Machines int        `json:"machines"` // number of fake machines of each node, which are all healthy
	Nodes    []NodeSpec `json:"directors"`
}

// NodeSpec describes a node of a host. Its cluster configuration decides whether it is an instance of a mesh, a control machine
// or a director.
type NodeSpec struct {
	Name       string `json:"name"`
	ConfigFile string `json:"file"` // path of the cluster configuration file; it is read once for all nodes that name it
}

// Validate returns an error if a number is out of bounds or two nodes have the same name.
func (s *Spec) Validate() error {
	switch {
	case len(s.Nodes) > maxNodes:
		return fmt.Errorf("hollow: %d nodes, want at most %d", len(s.Nodes), maxNodes)
	case s.Machines < 0 || s.Machines > maxMachines:
		return fmt.Errorf("hollow: %d machines of each node, want 0 to %d", s.Machines, maxMachines)
	}
	names := map[string]bool{}
	for _, n := range s.Nodes {
		if names[n.Name] {
			return fmt.Errorf("hollow: two nodes are named %q", n.Name)
		}
		names[n.Name] = true
	}
	return nil
}
