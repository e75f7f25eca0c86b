package changefeed

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// testConfig returns the configuration of one of three control machines.
func testConfig(name string, epoch uint64) Config {
	return Config{Name: name, Origins: []string{"c", "a", "b"}, Epoch: epoch, CompareInterval: compareInterval}
}

// publish has a node publish an event with a lifetime of a minute, and returns the messages that carry it.
func publish(t *testing.T, node *Node, now time.Duration, key string) []Message {
	t.Helper()
	out, err := node.Publish(now, key, time.Minute, []byte(key))
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// receiveEvents delivers events from another machine to a node, and returns those that the node accepts.
func receiveEvents(node *Node, now time.Duration, from string, events ...Event) (fresh []Event) {
	_, fresh = node.Receive(now, &Message{Kind: Events, From: from, To: node.config.Name, Events: events})
	return fresh
}

// messageTo returns the message to a machine from a list of messages. It fails the test unless there is exactly one.
func messageTo(t *testing.T, name string, list []Message) *Message {
	t.Helper()
	var found []*Message
	for i := range list {
		if list[i].To == name {
			found = append(found, &list[i])
		}
	}
	if len(found) != 1 {
		t.Fatalf("got %d messages to %s in %v, want 1", len(found), name, list)
	}
	return found[0]
}

// numbers returns events in the form "origin epoch:(prev,number]".
func numbers(list []Event) (texts []string) {
	for _, event := range list {
		texts = append(texts, fmt.Sprintf("%s %d:(%d,%d]", event.Origin, event.Epoch, event.Prev, event.Number))
	}
	return texts
}

// expectEqual fails the test if two values differ.
func expectEqual(t *testing.T, label string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: got %v, want %v", label, got, want)
	}
}

// TestInvalidMessagesAreCounted checks that messages that no correct machine sends are counted as invalid, and do not change the node.
func TestInvalidMessagesAreCounted(t *testing.T) {
	node := New(testConfig("a", 3))
	publish(t, node, 0, "x")
	before := node.Vector()
	for i, test := range []struct {
		name    string
		message Message
	}{
		{"unknown sender", Message{Kind: Positions, From: "x", To: "a"}},
		{"other receiver", Message{Kind: Positions, From: "b", To: "c"}},
		{"from the node itself", Message{Kind: Positions, From: "a", To: "a"}},
		{"unknown kind", Message{Kind: Events + 1, From: "b", To: "a"}},
		{"vector out of order", Message{Kind: Positions, From: "b", To: "a", Vector: Vector{{"c", 1, 1}, {"b", 1, 1}}}},
		{"vector too long", Message{Kind: Positions, From: "b", To: "a", Vector: make(Vector, MaxPositions+1)}},
		{"too many events", Message{Kind: Events, From: "b", To: "a", Events: make([]Event, MaxEvents+1)}},
		{"position of an unknown origin", Message{Kind: Positions, From: "b", To: "a", Vector: Vector{{"x", 1, 1}}}},
		{"answer for an unknown origin", Message{Kind: Events, From: "b", To: "a", Vector: Vector{{"x", 1, 1}}}},
		{"event of an unknown origin", Message{Kind: Events, From: "b", To: "a", Events: []Event{testEvent("x", 1, 0, 1)}}},
		{"event that the node has not published", Message{Kind: Events, From: "b", To: "a", Events: []Event{testEvent("a", 3, 1, 2)}}},
		{"event of epoch 0", Message{Kind: Events, From: "b", To: "a", Events: []Event{testEvent("b", 0, 0, 1)}}},
	} {
		out, fresh := node.Receive(0, &test.message)
		expectEqual(t, test.name+": messages sent", len(out), 0)
		expectEqual(t, test.name+": events accepted", len(fresh), 0)
		expectEqual(t, test.name+": invalid so far", node.Counts().Invalid, i+1)
	}
	expectEqual(t, "vector", node.Vector(), before)

	expectEqual(t, "own events accepted", len(receiveEvents(node, 0, "b", testEvent("a", 3, 0, 1))), 0)
	expectEqual(t, "duplicates", node.Counts().Duplicates, 1)
	out, _ := node.Receive(0, &Message{Kind: Positions, From: "b", To: "a", Vector: Vector{{"a", 3, 7}}})
	expectEqual(t, "fetches of own events", len(out), 0)
}

// TestSingleNode checks that the only control machine of an installation sends no messages and serves its events.
func TestSingleNode(t *testing.T) {
	node := New(Config{Name: "a", Origins: []string{"a"}, Epoch: 1})
	expectEqual(t, "messages of Publish", len(publish(t, node, 0, "x")), 0)
	expectEqual(t, "messages of Tick", len(node.Tick(0)), 0)
	expectEqual(t, "events for a subscriber", numbers(node.Next(0, node.Subscribe(nil), 0)), []string{"a 1:(0,1]"})
}
