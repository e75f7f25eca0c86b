package cluster

import (
	"fmt"
	"testing"
	"time"
)

// A control machine restarts with its wall clock an hour behind, an hour ahead, set back and at the same millisecond as before.
// After each restart it gets leases whose fencing tokens have not fallen, and its events reach every director in a higher epoch.
func TestControlMachineWithSteppedClock(t *testing.T) {
	in := startInstallation(t, 3, 2)
	start := time.Now()
	epoch, fences := uint64(0), map[string]uint64{}
	wallClocks := []time.Time{start.Add(-time.Hour), start.Add(time.Hour), start, start, start.Add(-time.Hour)}
	for i, wallClock := range wallClocks {
		in.members["c1"].Close()
		in.startMemberWithClock("c1", func() time.Time { return wallClock })
		member := in.members["c1"]

		await(t, fmt.Sprintf("start %d: c1 has a lease", i), func() bool { return len(member.Status().Lease.Owned) > 0 })
		await(t, fmt.Sprintf("start %d: the epoch of c1 is settled", i), func() bool { _, settled := member.epoch(); return settled })
		before := epoch
		epoch, _ = member.epoch()
		if epoch <= before {
			t.Errorf("start %d: got epoch %d, want above %d", i, epoch, before)
		}

		if err := member.publish(keyEvent+"mark", 0, time.Hour, fmt.Append(nil, i)); err != nil {
			t.Fatal(err)
		}
		await(t, fmt.Sprintf("start %d: all directors have accepted an event", i), func() bool { return in.allAcceptedFrom("c1", epoch) })
		in.checkFences(fmt.Sprintf("start %d", i), fences)
	}
	await(t, "all follow", in.allFollow)
}

// epoch returns the epoch of a control machine's feed, and whether it is settled.
func (m *Member) epoch() (epoch uint64, settled bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.feed.Epoch(), m.feed.Settled()
}

// allAcceptedFrom reports whether every director has accepted an event of the named control machine in an epoch.
func (in *installation) allAcceptedFrom(name string, epoch uint64) bool {
	for _, follower := range in.followers {
		if follower.Status().Vector.At(name, epoch) == 0 {
			return false
		}
	}
	return true
}

// checkFences fails the test if the present lease of a job has a lower fencing token than an earlier lease, or if there is no
// lease. It records the highest token of each job in fences.
func (in *installation) checkFences(when string, fences map[string]uint64) {
	in.t.Helper()
	leases := 0
	for name, member := range in.members {
		for _, owned := range member.Status().Lease.Owned {
			leases++
			if owned.Fence < fences[owned.Duty] {
				in.t.Errorf("%s: %s has the lease of %s under token %d, want at least %d", when, name, owned.Duty, owned.Fence, fences[owned.Duty])
			}
			fences[owned.Duty] = max(fences[owned.Duty], owned.Fence)
		}
	}
	if leases == 0 {
		in.t.Errorf("%s: got no lease, want at least one", when)
	}
}
