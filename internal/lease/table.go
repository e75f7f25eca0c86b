package lease

import (
	"slices"
	"time"
)

// leaseTable is the state of a leader: it records which instance has each lease and for which instance it is planned. The leases of
// one instance form a set. They are renewed together, so that the cost of a renewal does not grow with the size of the set.
type leaseTable struct {
	term           uint64                 // term of the leader that handed the table over; 0: this instance made it
	blockedUntil   time.Duration          // no lease is granted before this time, as leases of earlier leaders may last until then
	gatherUntil    time.Duration          // before this time, leases are granted only if the leader has received messages from all instances
	planStale      bool                   // the plan must be recomputed
	plannedMembers []string               // available instances at the time of the last plan
	leases         map[string]*tableLease // by job
	members        map[string]*member     // by instance
	lastSetNumber  uint64
	movedCount     int // leases granted to a different instance than before
	planCount      int // plans made
}

// tableLease is the lease of one job in the table.
type tableLease struct {
	runHistory

	owner         string // last instance that got the lease; empty: none, or it returned the lease
	plannedOwner  string // instance that should have the lease; empty: not planned
	fence         uint64
	inSet         bool          // the lease is in the set of its owner, and expires with that set
	expires       time.Duration // when the lease expires if it is in no set
	previousFence uint64        // fencing token under which plannedOwner had the lease from an earlier leader
}

// member is one instance in the table.
type member struct {
	lastHeard  time.Duration // when its last heartbeat or vote arrived
	leaving    bool
	setNumber  uint64          // number of its set, which gets a new number with every change
	setExpires time.Duration   // when its set expires
	duties     map[string]bool // its set: the jobs of which it has the lease
	pending    []string        // jobs that are planned for it but not in its set yet
}

// newLeaseTable returns an empty table from which no lease is granted before blockedUntil.
func newLeaseTable(blockedUntil time.Duration) *leaseTable {
	return &leaseTable{blockedUntil: blockedUntil, planStale: true, leases: map[string]*tableLease{}, members: map[string]*member{}}
}

// member returns the entry of an instance, and adds one if it is missing.
func (table *leaseTable) member(name string) *member {
	found := table.members[name]
	if found == nil {
		found = &member{duties: map[string]bool{}}
		table.members[name] = found
		table.renumberSet(found)
	}
	return found
}

// renumberSet gives the set of an instance a new number, which no set in this table or in an earlier table of this instance had.
func (table *leaseTable) renumberSet(owner *member) {
	table.lastSetNumber++
	owner.setNumber = table.lastSetNumber
}

// expires returns when a lease expires, by the clock of the leader.
func (table *leaseTable) expires(entry *tableLease) time.Duration {
	if entry.inSet {
		return table.members[entry.owner].setExpires
	}
	return entry.expires
}

// addToSet grants a lease to an instance under a new fencing token.
func (table *leaseTable) addToSet(duty string, entry *tableLease, name string, fence uint64) {
	if entry.owner != name {
		table.movedCount++
	}
	table.removeFromSet(duty, entry)
	entry.owner, entry.fence, entry.inSet = name, fence, true
	owner := table.member(name)
	owner.duties[duty] = true
	table.renumberSet(owner)
}

// removeFromSet removes a lease from the set of its owner. The lease is no longer renewed, and expires at the time at which the set
// expires after its last renewal.
func (table *leaseTable) removeFromSet(duty string, entry *tableLease) {
	if !entry.inSet {
		return
	}
	owner := table.members[entry.owner]
	entry.inSet, entry.expires = false, owner.setExpires
	delete(owner.duties, duty)
	table.renumberSet(owner)
}

// queue adds a job to the pending jobs of the instance, unless it is already pending.
func (peer *member) queue(duty string) {
	if !slices.Contains(peer.pending, duty) {
		peer.pending = append(peer.pending, duty)
	}
}

// available reports whether an instance may get leases: it sent a message within the duration of a lease, and is not leaving.
func (peer *member) available(now, lease time.Duration) bool {
	return !peer.leaving && now-peer.lastHeard < lease
}
