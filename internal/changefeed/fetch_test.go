package changefeed

import (
	"fmt"
	"reflect"
	"runtime"
	"testing"
	"time"
)

// TestEvictionAtOriginIsNotReportedAsLoss checks that an event that was evicted only at its origin is not reported as lost, but
// fetched, because other machines may still have it.
func TestEvictionAtOriginIsNotReportedAsLoss(t *testing.T) {
	config := testConfig("a", 1)
	config.MaxEntries = 1
	a, b, c := New(config), New(testConfig("b", 1)), New(testConfig("c", 1))
	first, second := publish(t, a, 0, "x"), publish(t, a, 0, "y")
	c.Receive(0, messageTo(t, "c", first))
	out, fresh := b.Receive(0, messageTo(t, "b", second))
	expectEqual(t, "accepted", len(fresh), 0)
	expectEqual(t, "positions fetched", messageTo(t, "a", out).Vector, Vector{{"a", 1, 0}})
	expectEqual(t, "losses", b.Counts().Losses, 0)
}

// TestUnanswerableFetches checks that positions that cannot be answered are counted, and do not prevent answers to other positions.
func TestUnanswerableFetches(t *testing.T) {
	node := New(testConfig("a", 1))
	publish(t, node, 0, "x")
	fetch := func(vector Vector) []Message {
		out, fresh := node.Receive(0, &Message{Kind: Fetch, From: "b", To: "a", Vector: vector})
		expectEqual(t, "accepted", len(fresh), 0)
		return out
	}
	expectEqual(t, "answers to a position ahead of the log", len(fetch(Vector{{"a", 1, 2}})), 0)
	expectEqual(t, "answers to a position in an unknown epoch", len(fetch(Vector{{"a", 2, 0}})), 0)
	expectEqual(t, "answers to a position of an unknown origin", len(fetch(Vector{{"x", 1, 0}})), 0)
	expectEqual(t, "answers to an empty fetch", len(fetch(nil)), 0)
	expectEqual(t, "counts", node.Counts(), Counts{Published: 1, Ahead: 2, Invalid: 1, Entries: 1, Bytes: node.Counts().Bytes})
	long := make(Vector, maxFetchPositions+1)
	for i := range long {
		long[i] = Position{"a", uint64(i + 1), 0}
	}
	expectEqual(t, "answers to a fetch of too many positions", len(fetch(long)), 0)
	expectEqual(t, "invalid", node.Counts().Invalid, 2)

	out := fetch(Vector{{"a", 1, 0}, {"a", 7, 4}, {"x", 1, 0}})
	if len(out) != 1 || !reflect.DeepEqual(out[0].Vector, Vector{{"a", 1, 1}}) || len(out[0].Events) != 1 {
		t.Errorf("fetch with one answerable position: got %+v, want one event and its position", out)
	}
	out = fetch(Vector{{"a", 1, 1}})
	if len(out) != 1 || len(out[0].Vector) != 1 || out[0].Events != nil {
		t.Errorf("fetch from the head of the log: got %+v, want a position without events", out)
	}
}

// TestFetchTriesSourcesInTurn checks that a node that lags fetches from one machine at a time, preferably from the origin, until it has
// the missing events.
func TestFetchTriesSourcesInTurn(t *testing.T) {
	a := New(testConfig("a", 1))
	report := func(now time.Duration, from string, vector Vector) (out []Message) {
		out, _ = a.Receive(now, &Message{Kind: Positions, From: from, To: "a", Vector: vector})
		return out
	}
	vector := Vector{{"b", 1, 2}}
	expectEqual(t, "fetched", messageTo(t, "c", report(0, "c", vector)).Vector, Vector{{"b", 1, 0}})
	expectEqual(t, "messages without a further fetch", len(report(0, "b", vector))+len(a.Tick(0)), 2) // a's positions to b and c
	var fetches []string
	for now := compareInterval / 10; now < 7*compareInterval; now += compareInterval / 10 {
		var out []Message
		if now%compareInterval == 0 {
			out = append(report(now, "b", vector), report(now, "c", vector)...)
		}
		for _, message := range append(out, a.Tick(now)...) {
			if message.Kind == Fetch {
				expectEqual(t, "positions fetched", message.Vector, Vector{{"b", 1, 0}})
				fetches = append(fetches, fmt.Sprint(message.To, now))
			}
		}
	}
	want := []string{fmt.Sprint("b", 2*compareInterval), fmt.Sprint("c", 4*compareInterval), fmt.Sprint("b", 6*compareInterval)}
	expectEqual(t, "fetches", fetches, want)
	expectEqual(t, "count", a.Counts().Fetches, 4)

	// No fetch is sent to a machine that has become unresponsive.
	const lastFetch = 7*compareInterval + (claimLifetimeIntervals+1)*compareInterval
	for now := 7 * compareInterval; now < 20*compareInterval; now += compareInterval / 10 {
		for _, message := range a.Tick(now) {
			if message.Kind == Fetch && now > lastFetch {
				t.Fatalf("got a fetch to unresponsive machine %s at %v, want none after %v", message.To, now, lastFetch)
			}
		}
	}
	expectEqual(t, "open fetches and claims", len(a.openFetches)+len(a.claims), 0)

	// An origin that itself claims to have the events is asked first. Events that have arrived are not fetched again.
	a = New(testConfig("a", 1))
	expectEqual(t, "fetched", messageTo(t, "b", report(0, "b", vector)).Vector, Vector{{"b", 1, 0}})
	expectEqual(t, "accepted", len(receiveEvents(a, 0, "b", testEvent("b", 1, 0, 1), testEvent("b", 1, 1, 2))), 2)
	expectEqual(t, "fetched", len(report(3*compareInterval, "c", vector)), 0)
}

// TestForgedNumberDoesNotDelayOtherFetches checks that an event with a number far above the real ones is handled as a gap: its
// predecessors are fetched once per timeout, and other fetches are not delayed.
func TestForgedNumberDoesNotDelayOtherFetches(t *testing.T) {
	forged := testEvent("b", 1, forgedNumber-1, forgedNumber)
	a, b := New(testConfig("a", 1)), New(testConfig("b", 1))
	out, fresh := a.Receive(0, &Message{Kind: Events, From: "b", To: "a", Events: []Event{forged}})
	expectEqual(t, "accepted", len(fresh), 0)
	expectEqual(t, "gaps", a.Counts().Gaps, 1)
	expectEqual(t, "fetched", messageTo(t, "b", out).Vector, Vector{{"b", 1, 0}})
	now := time.Duration(0)
	for i := range 200 {
		now += compareInterval / 10
		sent := publish(t, b, now, fmt.Sprint("k", i))
		a.Receive(now, messageTo(t, "a", sent))
		expectEqual(t, "accepted", len(receiveEvents(a, now, "b", forged)), 0)
		a.Receive(now, &Message{Kind: Positions, From: "b", To: "a", Vector: Vector{{"b", 1, forgedNumber}, {"b", 2, forgedNumber}}})

		// Events of a third machine are still fetched.
		fetches, _ := a.Receive(now, &Message{Kind: Positions, From: "c", To: "a", Vector: Vector{{"c", 1, uint64(i + 1)}}})
		if fetched := messageTo(t, "c", fetches).Vector; fetched.At("c", 1) != uint64(i) {
			t.Fatalf("fetch from c: got %v, want from number %d", fetched, i)
		}
		a.Receive(now, &Message{Kind: Events, From: "c", To: "a", Events: []Event{testEvent("c", 1, uint64(i), uint64(i+1))}, Vector: Vector{{"c", 1, uint64(i + 1)}}})
		a.Tick(now)
	}
	expectEqual(t, "vector", a.Vector(), Vector{{"b", 1, 200}, {"c", 1, 200}})
	if fetches := a.Counts().Fetches; fetches > 200+2*(200/(10*fetchTimeoutIntervals)+2) {
		t.Errorf("got %d fetches, want 200 to c and few to b", fetches)
	}

	// The number of claims and open fetches is limited when ever new epochs are claimed.
	many := New(testConfig("a", 1))
	for i := range uint64(3000) {
		many.Receive(0, &Message{Kind: Positions, From: "b", To: "a", Vector: Vector{{"b", 2*i + 1, 1}, {"b", 2*i + 2, 1}}})
	}
	if len(many.openFetches) > maxOpenFetches {
		t.Errorf("got %d open fetches, want at most %d", len(many.openFetches), maxOpenFetches)
	}
	var vector Vector
	for i := range uint64(100) {
		vector = append(vector, Position{"b", i + 1, 1})
	}
	many.Receive(0, &Message{Kind: Positions, From: "b", To: "a", Vector: vector})
	expectEqual(t, "claims", len(many.claims["b"].positions), logEpochs)
}

// TestPurgeEventsOfOneHourFitLog checks that the purge events of an hour fit a log of the default size. A control machine that starts
// with an empty log fetches all of them in pieces of limited size, and a director reads them from that machine.
func TestPurgeEventsOfOneHourFitLog(t *testing.T) {
	const count = 15480 // by docs/CAPACITY.md
	a := New(benchConfig(0))
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	fillNode(t, a, count)
	runtime.GC()
	runtime.ReadMemStats(&after)
	counts := a.Counts()
	expectEqual(t, "entries", counts.Entries, count)
	expectEqual(t, "evicted", counts.Evicted, 0)
	if counts.Bytes > defaultBytes/2 {
		t.Errorf("got %d bytes counted, want at most half of %d", counts.Bytes, defaultBytes)
	}
	if used := int(after.HeapAlloc) - int(before.HeapAlloc); used > 2*counts.Bytes {
		t.Errorf("got %d bytes of memory used, want at most twice the %d bytes counted", used, counts.Bytes)
	}

	config := benchConfig(1)
	config.Epoch = 2
	b := New(config)
	queue, fetches, fresh := []Message{{Kind: Positions, From: "c0", To: "c1", Vector: a.Vector()}}, 0, 0
	for len(queue) > 0 {
		message := queue[0]
		queue = queue[1:]
		if raw := AppendMessage(nil, &message); len(raw) > maxAnswerPieceBytes+200 {
			t.Fatalf("got a message of %d bytes, want at most a piece of %d and a header", len(raw), maxAnswerPieceBytes)
		}
		node := a
		if message.To == "c1" {
			node = b
		}
		out, accepted := node.Receive(0, &message)
		fresh += len(accepted)
		if message.Kind == Fetch {
			fetches++
			if len(out) > maxAnswerPieces {
				t.Fatalf("got an answer of %d pieces, want at most %d", len(out), maxAnswerPieces)
			}
		}
		queue = append(queue, out...)
	}
	expectEqual(t, "accepted", fresh, count)
	expectEqual(t, "vector", b.Vector(), a.Vector())
	if minFetches := counts.Bytes / 3 / (maxAnswerPieceBytes * maxAnswerPieces); fetches < minFetches || fetches > 4*minFetches+2 {
		t.Errorf("got %d fetches, want %d to %d", fetches, minFetches, 4*minFetches+2)
	}

	reader, cursor := NewReader(config.Origins), b.Subscribe(nil)
	for {
		list := b.Next(time.Minute, cursor, 16<<10)
		if len(list) == 0 {
			break
		}
		for i := range list {
			expectEqual(t, "verdict", reader.Accept(&list[i]), Accepted)
		}
	}
	expectEqual(t, "accepted", reader.Counts(), ReaderCounts{Accepted: count})
	expectEqual(t, "vector", reader.Vector(), a.Vector())
}
