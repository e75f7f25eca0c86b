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
	frameAsk
	frameAnswer
)

const (
	frameHead    = 8                  // bytes of the length and the checksum
	peerVersion  = 1                  // version of the protocol between instances
	testLife     = uint64(0x0102)     // incarnation of the raw side
	maskedNumber = 0x1111222233334444 // replaces an incarnation or a time, which differ from run to run
	waitLimit    = 5 * time.Second    // longest wait for any event
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

func askFrame(version uint64, topic string, payload []byte) []byte {
	b := msgpack.AppendUint(msgpack.AppendUint(msgpack.AppendList(nil, 4), frameAsk), version)
	return appendFrame(msgpack.AppendBytes(msgpack.AppendText(b, topic), payload))
}

func answerFrame(understood bool, payload []byte) []byte {
	b := msgpack.AppendBool(msgpack.AppendUint(msgpack.AppendList(nil, 3), frameAnswer), understood)
	return appendFrame(msgpack.AppendBytes(b, payload))
}

// rawFrame is one frame as read from a socket. From and topic are set for the kinds that have them.
type rawFrame struct {
	kind    uint64
	from    uint64
	topic   string
	payload []byte
	masked  []byte // the frame, with the values replaced that differ from run to run
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

// tryReadFrame does the same as readFrame, but returns an error, for goroutines that may not end their test.
func tryReadFrame(nc net.Conn) (f rawFrame, err error) {
	nc.SetReadDeadline(time.Now().Add(waitLimit))
	head := make([]byte, frameHead)
	if _, err := io.ReadFull(nc, head); err != nil {
		return f, fmt.Errorf("head of a frame: %w", err)
	}
	values := make([]byte, binary.BigEndian.Uint32(head))
	if _, err := io.ReadFull(nc, values); err != nil {
		return f, fmt.Errorf("values of a frame: %w", err)
	}
	if !bytes.Equal(appendFrame(values), slices.Concat(head, values)) {
		return f, fmt.Errorf("head %x before values %x", head, values)
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
		f.from = v.Uint()
		mask(f.from)
	case frameData:
		f.from = v.Uint()
		v.Uint()
		f.topic, f.payload = v.Text(64), v.Bytes(1<<20)
		mask(f.from)
	case framePing:
		mask(v.Uint())
	}
	if v.Err() != nil {
		return f, fmt.Errorf("values %x: %w", values, v.Err())
	}
	f.masked = appendFrame(values)
	return f, nil
}

// nextOf reads frames until one of a kind comes.
func nextOf(t *testing.T, nc net.Conn, kind uint64) rawFrame {
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
	nc.SetWriteDeadline(time.Now().Add(waitLimit))
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
	l.(*net.TCPListener).SetDeadline(time.Now().Add(waitLimit))
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return nc
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	nc, err := net.DialTimeout("tcp", addr, waitLimit)
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

// TestPeerQuestions: a call and its response, each side against a raw socket.
func TestPeerQuestions(t *testing.T) {
	l := listen(t)
	type result struct {
		payload []byte
		err     error
	}
	results := make(chan result, 1)
	ask := func(payload string, answer []byte) (rawFrame, result) {
		go func() {
			payload, err := peer.Query(l.Addr().String(), "status", []byte(payload), waitLimit)
			results <- result{payload, err}
		}()
		nc := accept(t, l)
		f := readFrame(t, nc)
		write(t, nc, answer)
		return f, <-results
	}
	plain, answered := ask("question \x00\xff", answerFrame(true, []byte("an answer")))
	if string(answered.payload) != "an answer" || answered.err != nil {
		t.Errorf("answered %q, %v", answered.payload, answered.err)
	}
	empty, refused := ask("", answerFrame(false, []byte("no")))
	if refused.err == nil {
		t.Errorf("a refusal is read as %q", refused.payload)
	}

	desk, err := peer.OpenQueryServer("127.0.0.1:0", peer.QueryHandlers{"echo": func(payload []byte) ([]byte, error) { return payload, nil }})
	if err != nil {
		t.Fatal(err)
	}
	defer desk.Close()
	answer := func(question []byte) []byte {
		nc := dial(t, desk.Addr())
		write(t, nc, question)
		return readFrame(t, nc).masked
	}
	goldenForms(t, "peer_questions.txt", []form{
		{name: "ask", bytes: plain.masked},
		{name: "ask_empty", bytes: empty.masked},
		{name: "answer", bytes: answer(askFrame(peerVersion, "echo", []byte("payload \x00\xff")))},
		{name: "answer_unknown_topic", bytes: answer(askFrame(peerVersion, "unheard", nil))},
		{name: "answer_other_version", bytes: answer(askFrame(peerVersion+1, "echo", nil))},
	})
}

// TestPeerLink: the frames that an instance writes on the connection that it dials.
func TestPeerLink(t *testing.T) {
	l := listen(t)
	bus := openBus(t, peer.Options{Name: "n0", Peers: map[string]string{"n1": l.Addr().String()}})
	nc := accept(t, l)
	hello := readFrame(t, nc)
	if hello.from != bus.Incarnation() {
		t.Errorf("hello of life %d, not %d", hello.from, bus.Incarnation())
	}
	write(t, nc, helloFrame("n1", testLife, hello.from))
	bus.Send("n1", "duty", []byte("payload \x00\xff"))
	data := nextOf(t, nc, frameData)
	ping := nextOf(t, nc, framePing)
	goldenForms(t, "peer_link.txt", []form{
		{name: "hello", bytes: hello.masked},
		{name: "data", bytes: data.masked},
		{name: "ping", bytes: ping.masked},
	})
}

// TestPeerInbound: the frames that an instance writes on a connection that another one dialled. It applies the messages that come there.
func TestPeerInbound(t *testing.T) {
	heard := make(chan string, 1)
	bus := openBus(t, peer.Options{Name: "n0", Peers: map[string]string{"n1": listen(t).Addr().String()},
		Handlers: map[string]func(peer.Sender, []byte){"duty": func(from peer.Sender, payload []byte) { heard <- from.Name + " " + string(payload) }}})
	nc := dial(t, bus.Addr())
	write(t, nc, helloFrame("n1", testLife, 0))
	hello := readFrame(t, nc)
	write(t, nc, dataFrame(testLife, hello.from, "duty", []byte("payload")))
	select {
	case got := <-heard:
		if got != "n1 payload" {
			t.Errorf("heard %q", got)
		}
	case <-time.After(waitLimit):
		t.Error("the message was not heard")
	}
	write(t, nc, numberFrame(framePing, 1_700_000_000_123_456_789))
	pong := readFrame(t, nc)
	stranger := dial(t, bus.Addr())
	write(t, stranger, helloFrame("n9", testLife, 0))
	goldenForms(t, "peer_inbound.txt", []form{
		{name: "hello", bytes: hello.masked},
		{name: "pong", bytes: pong.masked},
		{name: "hello_to_stranger", bytes: readFrame(t, stranger).masked},
	})
}

// onePublisher sends one message to each subscriber and records the messages that it receives.
type onePublisher struct{ heard chan string }

func (p onePublisher) Next(s *peer.Subscriber) (topic string, payload []byte) {
	if s.State != nil {
		return "", nil
	}
	s.State = true
	return "kept", []byte("payload \x00\xff")
}

func (p onePublisher) Receive(_ *peer.Subscriber, topic string, payload []byte) {
	p.heard <- topic + " " + string(payload)
}

func (p onePublisher) Disconnected(*peer.Subscriber) {}

// TestPeerSubscriber: the frames that a control machine writes to a director that subscribes.
func TestPeerSubscriber(t *testing.T) {
	publisher := onePublisher{make(chan string, 1)}
	bus := openBus(t, peer.Options{Name: "c0", Subscribers: []string{"d0"}, Publisher: publisher})
	nc := dial(t, bus.Addr())
	write(t, nc, helloFrame("d0", testLife, 0))
	hello := readFrame(t, nc)
	data := nextOf(t, nc, frameData)
	write(t, nc, dataFrame(testLife, hello.from, "from", []byte("vector")))
	select {
	case got := <-publisher.heard:
		if got != "from vector" {
			t.Errorf("heard %q", got)
		}
	case <-time.After(waitLimit):
		t.Error("the subscription was not heard")
	}
	goldenForms(t, "peer_subscriber.txt", []form{{name: "hello", bytes: hello.masked}, {name: "data", bytes: data.masked}})
}

// TestPeerUplink: the frames that a director writes to a control machine.
func TestPeerUplink(t *testing.T) {
	l := listen(t)
	heard := make(chan string, 1)
	uplinks := peer.OpenUplinks(peer.UplinkOptions{Name: "d0", Spread: time.Millisecond, Seed: 1, Log: quietLog(),
		ControlMachines: []peer.ControlMachine{{ControlMachine: changefeed.ControlMachine{Name: "c0"}, Addr: l.Addr().String()}},
		Subscription:    func() (string, []byte) { return "from", []byte("payload \x00\xff") },
		Handler:         func(topic string, payload []byte) { heard <- topic + " " + string(payload) }})
	t.Cleanup(uplinks.Close)
	nc := accept(t, l)
	hello := readFrame(t, nc)
	write(t, nc, helloFrame("c0", testLife, hello.from))
	ping := nextOf(t, nc, framePing)
	data := nextOf(t, nc, frameData)
	write(t, nc, dataFrame(testLife, hello.from, "kept", []byte("yes")))
	select {
	case got := <-heard:
		if got != "kept yes" {
			t.Errorf("heard %q", got)
		}
	case <-time.After(waitLimit):
		t.Error("the message was not heard")
	}
	goldenForms(t, "peer_uplink.txt", []form{{name: "hello", bytes: hello.masked}, {name: "ping", bytes: ping.masked}, {name: "greeting", bytes: data.masked}})
}
