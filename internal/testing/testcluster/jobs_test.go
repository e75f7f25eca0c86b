package testcluster

// This file tests that only one director at a time runs each periodic job.

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/cluster"
	"indigochute.example/indigochute/internal/testing/faultproxy"
)

// Without faults each job runs once a period.
func TestJobRunsOncePerPeriod(t *testing.T) {
	const periods = 12
	const minInterval = 300 * time.Millisecond // between two starts of a job
	c := startSettled(t, Options{Directors: 3, Seed: 10})
	from := c.Now()
	time.Sleep(periods * countPeriod)
	until := c.Now()
	for _, job := range countJobs {
		starts := slices.DeleteFunc(c.Counter.StartTimes(job), func(at time.Duration) bool { return at < from || at >= until })
		if len(starts) < periods-2 || len(starts) > periods+1 {
			t.Errorf("%s ran %d times in %d periods, want %d to %d", job, len(starts), periods, periods-2, periods+1)
		}
		for i := 1; i < len(starts); i++ {
			if interval := starts[i] - starts[i-1]; interval < minInterval {
				t.Errorf("%s ran twice within %v, want at least %v between two runs", job, interval, minInterval)
			}
		}
	}
	c.checkRules(t)
}

// The owner of a job is paused during a run until its lease has expired, and then resumed. Its delayed call with the old fencing
// token is rejected and counted. Directors that were not paused make no call with an old token.
func TestDelayedCallOfPausedOwnerIsRejected(t *testing.T) {
	c := startSettled(t, Options{Directors: 3, Seed: 13})
	owner, job := c.jobOwner(t)
	c.Counter.HoldCalls(owner)
	owner.awaitStatus(t, "a run that waits for the counter", maxTakeover, func(status *cluster.Status) bool {
		return status.Lease.Owned != nil && status.Failed+status.Hung > 0
	})
	owner.Pause()
	pausedAt := c.Now()
	c.await(t, "a run of the job by another director", maxTakeover, func() bool {
		return slices.ContainsFunc(c.Counter.Calls(), func(call Call) bool {
			return call.Job == job && call.At > pausedAt && call.Sender != owner.Name
		})
	})
	c.Counter.ReleaseCalls(owner)
	c.await(t, "the rejection of the call with the old fencing token", maxTakeover, func() bool { return c.countRejected(owner.Name) > 0 })
	rejected := c.countRejected(owner.Name)
	owner.Resume()
	c.awaitRuns(t, "runs of all jobs after the resume", maxTakeover)
	for _, call := range c.Counter.Calls() {
		if call.Rejected && call.At > pausedAt && call.Sender != owner.Name {
			t.Errorf("%s was not paused but called with an old token: %+v", call.Sender, call)
		}
	}
	t.Logf("%d calls with the old token were rejected before the owner was resumed, %d after", rejected, c.countRejected(owner.Name)-rejected)
	c.checkRules(t)
}

// Jobs are taken over when the lease clocks differ by as much as the cluster configuration allows.
func TestTakeoverWithMaximumClockDrift(t *testing.T) {
	c := startSettled(t, Options{
		Directors:     3,
		Seed:          16,
		ClockRates:    []float64{0.9, 1.1, 0.9},
		ClusterConfig: strings.Replace(countJobsConfig, "drift: 2%", "drift: 10%", 1),
	})
	for range 2 {
		leader := c.Leader()
		if leader == nil {
			t.Fatal("no leader")
		}
		c.Isolate(leader)
		c.awaitRuns(t, "runs of all jobs with the leader isolated", maxTakeover)
		c.Network.Heal("n*")
		c.awaitOneLeader(t)
	}
	c.checkRules(t)
}

// With two of three directors lost there is no quorum. Jobs stop, and the status reports that there is no leader. The only
// director of a cluster of one owns all jobs.
func TestJobsStopWithoutQuorum(t *testing.T) {
	c := startSettled(t, Options{Directors: 3, Seed: 17})
	c.Processes[0].Kill()
	c.Processes[1].Kill()
	c.await(t, "no owned job", maxTakeover, func() bool { return len(c.Owners()) == 0 })
	quorumLostAt := c.Now()
	time.Sleep(1500 * time.Millisecond)
	for _, call := range c.Counter.Calls() {
		if call.At > quorumLostAt {
			t.Errorf("got call %+v with one of three directors alive, want none", call)
		}
	}
	out, err := exec.Command(program, "duties", "status", "--at", c.Processes[2].PeerAddress).CombinedOutput()
	if err != nil || !strings.Contains(string(out), "There is no leader (keeper)") || strings.Count(string(out), "no response") != 2 {
		t.Errorf("duties status: %v, want no leader and two directors that do not answer:\n%s", err, out)
	}
	c.Processes[0].Start()
	t.Log("all jobs run after one restart:", c.awaitRuns(t, "runs of all jobs with two of three directors", maxTakeover))
	c.checkRules(t)

	single := start(t, Options{Directors: 1, Seed: 18})
	t.Log("all jobs run in a cluster of one:", single.awaitRuns(t, "runs of all jobs in a cluster of one", maxTakeover))
	status, err := single.Processes[0].Status()
	if err != nil || len(status.Lease.Owned) != len(countJobs) || status.Lease.Role != leaderRole {
		t.Errorf("a single director reports %+v, %v, want the leader with %d jobs", status, err, len(countJobs))
	}
}

// A job whose service hangs does not stop the other jobs of its owner, and none of the owner's leases expires.
func TestHungJobDoesNotStopOtherJobs(t *testing.T) {
	t.Parallel()
	network := faultproxy.New(1, nil)
	defer network.Close()
	link, err := network.AddLink("hangs", "127.0.0.1:9")
	if err != nil {
		t.Fatal(err)
	}
	network.SetFault("hangs", faultproxy.Both, drop)
	hung := "  - {name: hung, kind: call, address: " + link.Addr() + ", period: 400ms, timeout: 300ms}\n"
	c := start(t, Options{Directors: 1, Seed: 20, ClusterConfig: countJobsConfig + hung})
	c.awaitRuns(t, "runs of all other jobs", maxTakeover)
	var token uint64
	for range 5 {
		time.Sleep(500 * time.Millisecond)
		status, err := c.Processes[0].Status()
		if err != nil || len(status.Lease.Owned) != len(countJobs)+1 || status.Lease.Counts.Expired > 0 {
			t.Fatalf("status %+v, %v, want %d owned jobs and no expired lease", status, err, len(countJobs)+1)
		}
		if status.Failed == 0 {
			continue
		}
		hungResult, otherResult := status.Results["hung"], status.Results["c0"]
		if token == 0 {
			token = otherResult.Fence
		}
		if hungResult.Error == "" {
			t.Errorf("the hung job succeeded: %+v", hungResult)
		}
		if otherResult.Error != "" || otherResult.Fence != token {
			t.Errorf("job c0: %+v, want no error and the fencing token %d", otherResult, token)
		}
	}
	c.awaitRuns(t, "more runs of all other jobs", 2*time.Second)
}
