// Package scaling measures how the figures of benchmarks grow with a size. It parses the output of `go test -bench` for
// benchmarks that are named BenchmarkScaleWHAT/UNIT=SIZE. It fits a line through the sizes up to half of the largest, and
// compares the prediction of that line for the largest size with the measured value. The package does no I/O and starts no
// goroutines.
package scaling

// This file holds the result: the growth of one figure.

// Tolerance is the largest error with which a prediction still holds, as a share of the measured value. It is also the largest spread
// of a figure that counts as constant.
const Tolerance = 0.15

// Point is a figure at one size.
type Point struct {
	Size   float64 `json:"size"`
	Median float64 `json:"median"` // of all runs
	Min    float64 `json:"least"`
	Max    float64 `json:"most"`
	Runs   int     `json:"runs"`
}

// Line is the least-squares line through the points of the sizes up to half of the largest.
type Line struct {
	Slope       float64   `json:"slope"`     // growth of the figure when the size grows by 1
	Intercept   float64   `json:"intercept"` // the figure at size 0
	Points      int       `json:"through"`   // number of points
	Residuals   []float64 `json:"residuals"` // for each point, the measured value less the value of the line
	MaxResidual float64   `json:"farthest"`  // largest absolute residual, as a share of the value measured at that point
}

// Shape is how a figure grows with its size N: a constant, or a constant plus a multiple of the named term.
type Shape string

// The shapes that are fitted.
const (
	Constant     Shape = "constant"
	Linear       Shape = "N"
	Linearithmic Shape = "N log N"
	Quadratic    Shape = "N²"
)

// Misfit is the distance of one shape from all points: the standard error of its relative residuals. The degrees of freedom are the
// number of points less the number of the shape's parameters.
type Misfit struct {
	Shape Shape   `json:"shape"`
	Error float64 `json:"error"`
}

// Verdict compares the prediction for the largest size with the measured value.
type Verdict string

// The verdicts.
const (
	PredictedByLine Verdict = "within 15%"    // the prediction by the line holds
	PredictedByMean Verdict = "constant"      // the figure does not depend on the size, and the prediction by its mean holds
	NotPredicted    Verdict = "bent"          // the error of the prediction exceeds the tolerance
	TooFewSizes     Verdict = "too few sizes" // at least three are required, two of them up to half of the largest
)

// Growth describes how one figure grows with its size. If there are too few sizes, Line and the fields after it are not set, except
// for Measured.
type Growth struct {
	Package   string   `json:"package"` // import path
	Benchmark string   `json:"benchmark"`
	SizeUnit  string   `json:"per"`
	Unit      string   `json:"unit"`
	Points    []Point  `json:"points"` // in the order of sizes
	Verdict   Verdict  `json:"verdict"`
	Line      *Line    `json:"line,omitempty"`
	Shape     Shape    `json:"shape,omitempty"`
	Misfits   []Misfit `json:"misfits,omitempty"`
	Spread    float64  `json:"spread"`   // difference of the largest and the smallest median, as a share of the largest absolute one
	Predicted float64  `json:"foretold"` // for the largest size, by the line or, if Shape is Constant, by the mean of its points
	Measured  float64  `json:"measured"` // at the largest size
	Error     float64  `json:"error"`    // of Predicted, as a share of Measured
}
