package changefeed

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// testEvent returns a live event with a key of its own.
func testEvent(origin string, epoch, prev, number uint64) Event {
	return Event{Origin: origin, Epoch: epoch, Number: number, Prev: prev, Key: fmt.Sprint("k", number), Lifetime: time.Minute}
}

// with returns a changed copy of an event.
func (e Event) with(change func(*Event)) *Event {
	change(&e)
	return &e
}

func TestReaderVerdicts(t *testing.T) {
	reader := NewReader([]string{"a", "b"})
	for i, step := range []struct {
		event Event
		want  Verdict
	}{
		{testEvent("a", 1, 0, 1), Accepted},
		{testEvent("a", 1, 0, 1), Duplicate},
		{testEvent("a", 1, 2, 3), Gap},
		{testEvent("a", 1, 0, 3), Accepted}, // 2 was superseded or expired
		{testEvent("a", 1, 1, 2), Duplicate},
		{*testEvent("a", 1, 3, 4).with(func(event *Event) { event.Age = event.Lifetime }), Expired},
		{*testEvent("a", 1, 4, 9).with(func(event *Event) { event.Lifetime = 0 }), Expired},
		{testEvent("a", 1, 9, 10), Accepted},
		{testEvent("a", 3, 0, 1), Accepted}, // another epoch
		{testEvent("a", 2, 0, 7), Accepted}, // an earlier epoch
		{testEvent("b", 1, 1, 2), Gap},
		{testEvent("b", 1, 0, 2), Accepted},
		{*testEvent("b", 1, 2, 9).with(func(event *Event) { event.LostUpTo = 5 }), Accepted},
		{*testEvent("b", 1, 2, 12).with(func(event *Event) { event.LostUpTo = 8 }), Accepted}, // the reader is past the loss
		{testEvent("c", 1, 0, 1), Invalid},
		{testEvent("a", 0, 0, 1), Invalid},
		{testEvent("a", 4, 0, 0), Invalid},
		{testEvent("a", 4, 2, 2), Invalid},
		{*testEvent("a", 4, 2, 4).with(func(event *Event) { event.LostUpTo = 2 }), Invalid},
		{*testEvent("a", 4, 2, 4).with(func(event *Event) { event.LostUpTo = 5 }), Invalid},
		{*testEvent("a", 4, 0, 1).with(func(event *Event) { event.Age = -1 }), Invalid},
		{*testEvent("a", 4, 0, 1).with(func(event *Event) { event.Lifetime = -1 }), Invalid},
		{*testEvent("a", 4, 0, 1).with(func(event *Event) { event.Lifetime = MaxLifetime + 1 }), Invalid},
		{*testEvent("a", 4, 0, 1).with(func(event *Event) { event.Key = strings.Repeat("x", MaxKeyBytes+1) }), Invalid},
		{*testEvent("a", 4, 0, 1).with(func(event *Event) { event.Payload = make([]byte, MaxPayloadBytes+1) }), Invalid},
	} {
		if got := reader.Accept(&step.event); got != step.want {
			t.Errorf("event %d, %+v: got %v, want %v", i, step.event, got, step.want)
		}
	}
	expectEqual(t, "vector", reader.Vector(), Vector{{"a", 1, 10}, {"a", 2, 7}, {"a", 3, 1}, {"b", 1, 12}})
	expectEqual(t, "counts", reader.Counts(), ReaderCounts{Accepted: 8, Duplicates: 2, Gaps: 2, Expired: 2, Invalid: 11, Losses: 1})
}

// TestReaderBoundsEpochs gives a reader events of more epochs than it knows positions of. It forgets the oldest epoch, and refuses
// events of that and older ones.
func TestReaderBoundsEpochs(t *testing.T) {
	reader := NewReader([]string{"a"})
	for i := range uint64(readerEpochs) {
		event := testEvent("a", 2*i+10, 0, 5)
		if got := reader.Accept(&event); got != Accepted {
			t.Fatalf("epoch %d: got %v, want %v", event.Epoch, got, Accepted)
		}
	}
	for _, step := range []struct {
		epoch uint64
		want  Verdict
	}{
		{9, OldEpoch},   // below the oldest known epoch
		{11, Accepted},  // epoch 10 is forgotten
		{10, OldEpoch},  // it must not be accepted a second time
		{11, Duplicate}, // still known
		{12, Duplicate},
		{1000, Accepted}, // epoch 11 is forgotten
		{11, OldEpoch},
		{12, Duplicate},
	} {
		event := testEvent("a", step.epoch, 0, 5)
		if got := reader.Accept(&event); got != step.want {
			t.Errorf("epoch %d: got %v, want %v", step.epoch, got, step.want)
		}
	}
	expectEqual(t, "number of positions", len(reader.Vector()), readerEpochs)
	expectEqual(t, "old events", reader.Counts().OldEpochs, 3)
}

// TestReaderSetOrigins changes the list of origins. Positions of removed origins are remembered, up to MaxOrigins in all.
func TestReaderSetOrigins(t *testing.T) {
	reader := NewReader([]string{"a", "b"})
	accept := func(origin string, prev, number uint64) Verdict {
		event := testEvent(origin, 1, prev, number)
		return reader.Accept(&event)
	}
	expectEqual(t, "first event of a", accept("a", 0, 4), Accepted)
	expectEqual(t, "first event of b", accept("b", 0, 4), Accepted)

	reader.SetOrigins([]string{"b", "c"})
	expectEqual(t, "event of a removed origin", accept("a", 4, 5), Invalid)
	expectEqual(t, "vector", reader.Vector(), Vector{{"b", 1, 4}})

	reader.SetOrigins([]string{"a", "b"})
	expectEqual(t, "known event of an origin that is listed again", accept("a", 0, 4), Duplicate)

	var many []string
	for i := range MaxOrigins - 1 {
		many = append(many, fmt.Sprint("m", i))
	}
	reader.SetOrigins(many)
	if len(reader.ledger) != 1 || reader.ledger["b"] == nil {
		t.Errorf("%d origins listed: got a ledger of %d origins, want one of b alone", len(many), len(reader.ledger))
	}
	reader.SetOrigins(append(many, "m", "n"))
	if reader.origins["n"] || !reader.origins["m"] || len(reader.ledger) != 0 {
		t.Errorf("got %d origins followed and %d in the ledger, want the first %d followed and none in the ledger",
			len(reader.origins), len(reader.ledger), MaxOrigins)
	}
}

// TestReaderFences has several origins publish under one key. An event of an earlier lease holder is discarded once one of a later
// holder was accepted, but it moves the position. The number of keys with a known fencing number is bounded.
func TestReaderFences(t *testing.T) {
	reader := NewReader([]string{"a", "b"})
	acceptNext := func(origin string, fence uint64, key string) Verdict {
		position := reader.Vector().At(origin, 1)
		event := testEvent(origin, 1, position, position+1)
		event.Key, event.Fence = key, fence
		verdict := reader.Accept(&event)
		expectEqual(t, "position of "+origin, reader.Vector().At(origin, 1), position+1)
		return verdict
	}
	for i, step := range []struct {
		origin string
		fence  uint64
		key    string
		want   Verdict
	}{
		{origin: "a", fence: 5, key: "k", want: Accepted},
		{origin: "b", fence: 4, key: "k", want: Superseded},
		{origin: "b", fence: 4, key: "l", want: Accepted},
		{origin: "b", fence: 5, key: "k", want: Accepted},
		{origin: "a", fence: 0, key: "k", want: Accepted},
		{origin: "b", fence: 7, key: "k", want: Accepted},
		{origin: "a", fence: 6, key: "k", want: Superseded},
		{origin: "a", fence: 7, key: "k", want: Accepted},
	} {
		if got := acceptNext(step.origin, step.fence, step.key); got != step.want {
			t.Errorf("event %d: got %v, want %v", i, got, step.want)
		}
	}
	expectEqual(t, "superseded", reader.Counts().Superseded, 2)

	for i := range maxFences {
		if got := acceptNext("a", 9, fmt.Sprint("other", i)); got != Accepted {
			t.Fatalf("key %d: got %v, want %v", i, got, Accepted)
		}
	}
	expectEqual(t, "known fencing numbers", len(reader.fences), maxFences)
	expectEqual(t, "keys in order", len(reader.fencedKeys), maxFences)
	expectEqual(t, "lower fencing number of a forgotten key", acceptNext("a", 1, "k"), Accepted)
}
