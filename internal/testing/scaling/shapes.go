package scaling

// This file fits each shape to all points of a figure.

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// shapeTerms lists the shapes. Each is a constant plus a multiple of its term, or only a constant if its term is nil.
var shapeTerms = []struct {
	shape Shape
	term  func(size float64) float64
}{
	{Constant, nil},
	{Linear, func(size float64) float64 { return size }},
	{Linearithmic, func(size float64) float64 { return size * math.Log(max(size, 1)) }},
	{Quadratic, func(size float64) float64 { return size * size }},
}

// misfits fits each shape so that the sum of its squared relative residuals is minimal.
func (s *series) misfits() (all []Misfit) {
	weights := s.weights()
	for _, candidate := range shapeTerms {
		all = append(all, Misfit{candidate.shape, s.misfit(candidate.term, weights)})
	}
	return all
}

// weights returns the weights of squared residuals that make the residuals relative to the values.
func (s *series) weights() []float64 {
	weights := make([]float64, len(s.values))
	for i, value := range s.values {
		weight := s.share(1, value)
		if math.IsInf(weight, 0) { // all values are 0
			weight = 1
		}
		weights[i] = weight * weight
	}
	return weights
}

// misfit fits a constant plus a multiple of a term, or a constant alone if the term is nil. It returns the standard error of the
// fit.
func (s *series) misfit(term func(size float64) float64, weights []float64) float64 {
	terms := make([]float64, len(s.sizes))
	var constant, factor float64
	var parameters int
	if term == nil {
		constant = stat.Mean(s.values, weights)
		parameters = 1
	} else {
		for i, size := range s.sizes {
			terms[i] = term(size)
		}
		constant, factor = stat.LinearRegression(terms, s.values, weights, false)
		parameters = 2
	}
	sum := 0.0
	for i, value := range s.values {
		residual := value - constant - factor*terms[i]
		sum += weights[i] * residual * residual
	}
	return math.Sqrt(sum / float64(len(s.values)-parameters))
}
