package testcluster

// This file finds the leader and the owners of jobs, waits for conditions, and isolates processes.

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/testing/faultproxy"
	"indigochute.example/indigochute/internal/testing/poll"
)

// pollPeriod is how often Await checks its condition.
const pollPeriod = 10 * time.Millisecond

// leaderRole is the role of the leader in a process's status.
const leaderRole = "keeper"

// ErrTimeout is wrapped by the error of Await for a condition that did not hold in time.
var ErrTimeout = errors.New("testcluster: timed out")

// Await waits until a condition holds and returns how long that took. If it does not hold within the given time, the error
// wraps ErrTimeout and names the condition. The caller's goroutine checks the condition.
func (c *Cluster) Await(condition string, within time.Duration, holds func() bool) (time.Duration, error) {
	took, ok := poll.Until(within, pollPeriod, holds)
	if !ok {
		return took, fmt.Errorf("%w waiting for %q after %v", ErrTimeout, condition, within)
	}
	return took, nil
}

// Owners returns the names of the processes that own each job, by job. It queries each running process and skips those that do
// not answer. A job has several owners if several processes report that they own it.
func (c *Cluster) Owners() map[string][]string {
	owners := map[string][]string{}
	var mu sync.Mutex // guards owners
	var queries sync.WaitGroup
	for _, p := range c.Processes {
		if !p.Running() {
			continue
		}
		queries.Go(func() {
			status, err := p.Status()
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, owned := range status.Lease.Owned {
				owners[owned.Duty] = append(owners[owned.Duty], p.Name)
			}
		})
	}
	queries.Wait()
	return owners
}

// Leader returns the first running process that reports itself as the leader, or nil if none does.
func (c *Cluster) Leader() *Process {
	for _, p := range c.Processes {
		if !p.Running() {
			continue
		}
		if status, err := p.Status(); err == nil && status.Lease.Role == leaderRole {
			return p
		}
	}
	return nil
}

// Isolate drops all traffic between a process and the others until their links are healed. It works only in clusters without
// ProcessSpecs, whose processes are named n0, n1 and so on.
func (c *Cluster) Isolate(p *Process) {
	c.Network.SetFault(p.Name+">n*", faultproxy.Both, faultproxy.Fault{Drop: true})
	c.Network.SetFault("n*>"+p.Name, faultproxy.Both, faultproxy.Fault{Drop: true})
}
