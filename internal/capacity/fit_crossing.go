package capacity

// Estimation of the break by the crossing of a fitted line.

import "math"

const (
	// overdispersion is the ratio of the variance of a share to its variance for independent requests. It is above 1 because
	// late requests occur in groups.
	overdispersion = 2.0

	// minRequestVariance is the least variance that is assumed for a single request. It applies to shares near 0 or 1.
	minRequestVariance = 1e-4

	minFitPoints  = 4   // least number of points for a line
	stretchGrowth = 1.5 // ratio of the stretches of two consecutive fits

	// stretchRounding allows for the rounding error of the widest stretch, which is computed by repeated multiplication.
	stretchRounding = 1.01
)

// FitCrossing returns the factor at which the share falls below the wanted share, and the standard deviation of that
// factor. It computes the factor from a least-squares line through the points around the isotonic crossing.
//
// The stretch of load from which the points are taken is as narrow as the number of requests allows. If the share falls
// steeply with load, few points are enough, and over a wide stretch the share is not linear. If the share falls slowly, many
// points are needed, and the share is linear over a wide stretch. If no stretch gives a line, the factor is the isotonic
// crossing, and the deviation is wideStretch times this factor.
func FitCrossing(points []Point, want float64) (factor, deviation float64) {
	center := IsotonicCrossing(points, want)
	factor, deviation = center, math.Inf(1)
	for stretch := narrowStretch / 2; stretch <= wideStretch*stretchRounding; stretch *= stretchGrowth {
		low, high := center/(1+stretch), center*(1+stretch)
		fitted, ok := fitLine(points, low, high)
		if !ok {
			continue
		}
		crossing := fitted.crossing(want)
		if crossing < low || crossing > high {
			continue // this would be an extrapolation
		}
		if fittedDeviation := fitted.deviation(crossing, want); fittedDeviation < deviation {
			factor, deviation = crossing, fittedDeviation
		}
		if deviation < targetDeviation*factor/2 {
			break
		}
	}
	if math.IsInf(deviation, 1) {
		deviation = factor * wideStretch
	}
	return factor, deviation
}

// line is a falling straight line of the share as a function of the factor. It is fitted to points by least squares, weighted
// by requests.
type line struct {
	weight     float64 // number of requests of all points
	meanFactor float64
	meanShare  float64
	slope      float64
	squareSpan float64 // weighted sum of the squared distances of the factors from their mean
}

// fitLine fits a line to the points with factors from low to high. ok is false if there are too few points or the line
// does not fall.
func fitLine(points []Point, low, high float64) (fitted line, ok bool) {
	var weight, factors, shares, squares, products float64 // weighted sums
	count := 0
	for _, point := range points {
		if point.Factor < low || point.Factor > high {
			continue
		}
		requests := float64(point.Requests)
		count++
		weight += requests
		factors += requests * point.Factor
		shares += requests * point.Share
		squares += requests * point.Factor * point.Factor
		products += requests * point.Factor * point.Share
	}
	if count < minFitPoints {
		return line{}, false
	}
	fitted = line{weight: weight, meanFactor: factors / weight, meanShare: shares / weight}
	fitted.squareSpan = squares - weight*fitted.meanFactor*fitted.meanFactor
	covariance := products - weight*fitted.meanFactor*fitted.meanShare
	if fitted.squareSpan <= 0 || covariance >= 0 {
		return line{}, false
	}
	fitted.slope = covariance / fitted.squareSpan
	return fitted, true
}

// crossing returns the factor at which the line has a share.
func (l line) crossing(share float64) float64 { return l.meanFactor + (share-l.meanShare)/l.slope }

// deviation returns the standard deviation of a crossing.
func (l line) deviation(crossing, share float64) float64 {
	requestVariance := overdispersion * max(share*(1-share), minRequestVariance)
	distance := crossing - l.meanFactor
	variance := requestVariance * (1/l.weight + distance*distance/l.squareSpan)
	return math.Sqrt(variance) / -l.slope
}
