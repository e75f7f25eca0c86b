package replay

import "time"

// random is a SplitMix64 generator. Its output depends only on the seed and not on the Go version.
type random struct{ state uint64 }

func (r *random) next() uint64 {
	r.state += 0x9e3779b97f4a7c15
	z := r.state
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// below returns a number from 0 to n-1.
func (r *random) below(n uint64) uint64 { return r.next() % n }

// between returns a duration in whole microseconds from low up to but excluding limit.
func (r *random) between(low, limit time.Duration) time.Duration {
	return low + time.Duration(r.below(uint64((limit-low)/time.Microsecond)))*time.Microsecond
}

// percent returns true with a probability of n percent.
func (r *random) percent(n uint64) bool { return r.below(100) < n }

// skewed returns a number from 0 to n-1, where smaller numbers are more likely.
func (r *random) skewed(n uint64) uint64 { return r.below(1 + r.below(1+r.below(n))) }
