package lease

import (
	"maps"
	"slices"
	"time"
)

// role is the state of an instance in the election of a leader. Only setRole changes it.
//
//	follower  -> candidate  it received nothing from a leader for the duration of a lease, and may vote for itself
//	candidate -> leader     a majority voted for it
//	candidate -> follower   it got no majority in time, another instance is leader, or it voted for another instance
//	leader    -> candidate  its votes expired; it may win them again until it releases them
//	leader    -> follower   it handed over, or its votes expired and it follows another instance
type role uint8

const (
	follower role = iota
	candidate
	leader
)

// electionState is the state of an instance as candidate and as leader.
type electionState struct {
	role            role
	candidateTerm   uint64                // term for which the instance requests votes
	leaderTerm      uint64                // term that a majority voted for; 0: none. Fencing tokens come from this term only
	voteRounds      map[uint64]*voteRound // rounds in progress by sequence number
	leaderUntil     time.Duration         // when the leadership expires
	renewalInterval time.Duration         // interval at which a leader requests its votes again
	nextVoteRequest time.Duration         // when the next round of votes, or the next campaign, is due
	inheritedTable  *leaseTable           // table of a leader that left, if this instance is its successor; nil otherwise
	table           *leaseTable           // table of this instance as leader
	issuedFences    uint64                // number of fencing tokens issued under issuedTerm
	issuedTerm      uint64
}

// voteRound is one request for votes, sent to all instances.
type voteRound struct {
	requestedAt        time.Duration
	votes              map[string]time.Duration // by instance that granted its vote: how long the vote counts from the request
	inheritedLeasesEnd time.Duration            // when all leases of leaders that left have expired
	inheritedTerm      uint64                   // highest term of those leaders
}

const (
	// fenceBits is the number of low bits of a fencing token that count the tokens of one term. The term is in the bits above
	// them. Terms start from Unix milliseconds, which take 41 bits.
	fenceBits = 22

	maxFencesPerTerm = 1<<fenceBits - 1

	// maxTerm is the highest term that is accepted in a message. Instances adopt the highest term that they receive. A corrupt
	// message with a higher term would make fencing tokens overflow and fall.
	maxTerm = 1<<(64-fenceBits) - 1
)

// setRole changes the role. For a follower it discards all rounds of votes in progress.
func (n *Instance) setRole(to role) {
	n.role = to
	if to == follower {
		n.voteRounds = map[uint64]*voteRound{}
	}
}

// IsLeader reports whether this instance is the leader and its leadership has not expired.
func (n *Instance) IsLeader(now time.Duration) bool { return n.role == leader && now < n.leaderUntil }

// LeaderlessFor returns how long this instance has been without a known leader that a majority follows, or 0 if it knows one.
// Only a lease grant shows that there is such a leader. A vote request does not, as any candidate sends them.
func (n *Instance) LeaderlessFor(now time.Duration) time.Duration {
	if n.IsLeader(now) && n.leaderTerm == n.candidateTerm {
		return 0
	}
	if since := now - n.lastGrant; n.lastGrant == 0 || since >= n.config.Lease {
		return since
	}
	return 0
}

// HasLeader reports whether this instance knows a leader that a majority follows.
func (n *Instance) HasLeader(now time.Duration) bool { return n.LeaderlessFor(now) == 0 }

// expireLeadership turns a leader whose votes have expired into a candidate. All leases that it granted have expired by then too.
func (n *Instance) expireLeadership(now time.Duration) {
	if n.role != leader || now < n.leaderUntil {
		return
	}
	if n.leaderTerm == n.candidateTerm {
		n.counts.LostLeadership++
		n.leaderTerm = 0
	}
	n.setRole(candidate)
}

// campaign takes the next step of the election. A leader requests renewals of its votes, a candidate without a majority ends its
// campaign, and a follower becomes a candidate if it may.
func (n *Instance) campaign(now time.Duration) []Message {
	switch {
	case n.IsLeader(now):
		return n.requestVotes(now)
	case n.role != follower:
		return n.endCampaign(now)
	case !n.mayCampaign(now):
		n.nextVoteRequest = now + n.config.Heartbeat/2 + n.electionDelay(n.config.Heartbeat)
		return nil
	}
	n.becomeCandidate()
	return n.requestVotes(now)
}

// mayCampaign reports whether a follower may become a candidate: it is not leaving, it received nothing from a leader for the
// duration of a lease, and no other instance has its vote.
func (n *Instance) mayCampaign(now time.Duration) bool {
	if n.leaving {
		return false
	}
	if n.lastLeaderContact > 0 && now < n.lastLeaderContact+n.config.longestSpan(n.config.Lease) {
		return false
	}
	return now >= n.voteExpires || n.votedFor == n.config.Name
}

// becomeCandidate makes a follower a candidate for a new term, above all terms that it knows.
func (n *Instance) becomeCandidate() {
	n.setRole(candidate)
	n.highestTerm++
	n.candidateTerm, n.leaderTerm = n.highestTerm, 0
}

// endCampaign turns a candidate without a majority into a follower. It releases the votes, as they will no longer be counted.
func (n *Instance) endCampaign(now time.Duration) []Message {
	n.setRole(follower)
	n.nextVoteRequest = now + n.config.Heartbeat + n.electionDelay(n.config.Lease)
	return n.broadcast(now, voteRelease{term: n.candidateTerm}.message())
}

// requestVotes begins a round of votes and returns the requests.
func (n *Instance) requestVotes(now time.Duration) []Message {
	n.sequence++
	n.dropExpiredRounds(now)
	n.voteRounds[n.sequence] = &voteRound{requestedAt: now, votes: map[string]time.Duration{}}
	if n.IsLeader(now) {
		n.nextVoteRequest = now + n.renewalInterval
	} else { // the random delay keeps candidates that split the votes from requesting votes at the same time again
		n.nextVoteRequest = now + n.config.Heartbeat + n.randomPart(n.config.Lease)
	}
	request := voteRequest{term: n.candidateTerm, sequence: n.sequence, fromLeader: n.IsLeader(now)}
	return n.broadcast(now, request.message())
}

// dropExpiredRounds discards rounds whose votes would have expired by now.
func (n *Instance) dropExpiredRounds(now time.Duration) {
	for sequence, round := range n.voteRounds {
		if now-round.requestedAt > n.config.Lease {
			delete(n.voteRounds, sequence)
		}
	}
}

// requestTerms requests from every other instance the highest term that it knows. The first term of this instance comes from the
// wall clock, which may have been set back since an earlier incarnation. If the instance voted or campaigned with that term
// alone, a leader could be elected for a past term, whose fencing tokens have already been issued. A vote request for term 0 is
// never granted, but its response reports the highest term. The instance sends these requests at each heartbeat interval of its
// quiet period, before it may vote.
func (n *Instance) requestTerms() (out []Message) {
	n.sequence++
	for _, to := range n.config.Members {
		if to == n.config.Name {
			continue
		}
		message := voteRequest{sequence: n.sequence}.message()
		message.From, message.To = n.config.Name, to
		out = append(out, message)
	}
	return out
}

// handleVote counts a vote. With a majority of a round the instance becomes leader or extends its leadership.
func (n *Instance) handleVote(now time.Duration, voter string, response voteResponse) {
	if !response.granted {
		n.handleRejectedVote(now, response)
		return
	}
	round := n.voteRounds[response.sequence]
	if round == nil || n.role == follower || response.term != n.candidateTerm {
		return
	}
	round.votes[voter] = n.countedDuration(response)
	if response.inheritedLeases > 0 {
		round.inheritedLeasesEnd = max(round.inheritedLeasesEnd, now+n.config.longestSpan(response.inheritedLeases))
		round.inheritedTerm = max(round.inheritedTerm, response.inheritedTerm)
	}
	if len(round.votes) < n.quorum {
		return
	}
	if !n.IsLeader(now) {
		n.becomeLeader(now, round)
	}
	n.extendLeadership(now, round)
}

// countedDuration returns how long a granted vote counts: as long as the voter states, but not longer than the lease of this
// instance. A voter of an earlier release states nothing, and is assumed to have the same lease.
func (n *Instance) countedDuration(response voteResponse) time.Duration {
	if response.duration <= 0 {
		return n.config.Lease
	}
	return min(n.config.Lease, response.duration)
}

// duration returns how long a majority of the instances votes for no other instance, counted from the request: some majority of
// the votes lasts that long, and every other majority has a voter in common with that one. There must be at least quorum votes.
func (round *voteRound) duration(quorum int) time.Duration {
	durations := slices.Sorted(maps.Values(round.votes))
	return durations[len(durations)-quorum]
}

// handleRejectedVote adopts the term of the response if it is the highest known. The voter may know a higher term than the leader,
// for instance after the voter restarted. Then the leader requests votes for a term above that from now on. It issues no fencing
// tokens of the new term before a majority has voted for it.
func (n *Instance) handleRejectedVote(now time.Duration, response voteResponse) {
	n.highestTerm = max(n.highestTerm, response.term)
	if n.IsLeader(now) && n.candidateTerm < n.highestTerm {
		n.highestTerm++
		n.candidateTerm = n.highestTerm
		n.voteRounds = map[uint64]*voteRound{}
	}
}

// becomeLeader makes this instance the leader. If the previous leader handed its table over to this instance and no other
// instance was leader since, this instance continues with that table. Otherwise it begins with an empty table, from which no
// lease is granted before all earlier leases have expired.
func (n *Instance) becomeLeader(now time.Duration, round *voteRound) {
	n.counts.BecameLeader++
	n.setRole(leader)
	lastSetNumber := n.table.lastSetNumber
	if n.inheritedTable != nil && n.inheritedTable.term >= round.inheritedTerm {
		n.table, n.inheritedTable = n.inheritedTable, nil
	} else {
		n.table = newLeaseTable(round.inheritedLeasesEnd)
	}
	n.table.lastSetNumber = lastSetNumber
	n.table.gatherUntil = now + n.config.Heartbeat               // every live instance sends a heartbeat within that time
	for _, name := range slices.Sorted(maps.Keys(round.votes)) { // sorted, as new members get their set numbers in this order
		n.table.member(name).lastHeard = now
	}
}

// extendLeadership renews the leadership after a majority has granted a round. Its duration counts from the request for the votes
// rather than from their grant, so that the leadership ends before the votes expire. No lease is granted beyond the leadership, so
// this bounds all leases by the votes. If votes are shorter than the lease of this instance, it requests them more often.
func (n *Instance) extendLeadership(now time.Duration, round *voteRound) {
	duration := round.duration(n.quorum)
	n.leaderUntil = max(n.leaderUntil, round.requestedAt+duration)
	n.leaderTerm = n.candidateTerm
	n.renewalInterval = min(n.config.Heartbeat, duration/minRenewalsPerLease)
	n.nextVoteRequest = min(n.nextVoteRequest, now+n.renewalInterval)
}

// nextFence returns the next fencing token. It is higher than all tokens that any leader issued before.
func (n *Instance) nextFence() uint64 {
	if n.issuedTerm != n.leaderTerm {
		n.issuedFences, n.issuedTerm = 0, n.leaderTerm
	}
	n.issuedFences++
	return n.leaderTerm<<fenceBits + n.issuedFences
}

// fencesExhausted reports whether all fencing tokens of the term have been issued.
func (n *Instance) fencesExhausted() bool {
	return n.issuedTerm == n.leaderTerm && n.issuedFences >= maxFencesPerTerm
}
