package changefeed

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

// Bounds of what control machines fetch from each other.
const (
	maxFetchPositions   = 256      // positions in one Fetch
	maxAnswerPieceBytes = 64 << 10 // size of a piece of an answer, unless it is a single event
	maxAnswerPieces     = 8        // pieces of one answer
	maxOpenFetches      = 4096     // epochs of origins that are fetched at once

	// fetchTimeoutIntervals is the time, in CompareIntervals, after which another machine is asked.
	fetchTimeoutIntervals = 2
	// claimLifetimeIntervals is the time, in CompareIntervals, after which the claims of an unresponsive machine are dropped.
	claimLifetimeIntervals = 4
)

// claims are the positions of another control machine that are ahead of this node.
type claims struct {
	lastHeard time.Duration
	positions Vector
}

// openFetch is the fetch of one epoch of one origin from another control machine.
type openFetch struct {
	to          string        // machine that was asked
	startedFrom uint64        // position of this node when it asked
	expires     time.Duration // when another machine is asked instead
}

// positionsAhead returns the positions of a vector that are ahead of this node, in at most the newest logEpochs epochs of each
// origin. No node has logs of more epochs, so further claims are not worth storing.
func (n *Node) positionsAhead(vector Vector) (ahead Vector) {
	for _, position := range vector {
		if !n.isOrigin(position.Origin) {
			n.counts.Invalid++
			continue
		}
		if !n.isBehind(position) {
			continue
		}
		if oldest := len(ahead) - logEpochs; oldest >= 0 && ahead[oldest].Origin == position.Origin {
			ahead = slices.Delete(ahead, oldest, oldest+1)
		}
		ahead = append(ahead, position)
	}
	return ahead
}

// isBehind reports whether this node follows the epoch of a position and has not reached the position.
func (n *Node) isBehind(position Position) bool {
	return n.follows(position.Origin, position.Epoch) && position.Number > n.position(position.Origin, position.Epoch)
}

// recordClaim records that another control machine has reached a position.
func (n *Node) recordClaim(now time.Duration, from string, position Position) {
	claim := n.claims[from]
	if claim == nil {
		claim = &claims{}
		n.claims[from] = claim
	}
	claim.lastHeard = now
	index, found := slices.BinarySearchFunc(claim.positions, position, comparePositions)
	if found {
		claim.positions[index].Number = max(claim.positions[index].Number, position.Number)
		return
	}
	claim.positions = n.positionsAhead(slices.Insert(claim.positions, index, position))
}

// dropOldClaims drops the claims that this node has caught up with, and those of unresponsive machines.
func (n *Node) dropOldClaims(now time.Duration) {
	for _, name := range n.config.Origins {
		claim := n.claims[name]
		if claim == nil {
			continue
		}
		claim.positions = n.positionsAhead(claim.positions)
		isUnresponsive := now-claim.lastHeard > claimLifetimeIntervals*n.config.CompareInterval
		if len(claim.positions) == 0 || isUnresponsive {
			delete(n.claims, name)
		}
	}
}

// fetchMissing asks for the events that others claim to have. It asks one machine for each epoch of an origin, and another one if
// that machine sent nothing in time. So a claim to events that no machine has costs one message per timeout, and does not delay
// other fetches.
func (n *Node) fetchMissing(now time.Duration) (out []Message) {
	n.dropOldClaims(now)
	wanted := map[string]Vector{} // by machine to ask
	for _, name := range n.config.Origins {
		claim := n.claims[name]
		if claim == nil {
			continue
		}
		for _, position := range claim.positions {
			if !n.mayFetch(now, epochIDOf(position)) {
				continue
			}
			position.Number = n.position(position.Origin, position.Epoch)
			to := n.chooseSource(position)
			n.openFetches[epochIDOf(position)] = openFetch{to: to, startedFrom: position.Number, expires: now + n.fetchTimeout()}
			wanted[to] = append(wanted[to], position)
		}
	}
	return n.fetchMessages(wanted)
}

// mayFetch reports whether an epoch may be fetched: its fetch has timed out, or it is not being fetched and the number of open
// fetches is below its bound.
func (n *Node) mayFetch(now time.Duration, id epochID) bool {
	fetch, isOpen := n.openFetches[id]
	if isOpen {
		return now >= fetch.expires
	}
	return len(n.openFetches) < maxOpenFetches
}

// fetchTimeout returns the time after which another machine is asked.
func (n *Node) fetchTimeout() time.Duration { return fetchTimeoutIntervals * n.config.CompareInterval }

// fetchMessages returns the messages that ask each machine for what follows its positions.
func (n *Node) fetchMessages(wanted map[string]Vector) (out []Message) {
	for _, to := range n.config.Origins {
		positions := wanted[to]
		slices.SortFunc(positions, comparePositions)
		for chunk := range slices.Chunk(positions, maxFetchPositions) {
			out = append(out, Message{Kind: Fetch, From: n.config.Name, To: to, Vector: chunk})
			n.counts.Fetches++
		}
	}
	return out
}

// chooseSource returns the machine to ask for what follows a position. The candidates are the machines that claim to be ahead. The
// first choice is the origin, or one by hash if the origin is no candidate. After a machine whose fetch timed out the next
// candidate is chosen.
func (n *Node) chooseSource(position Position) string {
	var candidates []string // sorted
	for _, name := range n.config.Origins {
		if claim := n.claims[name]; claim != nil && claim.positions.At(position.Origin, position.Epoch) > position.Number {
			candidates = append(candidates, name)
		}
	}
	former, asked := n.openFetches[epochIDOf(position)]
	if !asked {
		if slices.Contains(candidates, position.Origin) {
			return position.Origin
		}
		return candidates[sourceHash(n.config.Name, position)%uint64(len(candidates))]
	}
	next, found := slices.BinarySearch(candidates, former.to)
	if found {
		next++
	}
	return candidates[next%len(candidates)]
}

// sourceHash spreads the first fetches of control machines over the machines that they may ask.
func sourceHash(name string, position Position) uint64 {
	hash := fnv.New64a()
	fmt.Fprint(hash, name, "/", position.Origin, "/", position.Epoch)
	sum := hash.Sum64()
	return sum ^ sum>>32
}

// dropUnclaimedFetches drops fetches that timed out and that no machine claims to be able to answer.
func (n *Node) dropUnclaimedFetches(now time.Duration) {
	for id, fetch := range n.openFetches {
		if now >= fetch.expires && !n.isClaimed(id) {
			delete(n.openFetches, id)
		}
	}
}

// isClaimed reports whether any machine claims to be ahead in an epoch.
func (n *Node) isClaimed(id epochID) bool {
	return slices.ContainsFunc(n.config.Origins, func(name string) bool {
		claim := n.claims[name]
		return claim != nil && claim.positions.At(id.origin, id.epoch) > 0
	})
}

// fetchAnswer collects the pieces of the answer to a fetch.
type fetchAnswer struct {
	from, to string
	pieces   []Message
	batch    eventBatch // events of the unfinished piece
}

// newFetchAnswer returns an answer without events.
func newFetchAnswer(from, to string) *fetchAnswer {
	return &fetchAnswer{from: from, to: to, batch: eventBatch{bytesLeft: maxAnswerPieceBytes}}
}

// isFull reports whether the answer has all the pieces that it may have.
func (a *fetchAnswer) isFull() bool { return len(a.pieces) >= maxAnswerPieces }

// finishPiece ends the unfinished piece and begins another one.
func (a *fetchAnswer) finishPiece() {
	a.pieces = append(a.pieces, Message{Kind: Events, From: a.from, To: a.to, Events: a.batch.events})
	a.batch = eventBatch{bytesLeft: maxAnswerPieceBytes}
}

// add adds the events of a log that follow a number, until the answer is full.
func (a *fetchAnswer) add(now time.Duration, log *epochLog, number uint64) {
	for number < log.head && !a.isFull() {
		if number = log.appendAfter(now, number, &a.batch); number < log.head {
			a.finishPiece()
		}
	}
}

// finish returns the pieces of the answer. The last one carries the heads of the logs. There is at least one piece, which may have
// no events.
func (a *fetchAnswer) finish(heads Vector) []Message {
	hasUnfinished := len(a.batch.events) > 0 && !a.isFull()
	if hasUnfinished || len(a.pieces) == 0 {
		a.finishPiece()
	}
	a.pieces[len(a.pieces)-1].Vector = heads
	return a.pieces
}

// answerFetch answers another machine with the events that follow its positions, in pieces. The last piece reports how far the logs
// go. If the pieces do not reach that, the other machine asks again.
func (n *Node) answerFetch(now time.Duration, message *Message) []Message {
	if len(message.Vector) > maxFetchPositions {
		n.counts.Invalid++
		return nil
	}
	answer := newFetchAnswer(n.config.Name, message.From)
	var heads Vector
	for _, position := range message.Vector {
		log := n.logToFetch(position)
		if log == nil {
			continue
		}
		heads = append(heads, Position{log.origin, log.epoch, log.head})
		answer.add(now, log, position.Number)
	}
	if heads == nil {
		return nil
	}
	return answer.finish(heads)
}

// logToFetch returns the log that is fetched from a position. It returns nil, and counts that, for an unknown origin, for an evicted
// epoch, whose losses are not known any more, and for a position ahead of the log.
func (n *Node) logToFetch(position Position) *epochLog {
	if !n.isOrigin(position.Origin) {
		n.counts.Invalid++
		return nil
	}
	if !n.store.admits(position.Origin, position.Epoch) {
		n.counts.OldEpochs++
		return nil
	}
	head := n.position(position.Origin, position.Epoch)
	if position.Number > head || head == 0 {
		n.counts.Ahead++
		return nil
	}
	if log := n.store.log(position.Origin, position.Epoch); log != nil {
		return log
	}
	return &epochLog{origin: position.Origin, epoch: position.Epoch, head: head} // all its events have expired, and the log was dropped
}

// handleEvents accepts events, and asks for events that are missing before them. It returns the messages to send and the accepted
// events.
func (n *Node) handleEvents(now time.Duration, message *Message) (out []Message, fresh []Event) {
	n.store.expire(now)
	isMissing := false
	for i := range message.Events {
		event := &message.Events[i]
		position := Position{event.Origin, event.Epoch, event.Number}
		switch n.acceptEvent(now, event) {
		case Accepted:
			fresh = append(fresh, *event)
			n.extendFetch(now, message.From, epochIDOf(position))
		case Expired:
			n.extendFetch(now, message.From, epochIDOf(position))
		case Gap:
			n.recordClaim(now, message.From, position)
			isMissing = true
		}
	}
	if len(message.Vector) > 0 {
		n.finishFetches(now, message)
		isMissing = true
	}
	if isMissing {
		out = n.fetchMissing(now)
	}
	return out, fresh
}

// extendFetch gives a machine that answers a fetch more time for the rest of the answer.
func (n *Node) extendFetch(now time.Duration, from string, id epochID) {
	if !n.isFetchedFrom(from, id) {
		return
	}
	fetch := n.openFetches[id]
	fetch.expires = now + n.fetchTimeout()
	n.openFetches[id] = fetch
}

// isFetchedFrom reports whether an epoch is being fetched from a machine.
func (n *Node) isFetchedFrom(from string, id epochID) bool {
	fetch, isOpen := n.openFetches[id]
	return isOpen && fetch.to == from
}

// finishFetches handles the end of an answer. A machine that sent events may have more, and is asked again at once. If it sent none,
// its fetches stay open until they time out, and then another machine is asked.
func (n *Node) finishFetches(now time.Duration, message *Message) {
	sentEvents := slices.ContainsFunc(message.Vector, func(position Position) bool {
		id := epochIDOf(position)
		return n.isFetchedFrom(message.From, id) && n.position(position.Origin, position.Epoch) > n.openFetches[id].startedFrom
	})
	for _, position := range message.Vector {
		if !n.isOrigin(position.Origin) {
			n.counts.Invalid++
			continue
		}
		if sentEvents && n.isFetchedFrom(message.From, epochIDOf(position)) {
			delete(n.openFetches, epochIDOf(position))
		}
		if n.isBehind(position) {
			n.recordClaim(now, message.From, position)
		}
	}
}

// rejectOwnEvent returns the verdict on an event of this node's own epoch that another machine sent.
func (n *Node) rejectOwnEvent(event *Event) Verdict {
	if event.Number <= n.store.own.head {
		n.counts.Duplicates++
		return Duplicate
	}
	n.counts.Invalid++ // this node has not published it
	return Invalid
}

// acceptEvent decides on one event of another machine, and stores it if it is live and not superseded. The verdict is Expired for
// every event that moves the position but must not be handed on.
func (n *Node) acceptEvent(now time.Duration, event *Event) Verdict {
	if event.Origin == n.config.Name && event.Epoch == n.Epoch() {
		return n.rejectOwnEvent(event)
	}
	if n.isOrigin(event.Origin) && event.Epoch > 0 && !n.store.admits(event.Origin, event.Epoch) {
		n.counts.OldEpochs++
		return OldEpoch
	}
	position := n.position(event.Origin, event.Epoch)
	verdict := n.reader.Accept(event)
	if !verdict.movesPosition() {
		return verdict
	}
	log := n.store.openLog(event.Origin, event.Epoch)
	log.head = event.Number
	if event.LostUpTo > position {
		log.recordLoss(position, event.LostUpTo)
	}
	if verdict != Accepted {
		return Expired
	}
	if !n.store.add(now, log, event) {
		n.counts.Superseded++
		return Expired
	}
	return Accepted
}
