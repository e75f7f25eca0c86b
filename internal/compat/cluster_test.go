package compat

import (
	"fmt"
	"net"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/changefeed"
	"indigochute.example/indigochute/internal/cluster"
	"indigochute.example/indigochute/internal/clusterconfig"
	"indigochute.example/indigochute/internal/director"
	"indigochute.example/indigochute/internal/lease"
	"indigochute.example/indigochute/internal/msgpack"
	"indigochute.example/indigochute/internal/peer"
)

// maskedSmallNumber replaces the fencing tokens, runs, epochs and ages in payloads, which differ between runs of a test.
const maskedSmallNumber = 77

// twoMachines emulates a director with two caches, one of which is unresponsive.
type twoMachines struct{ reports chan string }

func (twoMachines) Machines() []director.Machine {
	return []director.Machine{{ID: 0x331d10af, StartedUnix: 1_700_000_000_123}, {ID: 1}}
}

func (twoMachines) CheckMachine(m director.Machine, _ time.Duration, _, _ string) (alive, checked bool) {
	return m.ID != 1, true
}

func (d twoMachines) HandlePeerHealth(id uint32, started int64, alive bool, _ time.Duration) {
	select {
	case d.reports <- fmt.Sprintf("%d started %d alive %t", id, started, alive):
	default:
	}
}

// freeAddress returns an address at which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// parseCluster parses the text of a cluster configuration file. Addresses replace the verbs in the text.
func parseCluster(t *testing.T, text string, addresses ...any) *clusterconfig.File {
	t.Helper()
	f, err := clusterconfig.Parse("cluster.yaml", fmt.Appendf(nil, text, addresses...), "")
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func startInstance(t *testing.T, f *clusterconfig.File, me string) {
	t.Helper()
	c, err := cluster.Start(f, me, twoMachines{}, quietLog())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
}

// rawMember is another instance, emulated on raw sockets. It votes for each candidate until its test ends.
type rawMember struct {
	inbound, outbound   net.Conn // connections dialled by the instance under test and by the raw member
	instanceIncarnation uint64   // incarnation of the instance under test
	messages            chan rawFrame
	serveErr            error // error after which messages was closed
}

// joinRaw connects a raw member and an instance, in both directions.
func joinRaw(t *testing.T, name string, l net.Listener, instance string) *rawMember {
	t.Helper()
	m := &rawMember{inbound: accept(t, l), messages: make(chan rawFrame, 4096)}
	hello := readFrame(t, m.inbound)
	write(t, m.inbound, helloFrame(name, testIncarnation, hello.incarnation))
	m.outbound = dial(t, instance)
	write(t, m.outbound, helloFrame(name, testIncarnation, 0))
	m.instanceIncarnation = readFrame(t, m.outbound).incarnation
	go m.serve()
	return m
}

// serve responds to pings and to requests for a vote until the connection ends, and sends all messages to the channel. Without these
// responses, the instance under test would lose its lease while the test waits.
func (m *rawMember) serve() {
	defer close(m.messages)
	for {
		f, err := tryReadFrame(m.inbound)
		switch {
		case err != nil:
		case f.kind == framePing:
			_, err = m.inbound.Write(numberFrame(framePong, 0)) // the number only serves to measure the round-trip time
		case f.kind == frameData:
			err = m.vote(f)
			m.messages <- f
		}
		if err != nil {
			m.serveErr = err
			return
		}
	}
}

// vote grants a request for a vote. It ignores other frames.
func (m *rawMember) vote(f rawFrame) error {
	message, err := lease.Parse(f.payload)
	if err != nil || message.Kind != lease.VoteRequest {
		return nil
	}
	vote := lease.Message{Kind: lease.Vote, Term: message.Term, Sequence: message.Sequence, Granted: true}
	_, err = m.outbound.Write(dataFrame(testIncarnation, m.instanceIncarnation, f.topic, lease.Append(nil, &vote)))
	return err
}

// awaitTopics waits until each topic has had a message whose payload the topic's function accepts. It returns the last accepted payload of
// each topic.
func (m *rawMember) awaitTopics(t *testing.T, accepts map[string]func(payload []byte) bool) map[string][]byte {
	t.Helper()
	payloads := map[string][]byte{}
	for timeout := time.After(4 * waitTimeout); len(payloads) < len(accepts); {
		select {
		case f, open := <-m.messages:
			if !open {
				t.Fatal(m.serveErr)
			}
			if accept := accepts[f.topic]; accept == nil {
				t.Errorf("unexpected message of topic %q", f.topic)
			} else if accept(f.payload) {
				payloads[f.topic] = f.payload
			}
		case <-timeout:
			t.Fatalf("messages of %d topics received, want %d", len(payloads), len(accepts))
		}
	}
	return payloads
}

func anyPayload([]byte) bool { return true }

// maskedHealthReport returns a payload of health reports in a fixed order. It masks the values that differ between runs of a test.
func maskedHealthReport(t *testing.T, payload []byte) []byte {
	t.Helper()
	report, err := lease.ParseHealthReport(payload)
	if err != nil || report.Fence == 0 || report.Run == 0 || len(report.Machines) != 2 {
		t.Fatalf("health report %+v, error %v, want a token, a run and two machines", report, err)
	}
	report.Fence, report.Run = maskedSmallNumber, maskedSmallNumber
	if report.Machines[0].Node == 1 {
		report.Machines[0], report.Machines[1] = report.Machines[1], report.Machines[0]
	}
	for i := range report.Machines {
		report.Machines[i].Age = maskedSmallNumber * time.Microsecond
	}
	return lease.AppendHealthReport(nil, &report)
}

// maskedEvents returns a payload of events. It masks the values that differ between runs of a test.
func maskedEvents(t *testing.T, events []changefeed.Event) []byte {
	t.Helper()
	for i := range events {
		event := &events[i]
		event.Epoch, event.Number, event.Prev, event.Fence, event.Age =
			maskedSmallNumber, maskedSmallNumber, maskedSmallNumber, maskedSmallNumber, maskedSmallNumber*time.Microsecond
		event.Payload = maskedHealthReport(t, event.Payload)
	}
	return changefeed.AppendEvents(nil, events)
}

const clusterTimings = "lease: 600ms\nbeat: 100ms\n"

// TestInstanceTopics checks the messages from one instance to another, and the calls of a job to an address, by topic.
func TestInstanceTopics(t *testing.T) {
	l, me := listen(t), freeAddress(t)
	calls := make(chan rawCall, 2)
	server, err := peer.OpenQueryServer("127.0.0.1:0", peer.QueryHandlers{
		"begin": func(payload []byte) ([]byte, error) { calls <- rawCall{"begin", payload}; return nil, nil },
		"end":   func(payload []byte) ([]byte, error) { calls <- rawCall{"end", payload}; return nil, nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	f := parseCluster(t, "instances: [{name: n0, address: %q}, {name: n1, address: %q}]\n"+clusterTimings+
		"duties: [{name: probe, kind: probe, period: 100ms}, {name: sweep, kind: call, period: 1h, address: %q, timeout: 5s}]\n",
		me, l.Addr().String(), server.Addr())
	startInstance(t, f, "n0")
	payloads := joinRaw(t, "n1", l, me).awaitTopics(t, map[string]func([]byte) bool{"duty": anyPayload, "news": anyPayload})
	encodings := []encoding{{name: "news", bytes: maskedHealthReport(t, payloads["news"])}}
	for _, topic := range []string{"begin", "end"} {
		select {
		case call := <-calls:
			if call.topic != topic {
				t.Errorf("call of topic %q, want %q", call.topic, topic)
			}
			encodings = append(encodings, encoding{name: topic, bytes: call.masked(t)})
		case <-time.After(waitTimeout):
			t.Fatalf("no call of topic %q", topic)
		}
	}
	goldenEncodings(t, "cluster_instance.txt", encodings)
}

// rawCall is a call of a job to an address.
type rawCall struct {
	topic   string
	payload []byte
}

// masked returns the payload with the fencing token and the run masked.
func (c rawCall) masked(t *testing.T) []byte {
	t.Helper()
	v := msgpack.NewValues(c.payload)
	v.List(4)
	b := msgpack.AppendText(msgpack.AppendText(msgpack.AppendList(nil, 4), v.Text(64)), v.Text(64))
	fence, run := v.Uint(), v.Uint()
	if v.End() != nil || fence == 0 || run == 0 {
		t.Errorf("%s: payload %x, want a list of four values with a token and a run", c.topic, c.payload)
	}
	return msgpack.AppendUint(msgpack.AppendUint(b, maskedSmallNumber), maskedSmallNumber)
}

const controlFile = `control:
  - {name: c0, address: %q, region: r, zone: z, site: s}
  - {name: c1, address: %q, region: r, zone: z, site: s}
  - {name: c2, address: %q, region: r, zone: z, site: s}
directors: [{name: d0, region: r, zone: z, site: s}]
duties: [{name: probe, kind: probe, period: 100ms}]
uplink: {spread: 100ms}
` + clusterTimings

// TestControlTopics checks the messages from a control machine to another one and to a director, by topic.
func TestControlTopics(t *testing.T) {
	l, me := listen(t), freeAddress(t)
	f := parseCluster(t, controlFile, me, l.Addr().String(), freeAddress(t))
	startInstance(t, f, "c0")
	member := joinRaw(t, "c1", l, me)
	first := nextOfKind(t, subscribeRaw(t, "d0", me), frameData)
	hasEvents := func(payload []byte) bool {
		m, err := changefeed.ParseMessage(payload)
		return err == nil && m.Kind == changefeed.Events
	}
	leaseTopic := "duty/" + f.MembershipHash()
	payloads := member.awaitTopics(t, map[string]func([]byte) bool{leaseTopic: anyPayload, "stream": hasEvents, "lists": anyPayload})
	message, err := changefeed.ParseMessage(payloads["stream"])
	if err != nil {
		t.Fatal(err)
	}
	events, err := changefeed.ParseEvents(nextTopic(t, subscribeRaw(t, "d0", me), "notes"))
	if err != nil {
		t.Fatal(err)
	}
	goldenEncodings(t, "cluster_control.txt", []encoding{
		{name: "topic_of_leases", bytes: []byte(leaseTopic)},
		{name: "lists", bytes: payloads["lists"]},
		{name: "stream", bytes: maskedEvents(t, message.Events)},
		{name: "first_to_director_" + first.topic, bytes: first.payload},
		{name: "notes", bytes: maskedEvents(t, events[:1])},
	})
}

// subscribeRaw connects a director that is emulated on a raw socket, and subscribes to all events from the first one on.
func subscribeRaw(t *testing.T, name, control string) net.Conn {
	t.Helper()
	nc := dial(t, control)
	write(t, nc, helloFrame(name, testIncarnation, 0))
	hello := readFrame(t, nc)
	write(t, nc, dataFrame(testIncarnation, hello.incarnation, "from", changefeed.AppendVector(nil, nil)))
	return nc
}

// nextTopic reads frames up to the next message of a topic, and returns its payload.
func nextTopic(t *testing.T, nc net.Conn, topic string) []byte {
	t.Helper()
	for range 100 {
		if f := nextOfKind(t, nc, frameData); f.topic == topic {
			return f.payload
		}
	}
	t.Fatalf("no message of topic %q among 100", topic)
	return nil
}

// TestDirectorTopics checks the messages of a following director to a control machine, and that the director applies those that it
// receives from there.
func TestDirectorTopics(t *testing.T) {
	l := listen(t)
	f := parseCluster(t, controlFile, l.Addr().String(), freeAddress(t), freeAddress(t))
	d := twoMachines{reports: make(chan string, 1)}
	follower, err := cluster.Follow(f, "d0", d, quietLog(), cluster.FollowerOptions{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(follower.Close)
	nc := accept(t, l)
	hello := readFrame(t, nc)
	write(t, nc, helloFrame("c0", testIncarnation, hello.incarnation))
	greeting := nextOfKind(t, nc, frameData)
	report := lease.HealthReport{Duty: "probe", Fence: 5, Run: 6,
		Machines: []lease.MachineHealth{{Node: 9, StartedUnix: 1_700_000_000_123, Age: time.Millisecond}}}
	event := changefeed.Event{Origin: "c0", Epoch: 1, Number: 1, Fence: 5, Key: "news/probe", Lifetime: time.Second,
		Payload: lease.AppendHealthReport(nil, &report)}
	write(t, nc, dataFrame(testIncarnation, hello.incarnation, "kept", msgpack.AppendBool(nil, true)))
	write(t, nc, dataFrame(testIncarnation, hello.incarnation, "notes", changefeed.AppendEvents(nil, []changefeed.Event{event})))
	select {
	case got := <-d.reports:
		if got != "9 started 1700000000123 alive false" {
			t.Errorf("report %q, want that machine 9 is not alive", got)
		}
	case <-time.After(waitTimeout):
		t.Error("the event was not applied")
	}
	goldenEncodings(t, "cluster_director.txt", []encoding{{name: "greeting_" + greeting.topic, bytes: greeting.payload}})
}
