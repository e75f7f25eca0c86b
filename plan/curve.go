package plan

import (
	"math"
	"slices"

	"indigochute.example/indigochute/control"
)

// Curve is a miss-ratio curve: what share of reads a memory of any size would miss if it kept what was used last. It
// is drawn from stack distances: the bytes of all other parts read since a part was read before. Of all parts only a
// sample is followed, chosen by a hash, so that a part is followed either at every read or at none; distances are
// scaled up by the sample's share. (Waldspurger et al., Efficient MRC Construction with SHARDS, FAST 2015.)
type Curve struct {
	share  float64 // of the parts that is followed
	bound  uint64
	last   map[partKey]int32 // place of the last read among places
	bytes  []float64         // at each place; 0: read again since
	keys   []partKey
	sums   []float64 // Fenwick tree over bytes
	next   int32
	reads  float64 // all, followed or not, in bytes
	count  float64
	seen   float64 // followed, in bytes
	seenN  float64
	bucket [curveBuckets]struct{ bytes, reads float64 }
	never  struct{ bytes, reads float64 } // read for the first time
}

const (
	curveBuckets = 400
	curveBase    = 1.05 // ratio of two buckets' distances
	curveLeast   = 1e3  // bytes of the first
)

// NewCurve follows about one part in 1/share.
func NewCurve(share float64) *Curve {
	c := &Curve{share: min(1, share), last: map[partKey]int32{}}
	c.bound = math.MaxUint64
	if share < 1 {
		c.bound = uint64(share * math.MaxUint64)
	}
	c.grow(1024)
	return c
}

func (c *Curve) grow(places int) {
	c.bytes, c.keys, c.sums = make([]float64, places), make([]partKey, places), make([]float64, places+1)
}

// Read takes one read, in order. Distance is infinite at the first; followed is false where the part is not in the
// sample.
func (c *Curve) Read(obj uint64, part uint32, bytes float64) (distance float64, followed bool) {
	c.reads += bytes
	c.count++
	if control.Hash(obj, uint64(part)) > c.bound {
		return 0, false
	}
	c.seen += bytes
	c.seenN++
	k := partKey{obj, part}
	if int(c.next) == len(c.bytes) {
		c.compact()
	}
	at, again := c.last[k]
	if again {
		between := c.upTo(c.next) - c.upTo(at+1)
		distance = between/c.share + bytes
		c.add(at, -c.bytes[at])
		c.bytes[at] = 0
	}
	c.last[k] = c.next
	c.bytes[c.next], c.keys[c.next] = bytes, k
	c.add(c.next, bytes)
	c.next++
	if !again {
		c.never.bytes += bytes
		c.never.reads++
		return math.Inf(1), true
	}
	b := bucketOf(distance)
	c.bucket[b].bytes += bytes
	c.bucket[b].reads++
	return distance, true
}

func bucketOf(distance float64) int {
	return min(curveBuckets-1, max(0, int(math.Ceil(math.Log(max(1, distance/curveLeast))/math.Log(curveBase)))))
}

// compact closes the gaps that reads again have left, so that places suffice for as many reads as there are parts.
func (c *Curve) compact() {
	bytes, keys := c.bytes, c.keys
	c.grow(max(1024, 2*len(c.last)+len(c.last)/2))
	c.next = 0
	for i, b := range bytes {
		if at, ok := c.last[keys[i]]; ok && int(at) == i && b > 0 {
			c.bytes[c.next], c.keys[c.next] = b, keys[i]
			c.last[keys[i]] = c.next
			c.next++
		}
	}
	for i, b := range c.bytes { // in one sweep
		c.sums[i+1] += b
		if up := (i + 1) + (i+1)&-(i+1); up < len(c.sums) {
			c.sums[up] += c.sums[i+1]
		}
	}
}

func (c *Curve) add(at int32, by float64) {
	for i := int(at) + 1; i < len(c.sums); i += i & -i {
		c.sums[i] += by
	}
}

// upTo sums the bytes before a place.
func (c *Curve) upTo(at int32) (sum float64) {
	for i := int(at); i > 0; i -= i & -i {
		sum += c.sums[i]
	}
	return sum
}

// Misses is the share of bytes and of reads that a memory misses. What the sample has too much or too little of is
// put to the reads at the least distance, as hot parts make the difference.
func (c *Curve) Misses(memory float64) (bytes, reads float64) {
	missed, missedN := c.never.bytes, c.never.reads
	for i := bucketOf(memory) + 1; i < curveBuckets; i++ {
		missed += c.bucket[i].bytes
		missedN += c.bucket[i].reads
	}
	if c.reads == 0 {
		return 0, 0
	}
	return min(1, missed/(c.reads*c.share)), min(1, missedN/(c.count*c.share))
}

// Points are the curve's, for a chart: memory in bytes and the share of reads missed.
func (c *Curve) Points() (memory, missed []float64) {
	most := 0
	for i := range c.bucket {
		if c.bucket[i].reads > 0 {
			most = i
		}
	}
	for i := 0; i <= min(most+4, curveBuckets-1); i++ {
		m := curveLeast * math.Pow(curveBase, float64(i))
		_, reads := c.Misses(m)
		memory, missed = append(memory, m), append(missed, reads)
	}
	return memory, missed
}

// plainCurve is the same without a tree and a sample: a list with the part read last in front. Tests and benchmarks
// measure Curve against it.
type plainCurve struct {
	list      []partKey
	size      map[partKey]float64
	distances []float64
}

func (c *plainCurve) read(obj uint64, part uint32, bytes float64) float64 {
	k := partKey{obj, part}
	if c.size == nil {
		c.size = map[partKey]float64{}
	}
	distance := math.Inf(1)
	if _, again := c.size[k]; again {
		distance = bytes
		at := slices.Index(c.list, k)
		for _, o := range c.list[:at] {
			distance += c.size[o]
		}
		c.list = slices.Delete(c.list, at, at+1)
	}
	c.size[k] = bytes
	c.list = slices.Insert(c.list, 0, k)
	c.distances = append(c.distances, distance)
	return distance
}
