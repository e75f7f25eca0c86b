package changefeed

import (
	"bytes"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/msgpack"
)

// randomEvent returns an event with random fields, each within its bounds.
func randomEvent(rng *rand.Rand) Event {
	number := func() uint64 { return rng.Uint64() >> rng.IntN(64) } // of a random length in bits
	duration := func() time.Duration {
		return time.Duration(rng.Int64N(int64(MaxLifetime/time.Microsecond))) * time.Microsecond
	}
	event := Event{
		Origin:   strings.Repeat("o", 1+rng.IntN(MaxNameBytes)),
		Epoch:    number(),
		Number:   number(),
		Prev:     number(),
		LostUpTo: number(),
		Fence:    number(),
		Key:      strings.Repeat("k", rng.IntN(MaxKeyBytes+1)),
		Lifetime: duration(),
		Age:      duration(),
	}
	if size := rng.IntN(300); size > 0 {
		event.Payload = make([]byte, size)
	}
	return event
}

// randomMessage returns a message with up to 19 positions and as many random events.
func randomMessage(rng *rand.Rand) *Message {
	message := &Message{Kind: Kind(rng.IntN(3))}
	for i := range uint64(rng.IntN(20)) {
		message.Vector = append(message.Vector, Position{strings.Repeat("o", int(1+i/3)), i, rng.Uint64()})
	}
	for range rng.IntN(20) {
		message.Events = append(message.Events, randomEvent(rng))
	}
	return message
}

// TestEncodingRoundTrip checks that parsing returns the encoded values unchanged, and rejects input that is truncated or followed by
// other bytes.
func TestEncodingRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		message := randomMessage(rng)
		raw := AppendMessage(nil, message)
		got, err := ParseMessage(raw)
		if err != nil || !reflect.DeepEqual(&got, message) {
			t.Fatalf("got %+v, %v, want %+v", got, err, message)
		}
		for range 20 {
			if got, err := ParseMessage(raw[:rng.IntN(len(raw))]); err == nil || !reflect.DeepEqual(got, Message{}) {
				t.Fatalf("truncated message: got %+v, %v, want an error", got, err)
			}
		}
		if _, err := ParseMessage(append(raw, 0)); err == nil {
			t.Fatal("message with a byte after it: got no error, want one")
		}
		for i := range message.Events {
			if encoded := AppendEvents(nil, message.Events[i:i+1]); len(encoded)-1 > message.Events[i].size() {
				t.Fatalf("got an encoded event of %d bytes, want at most its size of %d", len(encoded)-1, message.Events[i].size())
			}
		}
	}
	vector, events := Vector{{"a", 1, 2}, {"b", 1, 1 << 63}}, []Event{testEvent("a", 1, 2, 3)}
	if got, err := ParseVector(AppendVector(nil, vector)); err != nil || !reflect.DeepEqual(got, vector) {
		t.Errorf("vector: got %v, %v, want %v", got, err, vector)
	}
	if got, err := ParseEvents(AppendEvents(nil, events)); err != nil || !reflect.DeepEqual(got, events) {
		t.Errorf("events: got %v, %v, want %v", got, err, events)
	}
	for raw, i := AppendVector(nil, vector), 0; i < len(raw); i++ {
		if _, err := ParseVector(raw[:i]); err == nil {
			t.Errorf("%d of %d bytes of a vector: got no error, want one", i, len(raw))
		}
	}
	for raw, i := AppendEvents(nil, events), 0; i < len(raw); i++ {
		if _, err := ParseEvents(raw[:i]); err == nil {
			t.Errorf("%d of %d bytes of events: got no error, want one", i, len(raw))
		}
	}
}

// TestEncodingDoesNotExtendLifetime checks that forwarding does not make an event last longer: its lifetime is rounded down, its age
// is rounded up, and both are limited to MaxLifetime.
func TestEncodingDoesNotExtendLifetime(t *testing.T) {
	event := Event{Origin: "a", Epoch: 1, Number: 1, Lifetime: 10*time.Microsecond + 999, Age: 3*time.Microsecond + 1}
	got, err := ParseEvents(AppendEvents(nil, []Event{event}))
	if err != nil {
		t.Fatal(err)
	}
	expectEqual(t, "lifetime", got[0].Lifetime, 10*time.Microsecond)
	expectEqual(t, "age", got[0].Age, 4*time.Microsecond)

	event.Lifetime, event.Age = 2*MaxLifetime, 3*MaxLifetime
	got, err = ParseEvents(AppendEvents(nil, []Event{event}))
	if err != nil {
		t.Fatal(err)
	}
	expectEqual(t, "lifetime above the bound", got[0].Lifetime, MaxLifetime)
	expectEqual(t, "age above the bound", got[0].Age, MaxLifetime)
}

func TestParseRejectsOutOfBounds(t *testing.T) {
	// A list of one position that has two values instead of three.
	shortPosition := msgpack.AppendUint(msgpack.AppendText(msgpack.AppendList(msgpack.AppendList(nil, 1), 2), "a"), 1)
	tooMany := make(Vector, MaxPositions+1)
	for i := range tooMany {
		tooMany[i] = Position{"a", uint64(i), 1}
	}
	if _, err := ParseVector(AppendVector(nil, tooMany)); err == nil {
		t.Errorf("vector of %d positions: got no error, want one", MaxPositions+1)
	}
	if vector, err := ParseVector(AppendVector(nil, tooMany[1:])); err != nil || len(vector) != MaxPositions {
		t.Errorf("vector of %d positions: got %d, %v, want all and no error", MaxPositions, len(vector), err)
	}
	for name, raw := range map[string][]byte{
		"origins out of order":                 AppendVector(nil, Vector{{"b", 1, 1}, {"a", 1, 1}}),
		"epochs out of order":                  AppendVector(nil, Vector{{"a", 2, 1}, {"a", 1, 1}}),
		"a duplicate epoch":                    AppendVector(nil, Vector{{"a", 1, 1}, {"a", 1, 2}}),
		"a name too long":                      AppendVector(nil, Vector{{strings.Repeat("x", MaxNameBytes+1), 1, 1}}),
		"two values":                           shortPosition,
		"two values and a third after its end": append(slices.Clone(shortPosition), 1),
		"a list longer than the input":         {0xdd, 0xff, 0xff, 0xff, 0xff},
		"a number instead of a list":           {1},
		"no bytes":                             {},
	} {
		if vector, err := ParseVector(raw); err == nil || vector != nil {
			t.Errorf("vector with %s: got %v, %v, want an error", name, vector, err)
		}
	}
	event := testEvent("a", 1, 0, 1)
	for name, raw := range map[string][]byte{
		"a payload too long": AppendEvents(nil, []Event{*event.with(func(event *Event) { event.Payload = make([]byte, MaxPayloadBytes+1) })}),
		"a key too long":     AppendEvents(nil, []Event{*event.with(func(event *Event) { event.Key = strings.Repeat("x", MaxKeyBytes+1) })}),
		"a name too long":    AppendEvents(nil, []Event{*event.with(func(event *Event) { event.Origin = strings.Repeat("x", MaxNameBytes+1) })}),
		"too many":           AppendEvents(nil, make([]Event, MaxEvents+1)),
	} {
		if list, err := ParseEvents(raw); err == nil || list != nil {
			t.Errorf("events with %s: got %d events, %v, want an error", name, len(list), err)
		}
	}
	if list, err := ParseEvents(AppendEvents(nil, make([]Event, MaxEvents))); err != nil || len(list) != MaxEvents {
		t.Errorf("%d events: got %d, %v, want all and no error", MaxEvents, len(list), err)
	}
	for _, kind := range []Kind{Events + 1, 255} {
		if _, err := ParseMessage(AppendMessage(nil, &Message{Kind: kind})); err == nil {
			t.Errorf("message of kind %d: got no error, want one", kind)
		}
	}
	const listOfFour = 0x94
	if _, err := ParseMessage(append([]byte{listOfFour}, AppendMessage(nil, &Message{})[1:]...)); err == nil {
		t.Error("message of four values: got no error, want one")
	}
}

// TestParseRandomBytes parses random bytes, and messages with some bytes changed. No parser, node or reader may panic, and values that
// can be parsed must be the same after they are encoded and parsed again.
func TestParseRandomBytes(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	parsed := 0
	for i := range 10000 {
		raw := make([]byte, rng.IntN(100))
		for k := range raw {
			raw[k] = byte(rng.Uint32())
		}
		if i%2 == 0 {
			raw = AppendMessage(nil, randomMessage(rng))
			for range 1 + rng.IntN(3) {
				raw[rng.IntN(len(raw))] = byte(rng.Uint32())
			}
		}
		parsed += parseAll(t, raw)
	}
	if parsed == 0 {
		t.Error("got no input that could be parsed, want some")
	}
}

// parseAll parses bytes as each type and passes the parsed values to a node and a reader. It returns the number of types as which the
// bytes could be parsed.
func parseAll(t *testing.T, raw []byte) (parsed int) {
	t.Helper()
	if vector, err := ParseVector(raw); err == nil {
		parsed++
		if again, err := ParseVector(AppendVector(nil, vector)); err != nil || len(again) != len(vector) {
			t.Fatalf("vector encoded and parsed again: got %v, %v, want %v", again, err, vector)
		}
		New(Config{Name: "o", Origins: []string{"o", "oo"}, Epoch: 1}).Subscribe(vector)
	}
	if list, err := ParseEvents(raw); err == nil {
		parsed++
		reader := NewReader([]string{"o", "oo"})
		for i := range list {
			reader.Accept(&list[i])
		}
	}
	message, err := ParseMessage(raw)
	if err != nil {
		return parsed
	}
	encoded := AppendMessage(nil, &message)
	again, err := ParseMessage(encoded)
	if err != nil || !bytes.Equal(AppendMessage(nil, &again), encoded) {
		t.Fatalf("message encoded and parsed again: got %+v, %v, want %+v", again, err, message)
	}
	node := New(Config{Name: "o", Origins: []string{"o", "oo", "ooo"}, Epoch: 1})
	if _, err := node.Publish(0, "k", time.Minute, nil); err != nil {
		t.Fatal(err)
	}
	for _, from := range []string{"oo", "ooo", "o"} {
		message.From, message.To = from, "o"
		node.Receive(time.Second, &message)
		node.Next(time.Second, node.Subscribe(message.Vector), 1000)
		node.Tick(2 * time.Second)
	}
	return parsed + 1
}

// FuzzParse checks that no input makes a parser, a node or a reader panic.
func FuzzParse(f *testing.F) {
	rng := rand.New(rand.NewPCG(3, 3))
	for range 20 {
		message := randomMessage(rng)
		f.Add(AppendMessage(nil, message))
		f.Add(AppendVector(nil, message.Vector))
		f.Add(AppendEvents(nil, message.Events))
	}
	f.Fuzz(func(t *testing.T, raw []byte) { parseAll(t, raw) })
}
