package changefeed

import (
	"math"
	"time"
)

// Cursor is the position of one subscriber in the logs of a node.
type Cursor struct {
	ledger       ledger        // positions at the time of the subscription, and in epochs whose log has been dropped since
	logPositions []logPosition // positions in the logs of the store, as of storeVersion
	storeVersion uint64        // version of the store when logPositions was built
	nextLog      int           // index in logPositions of the log that the following call of Next reads first
}

// logPosition is the number of the last event that a subscriber has read from one log.
type logPosition struct {
	log    *epochLog
	number uint64
}

// noVersion is a version that no store reaches. A cursor has it until its first refresh.
const noVersion = math.MaxUint64

// Subscribe returns a cursor for a subscriber that has reached the positions in vector. A position that is ahead of its log is
// counted in Counts.Ahead. No event of that epoch is sent until the log has passed the position, so that no event is sent twice.
// Positions of unknown origins are counted in Counts.Invalid and ignored. Positions after the first MaxPositions are ignored.
func (n *Node) Subscribe(vector Vector) *Cursor {
	c := &Cursor{ledger: ledger{}, storeVersion: noVersion}
	vector = vector[:min(len(vector), MaxPositions)]
	n.learnEpochs(vector, nil)
	for _, position := range vector {
		if !n.isOrigin(position.Origin) {
			n.counts.Invalid++
			continue
		}
		if position.Number > n.position(position.Origin, position.Epoch) {
			n.counts.Ahead++
		}
		if _, ok := c.ledger.position(position.Origin, position.Epoch); ok {
			c.ledger.setPosition(position.Origin, position.Epoch, position.Number)
		}
	}
	return c
}

// Next returns the events that follow the cursor, and advances the cursor past them. The caller must not change the events. Their
// total Event.size is at most maxBytes, but at least one event is returned if there is any. The logs are read in turn, so that none
// starves. The cost is one comparison for each log, a binary search in each log that has unread events, and the copying of events.
func (n *Node) Next(now time.Duration, c *Cursor, maxBytes int) []Event {
	c.refresh(n.store)
	batch := eventBatch{bytesLeft: maxBytes}
	for i := range c.logPositions {
		index := (c.nextLog + i) % len(c.logPositions)
		position := &c.logPositions[index]
		position.number = position.log.appendAfter(now, position.number, &batch)
		if batch.isFull() {
			c.nextLog = index + 1
			break
		}
	}
	return batch.events
}

// refresh rebuilds logPositions if the logs of the store have changed. It leaves out logs of epochs that are too old for the ledger
// of the subscriber, which would refuse their events.
func (c *Cursor) refresh(s *store) {
	if c.storeVersion == s.version {
		return
	}
	for _, position := range c.logPositions {
		origin, epoch := position.log.origin, position.log.epoch
		if _, ok := c.ledger.position(origin, epoch); ok {
			c.ledger.setPosition(origin, epoch, position.number)
		}
	}
	c.logPositions = c.logPositions[:0]
	for _, log := range s.sorted {
		if number, ok := c.ledger.position(log.origin, log.epoch); ok && s.isVisible(log) {
			c.logPositions = append(c.logPositions, logPosition{log, number})
		}
	}
	c.storeVersion = s.version
}
