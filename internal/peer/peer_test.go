package peer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/testing/wakeups"
)

// receivedMessages collects the messages that a handler of Options.Handlers receives.
type receivedMessages struct {
	mu       sync.Mutex
	messages []string // each as name:payload
}

// receive is a handler for Options.Handlers.
func (r *receivedMessages) receive(from Sender, payload []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.messages = append(r.messages, fmt.Sprintf("%s:%s", from.Name, payload))
}

// has reports whether a message was received, given as name:payload.
func (r *receivedMessages) has(message string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.messages, message)
}

// count returns the number of messages received.
func (r *receivedMessages) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.messages)
}

// mustOpen opens a bus. It fails the test if the bus cannot be opened.
func mustOpen(t testing.TB, options Options) *Bus {
	t.Helper()
	bus, err := Open(options)
	if err != nil {
		t.Fatal(err)
	}
	return bus
}

// openBus opens a bus that collects messages of topic "t", and answers requests of topic "who" with its name.
func openBus(t *testing.T, name, listen string, peers map[string]string, received *receivedMessages) *Bus {
	t.Helper()
	return openBusWithClock(t, name, listen, peers, received, nil)
}

// eventually waits until a condition holds. It fails the test after 8 s.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(8 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within 8 s: %s", condition)
		}
	}
}

// measureLateness measures, until the test ends, the delay with which the machine schedules this process. The returned function
// returns the time that a test over sockets adds to its limits for delays since a given time: a message passes several goroutines,
// each of which may be scheduled that late. On an idle machine the result is close to 0.
func measureLateness(t *testing.T) (since func(time.Time) time.Duration) {
	t.Helper()
	const goroutinesInRow = 4 // a writer and a reader at each end
	var meter wakeups.Meter
	var running sync.WaitGroup
	stop := make(chan struct{})
	running.Go(func() { meter.Run(stop) })
	t.Cleanup(func() {
		close(stop)
		running.Wait()
	})
	return func(from time.Time) time.Duration { return goroutinesInRow * meter.Between(from, time.Now()) }
}

// freeAddress returns a free loopback address.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// Messages must pass both ways, and stay in the queue while the receiver is down. A message that was queued for an earlier incarnation
// must not reach the next one.
func TestQueuedMessagesAcrossIncarnations(t *testing.T) {
	var receivedAtA, receivedAtB, receivedAtLaterB receivedMessages
	addrOfB := freeAddress(t)
	a := openBus(t, "a", "127.0.0.1:0", map[string]string{"b": addrOfB}, &receivedAtA)
	defer a.Close()

	a.Send("b", "t", []byte("early"))
	b := openBus(t, "b", addrOfB, map[string]string{"a": a.Addr()}, &receivedAtB)
	b.Send("a", "t", []byte("back"))
	eventually(t, "messages are received both ways", func() bool { return receivedAtB.has("a:early") && receivedAtA.has("b:back") })

	b.Close()
	eventually(t, "a detects that b is closed", func() bool { return a.Status().Links[0].State != "up" })
	a.Send("b", "t", []byte("for the earlier"))
	time.Sleep(2 * time.Millisecond) // so that the next incarnation is higher
	b = openBus(t, "b", addrOfB, map[string]string{"a": a.Addr()}, &receivedAtLaterB)
	defer b.Close()
	eventually(t, "the link is up again", func() bool { return a.Status().Links[0].State == "up" })
	a.Send("b", "t", []byte("for the later"))
	eventually(t, "the message for the later incarnation is received", func() bool { return receivedAtLaterB.has("a:for the later") })
	if receivedAtLaterB.has("a:for the earlier") {
		t.Error("got a message for an earlier incarnation, want none")
	}
}

// Send must reject a message to a peer that is not listed, and one whose payload is too long.
func TestSendRejectsInvalidMessages(t *testing.T) {
	a := openBus(t, "a", "127.0.0.1:0", map[string]string{"b": freeAddress(t)}, &receivedMessages{})
	defer a.Close()
	if a.Send("c", "t", nil) {
		t.Error("message to a peer that is not listed: got true, want false")
	}
	if a.Send("b", "t", make([]byte, MaxPayloadBytes+1)) {
		t.Error("message with a payload that is too long: got true, want false")
	}
}

// A bus must answer requests by topic, and respond with an error to an unknown topic.
func TestBusRespondsToQueries(t *testing.T) {
	bus := openBus(t, "b", "127.0.0.1:0", nil, &receivedMessages{})
	defer bus.Close()
	if got, err := Query(bus.Addr(), "who", nil, time.Second); err != nil || string(got) != "b" {
		t.Errorf("got %q, %v, want %q", got, err, "b")
	}
	if _, err := Query(bus.Addr(), "what", nil, time.Second); err == nil || !strings.Contains(err.Error(), "nothing is known") {
		t.Errorf("unknown topic: got error %v, want one with \"nothing is known\"", err)
	}
}

// writeTo dials a bus and writes bytes. The connection is closed when the test ends.
func writeTo(t *testing.T, b *Bus, bytes []byte) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { connection.Close() })
	connection.Write(bytes)
	return connection
}

// flood writes the same bytes repeatedly until the connection is closed.
func flood(connection net.Conn, b []byte) {
	for {
		if _, err := connection.Write(b); err != nil {
			return
		}
	}
}

// Unlisted names, earlier incarnations, floods, invalid frames and connections without a hello must be counted, and must not delay the
// messages of a listed peer.
func TestBadPeersDoNotDelayOthers(t *testing.T) {
	var receivedAtA, receivedAtB receivedMessages
	a := openBus(t, "a", "127.0.0.1:0", nil, &receivedAtA)
	defer a.Close()
	addrOfB := freeAddress(t)
	a.SetPeers(map[string]string{"b": addrOfB, "c": freeAddress(t)})
	b := openBus(t, "b", addrOfB, map[string]string{"a": a.Addr()}, &receivedAtB)
	defer b.Close()
	helloOfC := func(incarnation uint64) []byte {
		return helloFrame{version: protocolVersion, name: "c", sender: incarnation}.appendTo(nil)
	}

	writeTo(t, a, helloFrame{version: protocolVersion, name: "unlisted", sender: 1}.appendTo(nil))
	writeTo(t, a, helloFrame{version: protocolVersion + 1, name: "c", sender: 1}.appendTo(nil))
	writeTo(t, a, helloOfC(100))
	eventually(t, "incarnation 100 of c is known", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.knownIncarnations["c"] == 100
	})
	writeTo(t, a, helloOfC(99))
	for range 2 * maxUnidentified {
		writeTo(t, a, nil) // no hello
	}
	writeTo(t, a, binary.BigEndian.AppendUint64(nil, 1<<63)) // the largest possible length
	damaged := helloOfC(7 << 40)
	damaged[len(damaged)-2] ^= 4 // a byte of the incarnation; if the frame were accepted, later hellos of c would be rejected
	writeTo(t, a, damaged)
	message := dataFrame{sender: 101, topic: "t", payload: bytes.Repeat([]byte("x"), 1000)}
	go flood(writeTo(t, a, helloOfC(101)), message.appendTo(nil))

	lateness := measureLateness(t)
	for i := range 20 {
		b.Send("a", "t", []byte(fmt.Sprint("m", i)))
		began := time.Now()
		eventually(t, "the message is received", func() bool { return receivedAtA.has(fmt.Sprint("b:m", i)) })
		if took := time.Since(began); i > 0 && took > time.Second+lateness(began) {
			t.Errorf("message %d: got a delay of %v, want at most 1s", i, took)
		}
	}
	counts := a.Status().Counts
	if counts.Unlisted == 0 || counts.OldIncarnation == 0 || counts.Unreadable < 3 || counts.Displaced == 0 {
		t.Errorf("got counts %+v, want unlisted, old incarnation, displaced and at least 3 unreadable", counts)
	}
	if got := receivedAtA.count(); got > 4*maxFrameRate {
		t.Errorf("got %d messages of a flood, want at most %d", got, 4*maxFrameRate)
	}
}

// A message of a peer from or to another incarnation must be counted, must not be passed to the handler, and must end its connection.
func TestMessagesOfOtherIncarnationsAreRejected(t *testing.T) {
	const incarnation = 100 // incarnation in the hello of the peer
	for _, test := range []struct {
		name     string
		sender   uint64
		receiver func(own uint64) uint64 // returns the receiver in the message, given the incarnation of the bus
		accepted bool
	}{
		{name: "present incarnations", sender: incarnation, receiver: func(own uint64) uint64 { return own }, accepted: true},
		{name: "to any incarnation", sender: incarnation, receiver: func(uint64) uint64 { return 0 }, accepted: true},
		{name: "from an earlier incarnation", sender: incarnation - 1, receiver: func(own uint64) uint64 { return own }},
		{name: "from a later incarnation", sender: incarnation + 1, receiver: func(own uint64) uint64 { return own }},
		{name: "to an earlier incarnation", sender: incarnation, receiver: func(own uint64) uint64 { return own - 1 }},
	} {
		t.Run(test.name, func(t *testing.T) {
			var received receivedMessages
			bus := openBus(t, "a", "127.0.0.1:0", map[string]string{"c": freeAddress(t)}, &received)
			defer bus.Close()
			peer := subscribe(t, bus, "c", incarnation)
			data := dataFrame{sender: test.sender, receiver: test.receiver(bus.Incarnation()), topic: "t", payload: []byte("m")}

			peer.send(data)
			if test.accepted {
				eventually(t, "the message is received", func() bool { return received.has("c:m") })
			} else if !peer.ends(time.Second) {
				t.Error("connection: got it open after 1 s, want it closed")
			}

			if !test.accepted && received.count() > 0 {
				t.Error("got a message passed to the handler, want none")
			}
			if got := bus.Status().Counts.OldIncarnation > 0; got == test.accepted {
				t.Errorf("counted as an old incarnation: got %v, want %v", got, !test.accepted)
			}
		})
	}
}

// A queue must keep the newest messages, up to its limits of messages and bytes.
func TestQueueIsBounded(t *testing.T) {
	queue := &link{wake: make(chan struct{}, 1), done: make(chan struct{})}
	for i := range 2 * maxQueuedMessages {
		queue.enqueue(message{"t", []byte(fmt.Sprint(i))})
	}
	oldest, _ := queue.dequeue()
	if got, want := string(oldest.payload), fmt.Sprint(maxQueuedMessages); got != want {
		t.Errorf("oldest message: got %s, want %s", got, want)
	}
	if got, want := len(queue.queue), maxQueuedMessages-1; got != want {
		t.Errorf("messages left: got %d, want %d", got, want)
	}

	for range 10 {
		queue.enqueue(message{"t", make([]byte, MaxPayloadBytes)})
	}
	if queue.queuedBytes > maxQueuedBytes {
		t.Errorf("got %d bytes, want at most %d", queue.queuedBytes, maxQueuedBytes)
	}
	if queue.dropped == 0 {
		t.Error("got no message counted as dropped, want some")
	}
}

// An instance whose clock went back before a restart must not be rejected permanently: the hello of a peer reports the higher
// incarnation, and the instance raises its own above that.
func TestIncarnationRaisedAfterClockStepBack(t *testing.T) {
	var receivedAtA, receivedAtB receivedMessages
	addrOfB := freeAddress(t)
	a := openBus(t, "a", "127.0.0.1:0", map[string]string{"b": addrOfB}, &receivedAtA)
	defer a.Close()
	a.mu.Lock()
	a.knownIncarnations["b"] = 1 << 62
	a.mu.Unlock()
	b := openBus(t, "b", addrOfB, map[string]string{"a": a.Addr()}, &receivedAtB)
	defer b.Close()
	b.Send("a", "t", []byte("here"))
	eventually(t, "the message is received", func() bool { return receivedAtA.has("b:here") })
	if got, want := b.Incarnation(), uint64(1<<62+1); got != want {
		t.Errorf("got incarnation %x, want %x", got, want)
	}
	if got := b.Status().Counts.DuplicateInstance; got != 1 {
		t.Errorf("higher incarnations counted: got %d, want 1", got)
	}
}

// A frame that was parsed must be the same after it is encoded and parsed again.
func FuzzFrames(f *testing.F) {
	for _, seed := range []frame{
		helloFrame{version: 1, name: "a", sender: 1 << 60},
		dataFrame{sender: 1, receiver: 2, topic: "t", payload: []byte("p")},
		pingFrame{number: 7},
		requestFrame{version: 1, topic: "who"},
		responseFrame{ok: true, payload: []byte("x")},
	} {
		f.Add(seed.appendTo(nil)[frameHeaderBytes:])
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		first, err := parseFrame(raw)
		if err != nil {
			return
		}
		again, err := parseFrame(first.appendTo(nil)[frameHeaderBytes:])
		if err != nil || !reflect.DeepEqual(again, first) {
			t.Errorf("got %+v, %v, want %+v", again, err, first)
		}
	})
}
