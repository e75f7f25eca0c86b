package scenario

// This file evaluates the owners of jobs and the calls that the counter received, for all scenarios with jobs.

import (
	"time"

	"indigochute.example/indigochute/internal/testing/testcluster"
)

// countOwners counts the jobs that are owned and the directors that own one. If two directors claim the same job, unique is
// false and both counts are 0.
func countOwners(cluster *testcluster.Cluster) (jobs, owners int, unique bool) {
	names := map[string]bool{}
	claimantsByJob := cluster.Owners()
	for _, claimants := range claimantsByJob {
		if len(claimants) != 1 {
			return 0, 0, false
		}
		names[claimants[0]] = true
	}
	return len(claimantsByJob), len(names), true
}

// firstStarts returns, for each job, the time of its first start after a given time. It considers only starts for which accept
// returns true. The argument highestToken of accept is the highest fencing token that the job had used up to the given time.
func firstStarts(calls []testcluster.Call, after time.Duration,
	accept func(call *testcluster.Call, highestToken uint64) bool) map[string]time.Duration {
	highestTokens, first := map[string]uint64{}, map[string]time.Duration{}
	for i := range calls {
		call := &calls[i]
		if call.At <= after {
			highestTokens[call.Job] = max(highestTokens[call.Job], call.FencingToken)
			continue
		}
		if _, found := first[call.Job]; !found && call.IsStart && accept(call, highestTokens[call.Job]) {
			first[call.Job] = call.At
		}
	}
	return first
}

// splitStale separates current calls from stale ones. A call is stale if its fencing token is lower than that of an earlier call
// of the same job.
func splitStale(calls []testcluster.Call) (current, stale []testcluster.Call) {
	highest := map[string]uint64{}
	for _, call := range calls {
		if call.FencingToken < highest[call.Job] {
			stale = append(stale, call)
			continue
		}
		highest[call.Job] = call.FencingToken
		current = append(current, call)
	}
	return current, stale
}

// countAccepted counts the calls that the counter accepted.
func countAccepted(calls []testcluster.Call) (accepted int) {
	for _, call := range calls {
		if !call.Rejected {
			accepted++
		}
	}
	return accepted
}
