package scenario

// This file checks the calls that the counter of a cluster received in the scenario "duties", and adds the figures of the run.

import (
	"fmt"
	"slices"
	"time"

	"indigochute.example/indigochute/internal/testing/testcluster"
)

// check checks the calls that the counter received, and adds the figures of this cluster to the report.
func (run *jobsRun) check(size int) {
	calls := run.cluster.Counter.Calls()
	_, stale := splitStale(calls)
	accepted := countAccepted(stale)
	for _, call := range stale {
		if !run.disturbed(call.Sender, call.At) {
			run.addViolation("%s called the counter for job %s with a stale fencing token at %v, although no fault had affected it",
				call.Sender, call.Job, call.At)
		}
	}
	overlaps := run.cluster.Counter.Overlaps()
	if overlaps > 0 {
		run.addViolation("%d runs of jobs overlapped in the cluster of %d processes", overlaps, size)
	}
	if accepted > 0 {
		run.addViolation("%d calls with a stale fencing token were accepted in the cluster of %d processes", accepted, size)
	}
	if run.worstTakeover >= maxTakeover {
		run.addViolation("the jobs of a lost director did not run for %v in the cluster of %d processes", run.worstTakeover, size)
	}
	for _, violation := range run.cluster.Emulator.Violations() {
		run.addViolation("%s", violation)
	}
	run.addFigures(size, calls, map[string]int{
		"overlaps":               overlaps,
		"old_numbers_refused":    len(stale),
		"effects_by_old_numbers": accepted,
	})
}

// addFigures adds the figures of a cluster to the report. The name of each figure ends with the cluster's size.
func (run *jobsRun) addFigures(size int, calls []testcluster.Call, counts map[string]int) {
	starts, repeats := countStarts(calls)
	slices.Sort(run.takeovers)
	run.reportMu.Lock()
	defer run.reportMu.Unlock()
	set := func(name string, value float64) { run.report.Figures[fmt.Sprintf("%s_%d", name, size)] = value }
	set("takeover_worst_s", run.worstTakeover.Seconds())
	if n := len(run.takeovers); n > 0 {
		set("takeover_median_s", run.takeovers[n/2].Seconds())
	}
	set("losses", float64(run.losses))
	set("runs", float64(starts))
	set("repeats_in_a_period", float64(repeats))
	for name, count := range counts {
		set(name, float64(count))
	}
}

// countStarts counts the runs that the counter accepted. Runs that began less than half a period after the previous run of their
// job are counted as repeats as well. A run is repeated if the director that ran the job was lost before it could announce the run.
func countStarts(calls []testcluster.Call) (starts, repeats int) {
	lastStart := map[string]time.Duration{}
	for _, call := range calls {
		if !call.IsStart || call.Rejected {
			continue
		}
		starts++
		if last, found := lastStart[call.Job]; found && call.At-last < jobPeriod/2 {
			repeats++
		}
		lastStart[call.Job] = call.At
	}
	return starts, repeats
}
