package scaling

// This file fits a line through the smaller sizes of each figure, and compares its prediction for the largest size with the
// measured value.

import (
	"cmp"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	minSizes       = 3
	minFittedSizes = 2 // sizes up to half of the largest

	// Shares are relative to a value that is raised to at least the largest value of the figure divided by shareFloor. A share
	// of a value close to 0 would be meaningless if the other values are much larger.
	shareFloor = 1000
)

// figureID identifies a figure.
type figureID struct{ pkg, benchmark, sizeUnit, unit string }

// Fit determines the growth of each figure, in the order in which the figures first appear. The value of a size is the median
// of its runs.
func Fit(measurements []Measurement) []Growth {
	var order []figureID
	valuesBySize := map[figureID]map[float64][]float64{}
	for _, m := range measurements {
		id := figureID{m.Package, m.Benchmark, m.SizeUnit, m.Unit}
		if valuesBySize[id] == nil {
			valuesBySize[id] = map[float64][]float64{}
			order = append(order, id)
		}
		valuesBySize[id][m.Size] = append(valuesBySize[id][m.Size], m.Value)
	}
	all := make([]Growth, 0, len(order))
	for _, id := range order {
		g := Growth{Package: id.pkg, Benchmark: id.benchmark, SizeUnit: id.sizeUnit, Unit: id.unit}
		for size, values := range valuesBySize[id] {
			g.Points = append(g.Points, newPoint(size, values))
		}
		slices.SortFunc(g.Points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
		g.fit()
		all = append(all, g)
	}
	return all
}

// newPoint returns the point of one size from the values of all its runs. It sorts the values.
func newPoint(size float64, values []float64) Point {
	slices.Sort(values)
	n := len(values)
	median := (values[(n-1)/2] + values[n/2]) / 2
	return Point{Size: size, Median: median, Min: values[0], Max: values[n-1], Runs: n}
}

// fit sets the fields that follow from the points.
func (g *Growth) fit() {
	s := newSeries(g.Points)
	last := len(s.sizes) - 1
	g.Measured = s.values[last]
	if len(s.sizes) < minSizes || s.fitted < minFittedSizes {
		g.Verdict = TooFewSizes
		return
	}
	if s.largest > 0 {
		g.Spread = (slices.Max(s.values) - slices.Min(s.values)) / s.largest
	}
	g.Line = s.fitLine()
	g.Misfits = s.misfits()
	g.Shape = g.bestShape()
	if g.Shape == Constant {
		g.Predicted, g.Verdict = stat.Mean(s.values[:s.fitted], nil), PredictedByMean
	} else {
		g.Predicted, g.Verdict = g.Line.Intercept+g.Line.Slope*s.sizes[last], PredictedByLine
	}
	g.Error = s.share(g.Predicted-g.Measured, g.Measured)
	if math.Abs(g.Error) > Tolerance {
		g.Verdict = NotPredicted
	}
}

// bestShape returns Constant if the spread is within the tolerance, and otherwise the shape with the smallest misfit.
func (g *Growth) bestShape() Shape {
	if g.Spread <= Tolerance {
		return Constant
	}
	best := slices.MinFunc(g.Misfits, func(a, b Misfit) int { return cmp.Compare(a.Error, b.Error) })
	return best.Shape
}

// series holds the medians of a figure, in the order of sizes.
type series struct {
	sizes, values []float64
	fitted        int     // number of sizes up to half of the largest; lines are fitted through these
	largest       float64 // largest absolute value
}

// newSeries returns the series of points, which must be in the order of sizes.
func newSeries(points []Point) *series {
	s := &series{}
	for _, p := range points {
		s.sizes = append(s.sizes, p.Size)
		s.values = append(s.values, p.Median)
		s.largest = max(s.largest, math.Abs(p.Median))
	}
	last := len(s.sizes) - 1
	for s.fitted < last && s.sizes[s.fitted] <= s.sizes[last]/2 {
		s.fitted++
	}
	return s
}

// share returns a part as a share of the absolute value. A value close to 0 is raised first, see shareFloor.
func (s *series) share(part, value float64) float64 {
	if part == 0 {
		return 0
	}
	return part / max(math.Abs(value), s.largest/shareFloor)
}

// fitLine fits a line through the fitted sizes.
func (s *series) fitLine() *Line {
	line := &Line{Points: s.fitted}
	line.Intercept, line.Slope = stat.LinearRegression(s.sizes[:s.fitted], s.values[:s.fitted], nil, false)
	for i := range s.fitted {
		residual := s.values[i] - line.Intercept - line.Slope*s.sizes[i]
		line.Residuals = append(line.Residuals, residual)
		line.MaxResidual = max(line.MaxResidual, math.Abs(s.share(residual, s.values[i])))
	}
	return line
}
