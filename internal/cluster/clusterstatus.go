package cluster

// Queries for the status of all instances, as used by the command line.

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/lease"
	"indigochute.example/indigochute/internal/peer"
)

// ClusterStatus is the status of all instances of an installation. The JSON keys must not change.
type ClusterStatus struct {
	Leader      string           `json:"keeper"` // name of the leader; empty: there is none, so no lease is renewed
	Instances   []InstanceStatus `json:"instances"`
	Duties      []DutyStatus     `json:"duties"`
	Unreachable []string         `json:"unreachable"` // names of the instances that did not respond, sorted
}

// InstanceStatus is the status of one instance, with its name.
type InstanceStatus struct {
	Status
	Name string `json:"name"`
}

// DutyStatus is the status of one periodic job as reported by its lease holder, or by the leader if the lease holder cannot be
// reached. The JSON keys must not change.
type DutyStatus struct {
	Duty      string        `json:"duty"`
	Owner     string        `json:"owner"` // lease holder; empty: none
	Fence     uint64        `json:"fence"` // fencing token of the lease
	LeaseLeft time.Duration `json:"lease_ns"`
	HasRun    bool          `json:"ran"`
	SinceRun  time.Duration `json:"age_ns"` // time since the last run began
	Running   bool          `json:"running"`
	Error     string        `json:"error"` // error of the last run; empty: it succeeded, or the lease holder cannot be reached
}

// statusTimeout bounds the query to one instance.
const statusTimeout = time.Second

// QueryCluster queries the instance at an address for its status, then all other instances listed in that status. It queries those
// concurrently, so it takes at most twice statusTimeout. It returns an error only if the first query fails. Other instances that do
// not respond are listed as unreachable.
func QueryCluster(addr string) (*ClusterStatus, error) {
	first, err := QueryInstance(addr)
	if err != nil {
		return nil, err
	}
	cluster := &ClusterStatus{
		Instances:   []InstanceStatus{{*first, first.Lease.Instance}},
		Duties:      []DutyStatus{},
		Unreachable: []string{},
	}
	var mu sync.Mutex // guards cluster
	var queries sync.WaitGroup
	for name, address := range first.Others {
		queries.Go(func() {
			status, err := QueryInstance(address)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				cluster.Unreachable = append(cluster.Unreachable, name)
				return
			}
			cluster.Instances = append(cluster.Instances, InstanceStatus{*status, name})
		})
	}
	queries.Wait()
	slices.Sort(cluster.Unreachable)
	slices.SortFunc(cluster.Instances, func(a, b InstanceStatus) int { return cmp.Compare(a.Name, b.Name) })
	cluster.mergeDuties()
	return cluster, nil
}

// QueryInstance queries the instance at an address for its status, within statusTimeout. It returns an error if peer.Query fails or
// if the response cannot be decoded.
func QueryInstance(addr string) (*Status, error) {
	response, err := peer.Query(addr, topicStatus, nil, statusTimeout)
	if err != nil {
		return nil, err
	}
	status := &Status{}
	if err := json.Unmarshal(response, status); err != nil {
		return nil, fmt.Errorf("decoding the status of %s: %w", addr, err)
	}
	return status, nil
}

// mergeDuties sets the leader and the statuses of the jobs. The status of a job is that of the leader, unless a lease holder reports
// the job under the same or a newer fencing token.
func (c *ClusterStatus) mergeDuties() {
	duties := map[string]DutyStatus{}
	for i := range c.Instances {
		instance := &c.Instances[i]
		if instance.Lease.Role == lease.RoleLeader {
			c.Leader = instance.Name
			instance.addTable(duties)
		}
	}
	for i := range c.Instances {
		c.Instances[i].addOwned(duties)
	}
	for _, name := range slices.Sorted(maps.Keys(duties)) {
		c.Duties = append(c.Duties, duties[name])
	}
}

// addTable adds the statuses of all jobs in the table of a leader.
func (s *InstanceStatus) addTable(duties map[string]DutyStatus) {
	for _, entry := range s.Lease.Table {
		duties[entry.Duty] = DutyStatus{
			Duty:      entry.Duty,
			Owner:     entry.Owner,
			Fence:     entry.Fence,
			LeaseLeft: entry.LeaseLeft,
			HasRun:    entry.HasRun,
			SinceRun:  entry.SinceRun,
		}
	}
}

// addOwned adds the status of each job that the instance has the lease of, unless duties has one with a newer fencing token.
func (s *InstanceStatus) addOwned(duties map[string]DutyStatus) {
	for _, owned := range s.Lease.Owned {
		known := duties[owned.Duty]
		if known.Owner == "" || known.Fence <= owned.Fence {
			duties[owned.Duty] = s.dutyStatus(owned)
		}
	}
}

// dutyStatus returns the status of a job that the instance has the lease of.
func (s *InstanceStatus) dutyStatus(owned lease.OwnedStatus) DutyStatus {
	return DutyStatus{
		Duty:      owned.Duty,
		Owner:     s.Name,
		Fence:     owned.Fence,
		LeaseLeft: owned.LeaseLeft,
		HasRun:    owned.HasRun,
		SinceRun:  owned.SinceRun,
		Running:   owned.Running,
		Error:     s.Results[owned.Duty].Error,
	}
}
