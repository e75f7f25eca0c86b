package lease

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// holderState is the state of an instance as lease holder.
type holderState struct {
	leader            string                    // instance that got the last vote, to which heartbeats are sent; empty: none yet
	lastLeaderContact time.Duration             // time of the last message of a leader, or of a candidate that got the vote; 0: never
	lastGrant         time.Duration             // time of the last lease grant, which only a leader with a majority sends; 0: never
	openHeartbeats    map[uint64]*sentHeartbeat // heartbeats without a response by sequence number
	nextHeartbeat     time.Duration             // when the next heartbeat is due
	setTerm           uint64                    // term of the leader that granted the present set of leases
	setNumber         uint64                    // number of that set
	leases            map[string]*heldLease     // by job
	sortedLeases      []*heldLease              // the same leases, sorted by job
	returned          []LeaseRecord             // leases whose return the leader has not acknowledged
	duties            map[string]*Duty          // configured jobs by name
	runCount          uint64                    // number of runs begun
	nextRun           time.Duration             // no run is due before this time
}

// sentHeartbeat is a heartbeat that has no response yet.
type sentHeartbeat struct {
	sentAt       time.Duration
	reportedRuns map[string]time.Duration // by job: when the reported run began
	returned     []LeaseRecord            // leases that it returned
}

// heldLease is the lease of a job at this instance. It stays in the list after it has expired, as it may be renewed later.
type heldLease struct {
	runHistory

	duty          string
	fence         uint64
	expires       time.Duration // 0: the lease has expired, and the expiry was counted
	returning     bool          // the lease is no longer in the set, and is returned once its run has ended
	nextRun       time.Duration // when the next run is due
	runUnreported bool          // the leader has not acknowledged the last run yet
	activeRun     uint64        // number of the run in progress; 0: none
	activeRunEnds time.Duration // deadline of that run
}

// valid reports whether the lease has not expired.
func (held *heldLease) valid(now time.Duration) bool { return now < held.expires }

// running reports whether a run is in progress and within its deadline.
func (held *heldLease) running(now time.Duration) bool {
	return held.activeRun != 0 && now < held.activeRunEnds
}

// indexDuties rebuilds the map of jobs. It marks leases whose jobs are no longer configured to be returned.
func (n *Instance) indexDuties() {
	n.duties = make(map[string]*Duty, len(n.config.Duties))
	for i := range n.config.Duties {
		n.duties[n.config.Duties[i].Name] = &n.config.Duties[i]
	}
	for _, held := range n.sortedLeases {
		if n.duties[held.duty] == nil {
			held.returning = true
		}
	}
	n.nextRun = 0
}

// Holds reports whether this instance has the lease of a job now, and under which fencing token.
func (n *Instance) Holds(now time.Duration, duty string) (fence uint64, ok bool) {
	held := n.leases[duty]
	if held == nil || !held.valid(now) {
		return 0, false
	}
	return held.fence, true
}

// hasNoLease reports whether this instance has no valid lease, and the leader has acknowledged all leases that it returned.
func (n *Instance) hasNoLease(now time.Duration) bool {
	isValid := func(held *heldLease) bool { return held.valid(now) }
	return len(n.returned) == 0 && !slices.ContainsFunc(n.sortedLeases, isValid)
}

// sendHeartbeat reports to the leader that this instance is alive, which runs it began and which leases it returns. To a new
// leader it reports all its leases.
func (n *Instance) sendHeartbeat(now time.Duration) []Message {
	n.nextHeartbeat = now + n.config.Heartbeat
	n.sequence++
	n.dropExpiredHeartbeats(now)
	sent := &sentHeartbeat{sentAt: now, reportedRuns: map[string]time.Duration{}, returned: slices.Clone(n.returned)}
	n.openHeartbeats[n.sequence] = sent
	hb := heartbeat{
		term:      n.highestTerm,
		sequence:  n.sequence,
		leaving:   n.leaving,
		complete:  n.setTerm < n.votedTerm,
		returned:  sent.returned,
		setNumber: n.setNumber,
		setTerm:   n.setTerm,
	}
	for _, held := range n.sortedLeases {
		if !held.runUnreported && !hb.complete {
			continue
		}
		sent.reportedRuns[held.duty] = held.lastRun
		hb.runs = append(hb.runs, LeaseRecord{Duty: held.duty, Fence: held.fence, HasRun: held.hasRun, SinceRun: now - held.lastRun})
	}
	return n.deliver(now, n.leader, hb.message())
}

// dropExpiredHeartbeats discards heartbeats so old that a grant in response to them would have expired.
func (n *Instance) dropExpiredHeartbeats(now time.Duration) {
	for sequence, sent := range n.openHeartbeats {
		if now-sent.sentAt > n.config.Lease {
			delete(n.openHeartbeats, sequence)
		}
	}
}

// handleGrant accepts and renews leases. Their duration counts from when the heartbeat was sent, so that they expire here before
// they expire at the leader. A grant that a stalled leader sends too late has already expired and is rejected.
func (n *Instance) handleGrant(now time.Duration, grant leaseGrant) {
	sent := n.openHeartbeats[grant.sequence]
	if sent == nil || !n.mayAccept(grant) {
		n.counts.RejectedGrants++
		return
	}
	expires := sent.sentAt + n.config.shortestSpan(grant.duration)
	if now >= expires {
		n.counts.RejectedGrants++
		return
	}
	n.lastLeaderContact, n.lastGrant = now, now
	n.acknowledge(sent)
	if grant.complete {
		n.adoptSet(now, grant)
	}
	n.renewLeases(now, expires)
}

// mayAccept reports whether a grant renews the present set, or lists a later set.
func (n *Instance) mayAccept(grant leaseGrant) bool {
	if grant.term == n.setTerm && grant.setNumber == n.setNumber {
		return true
	}
	later := grant.term > n.setTerm || grant.term == n.setTerm && grant.setNumber > n.setNumber
	return grant.complete && later
}

// acknowledge records that the leader has processed the runs and returns in a heartbeat.
func (n *Instance) acknowledge(sent *sentHeartbeat) {
	for name, began := range sent.reportedRuns {
		if held := n.leases[name]; held != nil && held.lastRun == began {
			held.runUnreported = false
		}
	}
	n.returned = slices.DeleteFunc(n.returned, func(record LeaseRecord) bool { return slices.Contains(sent.returned, record) })
}

// renewLeases extends the leases of the present set.
func (n *Instance) renewLeases(now, expires time.Duration) {
	for _, held := range n.sortedLeases {
		if held.returning {
			continue
		}
		if !held.valid(now) { // the lease is new or had expired, so a run may be due
			n.nextRun = 0
		}
		held.expires = max(held.expires, expires)
	}
}

// adoptSet makes the leases of a complete grant the set of this instance. Leases that are not in the set are returned.
func (n *Instance) adoptSet(now time.Duration, grant leaseGrant) {
	n.setTerm, n.setNumber, n.nextRun = grant.term, grant.setNumber, 0
	for _, held := range n.sortedLeases {
		held.returning = true
	}
	for _, record := range grant.leases {
		n.adoptLease(now, record)
	}
	n.sortedLeases = slices.SortedFunc(maps.Values(n.leases), func(a, b *heldLease) int { return cmp.Compare(a.duty, b.duty) })
}

// adoptLease adopts one lease of a set.
func (n *Instance) adoptLease(now time.Duration, record LeaseRecord) {
	if n.hasReturned(record) { // the leader has not processed the return yet
		return
	}
	duty := n.duties[record.Duty]
	if duty == nil || n.leaving {
		n.declineLease(now, record)
		return
	}
	held, isNew := n.acquireLease(now, record.Duty)
	held.returning = false
	if record.Fence < held.fence {
		return
	}
	held.fence = record.Fence
	ranElsewhere := held.merge(now, record)
	if isNew || ranElsewhere {
		n.schedule(now, held, duty)
	}
}

// hasReturned reports whether a lease was returned under the same fencing token, and the leader has not acknowledged that.
func (n *Instance) hasReturned(record LeaseRecord) bool {
	return slices.ContainsFunc(n.returned, func(returned LeaseRecord) bool {
		return returned.Duty == record.Duty && returned.Fence == record.Fence
	})
}

// acquireLease returns the lease of a job for renewal, and whether this instance had none before. A lease that had expired counts
// as acquired again. Its run in progress is void, as another instance may have had the lease in the meantime.
func (n *Instance) acquireLease(now time.Duration, duty string) (held *heldLease, isNew bool) {
	held = n.leases[duty]
	if held == nil {
		held = &heldLease{duty: duty}
		n.leases[duty] = held
		n.counts.Acquired++
		return held, true
	}
	if !held.valid(now) {
		held.activeRun = 0
		n.counts.Acquired++
	}
	return held, false
}

// declineLease returns a granted lease that this instance cannot use: its job is not configured here, or the instance is leaving.
// A lease that this instance already has is returned once its run has ended, under the newest fencing token.
func (n *Instance) declineLease(now time.Duration, record LeaseRecord) {
	if held := n.leases[record.Duty]; held != nil && held.valid(now) {
		held.fence = max(held.fence, record.Fence)
		return
	}
	n.returned = append(n.returned, LeaseRecord{Duty: record.Duty, Fence: record.Fence})
}

// returnLeases returns the leases that are no longer in the set, or all leases if this instance is leaving. A lease with a run in
// progress is returned after the run. The function also counts leases that have expired.
func (n *Instance) returnLeases(now time.Duration) {
	n.sortedLeases = slices.DeleteFunc(n.sortedLeases, func(held *heldLease) bool {
		held.returning = held.returning || n.leaving
		if !held.returning {
			n.recordExpiry(now, held)
			return false
		}
		if held.valid(now) && held.running(now) {
			return false
		}
		n.endLease(now, held)
		return true
	})
}

// recordExpiry counts a lease that has expired, once, and voids its run in progress.
func (n *Instance) recordExpiry(now time.Duration, held *heldLease) {
	if held.valid(now) || held.expires <= 0 {
		return
	}
	held.expires, held.activeRun = 0, 0
	n.counts.Expired++
}

// endLease removes a lease. If it has not expired, it is returned to the leader with a heartbeat that becomes due at once.
func (n *Instance) endLease(now time.Duration, held *heldLease) {
	delete(n.leases, held.duty)
	if !held.valid(now) {
		return
	}
	n.returned = append(n.returned, LeaseRecord{Duty: held.duty, Fence: held.fence})
	n.counts.Returned++
	n.nextHeartbeat = min(n.nextHeartbeat, now)
}
