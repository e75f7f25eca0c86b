package hollow

// This file fits a straight line through each figure of traffic by the number of directors, and compares the prediction of the
// line for the largest size with the measured figure.

import (
	"math"

	"gonum.org/v1/gonum/stat"

	"indigochute.example/indigochute/internal/testing/scaling"
)

const (
	maxFittedSize      = 290               // largest number of directors through which lines are fitted
	predictedSize      = 580               // number of directors that is predicted
	maxPredictionError = scaling.Tolerance // as a share of the measured figure
	minFittedSizes     = 2
)

// LinearFit is a straight line through one figure at sizes up to 290 directors, and its prediction for 580 directors.
type LinearFit struct {
	Figure      string  `json:"what"`
	Base        float64 `json:"base"`     // the figure is Base + PerDirector times the number of directors
	PerDirector float64 `json:"each"`     // slope of the line
	Predicted   float64 `json:"foretold"` // at 580 directors
	Measured    float64 `json:"measured"` // at 580 directors; 0 if not measured
	Error       float64 `json:"error"`    // of Predicted, as a share of Measured
	Holds       bool    `json:"holds"`    // the error is at most 15%
}

// figure is one of the figures of a size through which a line is fitted.
type figure struct {
	name  string
	value func(s *Size) float64
}

// figuresOf returns the five figures of a set of rates. The subject names the processes whose rates they are.
func figuresOf(subject string, rates func(s *Size) Rates) []figure {
	return []figure{
		{subject + ": received, bytes/s", func(s *Size) float64 { return rates(s).Received }},
		{subject + ": written, bytes/s", func(s *Size) float64 { return rates(s).Written }},
		{subject + ": cores", func(s *Size) float64 { return rates(s).Cores }},
		{subject + ": resident bytes", func(s *Size) float64 { return rates(s).Resident }},
		{subject + ": goroutines", func(s *Size) float64 { return rates(s).Goroutines }},
	}
}

// addFits fits a line through each figure that grows with the number of directors. In a mesh these are the figures of one
// instance. With control machines they are those of all directors together and those of one control machine.
func (t *PeerTraffic) addFits() {
	figures := figuresOf("an instance", func(s *Size) Rates { return s.Director })
	if t.Kind == Control {
		figures = append(figuresOf("all directors", func(s *Size) Rates { return s.Process }),
			figuresOf("a control machine", func(s *Size) Rates { return *s.Control })...)
	}
	t.Holds = true
	for _, f := range figures {
		if fit, ok := f.fit(t.Sizes); ok {
			t.Fits = append(t.Fits, fit)
			t.Holds = t.Holds && (fit.Holds || fit.Measured == 0)
		}
	}
}

// fit fits a line through a figure. It returns false if there are fewer than two different sizes to fit it through.
func (f *figure) fit(sizes []Size) (fit LinearFit, ok bool) {
	var directors, values []float64
	fit.Figure = f.name
	for i := range sizes {
		size := &sizes[i]
		if size.Directors <= maxFittedSize {
			directors = append(directors, float64(size.Directors))
			values = append(values, f.value(size))
		} else if size.Directors == predictedSize {
			fit.Measured = f.value(size)
		}
	}
	if len(directors) < minFittedSizes || directors[0] == directors[len(directors)-1] {
		return fit, false
	}
	fit.Base, fit.PerDirector = stat.LinearRegression(directors, values, nil, false)
	fit.Predicted = fit.Base + fit.PerDirector*predictedSize
	if fit.Measured != 0 {
		fit.Error = fit.Predicted/fit.Measured - 1
		fit.Holds = math.Abs(fit.Error) <= maxPredictionError
	}
	return fit, true
}
