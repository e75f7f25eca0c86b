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

// maskedSmall replaces fencing tokens, runs, epochs and ages in payloads, which differ from run to run.
const maskedSmall = 77

// twoMachines emulates a director with two caches, one of which is unresponsive.
type twoMachines struct{ told chan string }

func (twoMachines) Machines() []director.Machine {
	return []director.Machine{{ID: 0x331d10af, StartedUnix: 1_700_000_000_123}, {ID: 1}}
}

func (twoMachines) CheckMachine(m director.Machine, _ time.Duration, _, _ string) (alive, asked bool) {
	return m.ID != 1, true
}

func (d twoMachines) HandlePeerHealth(id uint32, started int64, alive bool, _ time.Duration) {
	select {
	case d.told <- fmt.Sprintf("%d started %d alive %t", id, started, alive):
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

// parseCluster reads an operator file. Addresses replace the %s in its text.
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

// rawMember is another instance, emulated on raw sockets. It votes for each candidate, until its test ends.
type rawMember struct {
	from, to net.Conn // connections dialled by the instance under test, and by this one
	fromLife uint64   // incarnation of the instance under test
	messages chan rawFrame
	ended    error // why messages was closed
}

// joinRaw connects a raw member and an instance, in both directions.
func joinRaw(t *testing.T, name string, l net.Listener, instance string) *rawMember {
	t.Helper()
	m := &rawMember{from: accept(t, l), messages: make(chan rawFrame, 4096)}
	hello := readFrame(t, m.from)
	write(t, m.from, helloFrame(name, testLife, hello.from))
	m.to = dial(t, instance)
	write(t, m.to, helloFrame(name, testLife, 0))
	m.fromLife = readFrame(t, m.to).from
	go m.serve()
	return m
}

// serve responds to pings and to requests for a vote until the connection ends, and passes on messages. Without its responses, the
// instance under test would lose its lease while the test waits.
func (m *rawMember) serve() {
	defer close(m.messages)
	for {
		f, err := tryReadFrame(m.from)
		switch {
		case err != nil:
		case f.kind == framePing:
			_, err = m.from.Write(numberFrame(framePong, 0)) // the number only states the time on the way
		case f.kind == frameData:
			err = m.vote(f)
			m.messages <- f
		}
		if err != nil {
			m.ended = err
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
	answer := lease.Message{Kind: lease.Vote, Term: message.Term, Sequence: message.Sequence, Granted: true}
	_, err = m.to.Write(dataFrame(testLife, m.fromLife, f.topic, lease.Append(nil, &answer)))
	return err
}

// gather waits until a message of each topic has come, and returns the last payload of each.
func (m *rawMember) gather(t *testing.T, accepts map[string]func(payload []byte) bool) map[string][]byte {
	t.Helper()
	heard := map[string][]byte{}
	for late := time.After(4 * waitLimit); len(heard) < len(accepts); {
		select {
		case f, open := <-m.messages:
			if !open {
				t.Fatal(m.ended)
			}
			if accept := accepts[f.topic]; accept == nil {
				t.Errorf("a message of topic %q", f.topic)
			} else if accept(f.payload) {
				heard[f.topic] = f.payload
			}
		case <-late:
			t.Fatalf("topics heard: %d of %d", len(heard), len(accepts))
		}
	}
	return heard
}

func anyPayload([]byte) bool { return true }

// maskedNews returns a payload of health reports in a fixed order, with the values replaced that differ from run to run.
func maskedNews(t *testing.T, payload []byte) []byte {
	t.Helper()
	n, err := lease.ParseHealthReport(payload)
	if err != nil || n.Fence == 0 || n.Run == 0 || len(n.Machines) != 2 {
		t.Fatalf("reports %+v: %v", n, err)
	}
	n.Fence, n.Run = maskedSmall, maskedSmall
	if n.Machines[0].Node == 1 {
		n.Machines[0], n.Machines[1] = n.Machines[1], n.Machines[0]
	}
	for i := range n.Machines {
		n.Machines[i].Age = maskedSmall * time.Microsecond
	}
	return lease.AppendHealthReport(nil, &n)
}

// maskedNotes returns a payload of events, with the values replaced that differ from run to run.
func maskedNotes(t *testing.T, list []changefeed.Event) []byte {
	t.Helper()
	for i := range list {
		n := &list[i]
		n.Epoch, n.Number, n.Prev, n.Fence, n.Age = maskedSmall, maskedSmall, maskedSmall, maskedSmall, maskedSmall*time.Microsecond
		n.Payload = maskedNews(t, n.Payload)
	}
	return changefeed.AppendEvents(nil, list)
}

const clusterTimes = "lease: 600ms\nbeat: 100ms\n"

// TestInstanceTopics: the messages of an instance to another one and the calls of a duty to an address, by topic.
func TestInstanceTopics(t *testing.T) {
	l, me := listen(t), freeAddress(t)
	asked := make(chan rawCall, 2)
	desk, err := peer.OpenQueryServer("127.0.0.1:0", peer.QueryHandlers{
		"begin": func(payload []byte) ([]byte, error) { asked <- rawCall{"begin", payload}; return nil, nil },
		"end":   func(payload []byte) ([]byte, error) { asked <- rawCall{"end", payload}; return nil, nil },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { desk.Close() })
	f := parseCluster(t, "instances: [{name: n0, address: %q}, {name: n1, address: %q}]\n"+clusterTimes+
		"duties: [{name: probe, kind: probe, period: 100ms}, {name: sweep, kind: call, period: 1h, address: %q, timeout: 5s}]\n",
		me, l.Addr().String(), desk.Addr())
	startInstance(t, f, "n0")
	heard := joinRaw(t, "n1", l, me).gather(t, map[string]func([]byte) bool{"duty": anyPayload, "news": anyPayload})
	forms := []form{{name: "news", bytes: maskedNews(t, heard["news"])}}
	for _, topic := range []string{"begin", "end"} {
		select {
		case q := <-asked:
			if q.topic != topic {
				t.Errorf("asked %q, not %q", q.topic, topic)
			}
			forms = append(forms, form{name: topic, bytes: q.masked(t)})
		case <-time.After(waitLimit):
			t.Fatalf("%q was not asked", topic)
		}
	}
	goldenForms(t, "cluster_instance.txt", forms)
}

// rawCall is a call of a duty to an address.
type rawCall struct {
	topic   string
	payload []byte
}

// masked returns the payload with the fencing token and the run replaced.
func (q rawCall) masked(t *testing.T) []byte {
	t.Helper()
	v := msgpack.NewValues(q.payload)
	v.List(4)
	b := msgpack.AppendText(msgpack.AppendText(msgpack.AppendList(nil, 4), v.Text(64)), v.Text(64))
	fence, run := v.Uint(), v.Uint()
	if v.End() != nil || fence == 0 || run == 0 {
		t.Errorf("%s: %x", q.topic, q.payload)
	}
	return msgpack.AppendUint(msgpack.AppendUint(b, maskedSmall), maskedSmall)
}

const controlFile = `control:
  - {name: c0, address: %q, region: r, zone: z, site: s}
  - {name: c1, address: %q, region: r, zone: z, site: s}
  - {name: c2, address: %q, region: r, zone: z, site: s}
directors: [{name: d0, region: r, zone: z, site: s}]
duties: [{name: probe, kind: probe, period: 100ms}]
uplink: {spread: 100ms}
` + clusterTimes

// TestControlTopics: the messages of a control machine to another one and to a director, by topic.
func TestControlTopics(t *testing.T) {
	l, me := listen(t), freeAddress(t)
	f := parseCluster(t, controlFile, me, l.Addr().String(), freeAddress(t))
	startInstance(t, f, "c0")
	member := joinRaw(t, "c1", l, me)
	first := nextOf(t, subscribeRaw(t, "d0", me), frameData)
	isTell := func(payload []byte) bool {
		m, err := changefeed.ParseMessage(payload)
		return err == nil && m.Kind == changefeed.Events
	}
	leases := "duty/" + f.MembershipHash()
	heard := member.gather(t, map[string]func([]byte) bool{leases: anyPayload, "stream": isTell, "lists": anyPayload})
	told, err := changefeed.ParseMessage(heard["stream"])
	if err != nil {
		t.Fatal(err)
	}
	list, err := changefeed.ParseEvents(nextTopic(t, subscribeRaw(t, "d0", me), "notes"))
	if err != nil {
		t.Fatal(err)
	}
	goldenForms(t, "cluster_control.txt", []form{
		{name: "topic_of_leases", bytes: []byte(leases)},
		{name: "lists", bytes: heard["lists"]},
		{name: "stream", bytes: maskedNotes(t, told.Events)},
		{name: "first_to_director_" + first.topic, bytes: first.payload},
		{name: "notes", bytes: maskedNotes(t, list[:1])},
	})
}

// subscribeRaw subscribes a director, emulated on a raw socket, from the first event on.
func subscribeRaw(t *testing.T, name, control string) net.Conn {
	t.Helper()
	nc := dial(t, control)
	write(t, nc, helloFrame(name, testLife, 0))
	hello := readFrame(t, nc)
	write(t, nc, dataFrame(testLife, hello.from, "from", changefeed.AppendVector(nil, nil)))
	return nc
}

// nextTopic reads frames until a message of a topic comes, and returns its payload.
func nextTopic(t *testing.T, nc net.Conn, topic string) []byte {
	t.Helper()
	for range 100 {
		if f := nextOf(t, nc, frameData); f.topic == topic {
			return f.payload
		}
	}
	t.Fatalf("no message of topic %q among 100", topic)
	return nil
}

// TestDirectorTopics: the messages of a following director to a control machine. The director applies the messages that come back.
func TestDirectorTopics(t *testing.T) {
	l := listen(t)
	f := parseCluster(t, controlFile, l.Addr().String(), freeAddress(t), freeAddress(t))
	d := twoMachines{told: make(chan string, 1)}
	follower, err := cluster.Follow(f, "d0", d, quietLog(), cluster.FollowerOptions{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(follower.Close)
	nc := accept(t, l)
	hello := readFrame(t, nc)
	write(t, nc, helloFrame("c0", testLife, hello.from))
	greeting := nextOf(t, nc, frameData)
	news := lease.HealthReport{Duty: "probe", Fence: 5, Run: 6, Machines: []lease.MachineHealth{{Node: 9, StartedUnix: 1_700_000_000_123, Age: time.Millisecond}}}
	note := changefeed.Event{Origin: "c0", Epoch: 1, Number: 1, Fence: 5, Key: "news/probe", Lifetime: time.Second, Payload: lease.AppendHealthReport(nil, &news)}
	write(t, nc, dataFrame(testLife, hello.from, "kept", msgpack.AppendBool(nil, true)))
	write(t, nc, dataFrame(testLife, hello.from, "notes", changefeed.AppendEvents(nil, []changefeed.Event{note})))
	select {
	case got := <-d.told:
		if got != "9 started 1700000000123 alive false" {
			t.Errorf("told %q", got)
		}
	case <-time.After(waitLimit):
		t.Error("the note was not taken")
	}
	goldenForms(t, "cluster_director.txt", []form{{name: "greeting_" + greeting.topic, bytes: greeting.payload}})
}
