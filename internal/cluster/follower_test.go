package cluster

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// Health reports and events reach every director once, whichever control machine runs the job, also after the leader has failed
// and after it is back.
func TestEventsReachEveryDirectorOnce(t *testing.T) {
	in := startInstallation(t, 3, 12)
	for _, follower := range in.followers {
		await(t, "health reports", func() bool { return follower.Status().Health.Alive > 20 })
	}
	failed := ""
	await(t, "a leader", func() bool { failed = in.leader(); return failed != "" })
	in.members[failed].Close()
	delete(in.members, failed)
	await(t, "another leader", func() bool { return in.leader() != "" })
	await(t, "all follow again", in.allFollow)

	in.startMember(failed)
	await(t, "it has caught up", func() bool {
		status := in.members[failed].Status()
		return status.Feed.Counts.Accepted > 0 && status.LeaderlessFor == 0
	})
	for _, follower := range in.followers {
		before := follower.Status().Feed.Accepted
		await(t, "events go on", func() bool { return follower.Status().Feed.Accepted > before+20 })
	}

	in.compareTaken()
	for name, follower := range in.followers {
		if status := follower.Status(); status.Feed.Losses > 0 || status.Feed.OldEpochs > 0 {
			t.Errorf("%s: got %+v, want no losses and no old events", name, status.Feed)
		}
	}
}

// A director that the control machines do not list gets no link. The listed directors go on following.
func TestUnlistedDirectorGetsNoLink(t *testing.T) {
	in := startInstallation(t, 3, 2)
	in.file = strings.Replace(in.file, "name: d1,", "name: unlisted,", 1)
	in.startFollower("unlisted")
	await(t, "rejected and counted", func() bool {
		rejected := 0
		for _, member := range in.members {
			rejected += member.Status().Bus.Counts.Unlisted
		}
		return rejected > 1
	})
	if status := in.followers["unlisted"].Status(); status.Feed.Accepted > 0 || status.LeaderlessFor == 0 {
		t.Errorf("got %+v, want no events and no leader", status)
	}
	delete(in.followers, "unlisted")
	if !in.allFollow() {
		t.Error("listed directors do not follow any more")
	}
}

// Control machines answer requests for their status, and so do directors that have an address.
func TestStatusQueries(t *testing.T) {
	in := startInstallation(t, 3, 1)
	address := freeAddresses(t, 1)[0]
	in.followers["d0"].Close()
	in.file = strings.Replace(in.file, "{name: d0,", fmt.Sprintf("{name: d0, address: %q,", address), 1)
	in.startFollower("d0")
	await(t, "all follow", in.allFollow)

	cluster, err := QueryCluster(address)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(cluster.Instances); got != 4 || len(cluster.Unreachable) > 0 {
		t.Errorf("got %d instances, want 4; unreachable: %v", got, cluster.Unreachable)
	}
	if cluster.Leader == "" {
		t.Error("no leader")
	}

	status, err := QueryInstance(address)
	if err != nil {
		t.Fatal(err)
	}
	if status.Follower == nil || status.Follower.Uplinks.Active == "" {
		t.Errorf("got %+v, want a follower with an active link", status)
	}
}

// A director rejects an operator file with changes that take effect at a start only, and the error names the keys.
func TestFollowerRejectsFixedDifferences(t *testing.T) {
	in := startInstallation(t, 3, 1)
	for name, test := range map[string]struct{ old, replacement string }{
		"another name":   {"name: d0,", "name: gone,"},
		"another spread": {"spread: 200ms", "spread: 300ms"},
	} {
		t.Run(name, func(t *testing.T) {
			other := strings.Replace(in.file, test.old, test.replacement, 1)
			err := in.followers["d0"].Reload(parseFile(t, other, ""))
			var restart *RestartError
			if !errors.As(err, &restart) || len(restart.Keys) == 0 {
				t.Errorf("got error %v, want a *RestartError with keys, for the file\n%s", err, other)
			}
		})
	}
}

// A director that reloads its operator file follows a control machine at its new address.
func TestFollowerReloadsMovedControlMachine(t *testing.T) {
	in := startInstallation(t, 3, 2)
	in.members["c2"].Close()
	in.moveControlMachine("c2", freeAddresses(t, 1)[0])

	for _, name := range []string{"c0", "c1"} {
		if err := in.members[name].Reload(parseFile(t, in.file, name)); err != nil {
			t.Fatal(err)
		}
	}
	in.startMember("c2")
	for name, follower := range in.followers {
		if err := follower.Reload(parseFile(t, in.file, name)); err != nil {
			t.Fatal(err)
		}
	}

	in.members["c0"].Close()
	in.members["c1"].Close()
	for name, follower := range in.followers {
		await(t, name+" follows c2 at its new address", func() bool { return follower.Status().Uplinks.Active == "c2" })
	}
}

// moveControlMachine changes the address of a control machine in the operator file.
func (in *installation) moveControlMachine(name, address string) {
	in.t.Helper()
	before, rest, found := strings.Cut(in.file, fmt.Sprintf("  - {name: %s, address: ", name))
	_, after, foundEnd := strings.Cut(rest, ",")
	if !found || !foundEnd {
		in.t.Fatalf("no control machine %s in %s", name, in.file)
	}
	in.file = fmt.Sprintf("%s  - {name: %s, address: %q,%s", before, name, address, after)
}
