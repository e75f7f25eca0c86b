package cluster

// Delivery of health check results, made here or by other instances, to the local director.

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
	Inconclusive int `json:"doubted"` // checks by this instance that were inconclusive and therefore not reported
}

// healthApplier passes results of health checks to the local director, unless it has already passed newer ones. It is safe for
// concurrent use.
type healthApplier struct {
	director LocalDirector

	mu     sync.Mutex // guards everything below
	board  *lease.HealthBoard
	counts HealthCounts
}

func newHealthApplier(local LocalDirector) *healthApplier {
	return &healthApplier{director: local, board: lease.NewHealthBoard()}
}

// apply passes the results of a report to the director. The parameter age is how long the report was in transit or stored at other
// machines; it is added to the ages in the report.
func (l *healthApplier) apply(now, age time.Duration, report *lease.HealthReport) {
	for _, result := range l.accept(now, report) {
		l.director.HandlePeerHealth(result.Node, result.StartedUnix, result.Alive, result.Age+age)
	}
}

// accept returns the results of a report that are newer than the known ones, and counts accepted and outdated results.
func (l *healthApplier) accept(now time.Duration, report *lease.HealthReport) []lease.MachineHealth {
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

// countInconclusive counts a check by this instance that was inconclusive.
func (l *healthApplier) countInconclusive() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts.Inconclusive++
}

// snapshot returns the present counts.
func (l *healthApplier) snapshot() HealthCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// handleHealthReport handles a report of another instance. It logs and drops one that cannot be decoded.
func (m *Member) handleHealthReport(from peer.Sender, payload []byte) {
	report, err := lease.ParseHealthReport(payload)
	if err != nil {
		m.decodeErrorLog.warn(m.log.WithError(err).WithField("peer", from.Name), "cannot decode health report")
		return
	}
	m.health.apply(m.now(), 0, &report)
}
