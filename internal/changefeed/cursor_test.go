package changefeed

import (
	"fmt"
	"testing"
	"time"
)

// TestSubscriberAheadOfLog checks that a subscriber that is ahead of a log receives no event of that epoch until the log has passed
// its position, and receives all other events immediately.
func TestSubscriberAheadOfLog(t *testing.T) {
	node := New(testConfig("a", 1))
	publish(t, node, 0, "x")
	cursor := node.Subscribe(Vector{{"a", 1, 3}, {"b", 9, 2}, {"stranger", 1, 1}})
	expectEqual(t, "positions ahead", node.Counts().Ahead, 2)
	expectEqual(t, "positions of unknown origins", node.Counts().Invalid, 1)
	expectEqual(t, "sent while the log is behind the subscriber", numbers(node.Next(0, cursor, 1000)), []string(nil))

	receiveEvents(node, 0, "b", testEvent("b", 8, 0, 1))
	expectEqual(t, "sent of another epoch", numbers(node.Next(0, cursor, 1000)), []string{"b 8:(0,1]"})

	for i := range uint64(3) {
		receiveEvents(node, 0, "b", *testEvent("b", 9, i, i+1).with(func(event *Event) { event.Key = fmt.Sprint("9/", i) }))
		publish(t, node, 0, fmt.Sprint("k", i))
	}
	expectEqual(t, "sent once the log has passed the subscriber", numbers(node.Next(0, cursor, 1000)), []string{"a 1:(3,4]", "b 9:(2,3]"})
	expectEqual(t, "sent after that", numbers(node.Next(0, cursor, 1000)), []string(nil))
}

// TestNextObservesMaxBytes checks that Next observes maxBytes, returns at least one event, and serves the origins in turn.
func TestNextObservesMaxBytes(t *testing.T) {
	const (
		eventsPerOrigin = 50
		payloadBytes    = 900
		listHeadBytes   = 5 // of the encoded list, which maxBytes does not include
	)
	origins := []string{"a", "b", "c"}
	node := New(testConfig("a", 1))
	for i := range uint64(eventsPerOrigin) {
		if _, err := node.Publish(0, fmt.Sprint("k", i), time.Hour, make([]byte, payloadBytes)); err != nil {
			t.Fatal(err)
		}
		for _, origin := range []string{"b", "c"} {
			receiveEvents(node, 0, origin, *testEvent(origin, 1, i, i+1).with(func(event *Event) { event.Payload = make([]byte, payloadBytes) }))
		}
	}
	for _, maxBytes := range []int{0, 1, 999, 3500, 20000, 1 << 20} {
		cursor, reader, sent := node.Subscribe(nil), NewReader(origins), map[string]int{}
		for {
			list := node.Next(0, cursor, maxBytes)
			if len(list) == 0 {
				break
			}
			if raw := AppendEvents(nil, list); len(raw) > maxBytes+listHeadBytes && len(list) > 1 {
				t.Fatalf("got %d events in %d bytes, want at most %d bytes", len(list), len(raw), maxBytes)
			}
			for i := range list {
				expectEqual(t, "verdict", reader.Accept(&list[i]), Accepted)
				sent[list[i].Origin]++
			}
			fewest, most := min(sent["a"], sent["b"], sent["c"]), max(sent["a"], sent["b"], sent["c"])
			if most-fewest > 1+maxBytes/payloadBytes {
				t.Fatalf("%d bytes: got %d events of one origin and %d of another, want the origins in turn", maxBytes, most, fewest)
			}
		}
		expectEqual(t, "accepted", reader.Counts().Accepted, eventsPerOrigin*len(origins))
	}
}
