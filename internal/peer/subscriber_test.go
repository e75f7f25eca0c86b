package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// rawSubscriber is a subscriber whose frames a test reads and writes individually.
type rawSubscriber struct {
	net.Conn
	in    *bufio.Reader
	hello helloFrame // hello of the bus
}

// subscribe dials a bus and exchanges hellos as a subscriber.
func subscribe(t testing.TB, b *Bus, name string, incarnation uint64) *rawSubscriber {
	t.Helper()
	connection, err := net.Dial("tcp", b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	return subscribeOn(t, connection, name, incarnation)
}

// subscribeOn exchanges hellos as a subscriber on an open connection, which is closed when the test ends.
func subscribeOn(t testing.TB, connection net.Conn, name string, incarnation uint64) *rawSubscriber {
	t.Helper()
	t.Cleanup(func() { connection.Close() })
	r := &rawSubscriber{Conn: connection, in: bufio.NewReader(connection)}
	connection.SetDeadline(time.Now().Add(8 * time.Second))
	var err error
	r.hello, err = writeHelloAndRead(connection, r.in, helloFrame{version: protocolVersion, name: name, sender: incarnation})
	if err != nil {
		t.Fatal(err)
	}
	connection.SetDeadline(time.Time{})
	return r
}

// send writes a frame.
func (r *rawSubscriber) send(f frame) error {
	_, err := r.Write(f.appendTo(nil))
	return err
}

// requestFromStart sends a subscription message that requests all payloads of a listPublisher.
func (r *rawSubscriber) requestFromStart(incarnation uint64) {
	r.send(dataFrame{sender: incarnation, receiver: r.hello.sender, topic: "hello", payload: []byte("0")})
}

// ends reports whether the other side closes the connection within a timeout.
func (r *rawSubscriber) ends(timeout time.Duration) bool {
	r.SetReadDeadline(time.Now().Add(timeout))
	for {
		if _, err := readFrame(r.in, maxFrameBytes); err != nil {
			return !errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
}

// logBuffer collects log lines.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// Names that may not subscribe and earlier incarnations must be rejected and counted. At most one line a second may be logged, by the
// clock of a synctest bubble.
func TestRejectedSubscribers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log logBuffer
		network := pipeNetwork{}
		bus, publisher := network.openControlMachine(t, "a", func(o *Options) { o.Log = logTo(&log) })
		subscribe := func(name string, incarnation uint64) *rawSubscriber {
			return subscribeOn(t, network["a"].dial(), name, incarnation)
		}
		for range 200 {
			rejected := subscribe("unlisted", 5)
			if rejected.hello.receiver != 0 || !rejected.ends(time.Second) {
				t.Fatalf("unlisted name: got hello %+v, want it rejected and the connection closed", rejected.hello)
			}
			rejected.Close()
		}
		if lines := strings.Count(log.String(), "rejected a hello"); lines != 1 {
			t.Errorf("got %d log lines, want 1", lines)
		}

		time.Sleep(time.Second)
		subscribe("unlisted", 5)
		eventually(t, "the next log line has the number of skipped lines", func() bool { return strings.Contains(log.String(), "skipped=199") })

		newer := subscribe("d", 100)
		if newer.hello.receiver != 100 {
			t.Errorf("got %+v, want a hello that accepts incarnation 100", newer.hello)
		}
		if earlier := subscribe("d", 99); earlier.hello.receiver != 100 || !earlier.ends(time.Second) {
			t.Errorf("earlier incarnation: got hello %+v, want it rejected and the connection closed", earlier.hello)
		}

		counts, subscribers := bus.Status().Counts, bus.Status().Subscribers
		if counts.Unlisted != 201 || counts.OldIncarnation != 1 {
			t.Errorf("got counts %+v, want 201 unlisted and 1 old incarnation", counts)
		}
		if subscribers.Rejected != 202 || subscribers.Connected != 1 || subscribers.Accepted != 1 {
			t.Errorf("got %+v, want 202 rejected, 1 accepted and connected", subscribers)
		}
		if publisher.countReceived("unlisted") > 0 {
			t.Error("got a message of an unlisted name, want none")
		}
	})
}

// A bus without a publisher must reject subscribers.
func TestBusWithoutPublisherRejectsSubscribers(t *testing.T) {
	bus := openBus(t, "m", "127.0.0.1:0", nil, &receivedMessages{})
	defer bus.Close()
	if rejected := subscribe(t, bus, "d", 1); rejected.hello.receiver != 0 || !rejected.ends(time.Second) {
		t.Errorf("got hello %+v, want the subscriber rejected", rejected.hello)
	}
	if got := bus.Status().Counts.Unlisted; got != 1 {
		t.Errorf("unlisted names counted: got %d, want 1", got)
	}
}

// A newer connection must displace the older one of the same name, whether or not its incarnation is later. A frame from or to an
// earlier incarnation must end its connection.
func TestOneConnectionPerName(t *testing.T) {
	bus, publisher := openControlMachine(t, "a", nil)
	defer bus.Close()
	first := subscribe(t, bus, "d", 100)
	second := subscribe(t, bus, "d", 100)
	if !first.ends(time.Second) {
		t.Error("older connection: got it open after 1 s, want it closed")
	}
	later := subscribe(t, bus, "d", 101)
	if !second.ends(time.Second) {
		t.Error("connection of the earlier incarnation: got it open after 1 s, want it closed")
	}

	later.requestFromStart(101)
	eventually(t, "the subscription message is received", func() bool { return publisher.countReceived("d:hello") == 1 })
	later.send(dataFrame{sender: 100, receiver: later.hello.sender, topic: "hello", payload: []byte("7")})
	if !later.ends(time.Second) {
		t.Error("frame from an earlier incarnation: got the connection open after 1 s, want it closed")
	}
	last := subscribe(t, bus, "d", 101)
	last.send(dataFrame{sender: 101, receiver: last.hello.sender - 1, topic: "hello", payload: []byte("7")})
	if !last.ends(time.Second) {
		t.Error("frame to an earlier incarnation: got the connection open after 1 s, want it closed")
	}
	eventually(t, "no subscriber is connected", func() bool { return bus.Status().Subscribers.Connected == 0 })
	status := bus.Status()
	if got := status.Subscribers.Displaced; got != 2 {
		t.Errorf("connections displaced: got %d, want 2", got)
	}
	if got := status.Counts.OldIncarnation; got != 2 {
		t.Errorf("frames of old incarnations: got %d, want 2", got)
	}
	if got := publisher.countReceived("d:hello"); got != 1 {
		t.Errorf("messages received: got %d, want 1", got)
	}
	publisher.checkDisconnected(t, 0)
}

// The connection of a subscriber must be closed immediately when its name is removed or becomes that of a peer. The others must stay
// open.
func TestAllowSubscribers(t *testing.T) {
	bus, publisher := openControlMachine(t, "a", nil)
	defer bus.Close()
	d, e, f := subscribe(t, bus, "d", 100), subscribe(t, bus, "e", 100), subscribe(t, bus, "f", 100)
	bus.AllowSubscribers([]string{"e", "f", "g"})
	if !d.ends(time.Second) {
		t.Error("d, which may no longer subscribe: got its connection open after 1 s, want it closed")
	}
	if rejected := subscribe(t, bus, "d", 101); rejected.hello.receiver != 0 || !rejected.ends(time.Second) {
		t.Errorf("d, which may no longer subscribe: got hello %+v, want it rejected", rejected.hello)
	}
	subscribe(t, bus, "g", 100)

	bus.SetPeers(map[string]string{"f": freeAddress(t)})
	if !f.ends(time.Second) {
		t.Error("f, which is now a peer: got its connection open after 1 s, want it closed")
	}
	e.requestFromStart(100)
	publisher.publish(bus, "x")
	eventually(t, "the message of e is received", func() bool { return publisher.countReceived("e:hello") == 1 })
	eventually(t, "two subscribers are connected", func() bool { return bus.Status().Subscribers.Connected == 2 })
	if got := bus.Status().Subscribers.Removed; got != 2 {
		t.Errorf("connections removed: got %d, want 2", got)
	}
	if e := subscribe(t, bus, "e", 99); e.hello.receiver != 100 { // the known incarnations of unchanged names are kept
		t.Errorf("got %+v, want a hello that reports incarnation 100", e.hello)
	}
}

// pingWithoutReading sends pings, without reading anything, until the connection is closed.
func (r *rawSubscriber) pingWithoutReading() {
	for r.send(pingFrame{number: 1}) == nil {
		time.Sleep(100 * time.Millisecond)
	}
}

// The connection of a subscriber that reads nothing must be closed and counted, and a subscriber that floods must be read at a limited
// rate. Another subscriber must receive all messages in time.
func TestBadSubscribersDoNotDelayOthers(t *testing.T) {
	bus, publisher := openControlMachine(t, "a", nil)
	defer bus.Close()
	var messages directorMessages
	uplinks := openUplinksInOrder(t, "e", "north", &messages, controlMachine("north", "north1", "a", bus.Addr()))
	defer uplinks.Close()
	slow := subscribe(t, bus, "d", 100)
	slow.requestFromStart(100)
	go slow.pingWithoutReading()
	message := dataFrame{sender: 100, topic: "flood", payload: []byte("x")}
	go flood(subscribe(t, bus, "f", 100), bytes.Repeat(message.appendTo(nil), 100))

	lateness := measureLateness(t)
	began := time.Now()
	for i := 0; bus.Status().Subscribers.Slow == 0; i++ {
		if time.Since(began) > 8*time.Second {
			t.Fatal("subscriber that reads nothing: got it connected after 8 s, want its connection closed")
		}
		published := time.Now()
		publisher.publish(bus, strings.Repeat("x", 30<<10))
		eventually(t, "the message is received", func() bool { return messages.count() > i })
		if took := time.Since(published); took > 500*time.Millisecond+lateness(published) {
			t.Errorf("message %d: got a delay of %v, want at most 500ms", i, took)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if took, limit := time.Since(began), slowSubscriberTimeout+3*time.Second; took > limit {
		t.Errorf("time until the connection is closed: got %v, want at most %v", took, limit)
	}
	took := time.Since(began).Seconds()
	maxFrames := maxSubscriberFrameRate * (took + 2)
	if got := float64(publisher.countReceived("f:flood")); got < 100 || got > maxFrames {
		t.Errorf("got %v frames of a flood in %.2f s, want 100 to %.0f", got, took, maxFrames)
	}
	if status := uplinks.Status(); status.Choice.Lost > 0 {
		t.Errorf("got %+v, want no link lost", status.Choice)
	}
	if messages.concurrent {
		t.Error("the handler was called twice at the same time")
	}
}

// A frame that is too long, damaged or of the wrong kind must end its connection and be counted. A truncated frame must end the
// connection too, but must not be counted, because that is an error of the connection.
func TestInvalidFramesOfSubscribers(t *testing.T) {
	bus, publisher := openControlMachine(t, "a", nil)
	defer bus.Close()
	tooLong := dataFrame{sender: 100, topic: "t", payload: make([]byte, maxSubscriberFrameBytes)}
	damaged := dataFrame{sender: 100, topic: "t", payload: []byte("payload")}
	damagedBytes := damaged.appendTo(nil)
	damagedBytes[len(damagedBytes)-3] ^= 4
	response := responseFrame{payload: []byte("x")}
	secondHello := helloFrame{version: protocolVersion, name: "d", sender: 100}
	for _, test := range []struct {
		name    string
		bytes   []byte
		counted int // times that it is counted; with 0 the subscriber closes its side, as the frame alone does not end the connection
	}{
		{name: "too long", bytes: tooLong.appendTo(nil), counted: 1},
		{name: "damaged", bytes: damagedBytes, counted: 1},
		{name: "of the wrong kind", bytes: response.appendTo(nil), counted: 1},
		{name: "a second hello", bytes: secondHello.appendTo(nil), counted: 1},
		{name: "of the largest possible length", bytes: binary.BigEndian.AppendUint64(nil, 1<<63), counted: 1},
		{name: "a truncated number with a correct checksum", bytes: finishFrame(append(beginFrame(nil, kindPing), 0xcf), 0), counted: 1},
		{name: "truncated", bytes: damaged.appendTo(nil)[:12], counted: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			subscriber := subscribe(t, bus, "d", 100)
			before := bus.Status().Counts.Unreadable
			subscriber.Write(test.bytes)
			if test.counted == 0 {
				subscriber.Conn.(*net.TCPConn).CloseWrite()
			}
			if !subscriber.ends(2 * time.Second) {
				t.Error("got the connection open after 2 s, want it closed")
			}
			eventually(t, "the subscriber is disconnected", func() bool { return bus.Status().Subscribers.Connected == 0 })
			if got := bus.Status().Counts.Unreadable - before; got != test.counted {
				t.Errorf("unreadable frames counted: got %d, want %d", got, test.counted)
			}
		})
	}
	if publisher.countReceived("d") > 0 {
		t.Error("got an invalid frame as a message, want none")
	}
	publisher.checkDisconnected(t, 0)
}

// An idle subscriber must be sent a ping 300 ms after the last frame, and its own ping must be answered immediately. After 4 s without
// a frame from it its connection must be closed. The clock of a synctest bubble does not advance while a goroutine runs, so all times
// are exact.
func TestSubscriberPingsAndSilenceTimeout(t *testing.T) {
	const interval, silence = 300 * time.Millisecond, 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		listener := newPipeListener()
		bus, _ := openControlMachine(t, "a", func(o *Options) { o.OpenListener = listener.listen })
		defer bus.Close()
		subscriber := subscribeOn(t, listener.dial(), "d", 100)
		began := time.Now()
		subscriber.send(pingFrame{number: 77})
		subscriber.SetReadDeadline(began.Add(2 * silence))
		if f, err := readFrame(subscriber.in, maxFrameBytes); f != (pongFrame{number: 77}) || time.Since(began) != 0 {
			t.Fatalf("got %+v, %v after %v, want the pong immediately", f, err, time.Since(began))
		}

		pings := uint64(0)
		for last := began; pings < 100; last = time.Now() {
			f, err := readFrame(subscriber.in, maxFrameBytes)
			if err != nil {
				break
			}
			pings++
			if f != (pingFrame{number: pings}) {
				t.Errorf("got %+v, want ping %d", f, pings)
			}
			if gap := time.Since(last); gap != interval {
				t.Errorf("ping %d: got %v since the last frame, want %v", pings, gap, interval)
			}
		}
		if took := time.Since(began); took != silence {
			t.Errorf("time until the connection is closed: got %v, want %v", took, silence)
		}
		if want := uint64(silence / interval); pings != want {
			t.Errorf("got %d pings, want %d", pings, want)
		}
		eventually(t, "the silent subscriber is counted", func() bool { return bus.Status().Subscribers.Silent == 1 })
	})
}

// A subscriber must get messages at its rate, after a burst of one second, and pings must keep its link up in the meantime. All times
// are by the clock of a synctest bubble, so the number of bytes written depends only on the rate.
func TestSubscriberRate(t *testing.T) {
	const rate, size = 20000, 1000
	synctest.Test(t, func(t *testing.T) {
		network := pipeNetwork{}
		bus, publisher := network.openControlMachine(t, "a", func(o *Options) { o.SubscriberRate = rate })
		var messages directorMessages
		uplinks := openUplinksInOrderWithDial(t, network.dial, "d", "north", &messages, controlMachine("north", "north1", "a", "a"))
		t.Cleanup(uplinks.Close)

		began := time.Now()
		for range 200 {
			publisher.publish(bus, strings.Repeat("x", size))
		}
		eventually(t, "the burst is received", func() bool { return messages.count() >= rate/(size+maxFrameOverhead) })
		if took := time.Since(began); took > 10*time.Millisecond {
			t.Errorf("duration of the burst: got %v, want at most 10ms", took)
		}

		time.Sleep(time.Until(began.Add(2 * time.Second)))
		got, took := uplinks.Status().ReceivedBytes, time.Since(began).Seconds()
		if maxBytes := rate + rate*took + 2*size; float64(got) > maxBytes || float64(got) < maxBytes*0.95 {
			t.Errorf("got %d bytes in %.2f s, want %.0f to %.0f", got, took, maxBytes*0.95, maxBytes)
		}
		if s := bus.Status().Subscribers; s.Bytes < got-1000 || s.Frames < got/(size+maxFrameOverhead) {
			t.Errorf("got status %+v, want about the %d bytes that the director received and a frame for each message", s, got)
		}
		if status := uplinks.Status(); status.Choice.Lost > 0 {
			t.Errorf("got %+v, want no link lost", status.Choice)
		}
	})
}

// Parameters of the tests of Options.AcceptRate.
const (
	testAcceptRate        = 40                  // connections a second
	testAcceptBurst       = testAcceptRate / 4. // a quarter of a second at the rate
	testAcceptConnections = 60
)

// acceptRateOptions sets the accept rate, and allows the names of all test connections to subscribe.
func acceptRateOptions(o *Options) {
	o.AcceptRate = testAcceptRate
	for i := range testAcceptConnections {
		o.Subscribers = append(o.Subscribers, fmt.Sprint("s", i))
	}
}

// dialAllAtOnce dials concurrently and writes a hello for each name of acceptRateOptions. It returns when all hellos are written.
func dialAllAtOnce(t *testing.T, dial func() (net.Conn, error)) {
	t.Helper()
	var all sync.WaitGroup
	for i := range testAcceptConnections {
		all.Go(func() {
			connection, err := dial()
			if err != nil {
				t.Error(err)
				return
			}
			t.Cleanup(func() { connection.Close() })
			hello := helloFrame{version: protocolVersion, name: fmt.Sprint("s", i), sender: 1}
			connection.Write(hello.appendTo(nil))
		})
	}
	all.Wait()
}

// awaitAllAccepted waits until a bus has accepted all connections of dialAllAtOnce, and returns the seconds since the start. It fails
// the test if at any time more connections were accepted than the rate allows.
func awaitAllAccepted(t *testing.T, bus *Bus, began time.Time) (seconds float64) {
	t.Helper()
	for {
		accepted := bus.Status().Subscribers.Accepted // read before the clock, so that a delay between the two cannot fail the test
		seconds = time.Since(began).Seconds()
		limit := testAcceptBurst + testAcceptRate*seconds + 2
		switch {
		case float64(accepted) > limit:
			t.Fatalf("got %d connections accepted in %.2f s, want at most %.0f", accepted, seconds, limit)
		case accepted == testAcceptConnections:
			return seconds
		case seconds > 8:
			t.Fatalf("got %d connections accepted in 8 s, want %d", accepted, testAcceptConnections)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// testAcceptSeconds is the time after which all connections of dialAllAtOnce are accepted at testAcceptRate.
const testAcceptSeconds = (testAcceptConnections - testAcceptBurst) / testAcceptRate

// Connections that are dialled at the same moment must be accepted at the accept rate, neither faster nor slower, until all are
// accepted. All times are by the clock of a synctest bubble.
func TestAcceptRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipeNetwork{}
		bus, _ := network.openControlMachine(t, "a", acceptRateOptions)
		began := time.Now()
		go dialAllAtOnce(t, func() (net.Conn, error) { return network["a"].dial(), nil })
		if took := awaitAllAccepted(t, bus, began); took < testAcceptSeconds-0.1 || took > testAcceptSeconds+0.1 {
			t.Errorf("time to accept all: got %.2f s, want %.2f ± 0.1 s", took, testAcceptSeconds)
		}
	})
}

// TCP connections that are dialled at the same moment must be accepted no faster than at the accept rate, until all are accepted.
// TestAcceptRate checks that they are accepted no slower either.
func TestAcceptRateOverTCP(t *testing.T) {
	bus, _ := openControlMachine(t, "a", acceptRateOptions)
	defer bus.Close()
	began := time.Now()
	dialAllAtOnce(t, func() (net.Conn, error) { return net.Dial("tcp", bus.Addr()) })
	if took := awaitAllAccepted(t, bus, began); took < testAcceptSeconds-0.1 {
		t.Errorf("time to accept all: got %.2f s, want at least %.2f s", took, testAcceptSeconds-0.1)
	}
}

// blockingPublisher is a listPublisher whose Next blocks until release is closed.
type blockingPublisher struct {
	listPublisher
	release chan struct{}
	entered chan struct{} // receives an element for each call of Next
}

// Next implements Publisher.
func (p *blockingPublisher) Next(s *Subscriber) (string, []byte) {
	p.entered <- struct{}{}
	<-p.release
	return p.listPublisher.Next(s)
}

// Disconnected must not be called before the last call for a subscriber has returned, however long that call takes.
func TestDisconnectedIsLastCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		publisher := &blockingPublisher{release: make(chan struct{}), entered: make(chan struct{}, 100)}
		disconnected := func() int {
			publisher.mu.Lock()
			defer publisher.mu.Unlock()
			return len(publisher.disconnected)
		}
		network := pipeNetwork{}
		network.openControlMachine(t, "a", func(o *Options) { o.Publisher = publisher })
		subscriber := subscribeOn(t, network["a"].dial(), "d", 1)

		<-publisher.entered
		subscriber.Close()
		time.Sleep(time.Hour)
		if disconnected() > 0 {
			t.Error("got a call of Disconnected while Next ran, want none")
		}
		close(publisher.release)
		eventually(t, "Disconnected is called", func() bool { return disconnected() == 1 })
		publisher.checkDisconnected(t, 0)
	})
}

// WakeSubscribers must not block while the writers of all subscribers are blocked.
func TestWakeSubscribersDoesNotBlock(t *testing.T) {
	names := make([]string, 130)
	for i := range names {
		names[i] = fmt.Sprint("s", i)
	}
	bus, publisher := openControlMachine(t, "a", func(o *Options) { o.Subscribers = names })
	defer bus.Close()
	for _, name := range names {
		subscribe(t, bus, name, 1).requestFromStart(1)
	}
	eventually(t, "all have subscribed", func() bool { return publisher.countReceived("s") == len(names) })
	publisher.publish(bus, strings.Repeat("x", 512<<10)) // exceeds the kernel's buffers, so that every writer blocks
	began := time.Now()
	for range 10000 {
		bus.WakeSubscribers()
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("waking 130 subscribers 10,000 times: got %v, want at most 1s", took)
	}
	eventually(t, "all are closed as slow", func() bool { return bus.Status().Subscribers.Slow == len(names) })
	publisher.checkDisconnected(t, 0)
}

// A token bucket must start full, hold no more tokens than its burst, and allow one withdrawal to overdraw it. Without a rate it must
// not limit anything.
func TestTokenBucket(t *testing.T) {
	start := time.Unix(1, 0)
	bucket := tokenBucket{rate: 100, burst: 50}
	if wait := bucket.take(start, 80); wait != 0 {
		t.Errorf("first withdrawal: got a wait of %v, want 0", wait)
	}
	for _, test := range []struct{ after, want time.Duration }{
		{after: 0, want: 300 * time.Millisecond},
		{after: 200 * time.Millisecond, want: 100 * time.Millisecond},
		{after: time.Hour, want: 0},
	} {
		if wait := bucket.waitTime(start.Add(test.after)); wait != test.want {
			t.Errorf("after %v: got a wait of %v, want %v", test.after, wait, test.want)
		}
	}
	if bucket.tokens != 50 {
		t.Errorf("after an hour: got %v tokens, want 50", bucket.tokens)
	}

	unbounded := tokenBucket{}
	for range 100 {
		if wait := unbounded.take(start, 1e9); wait != 0 {
			t.Fatalf("without a rate: got a wait of %v, want 0", wait)
		}
	}
}

// Bytes must be counted including frame headers, and those written to subscribers separately from the pongs written to peers. A
// message whose payload is too long must be dropped and counted.
func TestWrittenBytesAreCounted(t *testing.T) {
	addrOfB := freeAddress(t)
	bus, publisher := openControlMachine(t, "a", func(o *Options) { o.Peers = map[string]string{"b": addrOfB} })
	defer bus.Close()
	peerBus := openBus(t, "b", addrOfB, map[string]string{"a": bus.Addr()}, &receivedMessages{})
	defer peerBus.Close()
	subscriber := subscribe(t, bus, "d", 100)
	subscriber.requestFromStart(100)
	publisher.publish(bus, "first", strings.Repeat("x", MaxPayloadBytes+1), "last")
	var got, frames int64
	for last := false; !last; {
		subscriber.SetReadDeadline(time.Now().Add(2 * time.Second))
		f, err := readFrame(subscriber.in, maxFrameBytes)
		if err != nil {
			t.Fatal(err)
		}
		got += int64(len(f.appendTo(nil)))
		frames++
		data, _ := f.(dataFrame)
		last = string(data.payload) == "last"
	}

	eventually(t, "the bytes and frames are counted", func() bool {
		s := bus.Status().Subscribers
		return s.Bytes >= got && s.Frames >= frames
	})
	if s := bus.Status().Subscribers; s.Bytes > got+40 || s.Frames > frames+2 || s.Oversize != 1 {
		t.Errorf("got status %+v, want 1 oversize, about %d bytes and about %d frames", s, got, frames)
	}
	eventually(t, "pongs are counted at both ends", func() bool { return bus.Status().PongBytes >= 40 && peerBus.Status().PongBytes >= 40 })
	if got := bus.Status().PongBytes; got > 400 {
		t.Errorf("bytes of pongs: got %d, want at most 400", got)
	}
}
