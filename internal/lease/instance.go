// Package lease elects a leader among the director instances of an installation and grants leases for periodic jobs. No job has
// two lease holders at a time, even if messages are lost, delayed or duplicated, as long as clocks stay within Config.Drift. After
// failures every job gets a lease holder again, once a majority of the instances can reach each other. The package does no I/O,
// starts no goroutine and reads no clock: the caller passes it messages and times, and it returns messages to send and runs to
// begin.
//
// At most one instance at a time is the leader: a majority has voted for it, and votes for no other until the votes expire. The
// leader grants leases to instances that send heartbeats, never for longer than its own votes last. An instance that uses a
// lease or a vote measures its duration by its own clock, from before it sent the request. Each vote states its duration, since
// Config.Lease differs between instances while it is being lengthened by restarts in turn. An instance that waits for a lease or a
// vote to expire waits longer, by as much as two clocks may differ (Config.Drift). Therefore a lease has expired at its holder
// before any other instance can get it. Likewise all leases of a leader have expired before another instance grants any, unless
// a leaving leader hands them over in its table.
//
// Nothing is stored across a restart, so an instance that starts cannot determine whether it voted before. Therefore it does not
// vote during a quiet period, until a vote of its earlier incarnation has expired. Config.Lease of the earlier incarnation must not
// have been longer, so it may be shortened only while all instances are stopped.
package lease

import (
	"slices"
	"time"
)

// Instance is one instance of an installation. It is a voter and a lease holder, and may be a candidate or the leader. All times are
// readings of its own monotonic clock, as durations since a fixed moment such as the start of the process. It is not safe for
// concurrent use.
type Instance struct {
	config   Config
	quorum   int           // number of votes that make a majority
	started  time.Duration // time of the call of New
	draws    uint64        // number of random numbers drawn
	sequence uint64        // sequence number of the last request or heartbeat
	leaving  bool          // Leave was called

	voterState
	electionState
	holderState

	counts Counts
}

// New returns an instance that starts now. The configuration must be valid (Config.Check).
func New(config Config, now time.Duration) *Instance {
	n := &Instance{
		config:   config,
		quorum:   len(config.Members)/2 + 1,
		started:  now,
		sequence: hash(config.Seed, config.Name, 0),
	}
	n.voteRounds = map[uint64]*voteRound{}
	n.table = newLeaseTable(0)
	n.openHeartbeats = map[uint64]*sentHeartbeat{}
	n.leases = map[string]*heldLease{}
	n.highestTerm, n.votedTerm = config.StartUnixMilli, config.StartUnixMilli
	if len(config.Members) > 1 { // a vote of an earlier incarnation has expired everywhere by the end of the quiet period
		n.quietUntil = now + config.longestSpan(config.longestSpan(config.Lease))
	}
	n.nextVoteRequest = n.quietUntil + n.electionDelay(config.Lease)
	n.indexDuties()
	return n
}

// QuietPeriod returns how long after its start the instance does not vote.
func (n *Instance) QuietPeriod() time.Duration { return n.quietUntil - n.started }

// Leave begins the graceful shutdown of the instance. From now on it accepts no leases. It returns each lease that it has once the
// run of the job has ended, and as leader it then hands its table over. HasLeft reports whether that is done.
func (n *Instance) Leave() { n.leaving, n.nextHeartbeat = true, 0 }

// HasLeft reports whether a leaving instance no longer has any lease and is not the leader.
func (n *Instance) HasLeft(now time.Duration) bool {
	return n.leaving && !n.IsLeader(now) && n.hasNoLease(now)
}

// SetDuties replaces the list of jobs. The list must be valid (CheckDuties). Leases of jobs that are no longer in it are returned
// once their runs have ended.
func (n *Instance) SetDuties(list []Duty) {
	n.config.Duties = list
	n.indexDuties()
	n.table.planStale = true
}

// Tick performs all actions that are due and returns the messages to send. Call it about ten times per heartbeat interval.
func (n *Instance) Tick(now time.Duration) (out []Message) {
	n.expireLeadership(now)
	n.returnLeases(now)
	if n.mayHandOver(now) {
		return n.handOver(now)
	}
	if now < n.quietUntil && now >= n.nextTermRequest {
		n.nextTermRequest = now + n.config.Heartbeat
		out = append(out, n.requestTerms()...)
	}
	if now >= n.nextVoteRequest && now >= n.quietUntil {
		out = append(out, n.campaign(now)...)
	}
	if now >= n.nextHeartbeat && n.leader != "" {
		out = append(out, n.sendHeartbeat(now)...)
	}
	return out
}

// Receive handles a message and returns the messages to send. It ignores a message that is not addressed to this instance, that is
// not from a member, or that contains a term above maxTerm.
func (n *Instance) Receive(now time.Duration, message Message) []Message {
	if message.To != n.config.Name || !slices.Contains(n.config.Members, message.From) ||
		max(message.Term, message.SetTerm, message.InheritedTerm) > maxTerm {
		return nil
	}
	switch message.Kind {
	case VoteRequest:
		return n.handleVoteRequest(now, message.From, message.voteRequest())
	case Vote:
		n.handleVote(now, message.From, message.voteResponse())
	case VoteRelease:
		n.handleVoteRelease(now, message.From, message.voteRelease())
	case Heartbeat:
		return n.handleHeartbeat(now, message.From, message.heartbeat())
	case LeaseGrant:
		n.handleGrant(now, message.leaseGrant())
	}
	return nil
}

// broadcast delivers a message to every instance, including this one.
func (n *Instance) broadcast(now time.Duration, message Message) (out []Message) {
	for _, to := range n.config.Members {
		out = append(out, n.deliver(now, to, message)...)
	}
	return out
}

// deliver returns a message for sending. A message to this instance itself is handled at once instead.
func (n *Instance) deliver(now time.Duration, to string, message Message) []Message {
	message.From, message.To = n.config.Name, to
	if to == n.config.Name {
		return n.Receive(now, message)
	}
	return []Message{message}
}
