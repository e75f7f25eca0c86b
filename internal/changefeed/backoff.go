package changefeed

import (
	"cmp"
	"time"
)

// SelectorConfig is the configuration of a LinkSelector. Durations of 0 select the defaults, except for DialSpread.
type SelectorConfig struct {
	Name  string // name of the director
	Place Place  // place of the director
	Seed  uint64 // seed of the random parts of delays

	// DialSpread is the period over which the first dials, and the dials after a lost link, are spread at random. With 0 they
	// start immediately. The spread keeps all directors of a lost control machine from dialling another one at the same moment.
	DialSpread time.Duration
	// RetryDelay is the delay between a failed dial and the dial of another machine. Half of it is random. The default is 100 ms.
	RetryDelay time.Duration
	// MinBackoff is the time for which a machine is not dialled after a fault. Half of it is random. It doubles with each
	// consecutive fault, up to MaxBackoff. A link that was up for BackoffResetAfter resets it. The defaults are 1 s, 5 s and 10 s.
	MinBackoff, MaxBackoff, BackoffResetAfter time.Duration
	// TrialDelay is the minimum time between the last fault of a more preferred machine and a trial link to it. A random delay of
	// up to the same length is added. The machine takes over once its link has been up for TakeoverAfter. Both settings keep links
	// from moving back and forth when a machine flaps. The defaults are 20 s and 5 s.
	TrialDelay, TakeoverAfter time.Duration
}

// Defaults of a SelectorConfig.
const (
	defaultRetryDelay        = 100 * time.Millisecond
	defaultMinBackoff        = time.Second
	defaultMaxBackoff        = 5 * time.Second
	defaultBackoffResetAfter = 10 * time.Second
	defaultTrialDelay        = 20 * time.Second
	defaultTakeoverAfter     = 5 * time.Second
)

// withDefaults returns the configuration with zero values replaced by the defaults.
func (c SelectorConfig) withDefaults() SelectorConfig {
	c.RetryDelay = cmp.Or(c.RetryDelay, defaultRetryDelay)
	c.MinBackoff = cmp.Or(c.MinBackoff, defaultMinBackoff)
	c.MaxBackoff = cmp.Or(c.MaxBackoff, defaultMaxBackoff)
	c.BackoffResetAfter = cmp.Or(c.BackoffResetAfter, defaultBackoffResetAfter)
	c.TrialDelay = cmp.Or(c.TrialDelay, defaultTrialDelay)
	c.TakeoverAfter = cmp.Or(c.TakeoverAfter, defaultTakeoverAfter)
	return c
}

// maxBackoffDoublings limits the doubling of the backoff, so that the duration does not overflow.
const maxBackoffDoublings = 16

// machineRecord holds the fault and dial history of a listed machine.
type machineRecord struct {
	consecutiveFaults int
	backoffUntil      time.Duration // the machine is not dialled before this time
	noTrialBefore     time.Duration // no trial link to the machine before this time
	dials             int           // dials since the machine was listed
}

// recordFault starts a backoff for a machine. It also delays the next trial link to it.
func (s *LinkSelector) recordFault(now time.Duration, name string) {
	record := s.records[name]
	backoff := min(s.config.MaxBackoff, s.config.MinBackoff<<min(record.consecutiveFaults, maxBackoffDoublings))
	record.consecutiveFaults++
	record.backoffUntil = now + backoff/2 + s.randomPart(backoff/2)
	s.delayTrial(now, record)
}

// delayTrial delays the next trial link to a machine by a random time between TrialDelay and twice TrialDelay.
func (s *LinkSelector) delayTrial(now time.Duration, record *machineRecord) {
	record.noTrialBefore = now + s.config.TrialDelay + s.randomPart(s.config.TrialDelay)
}

// updateRecords adds a record for each newly listed machine, and deletes the records of machines that are no longer listed.
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

// IsBackingOff reports whether a machine must not be dialled now because of earlier faults.
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

// randomPart returns a uniformly distributed random duration from 0 up to, but not including, the given duration. The result is
// determined by the seed, the name of the director and the number of random numbers drawn before.
func (s *LinkSelector) randomPart(duration time.Duration) time.Duration {
	const mantissaBits = 53 // precision of a float64
	s.draws++
	draw := rendezvousHash(s.config.Name, "chance", s.config.Seed^rendezvousHash("", "", s.draws))
	return time.Duration(float64(draw>>(64-mantissaBits)) / (1 << mantissaBits) * float64(duration))
}
