package wakeups

import (
	"testing"
	"testing/synctest"
	"time"
)

const ms = time.Millisecond

// sleep is a recorded sleep of a meter. Its end counts from start.
type sleep struct{ end, lateness time.Duration }

// start is the time from which the end of a sleep counts.
var start = time.Unix(1000, 0)

// meterOf returns a meter that has recorded the sleeps.
func meterOf(sleeps ...sleep) *Meter {
	m := &Meter{}
	for _, s := range sleeps {
		m.record(start.Add(s.end), s.lateness)
	}
	return m
}

// Near considers the sleeps that ended less than 100 ms before or after a time.
func TestNear(t *testing.T) {
	m := meterOf(sleep{0, 9 * ms}, sleep{200 * ms, 1 * ms}, sleep{290 * ms, 3 * ms}, sleep{500 * ms, 7 * ms})
	for _, test := range []struct {
		name string
		at   time.Duration
		want time.Duration
	}{
		{"two sleeps in the vicinity", 210 * ms, 3 * ms},
		{"no sleep in the vicinity", 395 * ms, 0},
		{"a sleep at the end of the vicinity, which is exclusive", 400 * ms, 0},
		{"after all sleeps", time.Hour, 0},
	} {
		if got := m.Near(start.Add(test.at)); got != test.want {
			t.Errorf("%s: lateness near %v is %v, want %v", test.name, test.at, got, test.want)
		}
	}
}

// Between considers the sleeps that ended between two times, and the sleep in progress at the second time.
func TestBetween(t *testing.T) {
	m := meterOf(sleep{0, 9 * ms}, sleep{200 * ms, 1 * ms}, sleep{290 * ms, 3 * ms}, sleep{500 * ms, 7 * ms})
	for _, test := range []struct {
		name     string
		from, to time.Duration
		want     time.Duration
	}{
		{"a sleep between, and the first one after", 100 * ms, 210 * ms, 3 * ms},
		{"sleeps that ended at both times", 0, 200 * ms, 9 * ms},
		{"only a sleep in progress at the end", 300 * ms, 400 * ms, 7 * ms},
		{"after all sleeps", time.Hour, 2 * time.Hour, 0},
	} {
		if got := m.Between(start.Add(test.from), start.Add(test.to)); got != test.want {
			t.Errorf("%s: lateness between %v and %v is %v, want %v", test.name, test.from, test.to, got, test.want)
		}
	}
}

// Quantiles do not depend on the order of the sleeps. Without any sleep they are 0.
func TestQuantile(t *testing.T) {
	m := meterOf(sleep{1, 5 * ms}, sleep{2, 1 * ms}, sleep{3, 4 * ms}, sleep{4, 2 * ms}, sleep{5, 3 * ms})
	for fraction, want := range map[float64]time.Duration{0: 1 * ms, 0.5: 3 * ms, 1: 5 * ms} {
		if got := m.Quantile(fraction); got != want {
			t.Errorf("quantile %v is %v, want %v", fraction, got, want)
		}
	}
	if got := new(Meter).Quantile(1); got != 0 {
		t.Errorf("quantile without sleeps is %v, want 0", got)
	}
}

// Run records sleeps until stop is closed, including the sleep in progress at that time.
func TestRunRecordsUntilStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m Meter
		stop := make(chan struct{})
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			m.Run(stop)
		}()
		time.Sleep(10*interval + interval/2)
		close(stop)
		<-ended
		if len(m.ends) != 11 {
			t.Errorf("%d sleeps, want 11", len(m.ends))
		}
		if latest := m.Quantile(1); latest != 0 {
			t.Errorf("greatest lateness of a sleep is %v, want 0", latest)
		}
	})
}
