package hollow

// This file measures how long events take from their publishing until a director accepts them, separately for windows of a trial.

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatency is the largest latency that windows record. Larger ones are recorded as maxLatency.
const maxLatency = 10 * time.Minute

// latencyDigits is the precision of recorded latencies in decimal digits.
const latencyDigits = 3

const microsecondsPerMillisecond = 1000

// window is a part of a trial whose latencies are recorded separately.
type window struct {
	name       string
	start      time.Time
	latency    *hdrhistogram.Histogram // microseconds, of the events published since start
	earlier    int                     // number of events accepted in the window but published before start
	earlierMax time.Duration           // largest latency of the earlier events
	earlierFor time.Duration           // from start until the last earlier event was accepted
}

// BeginWindow begins another window. Events published before it are counted separately. It returns an error if there are maxWindows
// already.
func (c *Checker) BeginWindow(name string, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.windows) >= maxWindows {
		return fmt.Errorf("hollow: there are %d latency windows already, which is the maximum", maxWindows)
	}
	latency := hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	c.windows = append(c.windows, &window{name: name, start: now, latency: latency})
	return nil
}

// add adds an event that is accepted now. The time of its publishing is in Unix nanoseconds.
func (w *window) add(now time.Time, published int64) {
	publishedAt := time.Unix(0, published)
	latency := now.Sub(publishedAt)
	if publishedAt.Before(w.start) {
		w.earlier++
		w.earlierMax = max(w.earlierMax, latency)
		w.earlierFor = max(w.earlierFor, now.Sub(w.start))
		return
	}
	recorded := min(max(time.Microsecond, latency), maxLatency)
	w.latency.RecordValue(recorded.Microseconds())
}

// WindowReport holds the latencies of a window, in milliseconds, from the publishing of an event until a director accepted it.
type WindowReport struct {
	Name       string  `json:"name"`
	Count      int64   `json:"count"` // events published and accepted in the window, of all directors
	P50        float64 `json:"p50_ms"`
	P99        float64 `json:"p99_ms"`
	Max        float64 `json:"max_ms"`
	Earlier    int     `json:"earlier"`        // events accepted in the window but published before, which Count leaves out
	EarlierMax float64 `json:"earlier_max_ms"` // largest latency of the earlier events
	EarlierFor float64 `json:"earlier_for_ms"` // from the start of the window until the last earlier event was accepted
}

// Windows returns the reports of all windows so far, in order.
func (c *Checker) Windows() (all []WindowReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.windows {
		all = append(all, w.report())
	}
	return all
}

// report returns the report of the window.
func (w *window) report() WindowReport {
	milliseconds := func(microseconds int64) float64 { return float64(microseconds) / microsecondsPerMillisecond }
	return WindowReport{
		Name:       w.name,
		Count:      w.latency.TotalCount(),
		P50:        milliseconds(w.latency.ValueAtQuantile(50)),
		P99:        milliseconds(w.latency.ValueAtQuantile(99)),
		Max:        milliseconds(w.latency.Max()),
		Earlier:    w.earlier,
		EarlierMax: milliseconds(w.earlierMax.Microseconds()),
		EarlierFor: milliseconds(w.earlierFor.Microseconds()),
	}
}
