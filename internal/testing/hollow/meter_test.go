package hollow

// This file tests measurements, each of which takes a few seconds.

import (
	"testing"
	"time"
)

// quickMeter returns a meter whose measurements take a few seconds.
func quickMeter() *Meter {
	m := NewMeter(program)
	m.ControlMachines = 3
	m.SettleTime = 500 * time.Millisecond
	m.MeasuredTime = 3 * time.Second
	return m
}

// The traffic of an instance of a mesh grows with the number of instances, and each of its figures is fitted.
func TestMeshTrafficGrowsWithInstances(t *testing.T) {
	t.Parallel()
	traffic, err := quickMeter().MeasureTraffic(Mesh, []int{5, 2})
	if err != nil {
		t.Fatal(err)
	}
	if len(traffic.Sizes) != 2 || traffic.Sizes[0].Directors != 2 || len(traffic.Fits) != 5 {
		t.Fatalf("traffic %+v, want 2 sizes, that of 2 instances first, and 5 fits", traffic)
	}
	small, large := traffic.Sizes[0].Director, traffic.Sizes[1].Director // 2 and 5 instances
	// Pings to another instance take 47 bytes a second, and so do pongs. Health reports and messages of jobs come on top.
	const minBytes = 80.0
	if small.Received < minBytes || small.Written < minBytes {
		t.Errorf("with 2 instances %+v, want at least %v bytes a second in each direction", small, minBytes)
	}
	if large.Received < small.Received+3*minBytes || large.Written < small.Written+3*minBytes {
		t.Errorf("with 5 instances %+v, want at least %v bytes a second more than %+v", large, 3*minBytes, small)
	}
	if large.Goroutines < small.Goroutines || large.Cores <= 0 {
		t.Errorf("with 5 instances %+v, want no fewer goroutines than %+v, and some processor time", large, small)
	}
	if traffic.Sizes[0].Control != nil {
		t.Errorf("control machines of a mesh %+v, want none", traffic.Sizes[0].Control)
	}
	if fit := traffic.Fits[0]; fit.Measured != 0 || fit.PerDirector <= 0 {
		t.Errorf("fit %+v, want one that grows, and whose prediction was not measured", fit)
	}
}

// The traffic of a director that follows control machines does not grow with the number of directors. That of a control machine
// does.
func TestControlTrafficGrowsAtControlMachinesOnly(t *testing.T) {
	t.Parallel()
	traffic, err := quickMeter().MeasureTraffic(Control, []int{4, 16})
	if err != nil {
		t.Fatal(err)
	}
	if len(traffic.Sizes) != 2 || len(traffic.Fits) != 10 {
		t.Fatalf("traffic %+v, want 2 sizes and 10 fits", traffic)
	}
	small, large := traffic.Sizes[0], traffic.Sizes[1] // 4 and 16 directors
	if small.Director.Received < 100 {
		t.Errorf("each of 4 directors receives %.0f bytes a second, want at least 100", small.Director.Received)
	}
	if large.Director.Received > 2*small.Director.Received || large.Director.Written > 2*small.Director.Written {
		t.Errorf("each of 16 directors has %+v, want at most twice the bytes of %+v", large.Director, small.Director)
	}
	if large.Control.Written <= small.Control.Written {
		t.Errorf("a control machine writes %.0f bytes a second to 16 directors, want more than %.0f", large.Control.Written, small.Control.Written)
	}
	if large.ControlMax.Written < large.Control.Written {
		t.Errorf("the busiest control machine writes %.0f bytes a second, want at least the mean %.0f", large.ControlMax.Written,
			large.Control.Written)
	}
	if large.Control.Cores <= 0 || large.Control.Goroutines == 0 {
		t.Errorf("a control machine has %+v, want some processor time and goroutines", large.Control)
	}
}

// Real directors are measured without and with a cluster configuration. A hollow director receives about as much as a real one.
func TestCompareRealAndHollowDirectors(t *testing.T) {
	t.Parallel()
	c, err := quickMeter().Compare(3)
	if err != nil {
		t.Fatal(err)
	}
	if c.RealFollowing.Received <= c.RealStandalone.Received {
		t.Errorf("a real director with control machines receives %.0f bytes a second, want more than %.0f without", c.RealFollowing.Received,
			c.RealStandalone.Received)
	}
	if c.Hollow.Received <= 0 || c.RealStandalone.Resident < 1<<20 {
		t.Errorf("hollow %+v, real without control machines %+v, want some bytes received and at least 1 MiB of memory", c.Hollow, c.RealStandalone)
	}
	if ratio := c.Ratio.Received; ratio < 0.5 || ratio > 2 {
		t.Errorf("a hollow director receives %.2f times what a real one does, want 0.5 to 2", ratio)
	}
}
