package changefeed

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// store holds the logs of all origins. The total number and the total size of all entries are limited.
type store struct {
	maxEntries, maxBytes int
	origins              map[string]*originLogs
	own                  *epochLog   // log of the events that the node publishes; it is never dropped
	hidden               bool        // whether own is hidden from others
	sorted               []*epochLog // all logs, sorted by origin and then by epoch
	version              uint64      // incremented with every change of sorted or hidden
	expiry               expiryHeap
	arrivals             uint64
	entries, bytes       int
	evicted              int
}

// originLogs holds the index and the counters of the logs of one origin.
type originLogs struct {
	newest map[string]*logEntry // newest entry by key
	epochs int                  // number of logs
	floor  uint64               // logs of epochs below this one were evicted
}

// newStore returns an empty store for a list of origins.
func newStore(maxEntries, maxBytes int, origins []string) *store {
	s := &store{maxEntries: maxEntries, maxBytes: maxBytes, origins: map[string]*originLogs{}}
	for _, name := range origins {
		s.origins[name] = &originLogs{newest: map[string]*logEntry{}}
	}
	return s
}

// find returns the index in sorted of the log of an epoch, or the index at which it would be inserted.
func (s *store) find(origin string, epoch uint64) (index int, found bool) {
	return slices.BinarySearchFunc(s.sorted, Position{origin, epoch, 0}, func(log *epochLog, position Position) int {
		return cmp.Or(cmp.Compare(log.origin, position.Origin), cmp.Compare(log.epoch, position.Epoch))
	})
}

// log returns the log of an epoch, or nil if there is none.
func (s *store) log(origin string, epoch uint64) *epochLog {
	if index, found := s.find(origin, epoch); found {
		return s.sorted[index]
	}
	return nil
}

// admits reports whether the store has a log of an epoch, or may open one.
func (s *store) admits(origin string, epoch uint64) bool {
	logs := s.origins[origin]
	if logs == nil || epoch < logs.floor {
		return false
	}
	index, found := s.find(origin, epoch)
	return found || logs.epochs < logEpochs || index > s.oldestLogIndex(origin)
}

// oldestLogIndex returns the index in sorted of the log of an origin that is evicted next. The origin must have a log other than own.
func (s *store) oldestLogIndex(origin string) int {
	index, _ := s.find(origin, 0)
	if s.sorted[index] == s.own {
		index++
	}
	return index
}

// openLog returns the log of an epoch that the store admits. It creates the log if there is none, and then evicts the oldest log of
// the origin if there are too many.
func (s *store) openLog(origin string, epoch uint64) *epochLog {
	index, found := s.find(origin, epoch)
	if found {
		return s.sorted[index]
	}
	log := &epochLog{origin: origin, epoch: epoch}
	s.sorted = slices.Insert(s.sorted, index, log)
	s.version++
	s.origins[origin].epochs++
	if s.origins[origin].epochs > logEpochs {
		s.evictLog(s.sorted[s.oldestLogIndex(origin)])
	}
	return log
}

// evictLog evicts a log with all its entries. From then on its epoch and older ones are not admitted.
func (s *store) evictLog(log *epochLog) {
	for len(log.entries) > 0 {
		s.evictFirst(log)
	}
	logs := s.origins[log.origin]
	logs.floor = max(logs.floor, log.epoch+1)
	s.dropLog(log)
}

// renameOwn changes the epoch of this node's own log. There must be no log of the new epoch yet.
func (s *store) renameOwn(epoch uint64) {
	index, _ := s.find(s.own.origin, s.own.epoch)
	s.sorted = slices.Delete(s.sorted, index, index+1)
	s.own.epoch = epoch
	index, _ = s.find(s.own.origin, epoch)
	s.sorted = slices.Insert(s.sorted, index, s.own)
	s.version++
}

// setHidden sets whether this node's own log is hidden from others.
func (s *store) setHidden(hidden bool) {
	s.hidden = hidden
	s.version++
}

// isVisible reports whether a log may be shown to others.
func (s *store) isVisible(log *epochLog) bool { return !s.hidden || log != s.own }

// dropLog removes an empty log.
func (s *store) dropLog(log *epochLog) {
	if index, found := s.find(log.origin, log.epoch); found {
		s.sorted = slices.Delete(s.sorted, index, index+1)
		s.origins[log.origin].epochs--
		s.version++
	}
}

// dropEmptyLogs removes empty logs of epochs that are not the newest of their origin. A log with evicted or lost events stays until
// newer logs evict it, so that a subscriber that has not read these events is notified of the loss.
func (s *store) dropEmptyLogs() {
	for i := len(s.sorted) - 2; i >= 0; i-- {
		log := s.sorted[i]
		hasNewer := log.origin == s.sorted[i+1].origin
		hasLosses := log.floor > 0 || log.lostTo > 0
		if hasNewer && len(log.entries) == 0 && !hasLosses && log != s.own {
			s.dropLog(log)
		}
	}
}

// add stores an event as the last one of its log, and evicts the oldest entries if a limit is exceeded. It returns false, and does
// not store the event, if an event of a newer epoch supersedes it. Call expire first, so that no live entry is evicted in place of
// an expired one.
func (s *store) add(now time.Duration, log *epochLog, event *Event) bool {
	logs := s.origins[log.origin]
	older := logs.newest[event.Key]
	if older != nil && older.log.epoch > log.epoch {
		return false
	}
	if older != nil {
		s.remove(older)
	}
	s.arrivals++
	entry := &logEntry{
		log:      log,
		number:   event.Number,
		arrival:  s.arrivals,
		expires:  now + event.Lifetime - event.Age,
		lifetime: event.Lifetime,
		fence:    event.Fence,
		key:      event.Key,
		payload:  event.Payload,
	}
	for s.entries > 0 && (s.entries >= s.maxEntries || s.bytes+entry.size() > s.maxBytes) {
		s.evictOldest()
	}
	log.append(entry)
	logs.newest[event.Key] = entry
	s.entries++
	s.bytes += entry.size()
	heap.Push(&s.expiry, entry)
	return true
}

// expire removes all entries that have expired.
func (s *store) expire(now time.Duration) {
	for len(s.expiry) > 0 && (s.expiry[0].removed || s.expiry[0].expires <= now) {
		if entry := heap.Pop(&s.expiry).(*logEntry); !entry.removed {
			s.remove(entry)
		}
	}
}

// evictOldest evicts the entry that was added first, of all logs.
func (s *store) evictOldest() {
	var oldest *epochLog
	for _, log := range s.sorted {
		if len(log.entries) > 0 && (oldest == nil || log.entries[0].arrival < oldest.entries[0].arrival) {
			oldest = log
		}
	}
	if oldest != nil {
		s.evictFirst(oldest)
	}
}

// evictFirst evicts the first entry of a log. The first entry is always live.
func (s *store) evictFirst(log *epochLog) {
	log.floor = max(log.floor, log.entries[0].number)
	s.evicted++
	s.remove(log.entries[0])
}

// remove removes a live entry from the store.
func (s *store) remove(entry *logEntry) {
	s.entries--
	s.bytes -= entry.size()
	if logs := s.origins[entry.log.origin]; logs.newest[entry.key] == entry {
		delete(logs.newest, entry.key)
	}
	entry.log.markRemoved(entry)
	if len(s.expiry) > 2*s.entries+maxRemovedSlack {
		s.expiry = slices.DeleteFunc(s.expiry, isRemoved)
		heap.Init(&s.expiry)
	}
}

// expiryHeap is a heap of entries ordered by expiry. It implements heap.Interface.
type expiryHeap []*logEntry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires < h[j].expires }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push appends an entry, for container/heap.
func (h *expiryHeap) Push(entry any) { *h = append(*h, entry.(*logEntry)) }

// Pop removes the last entry, for container/heap.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
