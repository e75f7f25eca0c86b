package testcluster

// This file tests that jobs are taken over when directors, links and leaders are lost, and that clients are served meanwhile.
//

import (
	"context"
	"strings"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/cluster"
	"indigochute.example/indigochute/internal/testing/emulator"
	"indigochute.example/indigochute/internal/testing/faultproxy"
)

// Each side of a partition takes the other for lost. Then the partition moves to another director, and then all links
// are healed.
func TestPartitions(t *testing.T) {
	c := startSettled(t, Options{Directors: 3, Seed: 11})
	leader := c.Leader()
	c.Isolate(leader)
	t.Log("leader on the lesser side:", c.awaitRuns(t, "all run on the greater side", maxTakeover))
	leader.awaitStatus(t, "the lesser side stops", maxTakeover, func(status *cluster.Status) bool {
		return len(status.Lease.Owned) == 0
	})
	c.Network.Heal("n*")
	c.Isolate(c.others(leader)[0])
	t.Log("moved:", c.awaitRuns(t, "all run again", maxTakeover))
	c.Network.Heal("n*")
	t.Log("healed:", c.awaitRuns(t, "all run", maxTakeover))
	c.awaitOneLeader(t)
	c.checkRules(t)
}

// First everything that the leader sends to one follower is lost, while the follower's messages arrive. Then there is a
// bridge: two directors receive nothing from each other, and both are connected with the third.
func TestOneWayLossAndBridge(t *testing.T) {
	c := startSettled(t, Options{Directors: 3, Seed: 12})
	leader := c.Leader()
	other := c.others(leader)[0]
	c.Network.SetFault(leader.Name+">"+other.Name, faultproxy.Both, drop)
	t.Log("one way:", c.awaitRuns(t, "all run", maxTakeover))
	c.Network.Heal("n*")
	c.awaitRuns(t, "all run", maxTakeover)
	c.Network.SetFault(other.Name+">"+leader.Name, faultproxy.Both, drop)
	c.Network.SetFault(leader.Name+">"+other.Name, faultproxy.Both, drop)
	t.Log("bridge:", c.awaitRuns(t, "all run", maxTakeover))
	time.Sleep(3 * time.Second)
	t.Log("bridge, later:", c.awaitRuns(t, "all run", maxTakeover))
	c.checkRules(t)
}

// The leader and a lease holder are lost within one second by a kill, a pause or a partition. The other three of five
// directors take over.
func TestLeaderAndHolderLostTogether(t *testing.T) {
	c := startSettled(t, Options{Directors: 5, Seed: 14})
	leader := c.Leader()
	holder, _ := c.jobOwner(t)
	leader.Kill()
	holder.Pause()
	t.Log("killed and paused:", c.awaitRuns(t, "all run", maxTakeover))
	holder.Resume()
	leader.Start()
	leader.awaitStatus(t, "the killed one is back", maxTakeover, func(status *cluster.Status) bool {
		return status.Lease.Role != "joining"
	})
	c.awaitRuns(t, "all run", maxTakeover)
	leader = c.Leader()
	holder, _ = c.jobOwner(t)
	leader.Pause()
	c.Isolate(holder)
	t.Log("paused and cut off:", c.awaitRuns(t, "all run", maxTakeover))
	leader.Resume()
	c.Network.Heal("n*")
	c.awaitRuns(t, "all run", maxTakeover)
	c.awaitOneLeader(t)
	c.checkRules(t)
}

// A director restarts twice within the duration of a lease, under the same name and without any state, during the
// election after the leader was killed. The leader is restarted as well.
func TestRestartsDuringElection(t *testing.T) {
	c := startSettled(t, Options{Directors: 3, Seed: 15})
	leader := c.Leader()
	other := c.others(leader)[0]
	leader.Kill()
	time.Sleep(1300 * time.Millisecond) // the leases granted to it expire just now
	other.Restart()
	time.Sleep(300 * time.Millisecond)
	other.Restart()
	leader.Start()
	t.Log("two restarts in a lease, the leader's among them:", c.awaitRuns(t, "all run", maxTakeover+settleAllowance))
	c.awaitOneLeader(t)
	c.checkRules(t)
}

// A graceful shutdown hands jobs over without waiting for a lease to expire. All directors restart in turn, including the
// leader.
func TestRollingRestart(t *testing.T) {
	c := startSettled(t, Options{Directors: 3, Seed: 19})
	for _, p := range c.Processes {
		if err := p.Shutdown(10 * time.Second); err != nil {
			t.Fatal(err)
		}
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		p.awaitStatus(t, "back with a part", maxTakeover+settleAllowance, func(status *cluster.Status) bool {
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
	t.Logf("longest between two runs, of a period of %v: %v", countPeriod, longest)
	if longest > maxInterval {
		t.Errorf("a job did not run for %v, want at most %v", longest, maxInterval)
	}
	checkReload(t, c)
	c.awaitRuns(t, "all run", maxTakeover)
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

// checkReload checks that SIGHUP adds a job, and that a reload of an invalid file leaves the configuration as it is.
func checkReload(t *testing.T, c *Cluster) {
	t.Helper()
	for _, p := range c.Processes {
		p.EditClusterConfig(func(old string) string {
			return old + "  - {name: c9, kind: call, address: " + c.Counter.Addr() + ", period: 400ms}\n"
		})
	}
	c.await(t, "the new job runs", maxTakeover, func() bool { return len(c.Counter.StartTimes("c9")) > 1 })
	c.Processes[0].EditClusterConfig(func(old string) string { return strings.Replace(old, "lease: 1200ms", "leese: 1200ms", 1) })
	c.await(t, "the fault is logged", maxTakeover, func() bool {
		log := c.Processes[0].Log()
		return strings.Contains(log, "leese") && strings.Contains(log, "the previous configuration stays in force")
	})
}

// Every link between five directors under load is dropped at once. Clients are served as well as by directors that
// know of no other.
func TestAllLinksDropped(t *testing.T) {
	const tolerance = 0.03 // of the share served
	separate := servedWithLinksDropped(t, true)
	dropped := servedWithLinksDropped(t, false)
	if dropped < separate-tolerance {
		t.Errorf("share served with links dropped %.3f, want at least %.3f less %g, as without links", dropped, separate, tolerance)
	}
}

// servedWithLinksDropped returns the share of requests that five directors serve within their latency objective while all links
// between them drop. The links drop from when requests begin to count. Separate directors have no links.
func servedWithLinksDropped(t *testing.T, separate bool) float64 {
	t.Helper()
	probe := "  - {name: probe, kind: probe, period: 500ms, timeout: 450ms}\n"
	c := start(t, Options{Directors: 5, Seed: 21, NoClusterConfig: separate, ClusterConfig: countJobsConfig + probe})
	defer c.Close()
	if !separate {
		c.awaitRuns(t, "all run", maxTakeover)
	}
	requests, err := emulator.GenerateRequests(c.topology, 120, 9*time.Second, 5)
	if err != nil {
		t.Fatal(err)
	}
	load := c.Emulator.NewLoad(requests, 2*time.Second, 7*time.Second)
	result := load.Run(context.Background(), func() { c.Network.SetFault("n*>n*", faultproxy.Both, drop) })
	t.Logf("separate %v: %.3f in their aim, %+v, this machine late by %v", separate, result.Share(-1), result.Tally(-1), load.Lateness())
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
