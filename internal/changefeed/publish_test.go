package changefeed

import (
	"errors"
	"strings"
	"testing"
	"time"
)

func TestPublishRejectsOutOfBounds(t *testing.T) {
	node := New(testConfig("a", 1))
	for _, test := range []struct {
		name        string
		key         string
		lifetime    time.Duration
		payload     []byte
		wantError   error
		wantProblem string
	}{
		{name: "empty key", key: "", lifetime: time.Second, wantError: ErrKey, wantProblem: "length is 0 bytes"},
		{name: "long key", key: strings.Repeat("x", MaxKeyBytes+1), lifetime: time.Second, wantError: ErrKey, wantProblem: "length is 129 bytes"},
		{name: "long payload", key: "k", lifetime: time.Second, payload: make([]byte, MaxPayloadBytes+1),
			wantError: ErrPayload, wantProblem: "length is 65537 bytes"},
		{name: "no lifetime", key: "k", lifetime: 0, wantError: ErrLifetime, wantProblem: ": 0s, must be"},
		{name: "long lifetime", key: "k", lifetime: MaxLifetime + 1, wantError: ErrLifetime, wantProblem: ": 1000h"},
	} {
		out, err := node.Publish(0, test.key, test.lifetime, test.payload)
		if !errors.Is(err, test.wantError) || !strings.Contains(err.Error(), test.wantProblem) {
			t.Errorf("%s: got %v, want %v with %q", test.name, err, test.wantError, test.wantProblem)
		}
		if out != nil {
			t.Errorf("%s: got messages %v, want none", test.name, out)
		}
	}
	expectEqual(t, "counts", node.Counts(), Counts{})
}

func TestPublishAcceptsLongestAndCopiesPayload(t *testing.T) {
	node := New(testConfig("a", 1))
	payload := []byte("one")
	out, err := node.Publish(0, strings.Repeat("x", MaxKeyBytes), MaxLifetime, payload)
	if err != nil {
		t.Fatal(err)
	}
	copy(payload, "two")
	expectEqual(t, "payload sent", string(messageTo(t, "b", out).Events[0].Payload), "one")
	if _, err := node.Publish(0, "k", time.Second, make([]byte, MaxPayloadBytes)); err != nil {
		t.Errorf("longest payload: got %v, want no error", err)
	}
}

// TestNewerEventSupersedesOlder checks that a newer event of a key supersedes an older one of the same or an older epoch, and that an
// event of an older epoch does not supersede one of a newer epoch.
func TestNewerEventSupersedesOlder(t *testing.T) {
	node := New(testConfig("a", 1))
	for _, key := range []string{"x", "y", "x", "z"} {
		publish(t, node, 0, key)
	}
	expectEqual(t, "stored events", numbers(node.Next(0, node.Subscribe(nil), 1<<20)), []string{"a 1:(0,2]", "a 1:(2,3]", "a 1:(3,4]"})
	sent := publish(t, node, 0, "z")
	expectEqual(t, "sent", numbers(messageTo(t, "b", sent).Events), []string{"a 1:(3,5]"})

	receiveFromB := func(epoch, number uint64, key string) (accepted int) {
		event := testEvent("b", epoch, number-1, number)
		event.Key = key
		return len(receiveEvents(node, 0, "b", event))
	}
	expectEqual(t, "new keys", receiveFromB(5, 1, "x")+receiveFromB(5, 2, "y"), 2)
	expectEqual(t, "known key in a newer epoch", receiveFromB(7, 1, "x"), 1)
	expectEqual(t, "known key in an older epoch", receiveFromB(5, 3, "x"), 0)
	expectEqual(t, "new key in an older epoch", receiveFromB(5, 4, "w"), 1)
	cursor := node.Subscribe(Vector{{"a", 1, 5}})
	expectEqual(t, "stored events of b", numbers(node.Next(0, cursor, 1<<20)), []string{"b 5:(0,2]", "b 5:(2,4]", "b 7:(0,1]"})
	expectEqual(t, "counts", node.Counts(), Counts{Published: 5, Accepted: 4, Superseded: 1, Entries: 6, Bytes: node.Counts().Bytes})
}
