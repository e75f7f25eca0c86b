package director

import (
	"sync"
	"time"
)

// pacer bounds the processor time that is spent on work of one kind, for all connections together. Each piece of work is charged
// with its estimated cost. A goroutine waits until what was charged before is paid for, at a fixed share of the processor. Goroutines
// that wait proceed in the order in which they were charged, so each waits at most for one piece of work of each other one.
type pacer struct {
	clock *clock
	share float64 // processor time per time

	mu     sync.Mutex
	paidAt time.Duration // when everything that was charged is paid for; may be in the past
}

// paceCredit is the longest time for which an unused share is saved up, so that short bursts cause no wait.
const paceCredit = 100 * time.Millisecond

// newPacer returns a pacer for a share of the processor time of a director with the given number of cores.
func newPacer(clock *clock, share, cores float64) *pacer {
	const leastCores = 0.05
	return &pacer{clock: clock, share: share * max(leastCores, cores), paidAt: -paceCredit}
}

// charge charges a cost, and returns how long its work must wait.
func (p *pacer) charge(cost time.Duration) (wait time.Duration) {
	now := p.clock.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paidAt = max(p.paidAt, now-paceCredit) + time.Duration(float64(cost)/p.share)
	return max(0, p.paidAt-now)
}

// debt returns how long it takes until everything that was charged is paid for.
func (p *pacer) debt() time.Duration {
	now := p.clock.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(0, p.paidAt-now)
}
