package changefeed

import (
	"fmt"
	"testing"
	"time"
)

// TestExpiry checks that an expired event moves the position, and that the age of an event is the time that it spent at all machines
// that stored it.
func TestExpiry(t *testing.T) {
	a, b := New(testConfig("a", 1)), New(testConfig("b", 1))
	out, _ := a.Publish(time.Hour, "x", 10*time.Second, nil)
	publish(t, a, time.Hour, "y")
	a.Publish(time.Hour, "z", 12*time.Second, nil)
	message := messageTo(t, "b", out)
	message.Events[0].Age = 4 * time.Second
	_, fresh := b.Receive(time.Minute, message)
	expectEqual(t, "accepted", len(fresh), 1)
	list := b.Next(time.Minute+5999*time.Millisecond, b.Subscribe(nil), 1000)
	if len(list) != 1 || list[0].Age != 9999*time.Millisecond || list[0].Lifetime != 10*time.Second {
		t.Errorf("just before its expiry: got %+v, want an age of 9.999 s of 10 s", list)
	}
	list = b.Next(time.Minute+6*time.Second, b.Subscribe(nil), 1000)
	if len(list) != 1 || list[0].Lifetime != 0 || list[0].Number != 1 || list[0].Key != "" {
		t.Errorf("after its expiry: got %+v, want its number alone", list)
	}
	reader := NewReader([]string{"a"})
	expectEqual(t, "verdict", reader.Accept(&list[0]), Expired)
	expectEqual(t, "position", reader.Vector(), Vector{{"a", 1, 1}})

	now := time.Hour + 11*time.Second
	expectEqual(t, "sent after the first expiry", numbers(a.Next(now, a.Subscribe(nil), 1000)), []string{"a 1:(0,2]", "a 1:(2,3]"})
	now += time.Second
	list = a.Next(now, a.Subscribe(nil), 1000)
	expectEqual(t, "sent after the last expiry", numbers(list), []string{"a 1:(0,2]", "a 1:(2,3]"})
	expectEqual(t, "lifetime of the last", list[1].Lifetime, time.Duration(0))
	expectEqual(t, "entries before Tick", a.Counts().Entries, 3)
	a.Tick(now)
	expectEqual(t, "entries after Tick", a.Counts().Entries, 1)

	late := testEvent("a", 1, 1, 2)
	late.Age = late.Lifetime
	expectEqual(t, "accepted after its lifetime", len(receiveEvents(b, 0, "a", late)), 0)
	expectEqual(t, "position", b.Vector(), Vector{{"a", 1, 2}})
	expectEqual(t, "expired", b.Counts().Expired, 1)
}

// TestEvictionByEntries checks that above the bound of entries the oldest entry of all origins is evicted. A subscriber that has not
// read it learns once that events are lost.
func TestEvictionByEntries(t *testing.T) {
	config := testConfig("a", 1)
	config.MaxEntries = 3
	a := New(config)
	receiveEvents(a, 0, "b", testEvent("b", 1, 0, 1))
	early, behind := a.Subscribe(nil), a.Subscribe(nil)
	expectEqual(t, "sent early", len(a.Next(0, early, 1000)), 1)
	for i := range 5 {
		publish(t, a, 0, fmt.Sprint("k", i))
	}
	expectEqual(t, "counts", a.Counts(), Counts{Published: 5, Accepted: 1, Evicted: 3, Entries: 3, Bytes: a.Counts().Bytes})
	list := a.Next(0, behind, 1000)
	expectEqual(t, "sent", numbers(list), []string{"a 1:(0,3]", "a 1:(3,4]", "a 1:(4,5]", "b 1:(0,1]"})
	expectEqual(t, "lost up to", []uint64{list[0].LostUpTo, list[1].LostUpTo, list[2].LostUpTo, list[3].LostUpTo}, []uint64{2, 0, 0, 1})
	reader := NewReader([]string{"a", "b"})
	for i := range list {
		reader.Accept(&list[i])
	}
	expectEqual(t, "reader", reader.Counts(), ReaderCounts{Accepted: 3, Expired: 1, Losses: 2})

	// A subscriber that has read the evicted events misses nothing.
	list = a.Next(0, a.Subscribe(Vector{{"a", 1, 2}, {"b", 1, 1}}), 1000)
	expectEqual(t, "sent", numbers(list), []string{"a 1:(2,3]", "a 1:(3,4]", "a 1:(4,5]"})
	expectEqual(t, "lost up to", list[0].LostUpTo, uint64(0))

	// Another control machine that fetches this log forwards the loss, but only to subscribers that have not read the events.
	b := New(testConfig("b", 2))
	b.Receive(0, &Message{Kind: Positions, From: "a", To: "b", Vector: a.Vector()})
	out, _ := a.Receive(0, &Message{Kind: Fetch, From: "b", To: "a", Vector: Vector{{"a", 1, 0}, {"b", 1, 0}}})
	for i := range out {
		b.Receive(0, &out[i])
	}
	expectEqual(t, "vector", b.Vector(), a.Vector())
	expectEqual(t, "losses", b.Counts().Losses, 2)
	b.Tick(0)
	list = b.Next(0, b.Subscribe(Vector{{"a", 1, 1}}), 1000)
	expectEqual(t, "sent on", numbers(list), []string{"a 1:(1,3]", "a 1:(3,4]", "a 1:(4,5]", "b 1:(0,1]"})
	expectEqual(t, "lost up to", []uint64{list[0].LostUpTo, list[1].LostUpTo, list[3].LostUpTo}, []uint64{2, 0, 1})
	list = b.Next(0, b.Subscribe(Vector{{"a", 1, 2}}), 1000)
	expectEqual(t, "lost up to", list[0].LostUpTo, uint64(0))
}

// TestEvictionByBytes checks that above the bound of bytes the oldest entries are evicted, and expired entries before live ones.
func TestEvictionByBytes(t *testing.T) {
	config := testConfig("a", 1)
	config.MaxBytes = 4 * minMaxBytes
	node := New(config)
	for i := range 20 {
		if _, err := node.Publish(0, fmt.Sprint("k", i), time.Hour, make([]byte, MaxPayloadBytes)); err != nil {
			t.Fatal(err)
		}
		if node.Counts().Bytes > config.MaxBytes {
			t.Fatalf("got %d bytes, want at most %d", node.Counts().Bytes, config.MaxBytes)
		}
	}
	expectEqual(t, "kept", node.Counts().Entries, 4)
	expectEqual(t, "evicted", node.Counts().Evicted, 16)
	for i := range 600 { // small entries evict large ones, one by one
		publish(t, node, 0, fmt.Sprint("s", i))
	}
	if counts := node.Counts(); counts.Evicted < 18 || counts.Bytes > config.MaxBytes || counts.Entries < 600 {
		t.Errorf("after 600 small entries: got counts %+v, want at least 600 entries, 18 evicted and at most %d bytes", counts, config.MaxBytes)
	}

	// Expired entries are removed before live ones are evicted.
	node = New(config)
	for i := range 4 {
		node.Publish(0, fmt.Sprint("k", i), time.Duration(4-i)*time.Second, make([]byte, MaxPayloadBytes))
	}
	node.Publish(2*time.Second, "new", time.Second, make([]byte, MaxPayloadBytes))
	expectEqual(t, "evicted", node.Counts().Evicted, 0)
	expectEqual(t, "kept", numbers(node.Next(2*time.Second, node.Subscribe(nil), 1<<30)), []string{"a 1:(0,1]", "a 1:(1,2]", "a 1:(2,5]"})
}

// TestEpochsOfAnOriginAreBounded checks that the logs of logEpochs epochs of an origin are kept while they have live events. A
// further epoch evicts the oldest log for good, but never the log that the node publishes in.
func TestEpochsOfAnOriginAreBounded(t *testing.T) {
	const ownEpoch = 1000 // above those of the earlier incarnations, as the node would begin another one otherwise
	for _, test := range []struct {
		name            string
		origin          string
		otherEpochs     uint64 // epochs that fit beside the log that the node publishes in
		positionsAtLast int    // after all events of others have expired
	}{
		{name: "earlier incarnations of the node", origin: "a", otherEpochs: logEpochs - 1, positionsAtLast: 1},
		{name: "another origin", origin: "b", otherEpochs: logEpochs, positionsAtLast: 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			node := New(testConfig("a", ownEpoch))
			receive := func(epoch uint64) (accepted int) {
				event := testEvent(test.origin, epoch, 0, 1)
				event.Key = fmt.Sprint("of", epoch)
				return len(receiveEvents(node, 0, "c", event))
			}
			publish(t, node, 0, "own")
			for i := range test.otherEpochs {
				if epoch := 200 + 2*i; receive(epoch) != 1 {
					t.Fatalf("epoch %d was not accepted", epoch)
				}
			}
			expectEqual(t, "evicted", node.Counts().Evicted, 0)
			expectEqual(t, "accepted of an epoch older than all", receive(150), 0)
			expectEqual(t, "old", node.Counts().OldEpochs, 1)
			expectEqual(t, "accepted of an epoch between others", receive(203), 1)
			expectEqual(t, "evicted", node.Counts().Evicted, 1)
			expectEqual(t, "accepted of the evicted epoch", receive(200), 0)
			expectEqual(t, "old", node.Counts().OldEpochs, 2)
			logs := 0
			for _, log := range node.store.sorted {
				if log.origin == test.origin {
					logs++
				}
			}
			expectEqual(t, "logs", logs, logEpochs)
			expectEqual(t, "own position", node.Vector().At("a", ownEpoch), uint64(1))
			publish(t, node, 0, "own 2")
			expectEqual(t, "own position", node.Vector().At("a", ownEpoch), uint64(2))

			// Evicted epochs are neither fetched nor sent.
			out, _ := node.Receive(0, &Message{Kind: Positions, From: "b", To: "a", Vector: Vector{{test.origin, 150, 7}, {test.origin, 200, 9}}})
			expectEqual(t, "fetches", len(out), 0)
			out, _ = node.Receive(0, &Message{Kind: Fetch, From: "b", To: "a", Vector: Vector{{test.origin, 200, 0}}})
			expectEqual(t, "answers", len(out), 0)
			expectEqual(t, "old", node.Counts().OldEpochs, 3)

			// Logs whose events have all expired are dropped, but their positions stay known.
			node.Tick(2 * time.Minute)
			expectEqual(t, "positions", len(node.Vector()), test.positionsAtLast)
			expectEqual(t, "accepted again", receive(202), 0)
			expectEqual(t, "duplicates", node.Counts().Duplicates, 1)
			out, _ = node.Receive(0, &Message{Kind: Fetch, From: "b", To: "a", Vector: Vector{{test.origin, 202, 0}}})
			if len(out) != 1 || len(out[0].Events) != 1 || out[0].Events[0].Lifetime != 0 || out[0].Events[0].Number != 1 {
				t.Errorf("answer to a fetch of expired events: got %+v, want one event past its lifetime with number 1", out)
			}
		})
	}
}

// TestOneKeySupersededRepeatedly checks that one key that is superseded again and again takes about as much memory as one event.
func TestOneKeySupersededRepeatedly(t *testing.T) {
	const (
		maxLive = 3 // the first event, the last one of each key
		maxSize = 2*maxLive + maxRemovedSlack
	)
	node := New(testConfig("a", 1))
	publish(t, node, 0, "first")
	for i := range 10000 {
		publish(t, node, 0, fmt.Sprint("x", i%2))
		live, list, heap := node.Counts().Entries, len(node.store.own.entries), len(node.store.expiry)
		if live > maxLive || list > maxSize || heap > maxSize {
			t.Fatalf("after %d events: got %d entries, a list of %d and a heap of %d, want at most %d, %d and %d",
				i, live, list, heap, maxLive, maxSize, maxSize)
		}
	}
	expectEqual(t, "sent", numbers(node.Next(0, node.Subscribe(nil), 1000)), []string{"a 1:(0,1]", "a 1:(1,10000]", "a 1:(10000,10001]"})
}
