package changefeed

import (
	"cmp"
	"time"
)

// SelectorConfig is the configuration of a LinkSelector. A duration of 0 stands for its default, except for DialSpread.
type SelectorConfig struct {
	Name  string // name of the director
	Place Place  // place of the director
	Seed  uint64 // seed of the random parts of durations

	// DialSpread is the time over which first dials, and dials after a lost link, spread at random; 0: they come at once. It
	// guards a control machine against dials from all directors of a lost machine at the same moment.
	DialSpread time.Duration
	// RetryDelay is the time from a failed dial to the dial of another machine. Half of it is random. The default is 100 ms.
	RetryDelay time.Duration
	// MinBackoff is the time for which a machine is not dialled after a fault. Half of it is random. It doubles with each fault
	// in a row, up to MaxBackoff. A link that was up for BackoffResetAfter ends the row. The defaults are 1 s, 5 s and 10 s.
	MinBackoff, MaxBackoff, BackoffResetAfter time.Duration
	// TrialDelay is the time after the last fault of a better machine before it is tried again. A random part of up to the same
	// length is added. The better machine takes over once its link has been up for TakeoverAfter. Both guard against links that
	// move back and forth with a machine that flaps. The defaults are 20 s and 5 s.
	TrialDelay, TakeoverAfter time.Duration
}

// Defaults of a SelectorConfig.
const (
	defaultRetryDelay    = 100 * time.Millisecond
	defaultMinBackoff    = time.Second
	defaultMaxBackoff    = 5 * time.Second
	defaultSteadyAfter   = 10 * time.Second
	defaultTrialDelay    = 20 * time.Second
	defaultTakeoverAfter = 5 * time.Second
)

// withDefaults returns the configuration with defaults in place of zeros.
func (c SelectorConfig) withDefaults() SelectorConfig {
	c.RetryDelay = cmp.Or(c.RetryDelay, defaultRetryDelay)
	c.MinBackoff = cmp.Or(c.MinBackoff, defaultMinBackoff)
	c.MaxBackoff = cmp.Or(c.MaxBackoff, defaultMaxBackoff)
	c.BackoffResetAfter = cmp.Or(c.BackoffResetAfter, defaultSteadyAfter)
	c.TrialDelay = cmp.Or(c.TrialDelay, defaultTrialDelay)
	c.TakeoverAfter = cmp.Or(c.TakeoverAfter, defaultTakeoverAfter)
	return c
}

// maxBackoffDoublings bounds the doubling of the backoff, so that the duration does not overflow.
const maxBackoffDoublings = 16

// machineRecord is what the selector remembers about a listed machine.
type machineRecord struct {
	faultsInRow   int
	backoffUntil  time.Duration // the machine is not dialled before
	noTrialBefore time.Duration // the machine is not tried as a better one before
	dials         int           // dials since the machine was listed
}

// recordFault begins a backoff for a machine. It also delays the next trial of the machine as a better one.
func (s *LinkSelector) recordFault(now time.Duration, name string) {
	record := s.records[name]
	backoff := min(s.config.MaxBackoff, s.config.MinBackoff<<min(record.faultsInRow, maxBackoffDoublings))
	record.faultsInRow++
	record.backoffUntil = now + backoff/2 + s.randomPart(backoff/2)
	s.delayTrial(now, record)
}

// delayTrial delays the next trial of a machine as a better one, by TrialDelay to twice that.
func (s *LinkSelector) delayTrial(now time.Duration, record *machineRecord) {
	record.noTrialBefore = now + s.config.TrialDelay + s.randomPart(s.config.TrialDelay)
}

// updateRecords adds records of newly listed machines, and drops those of machines that are no longer listed.
func (s *LinkSelector) updateRecords() {
	for name := range s.records {
		if _, listed := s.preferences.places[name]; !listed {
			delete(s.records, name)
		}
	}
	for _, name := range s.preferences.order {
		if s.records[name] == nil {
			s.records[name] = &machineRecord{}
		}
	}
}

// IsBackingOff reports whether a machine is not dialled now because of its faults.
func (s *LinkSelector) IsBackingOff(now time.Duration, name string) bool {
	record := s.records[name]
	return record != nil && now < record.backoffUntil
}

// Dials returns how often a machine was dialled since it was listed.
func (s *LinkSelector) Dials(name string) int {
	if record := s.records[name]; record != nil {
		return record.dials
	}
	return 0
}

// randomPart returns a random part of a duration, from 0 to below the duration and evenly distributed. It is determined by the
// seed, the name of the director and how many random numbers were drawn before.
func (s *LinkSelector) randomPart(duration time.Duration) time.Duration {
	const mantissaBits = 53 // of a float64
	s.draws++
	draw := rendezvous(s.config.Name, "chance", s.config.Seed^rendezvous("", "", s.draws))
	return time.Duration(float64(draw>>(64-mantissaBits)) / (1 << mantissaBits) * float64(duration))
}
