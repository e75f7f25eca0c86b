package scaling

// This file tests fitted lines and shapes.

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"testing"
)

// directors are the sizes of the benchmarks in benchmarkOutput.
var directors = []float64{36, 72, 145, 290, 580}

// benchmarkOutput returns the output of go test for one benchmark whose ns/op are a function of its size.
func benchmarkOutput(name string, value func(size float64) float64) string {
	text := "goos: linux\npkg: example/x\ncpu: some\n"
	for _, size := range directors {
		text += fmt.Sprintf("Benchmark%s/directors=%.0f-8 \t     100\t  %.9g ns/op\n", name, size, value(size))
	}
	return text + "PASS\nok  \texample/x\t1.2s\n"
}

// fitOne returns the growth of the only figure in an output.
func fitOne(t *testing.T, text string) Growth {
	t.Helper()
	output := Parse(text)
	if len(output.Failures) > 0 {
		t.Fatal(output.Failures)
	}
	all := Fit(output.Measurements)
	if len(all) != 1 {
		t.Fatalf("%d figures, want 1, of\n%s", len(all), text)
	}
	return all[0]
}

// near reports whether two numbers are equal except for rounding.
func near(got, want float64) bool { return math.Abs(got-want) <= 1e-6*max(1, math.Abs(want)) }

// The shape of each figure is recognized. The verdict states whether the line through the smaller sizes predicts the largest.
func TestShapesAndVerdicts(t *testing.T) {
	noise := func(n float64) float64 { return 1 + 0.04*math.Sin(n) }
	for _, test := range []struct {
		name        string
		value       func(size float64) float64
		wantShape   Shape // empty for any
		wantVerdict Verdict
	}{
		{"line", func(n float64) float64 { return 700 + 12.5*n }, Linear, PredictedByLine},
		{"line through 0", func(n float64) float64 { return 3 * n }, Linear, PredictedByLine},
		{"line with noise", func(n float64) float64 { return (300 + 12.5*n) * noise(n) }, Linear, PredictedByLine},
		{"falling line", func(n float64) float64 { return 5000 - 8*n }, Linear, PredictedByLine},
		{"N log N", func(n float64) float64 { return 5 * n * math.Log(n) }, Linearithmic, PredictedByLine},
		{"N²", func(n float64) float64 { return 100 + n*n }, Quadratic, NotPredicted},
		{"N² with noise", func(n float64) float64 { return (100 + n*n) * noise(n) }, Quadratic, NotPredicted},
		{"N² over a large constant", func(n float64) float64 { return 5000 + 0.3*n*n }, Quadratic, NotPredicted},
		{"constant", func(float64) float64 { return 42 }, Constant, PredictedByMean},
		{"constant with noise", func(n float64) float64 { return 42 * noise(n) }, Constant, PredictedByMean},
		{"zero", func(float64) float64 { return 0 }, Constant, PredictedByMean},
		{"bent at the end", func(n float64) float64 {
			if n == 580 {
				return 1000 + 14*n
			}
			return 1000 + 10*n
		}, "", NotPredicted},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := fitOne(t, benchmarkOutput("ScaleX", test.value))
			if g.Verdict != test.wantVerdict {
				t.Errorf("verdict %q, want %q: error %.3f of %+v", g.Verdict, test.wantVerdict, g.Error, g.Line)
			}
			if test.wantShape != "" && g.Shape != test.wantShape {
				t.Errorf("shape %q, want %q: misfits %+v", g.Shape, test.wantShape, g.Misfits)
			}
			if _, err := json.Marshal(g); err != nil {
				t.Error(err)
			}
		})
	}
}

// checkLine checks the parameters of a line, except for rounding.
func checkLine(t *testing.T, line *Line, slope, intercept float64, residuals []float64) {
	t.Helper()
	if !near(line.Slope, slope) || !near(line.Intercept, intercept) {
		t.Errorf("slope %v, intercept %v, want %v, %v", line.Slope, line.Intercept, slope, intercept)
	}
	if line.Points != len(residuals) || !slices.EqualFunc(line.Residuals, residuals, near) {
		t.Errorf("residuals %v of %d points, want %v", line.Residuals, line.Points, residuals)
	}
}

// The line through points that lie on a line predicts the largest size exactly.
func TestLineThroughExactPoints(t *testing.T) {
	g := fitOne(t, benchmarkOutput("ScaleX", func(n float64) float64 { return 100 + 10*n }))
	checkLine(t, g.Line, 10, 100, []float64{0, 0, 0, 0})
	if g.Line.MaxResidual > 1e-9 {
		t.Errorf("largest residual %v, want 0", g.Line.MaxResidual)
	}
	if !near(g.Predicted, 5900) || g.Measured != 5900 || math.Abs(g.Error) > 1e-9 {
		t.Errorf("predicted %v, measured %v, error %v, want 5900 without an error", g.Predicted, g.Measured, g.Error)
	}
	if want := (5900 - 460) / 5900.0; !near(g.Spread, want) {
		t.Errorf("spread %v, want %v", g.Spread, want)
	}
}

// The line through scattered points has the least-squares parameters, for output in any order of sizes.
func TestLineThroughScatteredPoints(t *testing.T) {
	text := "pkg: p\n"
	for _, point := range []struct{ size, value int }{{3, 6}, {10, 20}, {1, 1}, {2, 2}} {
		text += fmt.Sprintf("BenchmarkScaleX/n=%d 1 %d B/op\n", point.size, point.value)
	}
	g := fitOne(t, text)
	checkLine(t, g.Line, 2.5, -2, []float64{0.5, -1, 0.5})
	if !near(g.Line.MaxResidual, 0.5) {
		t.Errorf("largest residual %v of the value, want 0.5", g.Line.MaxResidual)
	}
	if !near(g.Predicted, 23) || !near(g.Error, 0.15) {
		t.Errorf("predicted %v, error %v, want 23, 0.15", g.Predicted, g.Error)
	}
	if g.Package != "p" || g.SizeUnit != "n" || g.Unit != "B/op" || g.Benchmark != "ScaleX" {
		t.Errorf("figure %s %s %s %s, want p ScaleX n B/op", g.Package, g.Benchmark, g.SizeUnit, g.Unit)
	}
}

// The line is fitted through the sizes up to and including half of the largest.
func TestLineEndsAtHalfOfTheLargestSize(t *testing.T) {
	for second, want := range map[string]Verdict{"290": PredictedByLine, "291": TooFewSizes} {
		text := ""
		for _, n := range []string{"36", second, "580"} {
			text += fmt.Sprintf("BenchmarkScaleX/n=%[1]s 1 %[1]s B/op\n", n)
		}
		if g := fitOne(t, text); g.Verdict != want {
			t.Errorf("with size %s the verdict is %q, want %q: %+v", second, g.Verdict, want, g)
		}
	}
}

// With -count the value of a size is the median of its runs, so that one slow run changes nothing.
func TestValueOfSizeIsMedianOfRuns(t *testing.T) {
	text := ""
	for _, added := range []float64{0, 0, 5000} {
		text += benchmarkOutput("ScaleX", func(n float64) float64 { return 50*n + added*math.Mod(n, 7) })
	}
	g := fitOne(t, text)
	if !near(g.Line.Slope, 50) || g.Verdict != PredictedByLine {
		t.Errorf("slope %v, verdict %q, want 50, %q", g.Line.Slope, g.Verdict, PredictedByLine)
	}
	if want := (Point{Size: 36, Median: 1800, Min: 1800, Max: 6800, Runs: 3}); g.Points[0] != want {
		t.Errorf("first point %+v, want %+v", g.Points[0], want)
	}
}

// The median of an even number of runs is the mean of the middle two. A single size is too few for a line.
func TestMedianOfTwoRuns(t *testing.T) {
	g := fitOne(t, "BenchmarkScaleX/n=1 1 4 B/op\nBenchmarkScaleX/n=1 1 1 B/op\n")
	if want := (Point{Size: 1, Median: 2.5, Min: 1, Max: 4, Runs: 2}); g.Points[0] != want {
		t.Errorf("point %+v, want %+v", g.Points[0], want)
	}
	if g.Verdict != TooFewSizes || g.Line != nil {
		t.Errorf("verdict %q, line %+v, want %q without a line", g.Verdict, g.Line, TooFewSizes)
	}
}

// A figure with some values of 0 has finite shares, so that JSON can represent them.
func TestSharesOfZeroAreFinite(t *testing.T) {
	g := fitOne(t, benchmarkOutput("ScaleX", func(n float64) float64 { return max(0, n-100) }))
	if g.Verdict != NotPredicted || math.IsInf(g.Line.MaxResidual, 0) {
		t.Errorf("verdict %q, largest residual %v, want %q and a finite one", g.Verdict, g.Line.MaxResidual, NotPredicted)
	}
	if _, err := json.Marshal(g); err != nil {
		t.Error(err)
	}
}
