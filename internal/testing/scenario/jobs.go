package scenario

// This file runs the scenario "duties". Faults drawn from a seed are injected into clusters of directors that share periodic
// jobs. Each job must be run by one director at a time.

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/testing/testcluster"
)

const (
	jobFaultsUntil  = 34 * time.Second // no fault is injected later than this after the start of a cluster
	maxTakeover     = 10 * time.Second // limit until every job of a lost director runs again
	settleAllowance = 5 * time.Second  // added to maxTakeover: the limit until a cluster has settled after a fault
	jobPeriod       = 400 * time.Millisecond
	jobCount        = 6
	jobSeedStream   = 0xd07 // second half of the seed of the random numbers

	minSizeForTwoLosses = 5 // smallest number of directors of which a majority remains after two are lost
	earlyFaultOdds      = 4 // one in this many faults begins before the cluster has recovered from the previous one
)

// jobClusterConfig is the cluster configuration of all directors, up to the list of jobs.
const jobClusterConfig = `
lease: 1200ms
beat: 250ms
drift: 2%
duties:
`

// jobClusterSizes are the numbers of directors of the clusters that are tested at the same time.
var jobClusterSizes = []int{3, 5}

// runJobs tests one cluster of each size at the same time. The jobs of each cluster call a counter, which runs outside the
// directors.
func runJobs(seed uint64, r *Report) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	var reportMu sync.Mutex
	var clusters sync.WaitGroup
	errs := make([]error, len(jobClusterSizes))
	for i, size := range jobClusterSizes {
		clusters.Go(func() { errs[i] = runJobCluster(program, size, seed+uint64(i)<<32, r, &reportMu) })
	}
	clusters.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// jobsRun is the run of one cluster. Only its own goroutine uses it, except for the report.
type jobsRun struct {
	cluster  *testcluster.Cluster
	report   *Report
	reportMu *sync.Mutex // guards report, which the clusters share
	random   *rand.Rand
	jobs     []string // names

	worstTakeover time.Duration
	takeovers     []time.Duration       // time until a job of a lost director ran again, for each such job
	losses        int                   // faults that lost a director
	disturbances  map[string][]interval // by name of the director
}

// interval is a period, by the cluster's clock, during which a director was killed, paused or cut off. During it, calls of that
// director with an old fencing token may reach the counter.
type interval struct{ from, to time.Duration }

// runJobCluster starts a cluster, injects faults until jobFaultsUntil, and checks the calls that the counter received.
func runJobCluster(program string, size int, seed uint64, r *Report, reportMu *sync.Mutex) error {
	run := &jobsRun{
		report:       r,
		reportMu:     reportMu,
		random:       rand.New(rand.NewPCG(seed, jobSeedStream)),
		disturbances: map[string][]interval{},
	}
	options := testcluster.Options{Program: program, Directors: size, Seed: seed, ClusterConfig: run.clusterConfig()}
	var err error
	if run.cluster, err = testcluster.Start(options); err != nil {
		return err
	}
	defer run.cluster.Close()
	run.awaitSettled("after the start", 2*maxTakeover)
	run.injectFaults(size)
	run.cluster.Network.Heal("*")
	for _, p := range run.cluster.Processes {
		p.Resume()
	}
	run.awaitSettled("at the end", maxTakeover+settleAllowance)
	run.check(size)
	return nil
}

// clusterConfig names the jobs and returns the cluster configuration that lists them.
func (run *jobsRun) clusterConfig() string {
	var text strings.Builder
	text.WriteString(jobClusterConfig)
	for i := range jobCount {
		name := fmt.Sprintf("c%d", i)
		run.jobs = append(run.jobs, name)
		fmt.Fprintf(&text, "  - {name: %s, kind: call, address: \"COUNTER\", period: %v, timeout: 300ms}\n", name, jobPeriod)
	}
	return text.String()
}

// injectFaults injects one random fault after another. Most faults begin once the cluster has
// recovered from the previous one.
func (run *jobsRun) injectFaults(size int) {
	faults := []func(){run.kill, run.pause, run.cutOff, run.shutDown, run.breakOneWay, run.degrade, run.delayStaleCall, run.restartTwice}
	if size >= minSizeForTwoLosses {
		faults = append(faults, run.loseLeaderAndAnother)
	}
	for run.cluster.Now() < jobFaultsUntil {
		inject := faults[run.random.IntN(len(faults))]
		inject()
		nextBeginsEarly := run.random.IntN(earlyFaultOdds) == 0
		if !nextBeginsEarly {
			run.awaitSettled("after a fault", maxTakeover+settleAllowance)
		}
	}
}

// awaitSettled waits until every job has exactly one owner and has run again, and every director owns a job. If that takes longer
// than within, it adds a violation.
func (run *jobsRun) awaitSettled(when string, within time.Duration) {
	from := run.cluster.Now()
	_, err := run.cluster.Await("every job has one owner and every director owns a job "+when, within, func() bool {
		jobs, owners, unique := countOwners(run.cluster)
		return unique && jobs == len(run.jobs) && owners == len(run.cluster.Processes) &&
			run.cluster.Counter.AllRanSince(run.jobs, from)
	})
	if err != nil {
		run.addViolation("jobs did not settle: %v\n%s", err, run.cluster.Diagnostics())
	}
}

// addViolation adds a violation to the report that the clusters share.
func (run *jobsRun) addViolation(format string, args ...any) {
	run.reportMu.Lock()
	defer run.reportMu.Unlock()
	run.report.addViolation(format, args...)
}
