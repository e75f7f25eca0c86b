package testcluster

// This file records the events of a cluster and collects its diagnostics.

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Event is something that happened in a cluster, such as a fault that was injected.
type Event struct {
	At      time.Duration // by the cluster's clock
	Subject string        // the name of a process, or net, counter or play
	Message string
}

// String returns the event as one line.
func (e Event) String() string {
	return fmt.Sprintf("%9.3f %-8s %s", e.At.Seconds(), e.Subject, e.Message)
}

// Now returns the time of the cluster's clock, which counts from the cluster's start.
func (c *Cluster) Now() time.Duration { return time.Since(c.start) }

// AddEvent records an event that happens now.
func (c *Cluster) AddEvent(subject, message string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, Event{c.Now(), subject, message})
}

// Events returns all events so far, in order.
func (c *Cluster) Events() []Event {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.events)
}

// Diagnostics returns all events, and the log and state of each process, for troubleshooting.
func (c *Cluster) Diagnostics() string {
	var text strings.Builder
	for _, event := range c.Events() {
		fmt.Fprintln(&text, event)
	}
	for _, p := range c.Processes {
		fmt.Fprintf(&text, "--- %s\n%s", p.Name, p.Log())
		if p.Running() {
			text.WriteString(p.state())
		}
	}
	return text.String()
}

// state returns the process's status of leases and links as text.
func (p *Process) state() string {
	status, err := p.Status()
	if err != nil {
		return fmt.Sprintln("status:", err)
	}
	lease := &status.Lease
	return fmt.Sprintf("role %s, leader %s, term %d, owned jobs %v, counts %+v\n", lease.Role, lease.Leader, lease.Term, lease.Owned,
		lease.Counts) +
		fmt.Sprintf("links %+v, link counts %+v\n", status.Bus.Links, status.Bus.Counts)
}
