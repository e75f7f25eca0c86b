package routing

import (
	"time"
)

// evictionRule states how a full table selects the entry to evict.
type evictionRule uint8

const (
	evictFIFO         evictionRule = iota // evicts the entry added longest ago
	evictSecondChance                     // the director's rule: evicts the entry placed longest ago, unless it was requested since
	evictLRU                              // evicts the entry requested longest ago
)

// tableModel models the state of an object table with a given size and eviction rule.
type tableModel struct {
	size    int
	rule    evictionRule
	entries map[uint64]*entry
	ring    *entry // head of the ring; the next entry to evict follows it
}

// entry is the record of one object in a table model.
type entry struct {
	id                   uint64
	requests             Ring
	addedAt, lastRequest time.Duration
	requestedAgain       bool // requested again since it was placed
	next, prev           *entry
}

// newTableModel returns an empty table.
func newTableModel(size int, rule evictionRule) *tableModel {
	ring := &entry{}
	ring.next, ring.prev = ring, ring
	return &tableModel{size: size, rule: rule, entries: map[uint64]*entry{}, ring: ring}
}

// unlink removes an entry from the ring.
func (table *tableModel) unlink(removed *entry) {
	removed.prev.next, removed.next.prev = removed.next, removed.prev
}

// placeLast appends an entry to the end of the ring.
func (table *tableModel) placeLast(placed *entry) {
	placed.prev, placed.next = table.ring.prev, table.ring
	placed.prev.next, placed.next.prev = placed, placed
}

// drop removes an entry from the table.
func (table *tableModel) drop(dropped *entry) {
	table.unlink(dropped)
	delete(table.entries, dropped.id)
}

// count counts a request and returns the entry that was evicted for it, or nil if none was.
func (table *tableModel) count(now time.Duration, id uint64) (evicted *entry) {
	counted := table.entries[id]
	switch {
	case counted == nil:
		if len(table.entries) >= table.size {
			for evicted = table.ring.next; table.rule == evictSecondChance && evicted.requestedAgain; evicted = table.ring.next {
				evicted.requestedAgain = false
				table.unlink(evicted)
				table.placeLast(evicted)
			}
			table.drop(evicted)
		}
		counted = &entry{id: id, addedAt: now, requests: NewRing(loadBucketWidth, 2*loadBuckets)}
		table.entries[id] = counted
		table.placeLast(counted)
	case table.rule == evictLRU:
		table.unlink(counted)
		table.placeLast(counted)
	default:
		counted.requestedAgain = true
	}
	counted.requests.Add(now, 1)
	counted.lastRequest = now
	return evicted
}

// expire drops the entries that were not requested within objectIdleLimit and returns their number.
func (table *tableModel) expire(now time.Duration) (expired int) {
	for oldest := table.ring.next; oldest != table.ring; {
		next := oldest.next
		if now-oldest.lastRequest > objectIdleLimit {
			table.drop(oldest)
			expired++
		}
		oldest = next
	}
	return expired
}

// isHot reports whether an object is in the table and hot according to its entry.
func (table *tableModel) isHot(now time.Duration, id uint64, total float64) bool {
	known := table.entries[id]
	return known != nil && IsHot(known.requests.Sum(now), total)
}

// requestWindow counts all requests within the latest HotWindow, without bounds on memory.
type requestWindow struct {
	buckets [HotWindow / loadBucketWidth][]uint64
	counts  map[uint64]int
	total   int
	newest  int64
}

// turn drops the requests that are older than HotWindow.
func (window *requestWindow) turn(now time.Duration) {
	for at := int64(now / loadBucketWidth); window.newest < at; {
		window.newest++
		bucket := &window.buckets[window.newest%int64(len(window.buckets))]
		for _, id := range *bucket {
			if window.counts[id]--; window.counts[id] == 0 {
				delete(window.counts, id)
			}
		}
		window.total -= len(*bucket)
		*bucket = (*bucket)[:0]
	}
}

// count counts a request.
func (window *requestWindow) count(now time.Duration, id uint64) {
	window.turn(now)
	bucket := &window.buckets[window.newest%int64(len(window.buckets))]
	*bucket = append(*bucket, id)
	window.counts[id]++
	window.total++
}

// recordingExecutor is an Executor that records where the last attempt was sent.
type recordingExecutor struct {
	discardExecutor
	node uint32
}

func (executor *recordingExecutor) StartAttempt(_ uint32, order AttemptOrder) {
	executor.node = order.Node
}
