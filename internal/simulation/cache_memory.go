package simulation

// The memory of a cache or parent, with eviction by retention rank and least recent use.

import (
	"container/list"
	"time"
)

// maxRank is the highest retention rank. A higher rank in a request counts as maxRank. Segments of rank 0 are not cached.
const maxRank = 3

// segment identifies one part of an object. It is the unit of caching.
type segment struct {
	object uint64
	part   uint32
}

// cachedCopy is a segment that a cacheMemory holds.
type cachedCopy struct {
	segment segment
	bytes   float64
	rank    uint8         // retention rank, 1 to maxRank
	born    time.Duration // when the origin sent it
	element *list.Element // of the list of its rank in cacheMemory.byRank
}

// cacheMemory holds copies up to a capacity in bytes. A new copy evicts copies of the lowest rank first and, within a rank,
// the least recently used copy first. A copy with a higher rank than the new copy is never evicted.
type cacheMemory struct {
	capacity float64 // bytes
	used     float64 // bytes
	copies   map[segment]*cachedCopy
	byRank   [maxRank + 1]list.List // of *cachedCopy; the most recently used is at the front
}

// newCacheMemory returns an empty memory of a capacity in bytes.
func newCacheMemory(capacity float64) *cacheMemory {
	return &cacheMemory{capacity: capacity, copies: map[segment]*cachedCopy{}}
}

// get returns the copy of a segment, or nil if there is none.
func (m *cacheMemory) get(s segment) *cachedCopy { return m.copies[s] }

// touch makes a copy the most recently used copy of its rank. If the given rank is higher than the rank of the copy, it
// becomes the rank of the copy.
func (m *cacheMemory) touch(entry *cachedCopy, rank uint8) {
	m.byRank[entry.rank].Remove(entry.element)
	entry.rank = max(entry.rank, min(rank, maxRank))
	entry.element = m.byRank[entry.rank].PushFront(entry)
}

// put caches a segment and replaces an older copy of it. The new copy gets the higher of its own rank and that of the older
// copy. If the memory cannot be freed by evicting copies up to this rank, put evicts no other copy and does not cache the
// segment.
func (m *cacheMemory) put(s segment, bytes float64, rank uint8, born time.Duration) {
	if old := m.copies[s]; old != nil {
		rank = max(rank, old.rank)
		m.remove(old)
	}
	rank = min(rank, maxRank)
	if !m.admits(bytes, rank) {
		return
	}
	m.evictFor(bytes)
	entry := &cachedCopy{segment: s, bytes: bytes, rank: rank, born: born}
	entry.element = m.byRank[rank].PushFront(entry)
	m.copies[s] = entry
	m.used += bytes
}

// admits reports whether a segment with the given size and rank can be cached.
func (m *cacheMemory) admits(bytes float64, rank uint8) bool {
	if rank == 0 || bytes > m.capacity {
		return false
	}
	return m.canFree(bytes, rank)
}

// canFree reports whether the given number of bytes is free, or would be after evicting copies up to the given rank.
func (m *cacheMemory) canFree(bytes float64, rank uint8) bool {
	free := m.capacity - m.used
	for r := uint8(1); r <= rank && free < bytes; r++ {
		for e := m.byRank[r].Back(); e != nil && free < bytes; e = e.Prev() {
			free += e.Value.(*cachedCopy).bytes
		}
	}
	return free >= bytes
}

// evictFor evicts copies, those of the lowest rank first, until the given number of bytes is free.
func (m *cacheMemory) evictFor(bytes float64) {
	for rank := uint8(1); m.capacity-m.used < bytes; rank++ {
		for m.capacity-m.used < bytes && m.byRank[rank].Len() > 0 {
			m.remove(m.byRank[rank].Back().Value.(*cachedCopy))
		}
	}
}

// remove removes a copy from the memory.
func (m *cacheMemory) remove(entry *cachedCopy) {
	m.byRank[entry.rank].Remove(entry.element)
	delete(m.copies, entry.segment)
	m.used -= entry.bytes
}
