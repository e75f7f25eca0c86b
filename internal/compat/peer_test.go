package compat

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/internal/changefeed"
	"indigochute.example/indigochute/internal/msgpack"
	"indigochute.example/indigochute/internal/peer"
)

// Kinds of frames between instances, with their numbers on the wire.
const (
	frameHello = iota
	frameData
	framePing
	framePong
	frameQuery
	frameResponse
)

const (
	frameHeaderBytes = 8                  // the length and the checksum
	peerVersion      = 1                  // version of the protocol between instances
	testIncarnation  = uint64(0x0102)     // incarnation of the raw side of a connection
	maskedNumber     = 0x1111222233334444 // replaces an incarnation or a time, which differ between runs of a test
	waitTimeout      = 5 * time.Second    // longest wait for any event
)

// appendFrame returns a frame: the length and the checksum, then the values.
func appendFrame(values []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(values)))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(values, crc32.MakeTable(crc32.Castagnoli)))
	return append(b, values...)
}

func helloFrame(name string, from, to uint64) []byte {
	b := msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendList(nil, 5), frameHello), peerVersion)
	return appendFrame(msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendText(b, name), from), to))
}

func dataFrame(from, to uint64, topic string, payload []byte) []byte {
	b := msgpack.AppendUint(msgpack.AppendList(nil, 5), frameData)
	b = msgpack.AppendUint(msgpack.AppendUint(b, from), to)
	return appendFrame(msgpack.AppendBytes(msgpack.AppendText(b, topic), payload))
}

func numberFrame(kind, number uint64) []byte {
	return appendFrame(msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendList(nil, 2), kind), number))
}

func queryFrame(version uint64, topic string, payload []byte) []byte {
	b := msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendList(nil, 4), frameQuery), version)
	return appendFrame(msgpack.AppendBytes(msgpack.AppendText(b, topic), payload))
}

func responseFrame(understood bool, payload []byte) []byte {
	b := msgpack.AppendBool(msgpack.AppendUint(msgpack.AppendList(nil, 3), frameResponse), understood)
	return appendFrame(msgpack.AppendBytes(b, payload))
}

// rawFrame is one frame as read from a socket. The fields incarnation and topic are set for the kinds that have them.
type rawFrame struct {
	kind        uint64
	incarnation uint64
	topic       string
	payload     []byte
	masked      []byte // the frame with maskedNumber in place of values that differ between runs of a test
}

// readFrame reads the next frame from a raw connection and checks its checksum.
func readFrame(t *testing.T, nc net.Conn) rawFrame {
	t.Helper()
	f, err := tryReadFrame(nc)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// tryReadFrame reads a frame as readFrame does, but returns an error. It is for goroutines that must not fail their test.
func tryReadFrame(nc net.Conn) (f rawFrame, err error) {
	nc.SetReadDeadline(time.Now().Add(waitTimeout))
	head := make([]byte, frameHeaderBytes)
	if _, err := io.ReadFull(nc, head); err != nil {
		return f, fmt.Errorf("header of a frame: %w", err)
	}
	values := make([]byte, binary.BigEndian.Uint32(head))
	if _, err := io.ReadFull(nc, values); err != nil {
		return f, fmt.Errorf("values of a frame: %w", err)
	}
	if !bytes.Equal(appendFrame(values), slices.Concat(head, values)) {
		return f, fmt.Errorf("header %x does not fit values %x", head, values)
	}
	mask := func(number uint64) {
		values = bytes.Replace(values, msgpack.AppendUint(nil, number), msgpack.AppendUint(nil, maskedNumber), 1)
	}
	v := msgpack.NewValues(values)
	v.List(5)
	switch f.kind = v.Uint(); f.kind {
	case frameHello:
		v.Uint()
		v.Text(64)
		f.incarnation = v.Uint()
		mask(f.incarnation)
	case frameData:
		f.incarnation = v.Uint()
		v.Uint()
		f.topic, f.payload = v.Text(64), v.Bytes(1<<20)
		mask(f.incarnation)
	case framePing:
		mask(v.Uint())
	}
	if v.Err() != nil {
		return f, fmt.Errorf("values %x: %w", values, v.Err())
	}
	f.masked = appendFrame(values)
	return f, nil
}

// nextOfKind reads frames up to the next one of a kind.
func nextOfKind(t *testing.T, nc net.Conn, kind uint64) rawFrame {
	t.Helper()
	for range 100 {
		if f := readFrame(t, nc); f.kind == kind {
			return f
		}
	}
	t.Fatalf("no frame of kind %d among 100", kind)
	return rawFrame{}
}

func write(t *testing.T, nc net.Conn, b []byte) {
	t.Helper()
	nc.SetWriteDeadline(time.Now().Add(waitTimeout))
	if _, err := nc.Write(b); err != nil {
		t.Fatal(err)
	}
}

func quietLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func accept(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	l.(*net.TCPListener).SetDeadline(time.Now().Add(waitTimeout))
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return nc
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	nc, err := net.DialTimeout("tcp", addr, waitTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return nc
}

func openBus(t *testing.T, o peer.Options) *peer.Bus {
	t.Helper()
	o.Listen, o.Log = "127.0.0.1:0", quietLog()
	b, err := peer.Open(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

// TestPeerQueries checks a query and its response, each side against a raw socket.
func TestPeerQueries(t *testing.T) {
	l := listen(t)
	type result struct {
		payload []byte
		err     error
	}
	results := make(chan result, 1)
	query := func(payload string, response []byte) (rawFrame, result) {
		go func() {
			payload, err := peer.Query(l.Addr().String(), "status", []byte(payload), waitTimeout)
			results <- result{payload, err}
		}()
		nc := accept(t, l)
		f := readFrame(t, nc)
		write(t, nc, response)
		return f, <-results
	}
	plain, accepted := query("question \x00\xff", responseFrame(true, []byte("an answer")))
	if string(accepted.payload) != "an answer" || accepted.err != nil {
		t.Errorf("response %q, error %v, want the payload of the frame", accepted.payload, accepted.err)
	}
	empty, rejected := query("", responseFrame(false, []byte("no")))
	if rejected.err == nil {
		t.Errorf("a rejection is read as response %q, want an error", rejected.payload)
	}

	server, err := peer.OpenQueryServer("127.0.0.1:0", peer.QueryHandlers{"echo": func(payload []byte) ([]byte, error) { return payload, nil }})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	respond := func(query []byte) []byte {
		nc := dial(t, server.Addr())
		write(t, nc, query)
		return readFrame(t, nc).masked
	}
	goldenEncodings(t, "peer_questions.txt", []encoding{
		{name: "ask", bytes: plain.masked},
		{name: "ask_empty", bytes: empty.masked},
		{name: "answer", bytes: respond(queryFrame(peerVersion, "echo", []byte("payload \x00\xff")))},
		{name: "answer_unknown_topic", bytes: respond(queryFrame(peerVersion, "unheard", nil))},
		{name: "answer_other_version", bytes: respond(queryFrame(peerVersion+1, "echo", nil))},
	})
}

// TestPeerLink checks the frames that an instance writes to a connection that it dialled.
func TestPeerLink(t *testing.T) {
	l := listen(t)
	bus := openBus(t, peer.Options{Name: "n0", Peers: map[string]string{"n1": l.Addr().String()}})
	nc := accept(t, l)
	hello := readFrame(t, nc)
	if hello.incarnation != bus.Incarnation() {
		t.Errorf("hello of incarnation %d, want %d", hello.incarnation, bus.Incarnation())
	}
	write(t, nc, helloFrame("n1", testIncarnation, hello.incarnation))
	bus.Send("n1", "duty", []byte("payload \x00\xff"))
	data := nextOfKind(t, nc, frameData)
	ping := nextOfKind(t, nc, framePing)
	goldenEncodings(t, "peer_link.txt", []encoding{
		{name: "hello", bytes: hello.masked},
		{name: "data", bytes: data.masked},
		{name: "ping", bytes: ping.masked},
	})
}

// TestPeerInbound checks the frames that an instance writes to a connection that another one dialled, and that it applies the messages
// that it receives there.
func TestPeerInbound(t *testing.T) {
	received := make(chan string, 1)
	bus := openBus(t, peer.Options{Name: "n0", Peers: map[string]string{"n1": listen(t).Addr().String()},
		Handlers: map[string]func(peer.Sender, []byte){"duty": func(from peer.Sender, payload []byte) { received <- from.Name + " " + string(payload) }}})
	nc := dial(t, bus.Addr())
	write(t, nc, helloFrame("n1", testIncarnation, 0))
	hello := readFrame(t, nc)
	write(t, nc, dataFrame(testIncarnation, hello.incarnation, "duty", []byte("payload")))
	select {
	case got := <-received:
		if got != "n1 payload" {
			t.Errorf("received %q, want the message that was sent", got)
		}
	case <-time.After(waitTimeout):
		t.Error("the message was not received")
	}
	write(t, nc, numberFrame(framePing, 1_700_000_000_123_456_789))
	pong := readFrame(t, nc)
	stranger := dial(t, bus.Addr())
	write(t, stranger, helloFrame("n9", testIncarnation, 0))
	goldenEncodings(t, "peer_inbound.txt", []encoding{
		{name: "hello", bytes: hello.masked},
		{name: "pong", bytes: pong.masked},
		{name: "hello_to_stranger", bytes: readFrame(t, stranger).masked},
	})
}

// recordingPublisher sends one message to each subscriber and records the messages that it receives.
type recordingPublisher struct{ received chan string }

func (p recordingPublisher) Next(s *peer.Subscriber) (topic string, payload []byte) {
	if s.State != nil {
		return "", nil
	}
	s.State = true
	return "kept", []byte("payload \x00\xff")
}

func (p recordingPublisher) Receive(_ *peer.Subscriber, topic string, payload []byte) {
	p.received <- topic + " " + string(payload)
}

func (p recordingPublisher) Disconnected(*peer.Subscriber) {}

// TestPeerSubscriber checks the frames that a control machine writes to a director that subscribes.
func TestPeerSubscriber(t *testing.T) {
	publisher := recordingPublisher{make(chan string, 1)}
	bus := openBus(t, peer.Options{Name: "c0", Subscribers: []string{"d0"}, Publisher: publisher})
	nc := dial(t, bus.Addr())
	write(t, nc, helloFrame("d0", testIncarnation, 0))
	hello := readFrame(t, nc)
	data := nextOfKind(t, nc, frameData)
	write(t, nc, dataFrame(testIncarnation, hello.incarnation, "from", []byte("vector")))
	select {
	case got := <-publisher.received:
		if got != "from vector" {
			t.Errorf("received %q, want the message that was sent", got)
		}
	case <-time.After(waitTimeout):
		t.Error("the subscription was not received")
	}
	goldenEncodings(t, "peer_subscriber.txt", []encoding{{name: "hello", bytes: hello.masked}, {name: "data", bytes: data.masked}})
}

// TestPeerUplink checks the frames that a director writes to a control machine.
func TestPeerUplink(t *testing.T) {
	l := listen(t)
	received := make(chan string, 1)
	uplinks := peer.OpenUplinks(peer.UplinkOptions{Name: "d0", Spread: time.Millisecond, Seed: 1, Log: quietLog(),
		ControlMachines: []peer.ControlMachine{{ControlMachine: changefeed.ControlMachine{Name: "c0"}, Addr: l.Addr().String()}},
		Subscription:    func() (string, []byte) { return "from", []byte("payload \x00\xff") },
		Handler:         func(topic string, payload []byte) { received <- topic + " " + string(payload) }})
	t.Cleanup(uplinks.Close)
	nc := accept(t, l)
	hello := readFrame(t, nc)
	write(t, nc, helloFrame("c0", testIncarnation, hello.incarnation))
	ping := nextOfKind(t, nc, framePing)
	data := nextOfKind(t, nc, frameData)
	write(t, nc, dataFrame(testIncarnation, hello.incarnation, "kept", []byte("yes")))
	select {
	case got := <-received:
		if got != "kept yes" {
			t.Errorf("received %q, want the message that was sent", got)
		}
	case <-time.After(waitTimeout):
		t.Error("the message was not received")
	}
	goldenEncodings(t, "peer_uplink.txt", []encoding{{name: "hello", bytes: hello.masked}, {name: "ping", bytes: ping.masked}, {name: "greeting", bytes: data.masked}})
}
