package capacity

// Miss-ratio curves of caches, from stack distances.

import (
	"math"

	"indigochute.example/indigochute/internal/routing"
)

// MissRatioCurve is the share of reads that a least recently used (LRU) cache misses, as a function of the size of the cache.
// It is computed from stack distances (Mattson et al., Evaluation Techniques for Storage Hierarchies, 1970). The stack distance
// of a read is the total size of the distinct parts read since the last read of the same part, this part included.
//
// Only a sample of the parts is tracked. A hash selects the parts, so that either all reads of a part are tracked or none.
// Distances are scaled up by the share of the sample (Waldspurger et al., Efficient MRC Construction with SHARDS, FAST
// 2015).
//
// The memory of a MissRatioCurve is bounded by the number of distinct parts that it tracks.
type MissRatioCurve struct {
	share     float64                    // share of the parts that is tracked
	hashBound uint64                     // parts with a hash up to this value are tracked
	last      map[partKey]int32          // position of the last read of each part
	bytes     []float64                  // by position; 0 if the part was read again later
	keys      []partKey                  // by position
	sums      []float64                  // Fenwick tree over bytes
	next      int32                      // position of the next read
	all       readCount                  // all reads, tracked or not
	first     readCount                  // tracked reads that are the first read of a part
	buckets   [distanceBuckets]readCount // other tracked reads, by stack distance
}

// readCount counts reads and their bytes.
type readCount struct{ bytes, reads float64 }

// add counts one read.
func (c *readCount) add(bytes float64) {
	c.bytes += bytes
	c.reads++
}

const (
	distanceBuckets  = 400
	bucketRatio      = 1.05 // ratio of the distances of two neighbouring buckets
	minDistance      = 1e3  // distance of the first bucket, in bytes
	minPositions     = 1024 // least number of positions
	positionsPerPart = 2.5  // number of positions for each part after a compaction
)

// NewMissRatioCurve returns an empty curve that tracks a share of the parts. It tracks all parts if the share is 1 or more.
func NewMissRatioCurve(share float64) *MissRatioCurve {
	c := &MissRatioCurve{share: min(1, share), last: map[partKey]int32{}}
	c.hashBound = math.MaxUint64
	if share < 1 {
		c.hashBound = uint64(share * math.MaxUint64)
	}
	c.allocate(minPositions)
	return c
}

// allocate creates empty lists and an empty tree for a number of positions.
func (c *MissRatioCurve) allocate(positions int) {
	c.bytes = make([]float64, positions)
	c.keys = make([]partKey, positions)
	c.sums = make([]float64, positions+1)
}

// Read adds one read and returns its stack distance in bytes, which is infinite at the first read of a part. Reads must be
// added in the order in which they occur. If the part is not in the sample, tracked is false and the distance is unknown.
func (c *MissRatioCurve) Read(object uint64, part uint32, bytes float64) (distance float64, tracked bool) {
	c.all.add(bytes)
	if routing.Hash(object, uint64(part)) > c.hashBound {
		return 0, false
	}
	key := partKey{object, part}
	if int(c.next) == len(c.bytes) {
		c.compact()
	}
	before, readBefore := c.last[key]
	if readBefore {
		between := c.sumBefore(c.next) - c.sumBefore(before+1)
		distance = between/c.share + bytes
		c.addAt(before, -c.bytes[before])
		c.bytes[before] = 0
	}
	c.last[key] = c.next
	c.bytes[c.next], c.keys[c.next] = bytes, key
	c.addAt(c.next, bytes)
	c.next++
	if !readBefore {
		c.first.add(bytes)
		return math.Inf(1), true
	}
	c.buckets[bucketOf(distance)].add(bytes)
	return distance, true
}

// bucketOf returns the bucket of a distance in bytes.
func bucketOf(distance float64) int {
	bucket := math.Ceil(math.Log(max(1, distance/minDistance)) / math.Log(bucketRatio))
	return min(distanceBuckets-1, max(0, int(bucket)))
}

// compact removes the positions of parts that were read again later. The number of positions is therefore bounded by the
// number of parts and not by the number of reads.
func (c *MissRatioCurve) compact() {
	bytes, keys := c.bytes, c.keys
	c.allocate(max(minPositions, int(positionsPerPart*float64(len(c.last)))))
	c.next = 0
	for i, size := range bytes {
		last, read := c.last[keys[i]]
		if isLastRead := read && int(last) == i && size > 0; isLastRead {
			c.bytes[c.next], c.keys[c.next] = size, keys[i]
			c.last[keys[i]] = c.next
			c.next++
		}
	}
	c.buildTree()
}

// buildTree computes the Fenwick tree over bytes in one pass: each node adds its sum to that of its parent.
func (c *MissRatioCurve) buildTree() {
	for i, size := range c.bytes {
		node := i + 1
		c.sums[node] += size
		if parent := node + node&-node; parent < len(c.sums) {
			c.sums[parent] += c.sums[node]
		}
	}
}

// addAt adds bytes at a position to the tree.
func (c *MissRatioCurve) addAt(position int32, bytes float64) {
	for i := int(position) + 1; i < len(c.sums); i += i & -i {
		c.sums[i] += bytes
	}
}

// sumBefore returns the sum of the bytes at all positions before the given position.
func (c *MissRatioCurve) sumBefore(position int32) (sum float64) {
	for i := int(position); i > 0; i -= i & -i {
		sum += c.sums[i]
	}
	return sum
}

// Misses returns the share of the bytes and the share of the reads that a cache misses with a memory of the given size in bytes.
// If the sample has more or less than its share of the reads, the difference counts as reads at the least distance, because it
// is caused by hot parts.
func (c *MissRatioCurve) Misses(memory float64) (bytes, reads float64) {
	if c.all.bytes == 0 {
		return 0, 0
	}
	missed := c.first
	for i := bucketOf(memory) + 1; i < distanceBuckets; i++ {
		missed.bytes += c.buckets[i].bytes
		missed.reads += c.buckets[i].reads
	}
	return min(1, missed.bytes/(c.all.bytes*c.share)), min(1, missed.reads/(c.all.reads*c.share))
}

// bucketsBeyond is the number of points that Points adds after the last bucket with a read.
const bucketsBeyond = 4

// Points returns points of the curve for a chart: sizes of memory in bytes, and the share of reads missed at each.
func (c *MissRatioCurve) Points() (memory, missed []float64) {
	last := 0
	for i := range c.buckets {
		if c.buckets[i].reads > 0 {
			last = i
		}
	}
	for i := 0; i <= min(last+bucketsBeyond, distanceBuckets-1); i++ {
		bytes := minDistance * math.Pow(bucketRatio, float64(i))
		_, reads := c.Misses(bytes)
		memory = append(memory, bytes)
		missed = append(missed, reads)
	}
	return memory, missed
}
