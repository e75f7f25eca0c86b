package testcluster

// This file tests that jobs are taken over when directors, links and leaders are lost, and that clients are served meanwhile.

import (
	"context"
	"strings"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/cluster"
	"indigochute.example/indigochute/internal/testing/emulator"
	"indigochute.example/indigochute/internal/testing/faultproxy"
)

// The leader is isolated. The majority takes all jobs over, and the isolated leader stops its own. Then another director is
// isolated in its place, and finally all links are healed.
func TestTakeoverDuringPartitions(t *testing.T) {
	c := startSettled(t, Options{Directors: 3, Seed: 11})
	leader := c.Leader()
	c.Isolate(leader)
	t.Log("leader isolated:", c.awaitRuns(t, "runs of all jobs on the majority side", maxTakeover))
	leader.awaitStatus(t, "no job owned by the isolated leader", maxTakeover, func(status *cluster.Status) bool {
		return len(status.Lease.Owned) == 0
	})
	c.Network.Heal("n*")
	c.Isolate(c.others(leader)[0])
	t.Log("other director isolated:", c.awaitRuns(t, "runs of all jobs after the partition moved", maxTakeover))
	c.Network.Heal("n*")
	t.Log("links healed:", c.awaitRuns(t, "runs of all jobs with links healed", maxTakeover))
	c.awaitOneLeader(t)
	c.checkRules(t)
}

// First the link from the leader to one follower drops, while the link from the follower to the leader works. Then both links
// between the two drop, while each of them is still connected with the third director (a bridge).
func TestJobsRunDuringOneWayLossAndBridge(t *testing.T) {
	c := startSettled(t, Options{Directors: 3, Seed: 12})
	leader := c.Leader()
	other := c.others(leader)[0]
	c.Network.SetFault(leader.Name+">"+other.Name, faultproxy.Both, drop)
	t.Log("one-way loss:", c.awaitRuns(t, "runs of all jobs with one link dropped", maxTakeover))
	c.Network.Heal("n*")
	c.awaitRuns(t, "runs of all jobs with links healed", maxTakeover)
	c.Network.SetFault(other.Name+">"+leader.Name, faultproxy.Both, drop)
	c.Network.SetFault(leader.Name+">"+other.Name, faultproxy.Both, drop)
	t.Log("bridge:", c.awaitRuns(t, "runs of all jobs across the bridge", maxTakeover))
	time.Sleep(3 * time.Second)
	t.Log("bridge after 3 s:", c.awaitRuns(t, "runs of all jobs across the bridge after 3 s", maxTakeover))
	c.checkRules(t)
}

// The leader and an owner of a job are lost within one second: one by a kill and the other by a pause, then one by a pause and
// the other by a partition. The other three of five directors take their jobs over.
func TestTakeoverAfterLossOfLeaderAndOwner(t *testing.T) {
	c := startSettled(t, Options{Directors: 5, Seed: 14})
	leader := c.Leader()
	owner, _ := c.jobOwner(t)
	leader.Kill()
	owner.Pause()
	t.Log("leader killed, owner paused:", c.awaitRuns(t, "runs of all jobs after a kill and a pause", maxTakeover))
	owner.Resume()
	leader.Start()
	leader.awaitStatus(t, "the restarted leader as a member", maxTakeover, func(status *cluster.Status) bool {
		return status.Lease.Role != "joining"
	})
	c.awaitRuns(t, "runs of all jobs after the restart", maxTakeover)
	leader = c.Leader()
	owner, _ = c.jobOwner(t)
	leader.Pause()
	c.Isolate(owner)
	t.Log("leader paused, owner isolated:", c.awaitRuns(t, "runs of all jobs after a pause and a partition", maxTakeover))
	leader.Resume()
	c.Network.Heal("n*")
	c.awaitRuns(t, "runs of all jobs with links healed", maxTakeover)
	c.awaitOneLeader(t)
	c.checkRules(t)
}

// The leader is killed. During the election a director restarts twice within the duration of a lease, under the same name and
// without any state. The leader is restarted as well.
func TestTakeoverWithRestartsDuringElection(t *testing.T) {
	c := startSettled(t, Options{Directors: 3, Seed: 15})
	leader := c.Leader()
	other := c.others(leader)[0]
	leader.Kill()
	time.Sleep(1300 * time.Millisecond) // the leases granted to the leader are about to expire
	other.Restart()
	time.Sleep(300 * time.Millisecond)
	other.Restart()
	leader.Start()
	t.Log("after the restarts:", c.awaitRuns(t, "runs of all jobs after the restarts", maxTakeover+settleAllowance))
	c.awaitOneLeader(t)
	c.checkRules(t)
}

// All directors restart in turn, including the leader. A graceful shutdown hands jobs over without waiting for a lease to
// expire.
func TestRollingRestartHandsJobsOver(t *testing.T) {
	c := startSettled(t, Options{Directors: 3, Seed: 19})
	for _, p := range c.Processes {
		if err := p.Shutdown(10 * time.Second); err != nil {
			t.Fatal(err)
		}
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		p.awaitStatus(t, "an owned job after the restart", maxTakeover+settleAllowance, func(status *cluster.Status) bool {
			return len(status.Lease.Owned) > 0
		})
	}
	for _, p := range c.Processes {
		for _, err := range p.ExitErrors() {
			if err != nil {
				t.Errorf("%s ended with %v", p.Name, err)
			}
		}
	}
	const maxInterval = 3 * time.Second
	longest := c.longestInterval(countJobs)
	t.Logf("period %v, longest time between two runs %v", countPeriod, longest)
	if longest > maxInterval {
		t.Errorf("a job did not run for %v, want at most %v", longest, maxInterval)
	}
	checkReload(t, c)
	c.awaitRuns(t, "runs of all jobs after the reload", maxTakeover)
	c.checkRules(t)
}

// longestInterval returns the longest time between two consecutive starts of any of the jobs.
func (c *Cluster) longestInterval(jobs []string) (longest time.Duration) {
	for _, job := range jobs {
		starts := c.Counter.StartTimes(job)
		for i := 1; i < len(starts); i++ {
			longest = max(longest, starts[i]-starts[i-1])
		}
	}
	return longest
}

// checkReload checks that a job is added by SIGHUP, and that a reload of an invalid file is rejected and logged.
func checkReload(t *testing.T, c *Cluster) {
	t.Helper()
	for _, p := range c.Processes {
		p.EditClusterConfig(func(old string) string {
			return old + "  - {name: c9, kind: call, address: " + c.Counter.Addr() + ", period: 400ms}\n"
		})
	}
	c.await(t, "runs of the new job", maxTakeover, func() bool { return len(c.Counter.StartTimes("c9")) > 1 })
	c.Processes[0].EditClusterConfig(func(old string) string { return strings.Replace(old, "lease: 1200ms", "leese: 1200ms", 1) })
	c.await(t, "the logged error of the reload", maxTakeover, func() bool {
		log := c.Processes[0].Log()
		return strings.Contains(log, "leese") && strings.Contains(log, "the previous configuration stays in force")
	})
}

// All links between five directors under load drop at once. Clients are served as well as by directors without a cluster.
func TestClientsServedWithAllLinksDropped(t *testing.T) {
	const tolerance = 0.03 // of the share served
	separate := servedWithLinksDropped(t, true)
	dropped := servedWithLinksDropped(t, false)
	if dropped < separate-tolerance {
		t.Errorf("served share with links dropped: got %.3f, want at least %.3f, the share without a cluster, less %g",
			dropped, separate, tolerance)
	}
}

// servedWithLinksDropped returns the share of requests that five directors serve within their latency objective while all links
// between them drop. The links drop when the warmup ends and requests begin to count. Separate directors have no cluster and so
// no links.
func servedWithLinksDropped(t *testing.T, separate bool) float64 {
	t.Helper()
	probe := "  - {name: probe, kind: probe, period: 500ms, timeout: 450ms}\n"
	c := start(t, Options{Directors: 5, Seed: 21, NoClusterConfig: separate, ClusterConfig: countJobsConfig + probe})
	defer c.Close()
	if !separate {
		c.awaitRuns(t, "runs of all jobs before the load", maxTakeover)
	}
	requests, err := emulator.GenerateRequests(c.topology, 120, 9*time.Second, 5)
	if err != nil {
		t.Fatal(err)
	}
	load := c.Emulator.NewLoad(requests, 2*time.Second, 7*time.Second)
	result := load.Run(context.Background(), func() { c.Network.SetFault("n*>n*", faultproxy.Both, drop) })
	t.Logf("without cluster %v: share within the latency objective %.3f, %+v, requests sent late by %v", separate, result.Share(-1),
		result.Tally(-1), load.Lateness())
	if !separate {
		for _, p := range c.Processes {
			if status, err := p.Status(); err != nil || len(status.Lease.Owned) > 0 {
				t.Errorf("%s owns jobs with all links dropped: %+v, %v", p.Name, status, err)
			}
		}
	}
	c.checkRules(t)
	return result.Share(-1)
}
