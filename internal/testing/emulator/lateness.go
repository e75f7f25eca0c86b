package emulator

// This file measures how late the emulator itself is. The results of a run are valid only if that is negligible.

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxRecorded is the longest time that histograms record. Longer times are recorded as maxRecorded.
const maxRecorded = 60 * time.Second

// latenessDigits is the precision of lateness in decimal digits.
const latenessDigits = 2

// lateness is a histogram of the delays between the time at which an action was due and the time at which it was taken. It
// is safe for concurrent use.
type lateness struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram // in microseconds
}

func newLateness() *lateness { return &lateness{histogram: newHistogram(latenessDigits)} }

// newHistogram returns a histogram of times in microseconds with the given precision in decimal digits.
func newHistogram(digits int) *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecorded.Microseconds(), digits)
}

// recordTime adds a time to a histogram that newHistogram returned. It is clamped to at least 1 µs and at most maxRecorded.
func recordTime(histogram *hdrhistogram.Histogram, value time.Duration) {
	clamped := max(time.Microsecond, min(value, maxRecorded))
	histogram.RecordValue(clamped.Microseconds())
}

// record adds the delay of an action.
func (l *lateness) record(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	recordTime(l.histogram, late)
}

// percentile99 returns the lateness that 99 % of the actions did not exceed.
func (l *lateness) percentile99() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.histogram.ValueAtQuantile(99)) * time.Microsecond
}
