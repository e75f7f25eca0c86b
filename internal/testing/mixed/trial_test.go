package mixed

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/testing/wakeups"
)

// trial is a run of a director under load and faults, with the records of clients, nodes and the director's process.
type trial struct {
	*testing.T
	seed       uint64
	loadTime   time.Duration // of the load
	address    string        // of the director
	configPath string
	loadEnded  chan struct{} // closed when the load is over
	loadStart  time.Time     // when the load began
	lateness   wakeups.Meter // of this process

	mu                 sync.Mutex          // guards the fields below
	counts             map[string]int      // number of occurrences of each event, by its name
	lastID             uint64              // last request ID
	requests           map[string]*request // by request ID
	attempts           []attempt
	unresolvedAttempts map[string]int          // number of attempts that may have been executed, by request ID
	strayAnswers       int                     // answers with an ID that was not sent
	injected           map[string][]timedFault // injected faults, by the peer's address
	stalls             []interval              // intervals in which the director's process did not run
	pauses             []interval              // pauses of the director's process by the trial; the stalls include them
	slowLines          []interval              // slow writes of log lines
	delayedWrites      map[string][]interval   // delays of writes to a client by faults, by the client's address
	injectedCounts     map[string]int          // number of injected faults, by faultnet.Fault.String
}

// newTrial returns a trial whose load lasts for the given time, or at most shortLoadTime with -short.
func newTrial(t *testing.T, seed uint64, loadTime time.Duration, configPath string) *trial {
	if testing.Short() {
		loadTime = min(loadTime, shortLoadTime)
	}
	return &trial{
		T:                  t,
		seed:               seed,
		loadTime:           loadTime,
		configPath:         configPath,
		loadEnded:          make(chan struct{}),
		counts:             map[string]int{},
		requests:           map[string]*request{},
		unresolvedAttempts: map[string]int{},
		injected:           map[string][]timedFault{},
		delayedWrites:      map[string][]interval{},
	}
}

// count counts an event by its name.
func (t *trial) count(event string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[event]++
}

// stopped reports whether the load is over.
func (t *trial) stopped() bool {
	select {
	case <-t.loadEnded:
		return true
	default:
		return false
	}
}

// sleep waits for the given time. It returns false as soon as the load is over.
func (t *trial) sleep(length time.Duration) bool {
	select {
	case <-t.loadEnded:
		return false
	case <-time.After(length):
		return true
	}
}

// faultsDue reports whether faults are still injected.
func (t *trial) faultsDue() bool { return time.Since(t.loadStart) < t.loadTime-quietTime }

// recordAttempt records a request that arrived at a node.
func (t *trial) recordAttempt(command *timedCommand, node string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempts = append(t.attempts, attempt{
		id:                command.ID,
		class:             command.Class,
		node:              node,
		firstByteAt:       command.firstByteAt,
		lastByteAt:        command.lastByteAt,
		timeout:           command.Timeout,
		repeatsUnresolved: t.unresolvedAttempts[command.ID] > 0,
	})
	t.unresolvedAttempts[command.ID]++
}

// recordNotExecuted records that a node is about to report that it did not execute an attempt.
func (t *trial) recordNotExecuted(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unresolvedAttempts[id]--
}

// randomSource returns a stream of the trial's random source.
func (t *trial) randomSource(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(t.seed, stream)) }

// randomBetween draws a duration from shortest to longest.
func randomBetween(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + randomUpTo(random, longest-shortest)
}

// randomUpTo draws a duration from 0 to longest.
func randomUpTo(random *rand.Rand, longest time.Duration) time.Duration {
	return time.Duration(random.Float64() * float64(longest))
}
