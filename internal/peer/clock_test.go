package peer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// fixedClock returns a wall clock that always shows the same time.
func fixedClock(t time.Time) func() time.Time { return func() time.Time { return t } }

// openBusWithClock is like openBus, with the given wall clock.
func openBusWithClock(t *testing.T, name, listen string, peers map[string]string, received *receivedMessages, clock func() time.Time) *Bus {
	t.Helper()
	return mustOpen(t, Options{
		Name:          name,
		Listen:        listen,
		Peers:         peers,
		Log:           logTo(io.Discard),
		Handlers:      map[string]func(Sender, []byte){"t": received.receive},
		QueryHandlers: answerWho(name),
		WallClock:     clock,
	})
}

// exchangeMessages sends messages between buses a and b until one has arrived each way. It sends them repeatedly, because a message
// that was queued for an earlier incarnation of its receiver is dropped. It fails the test after the longest time that a restart may
// take.
func exchangeMessages(t *testing.T, a, b *Bus, receivedAtA, receivedAtB *receivedMessages, text string) {
	t.Helper()
	const limit = 2*maxRedialBackoff + silenceTimeout
	toB, toA := "to b "+text, "to a "+text
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		a.Send("b", "t", []byte(toB))
		b.Send("a", "t", []byte(toA))
		if receivedAtA.has("b:"+toA) && receivedAtB.has("a:"+toB) {
			return
		}
		if took := time.Since(began); took > limit {
			t.Fatalf("%s: got no messages both ways after %v: %+v, %+v", text, took, a.Status(), b.Status())
		}
	}
}

// An instance is restarted with its wall clock an hour ahead, set back, at the same millisecond as before and an hour behind. After
// each restart it must exchange messages within the longest time that a restart may take, and its incarnation must be higher than
// before.
func TestRestartsWithSteppedWallClock(t *testing.T) {
	now := time.Now()
	var receivedAtA receivedMessages
	addrOfB := freeAddress(t)
	a := openBusWithClock(t, "a", "127.0.0.1:0", map[string]string{"b": addrOfB}, &receivedAtA, fixedClock(now))
	defer a.Close()
	lastIncarnation := uint64(0)
	wallClocks := []time.Time{now, now.Add(time.Hour), now, now, now.Add(-time.Hour), now.Add(-time.Hour), now}
	for i, wall := range wallClocks {
		var receivedAtB receivedMessages
		b := openBusWithClock(t, "b", addrOfB, map[string]string{"a": a.Addr()}, &receivedAtB, fixedClock(wall))
		exchangeMessages(t, a, b, &receivedAtA, &receivedAtB, fmt.Sprint("restart ", i))
		if got := b.Incarnation(); got <= lastIncarnation {
			t.Errorf("restart %d: got incarnation %x, want one above %x", i, got, lastIncarnation)
		}
		lastIncarnation = b.Incarnation()
		b.Close()
	}
}

// Incarnations that are created in the same millisecond must differ, also within one process.
func TestIncarnationsOfOneMillisecondDiffer(t *testing.T) {
	wall := fixedClock(time.Now())
	seen := map[uint64]bool{}
	for range 64 {
		seen[newIncarnation(wall)] = true
	}
	if len(seen) < 32 {
		t.Errorf("got %d different incarnations of 64, want at least 32", len(seen))
	}
}

// answerPings accepts the hello of a connection as a peer and answers its pings until a frame of another kind arrives or the
// connection ends. It sends the numbers of the pings on a channel, unless the channel is full.
func answerPings(connection net.Conn, name string, numbers chan<- uint64) {
	defer connection.Close()
	in := bufio.NewReader(connection)
	if answerHello(connection, in, name, 5) == 0 {
		return
	}
	for {
		f, _ := readFrame(in, maxFrameBytes)
		ping, ok := f.(pingFrame)
		if !ok {
			return
		}
		pong := pongFrame(ping)
		connection.Write(pong.appendTo(nil))
		select {
		case numbers <- ping.number:
		default:
		}
	}
}

// A ping must carry the time since the start by the monotonic clock, so that a step of the wall clock does not falsify the round trip
// time.
func TestPingsCarryMonotonicTime(t *testing.T) {
	opened := time.Now()
	numbers := make(chan uint64, 1)
	addr := serveConnections(t, func(connection net.Conn) { answerPings(connection, "b", numbers) })
	var received receivedMessages
	a := openBusWithClock(t, "a", "127.0.0.1:0", map[string]string{"b": addr}, &received, nil)
	defer a.Close()
	select {
	case number := <-numbers:
		if since := time.Since(opened); number == 0 || time.Duration(number) > since {
			t.Errorf("got a ping with the number %d, want one from 1 to %d", number, since)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("got no ping within 5 s")
	}
	eventually(t, "the round trip time is known", func() bool {
		rtt := a.Status().Links[0].RTT
		return rtt > 0 && rtt < 5000
	})
}

// A director whose clock went back must be accepted at its first dial of each control machine. It sends its hello again with a higher
// incarnation, which must not count as a failed dial.
func TestRaisedIncarnationIsNotFailedDial(t *testing.T) {
	now := time.Now()
	a, _ := openControlMachine(t, "a", nil)
	defer a.Close()
	b, _ := openControlMachine(t, "b", nil)
	defer b.Close()
	control := northAndSouth(a.Addr(), b.Addr())
	lastIncarnation := uint64(0)
	for i, wall := range []time.Time{now, now.Add(time.Hour), now, now.Add(-time.Hour), now} {
		options := uplinkOptions("d", "north", &directorMessages{}, control...)
		options.Place, options.WallClock = control[0].Place, fixedClock(wall)
		uplinks := OpenUplinks(options)
		eventually(t, "both links are up", func() bool { return uplinks.Status().Up == 2 })
		if status := uplinks.Status(); status.Choice.Failed > 0 {
			t.Errorf("restart %d: got %+v, want no failed dial", i, status.Choice)
		}
		if got := uplinks.incarnation.Load(); got <= lastIncarnation {
			t.Errorf("restart %d: got incarnation %x, want one above %x", i, got, lastIncarnation)
		}
		lastIncarnation = uplinks.incarnation.Load()
		uplinks.Close()
	}
}
