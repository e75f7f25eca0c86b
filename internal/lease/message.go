package lease

import "time"

// Kind is the kind of a message.
type Kind uint8

// Kinds of messages. Their numbers are sent on the wire.
const (
	VoteRequest Kind = iota // candidate or leader to all: requests a vote, or its renewal
	Vote                    // response to a VoteRequest: the vote is granted, or the highest known term is reported
	Heartbeat               // instance to leader: reports that it is alive, which runs it began and which leases it returns
	LeaseGrant              // response of the leader to a Heartbeat: renews the leases of that instance
	VoteRelease             // candidate or leader to all: releases the votes for its term
)

// Message is a message between two instances in its wire form. All fields are encoded for every kind, but each kind uses only some
// of them. Each kind has a type below, such as voteRequest, which documents the fields that the kind uses. The method message of
// that type converts to a Message, and the method of Message with the name of the type converts back. From and To are not encoded,
// as the transport identifies the sender and the receiver.
type Message struct {
	Kind            Kind
	From, To        string
	Term            uint64
	Sequence        uint64 // of a VoteRequest or Heartbeat; the response repeats it
	Granted         bool   // in a Vote: the vote is granted; in a VoteRequest: the sender is the leader
	Duration        time.Duration
	Leaving         bool
	Leases          []LeaseRecord
	Returned        []LeaseRecord
	Complete        bool
	SetNumber       uint64
	SetTerm         uint64
	InheritedLeases time.Duration
	InheritedTerm   uint64
}

// LeaseRecord is the lease and the last run of one job in a message.
type LeaseRecord struct {
	Duty      string
	Owner     string        // last lease holder; VoteRelease only
	Fence     uint64        // fencing token, which rises with every change of owner or leader
	Remaining time.Duration // time within which the lease expires; VoteRelease only
	HasRun    bool          // whether a run of the job is known
	SinceRun  time.Duration // since the last known run began
}

// voteRequest requests a vote for the sender. A request for term 0 is never granted: it only queries the highest term that the
// receiver knows.
type voteRequest struct {
	term       uint64
	sequence   uint64
	fromLeader bool // the sender is the leader and requests a renewal
}

func (request voteRequest) message() Message {
	return Message{Kind: VoteRequest, Term: request.term, Sequence: request.sequence, Granted: request.fromLeader}
}

func (message *Message) voteRequest() voteRequest {
	return voteRequest{term: message.Term, sequence: message.Sequence, fromLeader: message.Granted}
}

// voteResponse is the response to a voteRequest.
type voteResponse struct {
	term            uint64 // highest term that the voter knows
	sequence        uint64 // sequence number of the request
	granted         bool
	duration        time.Duration // how long the voter votes for no other instance, if granted; 0: not stated, as by earlier releases
	inheritedLeases time.Duration // longest remaining time of the leases of leaders that left; 0: there are none
	inheritedTerm   uint64        // highest term of those leaders
}

func (response voteResponse) message() Message {
	return Message{
		Kind:            Vote,
		Term:            response.term,
		Sequence:        response.sequence,
		Granted:         response.granted,
		Duration:        response.duration,
		InheritedLeases: response.inheritedLeases,
		InheritedTerm:   response.inheritedTerm,
	}
}

func (message *Message) voteResponse() voteResponse {
	return voteResponse{
		term:            message.Term,
		sequence:        message.Sequence,
		granted:         message.Granted,
		duration:        message.Duration,
		inheritedLeases: message.InheritedLeases,
		inheritedTerm:   message.InheritedTerm,
	}
}

// heartbeat reports to the leader that an instance is alive.
type heartbeat struct {
	term      uint64 // highest term that the instance knows
	sequence  uint64
	leaving   bool          // the instance accepts no more leases
	runs      []LeaseRecord // jobs with a last run that the leader has not acknowledged; if complete is set, all jobs of the instance
	complete  bool          // the present leader has not granted any lease to the instance yet
	returned  []LeaseRecord // returned leases; the instance never uses them again under these fencing tokens
	setNumber uint64        // number of the set of leases that the instance has
	setTerm   uint64        // term of the leader that granted that set
}

func (hb heartbeat) message() Message {
	return Message{
		Kind:      Heartbeat,
		Term:      hb.term,
		Sequence:  hb.sequence,
		Leaving:   hb.leaving,
		Leases:    hb.runs,
		Complete:  hb.complete,
		Returned:  hb.returned,
		SetNumber: hb.setNumber,
		SetTerm:   hb.setTerm,
	}
}

func (message *Message) heartbeat() heartbeat {
	return heartbeat{
		term:      message.Term,
		sequence:  message.Sequence,
		leaving:   message.Leaving,
		runs:      message.Leases,
		complete:  message.Complete,
		returned:  message.Returned,
		setNumber: message.SetNumber,
		setTerm:   message.SetTerm,
	}
}

// leaseGrant is the response of the leader to a heartbeat. It renews all leases of the instance.
type leaseGrant struct {
	term      uint64
	sequence  uint64        // sequence number of the heartbeat
	duration  time.Duration // duration of the leases by the clock of the leader, counted from when the heartbeat was sent
	setNumber uint64        // number of the set of leases that the instance must have
	complete  bool          // leases lists that set; if false, the instance already has it
	leases    []LeaseRecord
}

func (grant leaseGrant) message() Message {
	return Message{
		Kind:      LeaseGrant,
		Term:      grant.term,
		Sequence:  grant.sequence,
		Duration:  grant.duration,
		SetNumber: grant.setNumber,
		Complete:  grant.complete,
		Leases:    grant.leases,
	}
}

func (message *Message) leaseGrant() leaseGrant {
	return leaseGrant{
		term:      message.Term,
		sequence:  message.Sequence,
		duration:  message.Duration,
		setNumber: message.SetNumber,
		complete:  message.Complete,
		leases:    message.Leases,
	}
}

// voteRelease releases the votes for a term after the candidate has ended its campaign, or when the leader leaves.
type voteRelease struct {
	term            uint64
	leasesRemaining time.Duration // time within which all leases that the sender granted as leader expire; 0: it was not the leader
	successor       bool          // the receiver is the successor: it gets the table and must campaign at once
	table           []LeaseRecord // for the successor: all jobs
	blockedFor      time.Duration // for the successor: longest remaining time of the leases of leaders before the sender
}

func (release voteRelease) message() Message {
	return Message{
		Kind:            VoteRelease,
		Term:            release.term,
		Duration:        release.leasesRemaining,
		Complete:        release.successor,
		Leases:          release.table,
		InheritedLeases: release.blockedFor,
	}
}

func (message *Message) voteRelease() voteRelease {
	return voteRelease{
		term:            message.Term,
		leasesRemaining: message.Duration,
		successor:       message.Complete,
		table:           message.Leases,
		blockedFor:      message.InheritedLeases,
	}
}
