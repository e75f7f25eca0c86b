package lease

import (
	"flag"
	"slices"
	"testing"
	"time"
)

var largeInstallation = flag.Int("size", 2000, "number of jobs of the large installation, with 200 jobs on each instance")

// takeoverLimit is the maximum time until all jobs of an instance that failed have other owners.
const takeoverLimit = 3 * time.Second

// TestLargeInstallation checks that the instances of a large installation have equal shares of the jobs, that an instance that joins
// moves only its own share, and that the jobs of one that fails are taken over in time. It logs the traffic. Run it with
// -size 10000 for the figures in docs/duties.md.
func TestLargeInstallation(t *testing.T) {
	count := max(5, *largeInstallation/200)
	sim := newCalmSimulation(count+1, *largeInstallation)
	last := sim.names[count]
	sim.instances[last].deadUntil = time.Hour // it joins later
	allOwned := func() bool { return len(sim.owners()) == *largeInstallation }
	t.Logf("time from the start until all jobs are owned: %v", sim.waitFor(t, 20*time.Second, "all jobs owned", allOwned))
	sim.waitFor(t, 10*time.Second, "equal shares", func() bool { return sim.spread(count) <= 1 })
	sim.logTraffic(t, count)

	before := sim.owners()
	sim.start(last)
	joined := sim.waitFor(t, 20*time.Second, "equal shares after the join", func() bool { return allOwned() && sim.spread(count+1) <= 1 })
	t.Logf("time from the join of an instance until shares are equal: %v", joined)
	checkMoved(t, before, sim.owners(), count)

	follower := last
	if sim.leader() == sim.instances[follower] {
		follower = sim.names[0]
	}
	waits := sim.failInstance(t, follower, allOwned)
	longest := waits[len(waits)-1]
	t.Logf("takeover of the jobs of an instance that failed: median %v, p99 %v, longest %v",
		waits[len(waits)/2], waits[len(waits)*99/100], longest)
	if longest > takeoverLimit {
		t.Errorf("the last job was taken over after %v, want at most %v", longest, takeoverLimit)
	}
	plans, _ := sim.leader().instance.PlanCounts()
	t.Logf("the leader made %d plans", plans)
}

// logTraffic logs the messages and bytes that one instance sends in a second, as the mean of ten seconds.
func (sim *simulation) logTraffic(t *testing.T, instances int) {
	t.Helper()
	const seconds = 10
	messages, bytes, began := sim.messages, sim.bytes, sim.realTime
	sim.waitFor(t, time.Minute, "end of the measurement", func() bool { return sim.realTime-began > seconds*time.Second })
	perInstance := func(count int) float64 { return float64(count) / seconds / float64(instances) }
	t.Logf("sent by one instance: %.1f messages and %.0f bytes a second", perInstance(sim.messages-messages), perInstance(sim.bytes-bytes))
}

// checkMoved checks the number of jobs that moved when one instance joined. It fails the test if that number exceeds the share of
// the new instance by more than a tenth. It also logs how many jobs would have moved if jobs were assigned by hash modulo the number
// of instances.
func checkMoved(t *testing.T, before, after map[string]string, instances int) {
	t.Helper()
	moved, movedByModulo := 0, 0
	for duty, owner := range before {
		if after[duty] != owner {
			moved++
		}
		if sum := hash(0, duty, 0); sum%uint64(instances) != sum%uint64(instances+1) {
			movedByModulo++
		}
	}
	total := float64(len(before))
	share := total / float64(instances+1)
	t.Logf("moved: %.4f of all jobs; the share of an instance is %.4f", float64(moved)/total, share/total)
	t.Logf("moved if jobs were assigned by hash modulo instances: %.4f", float64(movedByModulo)/total)
	if float64(moved) > 1.1*share {
		t.Errorf("%d of %d jobs moved when one instance joined %d others, want at most 1.1 times its share of %.1f",
			moved, len(before), instances, share)
	}
}

// failInstance stops an instance for good. It returns, in ascending order, how long each of its jobs took to get another owner.
func (sim *simulation) failInstance(t *testing.T, name string, allOwned func() bool) (waits []time.Duration) {
	t.Helper()
	orphaned := map[string]bool{}
	for duty, owner := range sim.owners() {
		orphaned[duty] = owner == name
	}
	sim.instances[name].deadUntil = 2 * time.Hour
	failed := sim.realTime
	sim.waitFor(t, 20*time.Second, "all jobs owned after the failure", func() bool {
		for duty, owner := range sim.owners() {
			if orphaned[duty] && owner != name {
				delete(orphaned, duty)
				waits = append(waits, sim.realTime-failed)
			}
		}
		return allOwned()
	})
	slices.Sort(waits)
	return waits
}

// TestRollingRestart restarts all instances gracefully in turn, including the leader. It checks that no job is without an owner for as
// long as a lease lasts, as leases are handed over.
func TestRollingRestart(t *testing.T) {
	const limit = 900 * time.Millisecond
	sim := newCalmSimulation(3, 30)
	allOwned := func() bool { return len(sim.owners()) == len(sim.duties) }
	sim.waitFor(t, 20*time.Second, "all jobs owned", allOwned)
	longest := time.Duration(0)
	for _, name := range sim.names {
		sim.waitFor(t, 20*time.Second, "equal shares", func() bool { return allOwned() && sim.spread(3) <= 1 })
		ownerless := map[string]time.Duration{} // by job
		leaving := sim.instances[name]
		leaving.instance.Leave()
		took := sim.waitFor(t, 10*time.Second, "restarted and all jobs owned", func() bool {
			owners := sim.owners()
			for _, duty := range sim.duties {
				if owners[duty.Name] == "" {
					ownerless[duty.Name] += stepLength
					longest = max(longest, ownerless[duty.Name])
				}
			}
			return sim.instances[name] != leaving && allOwned()
		})
		t.Logf("%s left, restarted and all jobs were owned after %v", name, took)
	}
	t.Logf("longest time of a job without an owner: %v", longest)
	if longest >= limit {
		t.Errorf("a job was without an owner for %v while instances restarted, want less than %v", longest, limit)
	}
}
