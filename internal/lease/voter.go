package lease

import "time"

// voterState is the state of an instance as voter.
type voterState struct {
	highestTerm     uint64        // highest term that the instance knows
	votedFor        string        // instance that has the vote; empty: none
	votedTerm       uint64        // term of the last vote; only one instance gets the vote for a term
	voteExpires     time.Duration // when the vote expires, so that another instance may get one
	quietUntil      time.Duration // end of the quiet period, in which no vote is granted
	nextTermRequest time.Duration // when the next requests for the highest known term are due, in the quiet period

	inheritedLeasesEnd time.Duration // when all leases of leaders that left have expired
	inheritedTerm      uint64        // highest term of those leaders
}

// handleVoteRequest grants a vote if that is allowed, and responds with the highest known term. The response also reports how long
// the vote lasts, which differs between instances while the configured lease is being changed, and how long the leases of leaders
// that left may last.
func (n *Instance) handleVoteRequest(now time.Duration, from string, request voteRequest) []Message {
	if request.fromLeader && from != n.config.Name {
		n.yieldToLeader(now)
	}
	granted := n.mayVote(now, from, request.term)
	n.highestTerm = max(n.highestTerm, request.term)
	switch {
	case granted:
		n.grantVote(now, from, request.term)
	case n.isRejectedForTerm(now, request.term):
		n.highestTerm++ // the response reports this term, and the candidate requests votes again for a higher one
	}
	response := voteResponse{term: n.highestTerm, sequence: request.sequence, granted: granted}
	if granted {
		response.duration = n.config.Lease
	}
	if remaining := n.inheritedLeasesEnd - now; remaining > 0 {
		response.inheritedLeases, response.inheritedTerm = remaining, n.inheritedTerm
	}
	return n.deliver(now, from, response.message())
}

// mayVote reports whether the vote for a term may be granted to an instance: the quiet period has ended, the term is not outdated,
// no other instance got the vote for that term, and no other instance has an unexpired vote.
func (n *Instance) mayVote(now time.Duration, from string, term uint64) bool {
	if now < n.quietUntil || term < n.highestTerm {
		return false
	}
	if term < n.votedTerm || term == n.votedTerm && n.votedFor != from {
		return false
	}
	return n.votedFor == from || now >= n.voteExpires
}

// isRejectedForTerm reports whether a rejected request would be granted for a higher term: no other instance has an unexpired vote,
// but this instance started with the requested term or voted for another instance in it.
func (n *Instance) isRejectedForTerm(now time.Duration, term uint64) bool {
	return now >= n.quietUntil && now >= n.voteExpires && term == n.highestTerm
}

// yieldToLeader ends the campaign of this instance, as another instance is leader. Continuing would only raise the terms.
func (n *Instance) yieldToLeader(now time.Duration) {
	n.lastLeaderContact = now
	if n.role == follower || n.IsLeader(now) {
		return
	}
	n.setRole(follower)
	if n.votedFor == n.config.Name {
		n.votedFor, n.voteExpires = "", 0
	}
}

// grantVote votes for an instance, which from now on gets the heartbeats. A vote for another instance ends the campaign of this
// one.
func (n *Instance) grantVote(now time.Duration, from string, term uint64) {
	n.votedFor, n.votedTerm = from, term
	n.voteExpires = max(n.voteExpires, now+n.config.longestSpan(n.config.Lease))
	if n.leader != from {
		n.leader, n.nextHeartbeat = from, now
	}
	n.lastLeaderContact = now
	if from != n.config.Name {
		n.setRole(follower)
		n.inheritedTable = nil
	}
}

// handleVoteRelease releases the vote. A leader that leaves reports how long its leases may last, which the next candidate receives
// with the vote. The successor of that leader gets its table and campaigns at once.
func (n *Instance) handleVoteRelease(now time.Duration, from string, release voteRelease) {
	if n.votedFor != from || n.votedTerm != release.term { // the message arrived after a later vote
		return
	}
	n.votedFor, n.voteExpires = "", 0
	if release.leasesRemaining <= 0 {
		return
	}
	n.inheritedLeasesEnd = max(n.inheritedLeasesEnd, now+n.config.longestSpan(release.leasesRemaining))
	n.inheritedTerm = max(n.inheritedTerm, release.term)
	if release.successor && from != n.config.Name {
		n.inheritedTable = n.importTable(now, release)
		n.lastLeaderContact, n.nextVoteRequest = 0, now
	}
}
