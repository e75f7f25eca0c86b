package testcluster

// This file builds the program, holds the helpers that the tests share, and tests that Close ends all processes.

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/cluster"
	"indigochute.example/indigochute/internal/testing/faultproxy"
)

var program string // path of the built program

// TestMain builds the program that the tests start.
func TestMain(m *testing.M) { os.Exit(RunWithProgram(&program, m.Run)) }

const (
	maxTakeover     = 10 * time.Second // from the loss of directors or links until all jobs run again
	settleAllowance = 5 * time.Second  // in addition to maxTakeover, until each director owns its share of the jobs
)

// countJobsConfig is the default cluster configuration of the tests, with four jobs that call the counter.
const countJobsConfig = `
lease: 1200ms
beat: 250ms
drift: 2%
duties:
  - {name: c0, kind: call, address: "COUNTER", period: 400ms, timeout: 300ms}
  - {name: c1, kind: call, address: "COUNTER", period: 400ms, timeout: 300ms}
  - {name: c2, kind: call, address: "COUNTER", period: 400ms, timeout: 300ms}
  - {name: c3, kind: call, address: "COUNTER", period: 400ms, timeout: 300ms}
`

// countJobs are the names of the jobs in countJobsConfig.
var countJobs = []string{"c0", "c1", "c2", "c3"}

// countPeriod is the period of each of the countJobs.
const countPeriod = 400 * time.Millisecond

// drop is the fault of a partitioned link.
var drop = faultproxy.Fault{Drop: true}

// start starts a cluster that ends with the test, and logs its diagnostics if the test failed. The cluster configuration is
// countJobsConfig unless the options name another.
func start(t *testing.T, options Options) *Cluster {
	t.Helper()
	options.Program = program
	if options.ClusterConfig == "" {
		options.ClusterConfig = countJobsConfig
	}
	c, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(c.Diagnostics())
		}
		c.Close()
	})
	return c
}

// startSettled starts a cluster in parallel with other tests, and waits until every job has one owner and each director owns
// its share of the jobs.
func startSettled(t *testing.T, options Options) *Cluster {
	t.Helper()
	t.Parallel()
	c := start(t, options)
	c.await(t, "each job has one owner and each director its share", maxTakeover+settleAllowance, c.jobsSettled)
	return c
}

// jobsSettled reports whether every job has exactly one owner and as many directors as possible own a job.
func (c *Cluster) jobsSettled() bool {
	owners := map[string]bool{}
	for _, claimants := range c.Owners() {
		if len(claimants) != 1 {
			return false
		}
		owners[claimants[0]] = true
	}
	return len(c.Owners()) == len(countJobs) && len(owners) == min(len(c.Processes), len(countJobs))
}

// await waits until a condition holds and returns how long that took. It fails the test if the condition does not hold in
// time.
func (c *Cluster) await(t *testing.T, condition string, within time.Duration, holds func() bool) time.Duration {
	t.Helper()
	took, err := c.Await(condition, within, holds)
	if err != nil {
		t.Fatal(err)
	}
	return took
}

// awaitStatus waits until the process reports a status for which a condition holds.
func (p *Process) awaitStatus(t *testing.T, condition string, within time.Duration, holds func(*cluster.Status) bool) {
	t.Helper()
	p.cluster.await(t, condition, within, func() bool {
		status, err := p.Status()
		return err == nil && holds(status)
	})
}

// awaitRuns waits until each of the countJobs has started another run.
func (c *Cluster) awaitRuns(t *testing.T, condition string, within time.Duration) time.Duration {
	t.Helper()
	start := c.Now()
	return c.await(t, condition, within, func() bool { return c.Counter.AllRanSince(countJobs, start) })
}

// awaitOneLeader waits until exactly one process reports that it is the leader.
func (c *Cluster) awaitOneLeader(t *testing.T) {
	t.Helper()
	c.await(t, "exactly one leader", maxTakeover, func() bool {
		leaders := 0
		for _, p := range c.Processes {
			if status, err := p.Status(); err == nil && status.Lease.Role == leaderRole {
				leaders++
			}
		}
		return leaders == 1
	})
}

// checkRules checks the invariants that hold under any fault: no runs of a job overlap, and no rule of the protocol is
// violated.
func (c *Cluster) checkRules(t *testing.T) {
	t.Helper()
	if overlaps := c.Counter.Overlaps(); overlaps > 0 {
		t.Errorf("%d overlapping runs, want none", overlaps)
	}
	for _, violation := range c.Emulator.Violations() {
		t.Error(violation)
	}
}

// others returns all processes except the given one.
func (c *Cluster) others(except *Process) []*Process {
	return slices.DeleteFunc(slices.Clone(c.Processes), func(p *Process) bool { return p == except })
}

// jobOwner returns a process that owns a job but is not the leader, and the name of the job.
func (c *Cluster) jobOwner(t *testing.T) (owner *Process, job string) {
	t.Helper()
	leader := c.Leader()
	for job, owners := range c.Owners() {
		for _, p := range c.Processes {
			if p != leader && p.Name == owners[0] {
				return p, job
			}
		}
	}
	t.Fatal("no process except the leader owns a job")
	return nil, ""
}

// countRejected counts the calls of a process that the counter rejected.
func (c *Cluster) countRejected(sender string) (rejected int) {
	for _, call := range c.Counter.Calls() {
		if call.Rejected && call.Sender == sender {
			rejected++
		}
	}
	return rejected
}

// Close ends all processes, including a paused one.
func TestCloseEndsEveryProcess(t *testing.T) {
	c := start(t, Options{Directors: 3, Seed: 2})
	var pids []int
	for _, p := range c.Processes {
		pids = append(pids, p.command.Process.Pid)
	}
	c.Processes[0].Pause()
	c.Close()
	for _, pid := range pids {
		if _, err := os.Stat(fmt.Sprintf("/proc/%d", pid)); err == nil {
			t.Errorf("process %d still exists after Close", pid)
		}
	}
}
