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

// rawSubscriber is a subscriber whose frames a test reads and writes one by one.
type rawSubscriber struct {
	net.Conn
	in    *bufio.Reader
	hello helloFrame // of the bus
}

// subscribe dials a bus and exchanges hellos as a subscriber.
func subscribe(t testing.TB, b *Bus, name string, incarnation uint64) *rawSubscriber {
	t.Helper()
	connection, err := net.Dial("tcp", b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	return subscribeOver(t, connection, name, incarnation)
}

// subscribeOver exchanges hellos as a subscriber over an open connection. It is closed with the test.
func subscribeOver(t testing.TB, connection net.Conn, name string, incarnation uint64) *rawSubscriber {
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

// requestFromStart sends a subscription message for all payloads of a listPublisher.
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

// Names that may not subscribe and earlier incarnations are rejected and counted. One line a second is logged, by the clock of a
// synctest bubble.
func TestRejectedSubscribers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var log logBuffer
		network := pipeNetwork{}
		bus, publisher := network.openControlMachine(t, "a", func(o *Options) { o.Log = logTo(&log) })
		subscribe := func(name string, incarnation uint64) *rawSubscriber {
			return subscribeOver(t, network["a"].dial(), name, incarnation)
		}
		for range 200 {
			rejected := subscribe("unlisted", 5)
			if rejected.hello.receiver != 0 || !rejected.ends(time.Second) {
				t.Fatalf("an unlisted name was accepted: %+v", rejected.hello)
			}
			rejected.Close()
		}
		if lines := strings.Count(log.String(), "is refused"); lines != 1 {
			t.Errorf("got %d log lines, want 1", lines)
		}

		time.Sleep(time.Second)
		subscribe("unlisted", 5)
		eventually(t, "the next line has the number of those skipped", func() bool { return strings.Contains(log.String(), "skipped=199") })

		newer := subscribe("d", 100)
		if newer.hello.receiver != 100 {
			t.Errorf("got %+v, want a hello that accepts incarnation 100", newer.hello)
		}
		if earlier := subscribe("d", 99); earlier.hello.receiver != 100 || !earlier.ends(time.Second) {
			t.Errorf("an earlier incarnation was accepted: %+v", earlier.hello)
		}

		counts, subscribers := bus.Status().Counts, bus.Status().Subscribers
		if counts.Unlisted != 201 || counts.OldIncarnation != 1 {
			t.Errorf("got %+v, want 201 unlisted and 1 old incarnation", counts)
		}
		if subscribers.Rejected != 202 || subscribers.Connected != 1 || subscribers.Accepted != 1 {
			t.Errorf("got %+v, want 202 rejected, 1 accepted and connected", subscribers)
		}
		if publisher.countReceived("unlisted") > 0 {
			t.Error("a message of an unlisted name was received")
		}
	})
}

// A bus without a publisher accepts no subscriber.
func TestNoPublisherNoSubscribers(t *testing.T) {
	bus := openBus(t, "m", "127.0.0.1:0", nil, &receivedMessages{})
	defer bus.Close()
	if rejected := subscribe(t, bus, "d", 1); rejected.hello.receiver != 0 || !rejected.ends(time.Second) {
		t.Errorf("a subscriber was accepted: %+v", rejected.hello)
	}
	if got := bus.Status().Counts.Unlisted; got != 1 {
		t.Errorf("got %d unlisted names counted, want 1", got)
	}
}

// A newer connection displaces the older one of the same name, whether or not its incarnation is later. A frame from or to an
// earlier incarnation ends its connection.
func TestOneConnectionPerName(t *testing.T) {
	bus, publisher := openControlMachine(t, "a", nil)
	defer bus.Close()
	first := subscribe(t, bus, "d", 100)
	second := subscribe(t, bus, "d", 100)
	if !first.ends(time.Second) {
		t.Error("the older connection was not closed")
	}
	later := subscribe(t, bus, "d", 101)
	if !second.ends(time.Second) {
		t.Error("the connection of the earlier incarnation was not closed")
	}

	later.requestFromStart(101)
	eventually(t, "received", func() bool { return publisher.countReceived("d:hello") == 1 })
	later.send(dataFrame{sender: 100, receiver: later.hello.sender, topic: "hello", payload: []byte("7")})
	if !later.ends(time.Second) {
		t.Error("a frame of an earlier incarnation was accepted")
	}
	last := subscribe(t, bus, "d", 101)
	last.send(dataFrame{sender: 101, receiver: last.hello.sender - 1, topic: "hello", payload: []byte("7")})
	if !last.ends(time.Second) {
		t.Error("a frame to an earlier incarnation was accepted")
	}
	eventually(t, "none left", func() bool { return bus.Status().Subscribers.Connected == 0 })
	status := bus.Status()
	if got := status.Subscribers.Displaced; got != 2 {
		t.Errorf("got %d connections displaced, want 2", got)
	}
	if got := status.Counts.OldIncarnation; got != 2 {
		t.Errorf("got %d frames of old incarnations, want 2", got)
	}
	if got := publisher.countReceived("d:hello"); got != 1 {
		t.Errorf("got %d messages, want 1", got)
	}
	publisher.checkDisconnected(t, 0)
}

// A subscriber is closed at once when its name is removed or becomes that of a peer. The others stay.
func TestAllowSubscribers(t *testing.T) {
	bus, publisher := openControlMachine(t, "a", nil)
	defer bus.Close()
	d, e, f := subscribe(t, bus, "d", 100), subscribe(t, bus, "e", 100), subscribe(t, bus, "f", 100)
	bus.AllowSubscribers([]string{"e", "f", "g"})
	if !d.ends(time.Second) {
		t.Error("d may not subscribe any more, but was not closed")
	}
	if rejected := subscribe(t, bus, "d", 101); rejected.hello.receiver != 0 || !rejected.ends(time.Second) {
		t.Errorf("d was accepted: %+v", rejected.hello)
	}
	subscribe(t, bus, "g", 100)

	bus.SetPeers(map[string]string{"f": freeAddress(t)})
	if !f.ends(time.Second) {
		t.Error("f is a peer, but was not closed")
	}
	e.requestFromStart(100)
	publisher.publish(bus, "x")
	eventually(t, "a message of e", func() bool { return publisher.countReceived("e:hello") == 1 })
	eventually(t, "two are left", func() bool { return bus.Status().Subscribers.Connected == 2 })
	if got := bus.Status().Subscribers.Removed; got != 2 {
		t.Errorf("got %d connections removed, want 2", got)
	}
	if e := subscribe(t, bus, "e", 99); e.hello.receiver != 100 { // the known incarnations of names that stay are kept
		t.Errorf("got %+v, want a hello that knows incarnation 100", e.hello)
	}
}

// pingWithoutReading sends pings and reads nothing, until the connection is closed.
func (r *rawSubscriber) pingWithoutReading() {
	for r.send(pingFrame{number: 1}) == nil {
		time.Sleep(100 * time.Millisecond)
	}
}

// A subscriber that reads nothing is closed and counted, and one that floods is read slowly. Another one receives all messages in
// time.
func TestBadSubscribersDelayNoOther(t *testing.T) {
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
			t.Fatal("a subscriber that reads nothing is not closed")
		}
		published := time.Now()
		publisher.publish(bus, strings.Repeat("x", 30<<10))
		eventually(t, "received", func() bool { return messages.count() > i })
		if took := time.Since(published); took > 500*time.Millisecond+lateness(published) {
			t.Errorf("message %d took %v, want at most 500ms", i, took)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if took, most := time.Since(began), slowSubscriberTimeout+3*time.Second; took > most {
		t.Errorf("closed after %v, want at most %v", took, most)
	}
	took := time.Since(began).Seconds()
	most := maxSubscriberFrameRate * (took + 2)
	if got := float64(publisher.countReceived("f:flood")); got < 100 || got > most {
		t.Errorf("got %v frames of a flood in %.2f s, want 100 to %.0f", got, took, most)
	}
	if status := uplinks.Status(); status.Choice.Lost > 0 {
		t.Errorf("got %+v, want no link lost", status.Choice)
	}
	if messages.concurrent {
		t.Error("the handler was called twice at the same time")
	}
}

// A frame that is too long, damaged or of the wrong kind ends its connection and is counted. One that is cut ends it as well, but
// is not counted: that is an error of the connection.
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
		counted int // times that it is counted; 0: the subscriber closes its side, as the frame alone does not end the connection
	}{
		{name: "too long", bytes: tooLong.appendTo(nil), counted: 1},
		{name: "damaged", bytes: damagedBytes, counted: 1},
		{name: "of the wrong kind", bytes: response.appendTo(nil), counted: 1},
		{name: "a second hello", bytes: secondHello.appendTo(nil), counted: 1},
		{name: "of the greatest length", bytes: binary.BigEndian.AppendUint64(nil, 1<<63), counted: 1},
		{name: "a number cut short under a right checksum", bytes: finishFrame(append(beginFrame(nil, kindPing), 0xcf), 0), counted: 1},
		{name: "cut", bytes: damaged.appendTo(nil)[:12], counted: 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			subscriber := subscribe(t, bus, "d", 100)
			before := bus.Status().Counts.Unreadable
			subscriber.Write(test.bytes)
			if test.counted == 0 {
				subscriber.Conn.(*net.TCPConn).CloseWrite()
			}
			if !subscriber.ends(2 * time.Second) {
				t.Error("the frame was accepted")
			}
			eventually(t, "disconnected", func() bool { return bus.Status().Subscribers.Connected == 0 })
			if got := bus.Status().Counts.Unreadable - before; got != test.counted {
				t.Errorf("counted %d times, want %d", got, test.counted)
			}
		})
	}
	if publisher.countReceived("d") > 0 {
		t.Error("an invalid frame was received as a message")
	}
	publisher.checkDisconnected(t, 0)
}

// An idle subscriber is sent a ping 300 ms after the last frame, and its own ping is answered at once. When it has sent nothing for
// 4 s it is closed. The clock of a synctest bubble stands still while a goroutine runs, so all times are exact.
func TestHeartbeatAndSilence(t *testing.T) {
	const interval, silence = 300 * time.Millisecond, 4 * time.Second
	synctest.Test(t, func(t *testing.T) {
		listener := newPipeListener()
		bus, _ := openControlMachine(t, "a", func(o *Options) { o.OpenListener = listener.listen })
		defer bus.Close()
		subscriber := subscribeOver(t, listener.dial(), "d", 100)
		began := time.Now()
		subscriber.send(pingFrame{number: 77})
		subscriber.SetReadDeadline(began.Add(2 * silence))
		if f, err := readFrame(subscriber.in, maxFrameBytes); f != (pongFrame{number: 77}) || time.Since(began) != 0 {
			t.Fatalf("got %+v, %v after %v, want the pong at once", f, err, time.Since(began))
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
				t.Errorf("ping %d came %v after the last frame, want %v", pings, gap, interval)
			}
		}
		if took := time.Since(began); took != silence {
			t.Errorf("closed after %v, want %v", took, silence)
		}
		if want := uint64(silence / interval); pings != want {
			t.Errorf("got %d pings, want %d", pings, want)
		}
		eventually(t, "counted", func() bool { return bus.Status().Subscribers.Silent == 1 })
	})
}

// A subscriber gets messages at its rate, after a burst of one second; pings keep its link up meanwhile. All times are by the clock
// of a synctest bubble, so the bytes written depend on the rate alone.
func TestSubscriberRate(t *testing.T) {
	const rate, size = 20000, 1000
	synctest.Test(t, func(t *testing.T) {
		network := pipeNetwork{}
		bus, publisher := network.openControlMachine(t, "a", func(o *Options) { o.SubscriberRate = rate })
		var messages directorMessages
		uplinks := openUplinksInOrderOver(t, network.dial, "d", "north", &messages, controlMachine("north", "north1", "a", "a"))
		t.Cleanup(uplinks.Close)

		began := time.Now()
		for range 200 {
			publisher.publish(bus, strings.Repeat("x", size))
		}
		eventually(t, "the burst", func() bool { return messages.count() >= rate/(size+maxFrameOverhead) })
		if took := time.Since(began); took > 10*time.Millisecond {
			t.Errorf("the burst took %v, want at most 10ms", took)
		}

		time.Sleep(time.Until(began.Add(2 * time.Second)))
		got, took := uplinks.Status().ReceivedBytes, time.Since(began).Seconds()
		if most := rate + rate*took + 2*size; float64(got) > most || float64(got) < most*0.95 {
			t.Errorf("got %d bytes in %.2f s, want %.0f to %.0f", got, took, most*0.95, most)
		}
		if s := bus.Status().Subscribers; s.Bytes < got-1000 || s.Frames < got/(size+maxFrameOverhead) {
			t.Errorf("counted %+v, but %d bytes came", s, got)
		}
		if status := uplinks.Status(); status.Choice.Lost > 0 {
			t.Errorf("got %+v, want no link lost", status.Choice)
		}
	})
}

// Settings of the tests of Options.AcceptRate.
const (
	testAcceptRate        = 40                  // a second
	testAcceptBurst       = testAcceptRate / 4. // a quarter of a second at the rate
	testAcceptConnections = 60
)

// acceptRateOptions sets the accept rate, and allows the names of all connections.
func acceptRateOptions(o *Options) {
	o.AcceptRate = testAcceptRate
	for i := range testAcceptConnections {
		o.Subscribers = append(o.Subscribers, fmt.Sprint("s", i))
	}
}

// dialAllAtOnce dials and writes a hello under each name of acceptRateOptions. It returns when all hellos are written.
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

// awaitAllAccepted waits until a bus has accepted all connections of dialAllAtOnce, and returns how many seconds after the start
// that was. It fails the test if at any time more connections were accepted than the rate allows.
func awaitAllAccepted(t *testing.T, bus *Bus, began time.Time) (seconds float64) {
	t.Helper()
	for {
		accepted := bus.Status().Subscribers.Accepted // read before the clock, so that a delay between the two fails no test
		seconds = time.Since(began).Seconds()
		most := testAcceptBurst + testAcceptRate*seconds + 2
		switch {
		case float64(accepted) > most:
			t.Fatalf("%d were accepted in %.2f s, want at most %.0f", accepted, seconds, most)
		case accepted == testAcceptConnections:
			return seconds
		case seconds > 8:
			t.Fatalf("%d of %d accepted", accepted, testAcceptConnections)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// testAcceptSeconds is the time in which all connections of dialAllAtOnce are accepted at the rate.
const testAcceptSeconds = (testAcceptConnections - testAcceptBurst) / testAcceptRate

// Many connections at once are accepted at the accept rate, neither faster nor slower, until all are accepted. All times are by the
// clock of a synctest bubble.
func TestAcceptRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := pipeNetwork{}
		bus, _ := network.openControlMachine(t, "a", acceptRateOptions)
		began := time.Now()
		go dialAllAtOnce(t, func() (net.Conn, error) { return network["a"].dial(), nil })
		if took := awaitAllAccepted(t, bus, began); took < testAcceptSeconds-0.1 || took > testAcceptSeconds+0.1 {
			t.Errorf("all were accepted in %.2f s, want %.2f ± 0.1 s", took, testAcceptSeconds)
		}
	})
}

// Many TCP connections at once are accepted no faster than at the accept rate, until all are accepted. TestAcceptRate checks that
// they are accepted no slower either.
func TestAcceptRateOverTCP(t *testing.T) {
	bus, _ := openControlMachine(t, "a", acceptRateOptions)
	defer bus.Close()
	began := time.Now()
	dialAllAtOnce(t, func() (net.Conn, error) { return net.Dial("tcp", bus.Addr()) })
	if took := awaitAllAccepted(t, bus, began); took < testAcceptSeconds-0.1 {
		t.Errorf("all were accepted in %.2f s, want %.2f s at least", took, testAcceptSeconds-0.1)
	}
}

// blockingPublisher is a listPublisher whose Next blocks until release is closed.
type blockingPublisher struct {
	listPublisher
	release chan struct{}
	entered chan struct{} // gets an element with each call of Next
}

// Next implements Publisher.
func (p *blockingPublisher) Next(s *Subscriber) (string, []byte) {
	p.entered <- struct{}{}
	<-p.release
	return p.listPublisher.Next(s)
}

// Disconnected is called after the last call for a subscriber has returned, however long that takes.
func TestDisconnectedComesLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		publisher := &blockingPublisher{release: make(chan struct{}), entered: make(chan struct{}, 100)}
		disconnected := func() int {
			publisher.mu.Lock()
			defer publisher.mu.Unlock()
			return len(publisher.disconnected)
		}
		network := pipeNetwork{}
		network.openControlMachine(t, "a", func(o *Options) { o.Publisher = publisher })
		subscriber := subscribeOver(t, network["a"].dial(), "d", 1)

		<-publisher.entered
		subscriber.Close()
		time.Sleep(time.Hour)
		if disconnected() > 0 {
			t.Error("Disconnected was called while Next ran")
		}
		close(publisher.release)
		eventually(t, "disconnected", func() bool { return disconnected() == 1 })
		publisher.checkDisconnected(t, 0)
	})
}

// Waking many subscribers does not block while all their writers are blocked.
func TestWakeNeverBlocks(t *testing.T) {
	names := make([]string, 130)
	for i := range names {
		names[i] = fmt.Sprint("s", i)
	}
	bus, publisher := openControlMachine(t, "a", func(o *Options) { o.Subscribers = names })
	defer bus.Close()
	for _, name := range names {
		subscribe(t, bus, name, 1).requestFromStart(1)
	}
	eventually(t, "all subscribed", func() bool { return publisher.countReceived("s") == len(names) })
	publisher.publish(bus, strings.Repeat("x", 512<<10)) // more than the kernel buffers, so that every writer blocks
	began := time.Now()
	for range 10000 {
		bus.WakeSubscribers()
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("waking 130 subscribers 10,000 times took %v, want at most 1s", took)
	}
	eventually(t, "all are slow", func() bool { return bus.Status().Subscribers.Slow == len(names) })
	publisher.checkDisconnected(t, 0)
}

// A token bucket starts full, holds no more than its burst, and may be overdrawn by one withdrawal. Without a rate it has no bound.
func TestTokenBucket(t *testing.T) {
	start := time.Unix(1, 0)
	bucket := tokenBucket{rate: 100, burst: 50}
	if wait := bucket.take(start, 80); wait != 0 {
		t.Errorf("the first withdrawal has to wait %v, want 0", wait)
	}
	for _, test := range []struct{ after, want time.Duration }{
		{after: 0, want: 300 * time.Millisecond},
		{after: 200 * time.Millisecond, want: 100 * time.Millisecond},
		{after: time.Hour, want: 0},
	} {
		if wait := bucket.ready(start.Add(test.after)); wait != test.want {
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

// Bytes are counted with their frames, those written to subscribers apart from the pongs written to peers. A payload that is too
// long is left out and counted.
func TestBytesAreCounted(t *testing.T) {
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

	eventually(t, "counted", func() bool {
		s := bus.Status().Subscribers
		return s.Bytes >= got && s.Frames >= frames
	})
	if s := bus.Status().Subscribers; s.Bytes > got+40 || s.Frames > frames+2 || s.Oversize != 1 {
		t.Errorf("counted %+v, want 1 oversize, and %d bytes and %d frames", s, got, frames)
	}
	eventually(t, "pongs", func() bool { return bus.Status().PongBytes >= 40 && peerBus.Status().PongBytes >= 40 })
	if got := bus.Status().PongBytes; got > 400 {
		t.Errorf("got %d bytes of pongs, want at most 400", got)
	}
}
