package hollow

import (
	"math"
	"testing"
)

// linearSize returns a size all of whose figures are linear functions of the number of directors.
func linearSize(directors int) Size {
	n := float64(directors)
	return Size{
		Directors: directors,
		Process:   Rates{Received: 1000 * n, Written: 50 * n, Cores: 0.001*n + 0.01, Resident: 3e4*n + 1e7, Goroutines: 7*n + 10},
		Control:   &Rates{Received: 20 * n, Written: 300*n + 700, Cores: 0.0001 * n, Resident: 1e4*n + 1e7, Goroutines: n},
	}
}

// fitted returns the traffic of linear sizes with its fits. The bytes received at the last size are off the line by extra.
func fitted(extra float64, directors ...int) *PeerTraffic {
	traffic := &PeerTraffic{Kind: Control}
	for _, n := range directors {
		traffic.Sizes = append(traffic.Sizes, linearSize(n))
	}
	traffic.Sizes[len(directors)-1].Process.Received += extra
	traffic.addFits()
	return traffic
}

// Lines through linear figures predict the largest size exactly.
func TestFitsPredictLinearFigures(t *testing.T) {
	traffic := fitted(0, 10, 40, 290, 580)
	if !traffic.Holds || len(traffic.Fits) != 10 {
		t.Errorf("holds %v with %d fits, want 10 that hold", traffic.Holds, len(traffic.Fits))
	}
	for _, fit := range traffic.Fits {
		if !fit.Holds || math.Abs(fit.Error) > 1e-6 || fit.Measured == 0 {
			t.Errorf("fit %+v, want one that holds without an error", fit)
		}
	}
	written := traffic.Fits[6] // by a control machine
	if math.Abs(written.PerDirector-300) > 1e-6 || math.Abs(written.Base-700) > 1e-6 || math.Abs(written.Predicted-174700) > 1e-6 {
		t.Errorf("fit %+v, want 300 a director, base 700, prediction 174700", written)
	}
}

// A fit holds if the error of its prediction is at most 15%, and the traffic holds if all fits do.
func TestFitsHoldWithinTolerance(t *testing.T) {
	for extra, want := range map[float64]bool{70000: true, 110000: false, -70000: true, -100000: false} { // of 580,000
		traffic := fitted(extra, 10, 290, 580)
		received, written := traffic.Fits[0], traffic.Fits[1]
		if traffic.Holds != want || received.Holds != want {
			t.Errorf("%v bytes off the line: traffic holds %v, fit holds %v, want %v: %+v", extra, traffic.Holds, received.Holds, want, received)
		}
		if !written.Holds {
			t.Errorf("%v bytes off the line: the fit of another figure does not hold: %+v", extra, written)
		}
	}
}

// No line is fitted through a single size.
func TestNoFitThroughOneSize(t *testing.T) {
	if traffic := fitted(0, 10, 580); len(traffic.Fits) != 0 {
		t.Errorf("fits %+v, want none", traffic.Fits)
	}
}
