package simulation

import (
	"math"
	"math/rand/v2"
	"testing"
)

// TestCacheMemoryCapacityAndRanks caches random segments. The copies must never exceed the capacity, and a segment must not
// evict a copy with a higher rank than its own.
func TestCacheMemoryCapacityAndRanks(t *testing.T) {
	const capacity = 1000
	random := rand.New(rand.NewPCG(1, 2))
	memory := newCacheMemory(capacity)
	for range 20000 {
		ranksBefore := ranksOf(memory)
		wanted, rank := segment{uint64(random.IntN(40)), 0}, uint8(random.IntN(4))
		if cached := memory.get(wanted); cached != nil && random.IntN(2) == 0 {
			memory.touch(cached, rank)
			continue
		}
		memory.put(wanted, float64(1+random.IntN(300)), rank, 0)

		used := 0.0
		for _, cached := range memory.copies {
			used += cached.bytes
		}
		if math.Abs(used-memory.used) > 1e-6 {
			t.Fatalf("sum of the copies: got %g bytes, want %g as counted by the memory", used, memory.used)
		}
		if used > capacity {
			t.Fatalf("sum of the copies: got %g bytes, want at most %d", used, capacity)
		}
		highestEvictable := max(rank, ranksBefore[wanted])
		for other, rankBefore := range ranksBefore {
			evicted := other != wanted && memory.copies[other] == nil
			if evicted && rankBefore > highestEvictable {
				t.Fatalf("a segment of rank %d evicted a copy of rank %d, want no eviction of a higher rank", highestEvictable, rankBefore)
			}
		}
	}
}

// ranksOf returns the ranks of all copies in a memory.
func ranksOf(memory *cacheMemory) map[segment]uint8 {
	ranks := map[segment]uint8{}
	for s, cached := range memory.copies {
		ranks[s] = cached.rank
	}
	return ranks
}
