package capacity

// Isotonic regression of the share over load.

import "slices"

// IsotonicShares fits shares that never rise with load to points in ascending order of load, because the true share cannot
// rise with load. It is an isotonic regression, weighted by requests, by the pool adjacent violators algorithm (Ayer et al., An
// Empirical Distribution Function for Sampling with Incomplete Information, 1955).
func IsotonicShares(points []Point) (shares []float64) {
	type pool struct {
		share    float64
		requests float64
		points   int
	}
	var pools []pool
	for _, point := range points {
		pools = append(pools, pool{point.Share, float64(max(1, point.Requests)), 1})
		for len(pools) > 1 && pools[len(pools)-1].share > pools[len(pools)-2].share {
			before, last := pools[len(pools)-2], pools[len(pools)-1]
			requests := before.requests + last.requests
			share := (before.share*before.requests + last.share*last.requests) / requests
			pools = append(pools[:len(pools)-2], pool{share, requests, before.points + last.points})
		}
	}
	for _, pooled := range pools {
		for range pooled.points {
			shares = append(shares, pooled.share)
		}
	}
	return shares
}

// IsotonicCrossing returns the factor at which the isotonic shares fall below the wanted share, interpolated between two
// points. If all shares are below the wanted share it returns the first factor, and if none is, the last factor. There must be
// at least one point.
func IsotonicCrossing(points []Point, want float64) float64 {
	shares := IsotonicShares(points)
	for i, share := range shares {
		if share >= want {
			continue
		}
		if i == 0 {
			return points[0].Factor
		}
		before, after := points[i-1], points[i]
		shareBefore := shares[i-1]
		return before.Factor + (after.Factor-before.Factor)*(shareBefore-want)/(shareBefore-share)
	}
	return points[len(points)-1].Factor
}

// bracket returns the factors of the points next to the isotonic crossing, below and above it.
func bracket(points []Point, want float64) (low, high float64) {
	crossing := IsotonicCrossing(points, want)
	low, high = points[0].Factor, points[len(points)-1].Factor
	for _, point := range points {
		if point.Factor < crossing*(1-crossingTolerance) {
			low = point.Factor
		}
	}
	for _, point := range slices.Backward(points) {
		if point.Factor > crossing*(1+crossingTolerance) {
			high = point.Factor
		}
	}
	return low, high
}
