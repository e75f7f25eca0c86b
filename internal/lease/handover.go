package lease

import (
	"maps"
	"slices"
	"time"
)

// mayHandOver reports whether a leaving leader may hand over: it no longer holds a lease itself, and it is not changing to a
// higher term.
func (n *Instance) mayHandOver(now time.Duration) bool {
	return n.leaving && n.IsLeader(now) && n.hasNoLease(now) && n.leaderTerm == n.candidateTerm
}

// handOver ends the leadership of a leaving instance. It releases all votes and sends the table to its successor.
func (n *Instance) handOver(now time.Duration) (out []Message) {
	longest, table := n.table.export(now)
	release := voteRelease{
		term:            n.candidateTerm,
		leasesRemaining: max(longest, 1), // a value above 0 marks the sender as a leader
		blockedFor:      max(0, n.table.blockedUntil-now),
	}
	successor := n.successor(now)
	n.setRole(follower)
	n.leaderUntil, n.leaderTerm = now, 0
	n.nextVoteRequest = now + n.config.Lease
	for _, to := range n.config.Members {
		release.successor, release.table = to == successor, nil
		if release.successor {
			release.table = table
		}
		out = append(out, n.deliver(now, to, release.message())...)
	}
	return out
}

// successor returns the first other instance, in the order of the configuration, that is available, or "" if there is none.
func (n *Instance) successor(now time.Duration) string {
	for _, name := range n.config.Members {
		peer := n.table.members[name]
		if name != n.config.Name && peer != nil && peer.available(now, n.config.Lease) {
			return name
		}
	}
	return ""
}

// export returns the complete table for the successor, and the longest remaining time of any lease granted by this or an earlier
// leader.
func (table *leaseTable) export(now time.Duration) (longest time.Duration, records []LeaseRecord) {
	longest = max(0, table.blockedUntil-now)
	for _, name := range slices.Sorted(maps.Keys(table.leases)) {
		entry := table.leases[name]
		remaining := max(0, table.expires(entry)-now)
		longest = max(longest, remaining)
		records = append(records, LeaseRecord{
			Duty:      name,
			Owner:     entry.owner,
			Fence:     entry.fence,
			Remaining: remaining,
			HasRun:    entry.hasRun,
			SinceRun:  now - entry.lastRun,
		})
	}
	for _, peer := range table.members {
		longest = max(longest, peer.setExpires-now)
	}
	return longest, records
}

// importTable returns the table that a leader handed over to this instance, with all times converted to the clock of this instance.
func (n *Instance) importTable(now time.Duration, release voteRelease) *leaseTable {
	table := newLeaseTable(now + n.config.longestSpan(release.blockedFor))
	table.term = release.term
	for _, record := range release.table {
		table.leases[record.Duty] = &tableLease{
			owner:      record.Owner,
			fence:      record.Fence,
			expires:    now + n.config.longestSpan(record.Remaining),
			runHistory: runHistory{hasRun: record.HasRun, lastRun: now - record.SinceRun},
		}
	}
	return table
}
