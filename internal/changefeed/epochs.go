package changefeed

import (
	"math"
	"slices"
	"time"
)

// phase is the state of a node after its start. Only setPhase changes it.
//
//	phaseCreated  -> phaseLearning  at the first Tick
//	phaseLearning -> phaseSettled   Config.LearnPeriod after the first Tick
//
// Until it has settled, the node collects the epochs of its earlier incarnations, and hides its own events from all others. A
// node without a LearnPeriod is settled from the start.
type phase uint8

const (
	phaseCreated phase = iota
	phaseLearning
	phaseSettled
)

// setPhase changes the phase.
func (n *Node) setPhase(to phase) {
	n.phase = to
	n.store.setHidden(to != phaseSettled) // cursors read the node's own log once it is visible
}

// Epoch returns the epoch of this incarnation. The node may still raise it.
func (n *Node) Epoch() uint64 { return n.store.own.epoch }

// Settled reports whether the node has finished collecting the epochs of its earlier incarnations, and so sends its events to others.
func (n *Node) Settled() bool { return n.phase == phaseSettled }

// advancePhase changes the phase if the next one is due.
func (n *Node) advancePhase(now time.Duration) {
	if n.phase == phaseCreated {
		n.started = now
		n.setPhase(phaseLearning)
	}
	if n.phase == phaseLearning && now >= n.started+n.config.LearnPeriod {
		n.setPhase(phaseSettled)
		n.nextPositions = now
	}
}

// learnEpochs records the epochs of earlier incarnations that the positions and events of a message or a subscriber show.
func (n *Node) learnEpochs(vector Vector, events []Event) {
	for _, position := range vector {
		n.learnEpoch(position)
	}
	for i := range events {
		if event := &events[i]; event.isValid() {
			n.learnEpoch(Position{event.Origin, event.Epoch, event.Number})
		}
	}
}

// learnEpoch handles a position that a machine or a subscriber reported. A position of this origin in a higher epoch comes from an
// earlier incarnation, whose wall clock was ahead of the present one. The same holds for a position in the present epoch while the
// node hides its events. In both cases the node moves to a higher epoch. Otherwise others would mistake its new events for old ones,
// or keep an old event of a key in place of a new one.
func (n *Node) learnEpoch(position Position) {
	if position.Origin != n.config.Name || position.Epoch < n.Epoch() {
		return
	}
	switch {
	case position.Epoch == math.MaxUint64: // no epoch is above it
		n.counts.Invalid++
	case !n.Settled():
		n.store.renameOwn(position.Epoch + 1)
	default:
		n.reportedEpoch = max(n.reportedEpoch, position.Epoch)
		n.renewIfExceeded()
	}
}

// renewIfExceeded begins a new epoch if one above the present epoch was reported after the node settled. It does so at most once per
// CompareInterval, so that a series of reports of ever higher epochs cannot overload the node.
func (n *Node) renewIfExceeded() {
	if n.reportedEpoch > n.Epoch() && n.clock >= n.nextRenewal {
		n.renew(n.reportedEpoch + 1)
	}
}

// renew begins a higher epoch when others already know the present one. It publishes the live events of the present epoch again
// in the new one, where they supersede the events that an earlier incarnation published under the same keys.
func (n *Node) renew(epoch uint64) {
	n.store.expire(n.clock)
	former := n.store.own
	entries := slices.Clone(former.entries)
	if _, ok := n.reader.ledger.position(n.config.Name, former.epoch); ok { // from now on it is an earlier epoch like any other
		n.reader.ledger.setPosition(n.config.Name, former.epoch, former.head)
	}
	n.store.own = n.store.openLog(n.config.Name, epoch)
	n.nextRenewal = n.clock + n.config.CompareInterval
	for _, entry := range entries {
		if entry.removed {
			continue
		}
		age := entry.lifetime - (entry.expires - n.clock)
		n.appendOwn(n.clock, Event{Key: entry.key, Fence: entry.fence, Lifetime: entry.lifetime, Age: age, Payload: entry.payload})
	}
	n.nextPositions = n.clock
}
