package changefeed

import (
	"cmp"
	"slices"
	"time"
)

// logEntry is one event in the log.
type logEntry struct {
	log      *epochLog
	number   uint64
	arrival  uint64 // sequence number of the entry in the store, across all logs
	expires  time.Duration
	lifetime time.Duration
	fence    uint64
	key      string
	payload  []byte
	removed  bool // superseded, expired or evicted, but still in the list of its log or in the expiry heap
}

// entryOverheadBytes is the approximate memory of an entry without its key and payload: the entry itself and the references to it in
// the list, the heap and the index.
const entryOverheadBytes = 256

// size returns the number of bytes that an entry counts towards the limit of the store.
func (entry *logEntry) size() int { return len(entry.key) + len(entry.payload) + entryOverheadBytes }

// maxRemovedSlack is how far the number of removed entries in a list or heap may exceed the number of live ones.
const maxRemovedSlack = 64

// epochLog is the log of one origin within one epoch. It also records the head of the epoch and the ranges of lost events.
type epochLog struct {
	origin string
	epoch  uint64
	head   uint64 // all events up to this number were accepted
	floor  uint64 // events up to this number were evicted at this node, so that a subscriber below it misses some
	// Events in (lostFrom, lostTo] were evicted at other nodes before this node received them. This node may have received some
	// events of that range.
	lostFrom, lostTo uint64
	// entries are sorted by number. The first and the last one are live. The number of removed entries between them is limited
	// (see maxRemovedSlack), so that a search for the events after a position skips few.
	entries []*logEntry
	live    int // number of entries that are not removed
}

// append adds an entry, whose number must be above those of all others.
func (log *epochLog) append(entry *logEntry) {
	log.entries = append(log.entries, entry)
	log.live++
}

// markRemoved marks an entry of this log as removed. It trims the list at both ends, and compacts it when it holds too many removed
// entries.
func (log *epochLog) markRemoved(entry *logEntry) {
	entry.removed, entry.key, entry.payload = true, "", nil
	log.live--
	for len(log.entries) > 0 && log.entries[0].removed {
		log.entries[0] = nil
		log.entries = log.entries[1:]
	}
	for last := len(log.entries) - 1; last >= 0 && log.entries[last].removed; last-- {
		log.entries[last] = nil
		log.entries = log.entries[:last]
	}
	if len(log.entries) > 2*log.live+maxRemovedSlack {
		log.entries = slices.DeleteFunc(log.entries, isRemoved)
	}
}

// isRemoved reports whether an entry is removed.
func isRemoved(entry *logEntry) bool { return entry.removed }

// event returns an entry as it is sent to a reader that has read up to prev.
func (log *epochLog) event(now time.Duration, entry *logEntry, prev uint64) Event {
	return Event{
		Origin:   log.origin,
		Epoch:    log.epoch,
		Number:   entry.number,
		Prev:     prev,
		LostUpTo: log.lostUpTo(prev, entry.number),
		Key:      entry.key,
		Fence:    entry.fence,
		Lifetime: entry.lifetime,
		Age:      max(0, entry.lifetime-(entry.expires-now)),
		Payload:  entry.payload,
	}
}

// headEvent returns an event past its lifetime, for a reader that has read up to prev. It reports that there is no live event from
// there to the head of the log.
func (log *epochLog) headEvent(prev uint64) Event {
	return Event{Origin: log.origin, Epoch: log.epoch, Number: log.head, Prev: prev, LostUpTo: log.lostUpTo(prev, log.head)}
}

// lostUpTo returns the highest number in (prev, number] up to which events are lost, or 0 if none are.
func (log *epochLog) lostUpTo(prev, number uint64) (lost uint64) {
	if prev < log.floor {
		lost = min(log.floor, number)
	}
	if prev < log.lostTo && log.lostFrom < number {
		lost = max(lost, min(log.lostTo, number))
	}
	return lost
}

// recordLoss records that events in (from, to] were evicted at other nodes before this node received them.
func (log *epochLog) recordLoss(from, to uint64) {
	if log.lostTo == 0 {
		log.lostFrom = from
	}
	log.lostFrom, log.lostTo = min(log.lostFrom, from), max(log.lostTo, to)
}

// eventBatch collects events up to a limit of bytes and up to MaxEvents.
type eventBatch struct {
	events    []Event
	bytesLeft int
}

// add appends an event if it fits the batch, and reports whether it did. The first event always fits.
func (b *eventBatch) add(event Event) bool {
	size := event.size()
	if len(b.events) > 0 && (size > b.bytesLeft || len(b.events) >= MaxEvents) {
		b.bytesLeft = 0
		return false
	}
	b.events = append(b.events, event)
	b.bytesLeft -= size
	return true
}

// isFull reports whether no further event can be added to the batch.
func (b *eventBatch) isFull() bool { return b.bytesLeft <= 0 && len(b.events) > 0 }

// appendAfter adds to a batch the events that follow a position, as far as they fit, and returns the position reached. If no live
// event is left before the head, it adds a headEvent, which advances the position to the head. A position at or ahead of the head is
// returned unchanged.
func (log *epochLog) appendAfter(now time.Duration, position uint64, batch *eventBatch) (reached uint64) {
	if position >= log.head {
		return position
	}
	compare := func(entry *logEntry, number uint64) int { return cmp.Compare(entry.number, number) }
	first, _ := slices.BinarySearchFunc(log.entries, position+1, compare)
	for _, entry := range log.entries[first:] {
		if entry.removed || entry.expires <= now {
			continue
		}
		if !batch.add(log.event(now, entry, position)) {
			return position
		}
		position = entry.number
	}
	if position < log.head && batch.add(log.headEvent(position)) {
		position = log.head
	}
	return position
}
