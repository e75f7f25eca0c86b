package lease

import (
	"maps"
	"slices"
	"time"
)

// Values of Status.Role. These values and all JSON keys below are part of the JSON output and must not change, so some of them
// differ from the terms of this package.
const (
	RoleStarting  = "joining"  // in its quiet period
	RoleFollower  = "member"   // neither leader nor candidate
	RoleCandidate = "standing" // requests votes
	RoleLeader    = "keeper"
	RoleLeaving   = "leaving" // returns its leases
	RoleLeft      = "gone"    // has left
)

// Status is the state of one instance. All durations are relative to the time of the call.
type Status struct {
	Instance  string        `json:"instance"`
	Role      string        `json:"role"`    // one of the Role constants
	Leader    string        `json:"keeper"`  // instance that got the last vote of this one; empty: none yet
	Term      uint64        `json:"term"`    // highest known term
	LeaderFor time.Duration `json:"kept_ns"` // time until the leadership of this instance expires unless it is renewed
	QuietFor  time.Duration `json:"mute_ns"` // time until the quiet period of this instance ends
	Counts    Counts        `json:"counts"`
	Owned     []OwnedStatus `json:"own"`
	Table     []TableStatus `json:"table"` // empty unless this instance is the leader
}

// Counts counts events since the start of an instance.
type Counts struct {
	BecameLeader   int `json:"kept"`     // number of times that the instance became the leader
	LostLeadership int `json:"lapsed"`   // number of times that its leadership expired
	RejectedGrants int `json:"refused"`  // grants that arrived too late or were for an outdated set
	Acquired       int `json:"taken"`    // leases that the instance got
	Expired        int `json:"lost"`     // leases that expired at the instance
	Returned       int `json:"returned"` // leases that the instance returned
}

// OwnedStatus is the status of a job of which the instance has the lease.
type OwnedStatus struct {
	Duty         string        `json:"duty"`
	Fence        uint64        `json:"fence"`
	LeaseLeft    time.Duration `json:"lease_ns"`
	HasRun       bool          `json:"ran"`
	SinceRun     time.Duration `json:"age_ns"` // time since the last run began
	Running      bool          `json:"running"`
	UntilNextRun time.Duration `json:"next_ns"` // negative if the run is overdue
}

// TableStatus is the status of a job in the table of the leader. Owner is empty if no instance has the lease.
type TableStatus struct {
	Duty         string        `json:"duty"`
	Owner        string        `json:"owner"`
	PlannedOwner string        `json:"wants"` // instance for which the lease is planned
	Fence        uint64        `json:"fence"`
	LeaseLeft    time.Duration `json:"lease_ns"`
	HasRun       bool          `json:"ran"`
	SinceRun     time.Duration `json:"age_ns"`
}

// Status returns the present state of the instance.
func (n *Instance) Status(now time.Duration) Status {
	return Status{
		Instance:  n.config.Name,
		Role:      n.statusRole(now),
		Leader:    n.leader,
		Term:      n.highestTerm,
		LeaderFor: max(0, n.leaderUntil-now),
		QuietFor:  max(0, n.quietUntil-now),
		Counts:    n.counts,
		Owned:     n.ownedStatus(now),
		Table:     n.tableStatus(now),
	}
}

// statusRole returns the value of Status.Role.
func (n *Instance) statusRole(now time.Duration) string {
	switch {
	case n.HasLeft(now):
		return RoleLeft
	case n.leaving:
		return RoleLeaving
	case n.IsLeader(now):
		return RoleLeader
	case now < n.quietUntil:
		return RoleStarting
	case n.role != follower:
		return RoleCandidate
	}
	return RoleFollower
}

// ownedStatus returns the valid leases of the instance, sorted by job. The list is never nil.
func (n *Instance) ownedStatus(now time.Duration) []OwnedStatus {
	list := []OwnedStatus{}
	for _, held := range n.sortedLeases {
		if !held.valid(now) {
			continue
		}
		list = append(list, OwnedStatus{
			Duty:         held.duty,
			Fence:        held.fence,
			LeaseLeft:    held.expires - now,
			HasRun:       held.hasRun,
			SinceRun:     now - held.lastRun,
			Running:      held.running(now),
			UntilNextRun: held.nextRun - now,
		})
	}
	return list
}

// tableStatus returns the table of the leader, sorted by job, or an empty list for any other instance. The list is never nil.
func (n *Instance) tableStatus(now time.Duration) []TableStatus {
	list := []TableStatus{}
	if !n.IsLeader(now) {
		return list
	}
	for _, name := range slices.Sorted(maps.Keys(n.table.leases)) {
		entry := n.table.leases[name]
		status := TableStatus{
			Duty:         name,
			PlannedOwner: entry.plannedOwner,
			Fence:        entry.fence,
			LeaseLeft:    max(0, n.table.expires(entry)-now),
			HasRun:       entry.hasRun,
			SinceRun:     now - entry.lastRun,
		}
		if status.LeaseLeft > 0 {
			status.Owner = entry.owner
		}
		list = append(list, status)
	}
	return list
}

// PlanCounts returns two counts for the present table of this instance as leader: the plans made, and the leases granted to a
// different instance than before.
func (n *Instance) PlanCounts() (plans, moved int) { return n.table.planCount, n.table.movedCount }
