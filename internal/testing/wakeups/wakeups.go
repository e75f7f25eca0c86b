// Package wakeups measures how late sleeps of this process end. A test that measures the delay of another process cannot
// distinguish it from a delay of its own process. Such a test allows for the lateness that this package measures. Only tests
// use this package.
package wakeups

import (
	"slices"
	"sync"
	"time"
)

const (
	interval = 2 * time.Millisecond   // requested length of each sleep
	vicinity = 100 * time.Millisecond // Near considers the sleeps that ended within this time before or after a given time
)

// Meter sleeps repeatedly and records how late each sleep ends. The zero Meter is ready for use. It never discards a record.
type Meter struct {
	mu       sync.Mutex      // guards the fields below
	ends     []time.Time     // end of each sleep, in order
	lateness []time.Duration // of each sleep, by the same index
}

// Run sleeps and records until stop is closed.
func (m *Meter) Run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		before := time.Now()
		time.Sleep(interval)
		now := time.Now()
		m.record(now, now.Sub(before)-interval)
	}
}

// record adds the lateness of a sleep.
func (m *Meter) record(end time.Time, lateness time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ends = append(m.ends, end)
	m.lateness = append(m.lateness, lateness)
}

// Near returns the greatest lateness of the sleeps that ended less than 100 ms before or after a time, or 0 if there is none.
func (m *Meter) Near(at time.Time) (worst time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := m.firstFrom(at.Add(-vicinity)); i < len(m.ends) && m.ends[i].Before(at.Add(vicinity)); i++ {
		worst = max(worst, m.lateness[i])
	}
	return worst
}

// Between returns the greatest lateness of the sleeps that ended between two times and of the first sleep that ended afterwards,
// which was in progress at the second time. It returns 0 if there is no such sleep.
func (m *Meter) Between(from, to time.Time) (worst time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := m.firstFrom(from); i < len(m.ends); i++ {
		worst = max(worst, m.lateness[i])
		if m.ends[i].After(to) {
			break
		}
	}
	return worst
}

// firstFrom returns the index of the first sleep that did not end before a time. The caller holds m.mu.
func (m *Meter) firstFrom(at time.Time) int {
	index, _ := slices.BinarySearchFunc(m.ends, at, time.Time.Compare)
	return index
}

// Quantile returns the lateness that the given fraction of all sleeps, from 0 to 1, did not exceed, or 0 if there are no sleeps.
func (m *Meter) Quantile(fraction float64) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	sorted := slices.Sorted(slices.Values(m.lateness))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(fraction*float64(len(sorted)-1))]
}
