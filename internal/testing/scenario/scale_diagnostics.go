package scenario

// This file collects diagnostics, which help to find the cause of a violation or an error in the scenario "scale".

import (
	"fmt"
	"strings"

	"indigochute.example/indigochute/internal/testing/hollow"
	"indigochute.example/indigochute/internal/testing/testcluster"
)

const (
	maxLogLines      = 30 // last lines of the log of each process
	maxListedLagging = 5  // positions in which directors lag
	maxListedHollow  = 5  // hollow directors
)

// diagnostics returns the events of the cluster, the state of all processes, and the last lines of their logs.
func (s *scaleRun) diagnostics() (lines []string) {
	for _, event := range s.cluster.Events() {
		if event.Subject != "net" {
			lines = append(lines, event.String())
		}
	}
	lines = append(lines, s.hollowState()...)
	for _, p := range s.cluster.Processes {
		lines = append(lines, processState(p)...)
		lines = append(lines, lastLines(p.Name, p.Log())...)
	}
	return append(lines, lastLines("hollow", s.hollow.Log())...)
}

// hollowState returns the state of the hollow directors. A query that they do not answer is left out.
func (s *scaleRun) hollowState() (lines []string) {
	if report, err := s.hollow.Report(maxListedHollow); err == nil {
		lines = append(lines, fmt.Sprintf("hollow directors by links up %v, by control machine %v, readers %+v, longest time without a link %.0f ms",
			report.NodesByLinks, report.DirectorsByUplink, report.Reader, report.LongestUnlinked))
		for i := range report.List {
			lines = append(lines, nodeState(&report.List[i]))
		}
	}
	if vectors, err := s.hollow.Vectors(); err == nil {
		listed := vectors.List[:min(len(vectors.List), maxListedLagging)]
		lines = append(lines, fmt.Sprintf("positions: %d directors lag, the first %v", vectors.Lagging, listed))
	}
	return lines
}

// nodeState returns the state of a hollow director as text.
func nodeState(n *hollow.NodeReport) string {
	tally := fmt.Sprintf("{Accepted:%d Duplicates:%d Stale:%d StaleAcrossOrigins:%d OutOfOrder:%d Unreadable:%d}", n.Accepted, n.Duplicates, n.Stale,
		n.StaleAcrossOrigins, n.OutOfOrder, n.Unreadable)
	links := fmt.Sprintf("Links:%d ActiveUplink:%s Received:%d Written:%d LongestUnlinked:%v", n.Links, n.ActiveUplink, n.Received, n.Written,
		n.LongestUnlinked)
	return fmt.Sprintf("{Name:%s Role:%s Tally:%s Reader:%+v %s HealthReports:%d UnresponsiveReports:%d HealthChecks:%d Violations:%v}", n.Name, n.Role, tally, n.Reader,
		links, n.HealthReports, n.UnresponsiveReports, n.HealthChecks, n.Violations)
}

// processState returns the state of a process as a line of text, or nothing if it does not answer.
func processState(p *testcluster.Process) []string {
	status, err := p.Status()
	if err != nil {
		return nil
	}
	const state = "%s: leader %s, term %d, role %s, %d jobs owned, leases %+v, subscribers %+v, rejected and closed %+v"
	return []string{fmt.Sprintf(state, p.Name, status.Lease.Leader, status.Lease.Term, status.Lease.Role, len(status.Lease.Owned),
		status.Lease.Counts, status.Bus.Subscribers, status.Bus.Counts)}
}

// lastLines returns the last lines of a log, each with the name of its process in front.
func lastLines(name, log string) (lines []string) {
	all := strings.Split(strings.TrimSpace(log), "\n")
	for _, line := range all[max(0, len(all)-maxLogLines):] {
		if line != "" {
			lines = append(lines, name+"| "+line)
		}
	}
	return lines
}
