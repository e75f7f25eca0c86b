package cluster

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/lease"
	"indigochute.example/indigochute/internal/peer"
)

// Directors are notified when no majority of the control machines is left, and when there is one again. They keep their links.
func TestDirectorsLearnOfLostMajority(t *testing.T) {
	in := startInstallation(t, 3, 4)
	in.members["c0"].Close()
	in.members["c1"].Close()
	for _, follower := range in.followers {
		await(t, "notified of no majority", func() bool {
			status := follower.Status()
			return status.LeaderlessFor > 0 && status.Uplinks.UnlinkedFor == 0
		})
	}
	if status := in.members["c2"].Status(); status.LeaderlessFor == 0 {
		t.Error("the control machine that is left knows of a leader with a majority")
	}
	in.startMember("c0")
	await(t, "a majority again", in.allFollow)
}

// Control machines with different lists do not accept each other's lease messages, and both report the difference.
func TestDifferentListsAreReported(t *testing.T) {
	in := startInstallation(t, 3, 2)
	in.members["c2"].Close()
	listOfThree := in.file
	twoMore := fmt.Sprintf("  - {name: c3, address: %q, region: r3, zone: z3, site: s3}\n", freeAddresses(t, 1)[0]) +
		"  - {name: c4, address: \"127.0.0.1:9\", region: r3, zone: z3, site: s3}\n"
	in.file = strings.Replace(listOfThree, "directors:\n", twoMore+"directors:\n", 1)

	in.startMember("c2")
	in.startMember("c3")
	await(t, "c0 names c2", func() bool { return slices.Contains(in.members["c0"].Status().DifferingLists, "c2") })
	await(t, "c2 names c0", func() bool { return slices.Contains(in.members["c2"].Status().DifferingLists, "c0") })
	if status := in.members["c2"].Status(); status.LeaderlessFor == 0 || status.Lease.Role == lease.RoleLeader {
		t.Errorf("two control machines of five have a leader: %+v", status.Lease)
	}

	in.members["c2"].Close()
	in.members["c3"].Close()
	in.file = listOfThree
	in.startMember("c2")
	await(t, "c0 names no machine", func() bool { return len(in.members["c0"].Status().DifferingLists) == 0 })
}

// Messages that cannot be decoded have no effect, neither at a control machine nor at a director.
func TestInvalidMessagesAreIgnored(t *testing.T) {
	in := startInstallation(t, 3, 2)
	member, follower := in.members["c0"], in.followers["d0"]
	subscriber := &peer.Subscriber{Name: "d0"}

	member.Receive(subscriber, topicSubscribe, []byte{0xc1})
	member.Receive(subscriber, "other", nil)
	if subscriber.State != nil {
		t.Error("a message that cannot be decoded subscribed the director")
	}

	member.handleFeed(peer.Sender{Name: "c1"}, []byte{0x91, 0xff})
	member.handleLists(peer.Sender{Name: "c1"}, []byte{0xc1})
	follower.handleMessage(topicEvents, []byte{0x99})
	follower.handleMessage(topicLeader, binary.BigEndian.AppendUint64(nil, 1))
	if !in.allFollow() {
		t.Error("a director does not follow any more")
	}
	if lists := member.Status().DifferingLists; len(lists) > 0 {
		t.Errorf("the lists of %v are reported as different", lists)
	}
}

// Another instance that sends messages that cannot be decoded, however many, causes one log line a second at most.
func TestUndecodableMessagesDoNotFloodTheLog(t *testing.T) {
	const messages = 100
	invalid := []byte{0xc1}
	for name, handle := range map[string]func(member *Member, from peer.Sender){
		"lease":         func(member *Member, from peer.Sender) { member.handleLease(from, invalid) },
		"health report": func(member *Member, from peer.Sender) { member.handleHealthReport(from, invalid) },
	} {
		t.Run(name, func(t *testing.T) {
			var written bytes.Buffer
			log := logrus.New()
			log.SetOutput(&written)
			member := &Member{log: logrus.NewEntry(log)}
			began := time.Now()
			for range messages {
				handle(member, peer.Sender{Name: "c1"})
			}
			most := 1 + int(time.Since(began)/time.Second)
			if lines := strings.Count(written.String(), "a message that cannot be read"); lines < 1 || lines > most {
				t.Errorf("got %d log lines for %d messages, want 1 to %d", lines, messages, most)
			}
		})
	}
}

// After an hour without a link a director gets the events that it missed, complete and in order, at its rate and no faster. The
// events are the purges of an hour and the last configuration, in the numbers of the capacity plan (docs/CAPACITY.md). The rate
// is the largest that the file allows.
func TestCatchUp(t *testing.T) {
	const (
		purges             = 15480
		purgeBytes         = 60
		configurations     = 58 // under one key, so that the last one is left
		events             = purges + 1
		configurationBytes = 20000
		rate               = 1e6 // bytes a second
		mostBytes          = 2.2e6
		timeMargin         = 1 // seconds; the transfer may take so much longer than at the rate
		earlyMargin        = 0.1
	)
	in := newInstallation(t, operatorFile(t, 3, 1, "uplink: {spread: 100ms, rate: 1MB/s}\n"))
	for i := range 3 {
		in.startMember(fmt.Sprintf("c%d", i))
	}
	publisher := in.members["c0"]
	for i := range purges {
		if err := publisher.publish(fmt.Sprintf("%seach/%d", keyEvent, i), 0, time.Hour, make([]byte, purgeBytes)); err != nil {
			t.Fatal(err)
		}
	}
	for range configurations {
		if err := publisher.publish(keyEvent+"configuration", 1, time.Hour, make([]byte, configurationBytes)); err != nil {
			t.Fatal(err)
		}
	}
	for name, member := range in.members {
		await(t, name+" has all", func() bool { return member.Status().Feed.Counts.Entries == events })
	}

	in.startFollower("d0")
	follower := in.followers["d0"]
	await(t, "linked", func() bool { return follower.Status().Uplinks.Active != "" })
	began := time.Now()
	await(t, "caught up", func() bool { return follower.Status().Feed.Accepted == events })
	took, status := time.Since(began), follower.Status()
	received := float64(status.Uplinks.ReceivedBytes)
	t.Logf("%.0f bytes, %.1f a purge with its frame, in %v", received, (received-configurationBytes)/purges, took)

	if received > mostBytes {
		t.Errorf("got %.0f bytes, want at most %.0f", received, mostBytes)
	}
	const burst = rate // bytes: one second at the rate
	least, most := (received-burst)/rate-earlyMargin, received/rate+timeMargin
	if seconds := took.Seconds(); seconds < least || seconds > most {
		t.Errorf("%.0f bytes took %.2f s, want %.2f to %.2f s", received, seconds, least, most)
	}
	if feed := status.Feed; feed.Losses > 0 || feed.Duplicates > 0 || feed.Gaps > 0 {
		t.Errorf("got %+v, want no losses, duplicates and gaps", feed)
	}
	for i, key := range in.taken["d0"] {
		if want := fmt.Sprintf("%seach/%d", keyEvent, i); key != want {
			t.Fatalf("event %d has key %s, want %s", i, key, want)
		}
	}
}
