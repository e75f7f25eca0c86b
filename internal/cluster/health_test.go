package cluster

import (
	"strings"
	"sync"
	"testing"

	"indigochute.example/indigochute/internal/lease"
	"indigochute.example/indigochute/internal/peer"
)

// An instance to which most caches do not respond counts its checks as inconclusive and reports no results. Otherwise an instance
// that is cut off would make all directors eject the caches.
func TestInconclusiveHealthChecksAreNotReported(t *testing.T) {
	local := newFakeDirector(4, func(id uint32) bool { return id == 1 })
	member := startAlone(t, local)
	await(t, "inconclusive checks", func() bool { return member.Status().Health.Inconclusive > 2 })
	if got := local.reports.Load(); got > 0 {
		t.Errorf("got %d reports although most caches did not respond, want none", got)
	}
	for name, result := range member.Status().Results {
		if !strings.Contains(result.Error, "cut off") {
			t.Errorf("%s: got error %q, want one that says that the instance may be cut off", name, result.Error)
		}
	}
}

// A check without a result, as after a failure of this host, does not count as a machine that is down and does not make the run
// inconclusive.
func TestHealthChecksWithoutResultAreNotCounted(t *testing.T) {
	local := newFakeDirector(4, allAlive)
	local.inconclusive = func(id uint32) bool { return id > 1 }
	member := startAlone(t, local)
	await(t, "reports of the machine that responded", func() bool { return member.Status().Health.Alive > 2 })
	if counts := member.Status().Health; counts.Silent > 0 || counts.Inconclusive > 0 {
		t.Errorf("got %+v, want no silent machines and no inconclusive runs", counts)
	}
}

// Health reports are accepted while the operator file is reloaded. With the race detector the test fails if the clock for leases
// reads the file without holding the lock.
func TestHealthReportsDuringReload(t *testing.T) {
	const rounds = 200
	member := startAlone(t, newFakeDirector(0, allAlive))
	var reloads sync.WaitGroup
	reloads.Go(func() {
		for range rounds {
			if err := member.Reload(member.file); err != nil {
				t.Error(err)
			}
		}
	})
	for i := range uint64(rounds) {
		report := lease.HealthReport{Duty: "a", Fence: 1, Run: i + 1, Machines: []lease.MachineHealth{{Node: 1, Alive: true}}}
		member.handleHealthReport(peer.Sender{Name: "n1"}, lease.AppendHealthReport(nil, &report))
	}
	reloads.Wait()
	if counts := member.Status().Health; counts.Alive != rounds {
		t.Errorf("got %+v, want %d alive machines", counts, rounds)
	}
}
