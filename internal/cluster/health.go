package cluster

// Results of health checks, made here or by other instances, on their way to the local director.

import (
	"sync"
	"time"

	"indigochute.example/indigochute/internal/lease"
	"indigochute.example/indigochute/internal/peer"
)

// HealthCounts counts results of health checks since the start. The JSON keys must not change.
type HealthCounts struct {
	Silent       int `json:"silent"`  // accepted results of machines that did not respond
	Alive        int `json:"alive"`   // accepted results of machines that responded
	Outdated     int `json:"passed"`  // dropped results that were older than known ones
	Inconclusive int `json:"doubted"` // checks of this instance that were inconclusive and so not reported
}

// healthLearner passes results of health checks to the local director if they are newer than the known ones. It is safe for
// concurrent use.
type healthLearner struct {
	director LocalDirector

	mu     sync.Mutex // guards everything below
	board  *lease.HealthBoard
	counts HealthCounts
}

func newHealthLearner(local LocalDirector) *healthLearner {
	return &healthLearner{director: local, board: lease.NewHealthBoard()}
}

// apply applies a report that is received now. Age is how long the report was in transit or stored elsewhere; it adds to the ages
// in the report.
func (l *healthLearner) apply(now, age time.Duration, report *lease.HealthReport) {
	for _, result := range l.accept(now, report) {
		l.director.HandlePeerHealth(result.Node, result.StartedUnix, result.Alive, result.Age+age)
	}
}

// accept returns the results of a report that are newer than the known ones, and counts all results.
func (l *healthLearner) accept(now time.Duration, report *lease.HealthReport) []lease.MachineHealth {
	l.mu.Lock()
	defer l.mu.Unlock()
	accepted := l.board.Accept(now, report)
	l.counts.Outdated += len(report.Machines) - len(accepted)
	for _, result := range accepted {
		if result.Alive {
			l.counts.Alive++
		} else {
			l.counts.Silent++
		}
	}
	return accepted
}

// countInconclusive counts a check of this instance that was inconclusive.
func (l *healthLearner) countInconclusive() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Inconclusive++
}

// snapshot returns the present counts.
func (l *healthLearner) snapshot() HealthCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// handleHealthReport handles a report of another instance. It logs and drops one that cannot be decoded.
func (m *Member) handleHealthReport(from peer.Sender, payload []byte) {
	report, err := lease.ParseHealthReport(payload)
	if err != nil {
		m.unreadableLog.warn(m.log.WithError(err).WithField("peer", from.Name), "probing: a message that cannot be read")
		return
	}
	m.health.apply(m.now(), 0, &report)
}
