package cluster

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/changefeed"
	"indigochute.example/indigochute/internal/clusterconfig"
	"indigochute.example/indigochute/internal/director"
	"indigochute.example/indigochute/internal/lease"
)

// fakeDirector is a LocalDirector whose health checks have the results that a test sets.
type fakeDirector struct {
	alive        func(id uint32) bool
	inconclusive func(id uint32) bool // whether a check has no result; nil: all have one
	machines     []director.Machine
	reports      atomic.Int64 // calls of HandlePeerHealth
}

// newFakeDirector returns a director that knows so many machines, whose ids count from 1.
func newFakeDirector(machines int, alive func(id uint32) bool) *fakeDirector {
	d := &fakeDirector{alive: alive}
	for i := range machines {
		d.machines = append(d.machines, director.Machine{ID: uint32(i + 1)})
	}
	return d
}

// allAlive is a fakeDirector.alive by which every machine responds.
func allAlive(uint32) bool { return true }

func (d *fakeDirector) Machines() []director.Machine { return d.machines }

func (d *fakeDirector) CheckMachine(machine director.Machine, _ time.Duration, _, _ string) (alive, conclusive bool) {
	if d.inconclusive != nil && d.inconclusive(machine.ID) {
		return false, false
	}
	return d.alive(machine.ID), true
}

func (d *fakeDirector) HandlePeerHealth(uint32, int64, bool, time.Duration) { d.reports.Add(1) }

// startAlone starts an installation of one instance with two health check jobs.
func startAlone(t *testing.T, local *fakeDirector) *Member {
	t.Helper()
	return startAloneWith(t, local, startOptions{wallClock: time.Now})
}

// startAloneWith is startAlone with options.
func startAloneWith(t *testing.T, local *fakeDirector, host startOptions) *Member {
	t.Helper()
	const text = `
instances: [{name: n0, address: "127.0.0.1:0"}]
lease: 300ms
beat: 50ms
duties:
  - {name: a, kind: probe, period: 60ms, timeout: 50ms}
  - {name: b, kind: probe, period: 60ms, timeout: 50ms}
`
	member, err := start(parseFile(t, text, "n0"), "n0", local, discardLog("n0"), host)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(member.Close)
	return member
}

// installation is an installation of control machines and directors in this process, connected over loopback.
type installation struct {
	t         *testing.T
	file      string // text of the operator file
	members   map[string]*Member
	followers map[string]*Follower

	mu    sync.Mutex
	taken map[string][]string // keys of the accepted events of job each, in order, by director
}

// testIntervalsAndJobs is the end of an operator file with short intervals and jobs for tests.
const testIntervalsAndJobs = `
lease: 300ms
beat: 50ms
uplink: {spread: 200ms, rate: 1MB/s}
duties:
  - {name: check, kind: probe, period: 100ms, timeout: 90ms}
  - {name: each, kind: note, period: 20ms, timeout: 20ms, bytes: 60}
  - {name: last, kind: note, period: 150ms, timeout: 100ms, bytes: 20000, keep: last}
`

// operatorFile returns the text of an operator file of so many control machines, at free addresses, and directors. It ends with rest.
func operatorFile(t *testing.T, controlMachines, directors int, rest string) string {
	t.Helper()
	var text strings.Builder
	text.WriteString("control:\n")
	for i, address := range freeAddresses(t, controlMachines) {
		fmt.Fprintf(&text, "  - {name: c%d, address: %q, region: r%d, zone: z%d, site: s%d}\n", i, address, i%2, i, i)
	}
	text.WriteString("directors:\n")
	for i := range directors {
		fmt.Fprintf(&text, "  - {name: d%d, region: r%d, zone: z%d, site: s%d}\n", i, i%2, i%2, i%2)
	}
	return text.String() + rest
}

// freeAddresses returns different addresses of loopback that are free.
func freeAddresses(t *testing.T, count int) (addresses []string) {
	t.Helper()
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close() // all stay open until the last is, so that the addresses differ
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// discardLog returns a log that is discarded.
func discardLog(name string) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log.WithField("name", name)
}

// parseFile parses an operator file for the machine of a name.
func parseFile(t *testing.T, text, name string) *clusterconfig.File {
	t.Helper()
	file, err := clusterconfig.Parse("test", []byte(text), name)
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// newInstallation returns an installation in which nothing runs.
func newInstallation(t *testing.T, file string) *installation {
	return &installation{
		t:         t,
		file:      file,
		members:   map[string]*Member{},
		followers: map[string]*Follower{},
		taken:     map[string][]string{},
	}
}

// startInstallation starts an installation and waits until all directors follow.
func startInstallation(t *testing.T, controlMachines, directors int) *installation {
	t.Helper()
	in := newInstallation(t, operatorFile(t, controlMachines, directors, testIntervalsAndJobs))
	for i := range controlMachines {
		in.startMember(fmt.Sprintf("c%d", i))
	}
	for i := range directors {
		in.startFollower(fmt.Sprintf("d%d", i))
	}
	await(t, "all follow", in.allFollow)
	return in
}

// startMember starts a control machine. It is closed with the test.
func (in *installation) startMember(name string) {
	in.t.Helper()
	in.startMemberWithClock(name, time.Now)
}

// startMemberWithClock is startMember with a wall clock.
func (in *installation) startMemberWithClock(name string, wallClock func() time.Time) {
	in.t.Helper()
	options := startOptions{wallClock: wallClock}
	local := newFakeDirector(20, allAlive)
	member, err := start(parseFile(in.t, in.file, name), name, local, discardLog(name), options)
	if err != nil {
		in.t.Fatal(err)
	}
	in.members[name] = member
	in.t.Cleanup(member.Close)
}

// startFollower starts a director. It is closed with the test.
func (in *installation) startFollower(name string) {
	in.t.Helper()
	onEvent := func(event *changefeed.Event) {
		if strings.HasPrefix(event.Key, keyEvent+"each") {
			in.mu.Lock()
			in.taken[name] = append(in.taken[name], event.Key)
			in.mu.Unlock()
		}
	}
	options := FollowerOptions{OnEvent: onEvent}
	follower, err := Follow(parseFile(in.t, in.file, name), name, &fakeDirector{}, discardLog(name), options)
	if err != nil {
		in.t.Fatal(err)
	}
	in.followers[name] = follower
	in.t.Cleanup(follower.Close)
}

// allFollow reports whether every director knows of a leader with a majority and has accepted events.
func (in *installation) allFollow() bool {
	for _, follower := range in.followers {
		if status := follower.Status(); status.LeaderlessFor > 0 || status.Feed.Accepted == 0 {
			return false
		}
	}
	return true
}

// leader returns the name of the leader; empty: none.
func (in *installation) leader() string {
	for name, member := range in.members {
		if member.Status().Lease.Role == lease.RoleLeader {
			return name
		}
	}
	return ""
}

// eventsInTransit is how many events may be on their way to a director while events of all directors are compared.
const eventsInTransit = 2

// allTookAsMany reports whether every director has accepted as many events as any other, but for eventsInTransit.
func (in *installation) allTookAsMany() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	most := 0
	for _, keys := range in.taken {
		most = max(most, len(keys))
	}
	for name := range in.followers {
		if len(in.taken[name]) < most-eventsInTransit {
			return false
		}
	}
	return true
}

// compareTaken waits until all directors have accepted as many events, and fails the test if one accepted an event twice or more
// than those in transit are missing.
func (in *installation) compareTaken() {
	in.t.Helper()
	await(in.t, "all took as many", in.allTookAsMany)
	in.mu.Lock()
	defer in.mu.Unlock()
	followersByKey := map[string]int{}
	for name, keys := range in.taken {
		sorted := slices.Sorted(slices.Values(keys))
		if len(slices.Compact(sorted)) != len(keys) {
			in.t.Errorf("%s took an event twice", name)
		}
		for _, key := range keys {
			followersByKey[key]++
		}
	}
	missed := 0
	for _, followers := range followersByKey {
		if followers < len(in.followers) {
			missed++
		}
	}
	if missed > eventsInTransit*len(in.followers) {
		in.t.Errorf("%d of %d events were not taken by all", missed, len(followersByKey))
	}
}

// await waits until a condition holds. It fails the test after 8 seconds.
func await(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(8 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not in time:", condition)
		}
	}
}
