package routing

import "time"

// Ring sums recently added values in buckets of a fixed width. Expired buckets are reused, so the memory is bounded by the
// number of buckets. Times must not decrease.
type Ring struct {
	width   time.Duration
	buckets []float64
	newest  int64 // number of the newest bucket since time 0
}

// NewRing returns an empty ring that covers a span of buckets times width.
func NewRing(width time.Duration, buckets int) Ring {
	return Ring{width: width, buckets: make([]float64, buckets)}
}

// Span returns the length of time that the ring covers.
func (ring *Ring) Span() time.Duration { return ring.width * time.Duration(len(ring.buckets)) }

// Add adds a value at the given time.
func (ring *Ring) Add(now time.Duration, value float64) {
	ring.advance(now)
	ring.buckets[ring.newest%int64(len(ring.buckets))] += value
}

// Sum returns the sum of the values added within the span.
func (ring *Ring) Sum(now time.Duration) (sum float64) {
	ring.advance(now)
	for _, value := range ring.buckets {
		sum += value
	}
	return sum
}

// Rate returns the sum divided by the span in seconds. If less time than the span has passed since time 0, it divides by that
// time instead, but by at least one bucket width.
func (ring *Ring) Rate(now time.Duration) float64 {
	elapsed := min(ring.Span(), max(now, ring.width))
	return ring.Sum(now) / elapsed.Seconds()
}

// advance clears the buckets that are older than the span.
func (ring *Ring) advance(now time.Duration) {
	current := int64(now / ring.width)
	for emptied := 0; ring.newest < current && emptied < len(ring.buckets); emptied++ {
		ring.newest++
		ring.buckets[ring.newest%int64(len(ring.buckets))] = 0
	}
	ring.newest = max(ring.newest, current)
}
