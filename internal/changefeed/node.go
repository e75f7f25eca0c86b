package changefeed

import (
	"slices"
	"time"
)

// Node is the part of one control machine: it stores the events of all origins, publishes its own, and keeps up with the other
// control machines. Times are durations since its start, by its own monotonic clock. It is not safe for concurrent use.
type Node struct {
	config Config
	store  *store
	reader *Reader       // positions in the events of others, also in epochs whose log was dropped
	clock  time.Duration // time of the last call that passed one

	nextPositions time.Duration // when the positions of this node are next sent to the others

	phase         phase
	started       time.Duration // time of the first Tick
	reportedEpoch uint64        // highest epoch of an earlier incarnation that was reported after the node settled
	nextRenewal   time.Duration // no further epoch is begun before

	claims      map[string]*claims // by control machine that is ahead
	openFetches map[epochID]openFetch
	counts      Counts
}

// Counts counts events of a node since its start, except for Entries and Bytes. The JSON keys are part of the JSON output.
type Counts struct {
	Published  int `json:"published"`  // events that this node published
	Accepted   int `json:"taken"`      // events of others that were accepted
	Duplicates int `json:"doubled"`    // events that had been received before
	Gaps       int `json:"gaps"`       // events that came with others missing before them
	Expired    int `json:"expired"`    // events that came after their lifetime, or that carried only their number
	Superseded int `json:"superseded"` // events of an older epoch or lower fencing number that came after a newer one of their key
	Evicted    int `json:"evicted"`    // events that were evicted before the end of their lifetime
	Ahead      int `json:"ahead"`      // positions of fetches and subscribers that were ahead of the log
	Invalid    int `json:"strange"`    // events, positions and messages that are of an unknown origin or that no machine can have sent
	OldEpochs  int `json:"old"`        // events and positions of epochs that are too far back
	Losses     int `json:"short"`      // times that events were found to be lost
	Fetches    int `json:"asked"`      // Fetch messages sent
	Entries    int `json:"entries"`    // entries in the log now
	Bytes      int `json:"bytes"`      // size of the entries in the log now
}

// New returns a node that starts now with an empty log. The configuration must be valid (Config.Check).
func New(config Config) *Node {
	config = config.withDefaults()
	config.Origins = slices.Sorted(slices.Values(config.Origins))
	n := &Node{
		config:      config,
		store:       newStore(config.MaxEntries, config.MaxBytes, config.Origins),
		reader:      NewReader(config.Origins),
		claims:      map[string]*claims{},
		openFetches: map[epochID]openFetch{},
	}
	n.store.own = n.store.openLog(config.Name, config.Epoch)
	if config.LearnPeriod == 0 {
		n.setPhase(phaseSettled)
	} else {
		n.setPhase(phaseCreated)
	}
	return n
}

// Receive handles a message of another control machine. It returns the messages to send, and the newly accepted events, which must
// be handed on. The node stores payloads without copying them, so neither the message nor the events may be changed.
func (n *Node) Receive(now time.Duration, message *Message) (out []Message, fresh []Event) {
	if !n.isWellFormed(message) {
		n.counts.Invalid++
		return nil, nil
	}
	n.clock = now
	n.learnEpochs(message.Vector, message.Events)
	switch message.Kind {
	case Positions:
		n.claims[message.From] = &claims{lastHeard: now, positions: n.positionsAhead(message.Vector)}
		return n.fetchMissing(now), nil
	case Fetch:
		return n.answerFetch(now, message), nil
	case Events:
		return n.handleEvents(now, message)
	}
	n.counts.Invalid++
	return nil, nil
}

// isWellFormed reports whether another control machine can have sent a message to this one.
func (n *Node) isWellFormed(message *Message) bool {
	isAddressed := message.To == n.config.Name && message.From != n.config.Name && n.isOrigin(message.From)
	isBounded := len(message.Events) <= MaxEvents && len(message.Vector) <= MaxPositions
	return isAddressed && isBounded && slices.IsSortedFunc(message.Vector, comparePositions)
}

// Tick does what is due by now, and returns the messages to send. Call it about ten times per CompareInterval.
func (n *Node) Tick(now time.Duration) (out []Message) {
	n.clock = now
	n.advancePhase(now)
	n.renewIfExceeded()
	n.store.expire(now)
	n.store.dropEmptyLogs()
	if now >= n.nextPositions {
		n.nextPositions = now + n.config.CompareInterval
		n.dropUnclaimedFetches(now)
		out = n.toOthers(Message{Kind: Positions, Vector: n.Vector()})
	}
	return append(out, n.fetchMissing(now)...)
}

// toOthers returns a message addressed to each other control machine.
func (n *Node) toOthers(message Message) (out []Message) {
	for _, to := range n.config.Origins {
		if to != n.config.Name {
			message.From, message.To = n.config.Name, to
			out = append(out, message)
		}
	}
	return out
}

// isOrigin reports whether a control machine is configured.
func (n *Node) isOrigin(name string) bool { return n.store.origins[name] != nil }

// position returns the number that this node has reached within an epoch.
func (n *Node) position(origin string, epoch uint64) uint64 {
	if log := n.store.log(origin, epoch); log != nil {
		return log.head
	}
	number, _ := n.reader.ledger.position(origin, epoch)
	return number
}

// follows reports whether this node accepts events of an epoch from others.
func (n *Node) follows(origin string, epoch uint64) bool {
	_, ok := n.reader.ledger.position(origin, epoch)
	isOwn := origin == n.config.Name && epoch == n.Epoch()
	return ok && epoch > 0 && n.store.admits(origin, epoch) && !isOwn
}

// Vector returns how far the logs go that others may know of.
func (n *Node) Vector() (vector Vector) {
	for _, log := range n.store.sorted {
		if log.head > 0 && n.store.isVisible(log) {
			vector = append(vector, Position{log.origin, log.epoch, log.head})
		}
	}
	return vector
}

// Counts returns the counts since the start, including those of the reader of the node.
func (n *Node) Counts() Counts {
	counts, read := n.counts, n.reader.counts
	counts.Accepted = read.Accepted - counts.Superseded // the reader accepted the superseded ones, but the store did not
	counts.Superseded += read.Superseded
	counts.Duplicates += read.Duplicates
	counts.Gaps += read.Gaps
	counts.Expired += read.Expired
	counts.Invalid += read.Invalid
	counts.OldEpochs += read.OldEpochs
	counts.Losses += read.Losses
	counts.Evicted, counts.Entries, counts.Bytes = n.store.evicted, n.store.entries, n.store.bytes
	return counts
}
