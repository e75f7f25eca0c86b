package lease

import (
	"maps"
	"slices"
	"time"
)

// handleHeartbeat updates the table of the leader from a heartbeat. It responds with a grant if leases may be granted yet.
func (n *Instance) handleHeartbeat(now time.Duration, from string, hb heartbeat) []Message {
	if !n.IsLeader(now) || n.leaderTerm == 0 {
		return nil
	}
	sender := n.table.member(from)
	sender.lastHeard, sender.leaving = now, hb.leaving
	n.table.acceptReturns(now, from, hb.returned)
	for _, run := range hb.runs {
		n.table.recordRun(now, from, run, hb.complete)
	}
	if !n.mayGrant(now) {
		return nil
	}
	n.table.plan(now, &n.config)
	n.grantPending(now, from, sender)
	return n.renewSet(now, from, sender, hb)
}

// mayGrant reports whether the leader may grant leases: all leases of earlier leaders have expired, and every live instance has had
// time to send a heartbeat.
func (n *Instance) mayGrant(now time.Duration) bool {
	if now < n.table.blockedUntil {
		return false
	}
	return now >= n.table.gatherUntil || n.allHeardFrom(now)
}

// renewSet renews the leases of the sender of a heartbeat until the leadership expires. The grant lists the leases if the sender
// does not have the present set.
func (n *Instance) renewSet(now time.Duration, from string, sender *member, hb heartbeat) []Message {
	duration := n.leaderUntil - now
	grant := leaseGrant{
		term:      n.leaderTerm,
		sequence:  hb.sequence,
		duration:  duration,
		setNumber: sender.setNumber,
		complete:  hb.setNumber != sender.setNumber || hb.setTerm != n.leaderTerm,
	}
	if grant.complete {
		grant.leases = n.table.set(now, sender)
	}
	sender.setExpires = max(sender.setExpires, now+duration)
	return n.deliver(now, from, grant.message())
}

// allHeardFrom reports whether the leader has received a message from every instance within the duration of a lease.
func (n *Instance) allHeardFrom(now time.Duration) bool {
	for _, name := range n.config.Members {
		peer := n.table.members[name]
		if peer == nil || now-peer.lastHeard >= n.config.Lease {
			return false
		}
	}
	return true
}

// grantPending adds the pending leases of an instance that no other instance holds to its set. The others stay pending.
func (n *Instance) grantPending(now time.Duration, name string, receiver *member) {
	stillPending := receiver.pending[:0]
	for _, duty := range receiver.pending {
		entry := n.table.leases[duty]
		if entry == nil || entry.plannedOwner != name {
			continue // the plan has changed since the job was queued
		}
		if entry.inSet && entry.owner == name {
			continue // the instance already has the lease
		}
		heldByOther := entry.owner != name && now < n.table.expires(entry)
		if heldByOther || n.fencesExhausted() {
			stillPending = append(stillPending, duty)
			continue
		}
		n.table.addToSet(duty, entry, name, n.nextFence())
	}
	receiver.pending = stillPending
}

// set returns the leases of an instance, sorted by job.
func (table *leaseTable) set(now time.Duration, owner *member) (list []LeaseRecord) {
	for _, duty := range slices.Sorted(maps.Keys(owner.duties)) {
		entry := table.leases[duty]
		list = append(list, LeaseRecord{Duty: duty, Fence: entry.fence, HasRun: entry.hasRun, SinceRun: now - entry.lastRun})
	}
	return list
}

// acceptReturns ends the leases that an instance returned. It ignores returns under an outdated fencing token.
func (table *leaseTable) acceptReturns(now time.Duration, from string, returned []LeaseRecord) {
	for _, record := range returned {
		entry := table.leases[record.Duty]
		if entry == nil || entry.owner != from || entry.fence != record.Fence {
			continue
		}
		table.removeFromSet(record.Duty, entry)
		entry.expires, entry.owner = now, ""
		if entry.plannedOwner != "" {
			table.member(entry.plannedOwner).queue(record.Duty)
		}
	}
}

// recordRun records the last run of a job as reported by the holder of its lease. If fromEarlierLeader is set, that lease was
// granted by an earlier leader. A job that this leader has not granted yet is then planned for its last holder, which is the one
// that reports the highest fencing token.
func (table *leaseTable) recordRun(now time.Duration, from string, record LeaseRecord, fromEarlierLeader bool) {
	entry := table.leases[record.Duty]
	if entry == nil && !fromEarlierLeader {
		return
	}
	if entry == nil {
		entry = &tableLease{}
		table.leases[record.Duty] = entry
		table.planStale = true
	}
	entry.merge(now, record)
	if fromEarlierLeader && entry.fence == 0 && record.Fence > entry.previousFence {
		entry.previousFence, entry.plannedOwner = record.Fence, from
		table.planStale = true
	}
}
