package compat

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/discovery"
	"indigochute.example/indigochute/internal/msgpack"
	"indigochute.example/indigochute/internal/resp"
	"indigochute.example/indigochute/internal/routing"
)

// appendRequest returns the bytes of a client's message of any kind.
func appendRequest(m *msgpack.Message) []byte {
	switch m.Kind {
	case msgpack.ReadinessCheck:
		return msgpack.AppendReadinessCheck(nil, m.ID)
	case msgpack.Cancellation:
		return msgpack.AppendCancel(nil, m.ID)
	}
	return msgpack.AppendRequest(nil, m)
}

func requestForm(name string, m msgpack.Message) form {
	return form{name, m, appendRequest(&m), func(raw []byte) (any, []byte, error) {
		m, err := msgpack.NewReader(bufio.NewReader(bytes.NewReader(raw))).Read()
		return m, appendRequest(&m), err
	}}
}

// answerForm is a director's response. Write returns the bytes of a response as the client reads it.
func answerForm(name string, reply msgpack.Response, write func(msgpack.Response) []byte) form {
	return form{name, reply, write(reply), func(raw []byte) (any, []byte, error) {
		reply, err := msgpack.ReadResponse(bufio.NewReader(bytes.NewReader(raw)))
		return reply, write(reply), err
	}}
}

func TestClientMessages(t *testing.T) {
	full := msgpack.Message{Kind: msgpack.Request, ID: 1<<32 - 1, Class: "segment", HasID: true, RequestID: "c1-77", Timeout: 6 * time.Second,
		IdempotencyKey: "k-9", Object: "7f3a9c21e0b4d655", Part: "12", Group: "3", ETag: "1700000000123", Body: []byte("body \x00\xff")}
	long := full
	long.ID, long.Object, long.Body = 1, longest64, make([]byte, 300)
	done := func(a msgpack.Response) []byte { return slices.Concat(msgpack.Success(a.ID, a.Body, a.NotModified)) }
	denied := func(a msgpack.Response) []byte { return msgpack.Rejection(a.ID, a.RetryAfter) }
	failed := func(a msgpack.Response) []byte { return msgpack.Failure(a.ID, "may have run") }
	ready := func(a msgpack.Response) []byte { return msgpack.Readiness(a.ID, !a.Rejected) }
	goldenForms(t, "client_messages.txt", []form{
		requestForm("call_full", full),
		requestForm("call_long", long),
		requestForm("call_bare", msgpack.Message{Kind: msgpack.Request, ID: 2, Class: "log", HasID: true, RequestID: "r", Timeout: time.Millisecond}),
		requestForm("alive", msgpack.Message{Kind: msgpack.ReadinessCheck, ID: 3, Class: "alive", HasID: true}),
		requestForm("cancel", msgpack.Message{Kind: msgpack.Cancellation, ID: 1<<32 - 1}),
		answerForm("done", msgpack.Response{ID: 1<<32 - 1, Body: []byte("body \x00\xff")}, done),
		answerForm("done_same", msgpack.Response{ID: 5, NotModified: true}, done),
		answerForm("done_large", msgpack.Response{ID: 5, Body: make([]byte, 400)}, done),
		answerForm("denied", msgpack.Response{ID: 6, Rejected: true}, denied),
		answerForm("denied_retry_after", msgpack.Response{ID: 6, Rejected: true, RetryAfter: 180 * time.Millisecond}, denied),
		answerForm("aborted", msgpack.Response{ID: 7, Failed: true}, failed),
		answerForm("ready", msgpack.Response{ID: 8}, ready),
		answerForm("not_ready", msgpack.Response{ID: 8, Rejected: true}, ready),
	})
}

// commandForm is a command to a node.
func commandForm(name string, c resp.Command) form {
	write := func(c resp.Command) []byte {
		switch {
		case c.Cancel:
			return resp.AppendCancel(nil, c.ID)
		case c.HealthCheck:
			return resp.AppendHealthCheck(nil, c.ID)
		}
		return resp.AppendRequest(nil, &c.Request)
	}
	return form{name, c, write(c), func(raw []byte) (any, []byte, error) {
		c, err := resp.ReadCommand(bufio.NewReader(bytes.NewReader(raw)))
		return c, write(c), err
	}}
}

func nodeAnswerForm(name string, a resp.Response) form {
	return form{name, a, resp.AppendResponse(nil, &a), func(raw []byte) (any, []byte, error) {
		a, err := resp.ReadResponse(bufio.NewReader(bytes.NewReader(raw)))
		return a, resp.AppendResponse(nil, &a), err
	}}
}

func TestNodeMessages(t *testing.T) {
	full := resp.Request{ID: "d0-17", Class: "segment", Object: "7f3a9c21e0b4d655", Part: "12", IdempotencyKey: "k-9", ETag: "1700000000123",
		Timeout: 5975 * time.Millisecond, Source: "s-331d10af",
		Order: routing.AttemptOrder{CachePriority: 3, MaxAge: 1500 * time.Millisecond, CollapseFills: true, OnlyIfCached: true, Revalidate: true}, Body: []byte("body \x00\xff")}
	with := func(o routing.AttemptOrder) resp.Command {
		return resp.Command{Request: resp.Request{ID: "x", Class: "log", Object: "o", Timeout: time.Millisecond, Order: o, Body: []byte{}}}
	}
	forms := []form{
		commandForm("get_full", resp.Command{Request: full}),
		commandForm("get_bare", with(routing.AttemptOrder{})),
		commandForm("get_join", with(routing.AttemptOrder{CollapseFills: true, CachePriority: 1})),
		commandForm("get_held_only", with(routing.AttemptOrder{OnlyIfCached: true, CachePriority: 2})),
		commandForm("get_renew", with(routing.AttemptOrder{Revalidate: true, MaxAge: time.Millisecond})),
		commandForm("get_join_renew", with(routing.AttemptOrder{CollapseFills: true, Revalidate: true})),
		{name: "get_least", bytes: resp.AppendRequest(nil, &resp.Request{ID: "x", Class: "log", Object: "o", Order: routing.AttemptOrder{MaxAge: time.Microsecond}})},
		commandForm("drop", resp.Command{Request: resp.Request{ID: "d0-17"}, Cancel: true}),
		commandForm("ping", resp.Command{Request: resp.Request{ID: "p-1"}, HealthCheck: true}),
	}
	words := [...]string{"hit", "valid", "none", "full", "fault", "late", "pong"}
	for word, name := range words {
		forms = append(forms, nodeAnswerForm("answer_"+name, resp.Response{ID: "d0-17", Status: resp.Status(word), Body: []byte("body")}))
	}
	fills := [...]string{"untold", "hit", "filled", "filled_by_origin", "joined", "stale", "source_refused", "source_unreached", "source_lacks",
		"no_place", "origin_failed"}
	for fill, name := range fills {
		forms = append(forms, nodeAnswerForm("note_"+name, resp.Response{ID: "d0-17", Status: resp.Hit, Fill: routing.Fill(fill),
			Waited: 12345 * time.Microsecond, Fetched: 1_700_000_000_123, Body: []byte{}}))
	}
	goldenForms(t, "node_messages.txt", forms)
}

func discoveryMachines() []discovery.Endpoint {
	return []discovery.Endpoint{
		{ID: 0x331d10af, Addr: netip.MustParseAddrPort("10.1.0.1:7100"), State: routing.Ready, Zone: 1, Kind: 0, Cell: 513, Capacity: 12.5, StartedUnix: 1_700_000_000_123},
		{ID: 1, Addr: netip.MustParseAddrPort("10.1.0.2:1"), State: routing.Draining, Zone: 0, Kind: 1, Cell: 0, Capacity: 0},
		{ID: 1<<32 - 1, Addr: netip.MustParseAddrPort("255.255.255.255:65535"), State: routing.Gone, Zone: 0, Kind: 2, Cell: 65535, Capacity: 4000000, StartedUnix: 1},
	}
}

func TestDiscoveryFrames(t *testing.T) {
	event := func(name string, e discovery.Event) form {
		return form{name, e, discovery.AppendEvent(nil, &e), func(raw []byte) (any, []byte, error) {
			e, err := discovery.Read(bytes.NewReader(raw))
			return e, discovery.AppendEvent(nil, &e), err
		}}
	}
	last := uint64(1<<64 - 2)
	goldenForms(t, "discovery_frames.txt", []form{
		{"hello", last, discovery.AppendHello(nil, last), func(raw []byte) (any, []byte, error) {
			last, err := discovery.ReadHello(raw)
			return last, discovery.AppendHello(nil, last), err
		}},
		event("nothing_new", discovery.Event{Number: 17}),
		event("whole", discovery.Event{Number: 18, Endpoints: discoveryMachines(), Complete: true}),
		event("whole_empty", discovery.Event{Number: 18, Endpoints: []discovery.Endpoint{}, Complete: true}),
		event("change", discovery.Event{Number: 1<<64 - 1, Endpoints: discoveryMachines()}),
		event("purge_object", discovery.Event{Number: 20, Purge: &discovery.Purge{Object: 0x7f3a9c21e0b4d655, StampUnix: 1_700_000_000_123}}),
		event("purge_group", discovery.Event{Number: 21, Purge: &discovery.Purge{Group: 65535, StampUnix: 1_700_000_000_123}}),
	})
}

// TestDiscoveryJSON: the endpoint list in the form in which a configuration has it.
func TestDiscoveryJSON(t *testing.T) {
	zones, kinds := []string{"west", "east, far"}, []string{"box", "mid", "root"}
	b, err := json.MarshalIndent(discovery.NewSnapshot(7, discoveryMachines(), zones, kinds), "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "discovery_known.json", append(b, '\n'))
	last, events, err := discovery.ParseKnown(readGolden(t, "discovery_known.json"), zones, kinds)
	want := []discovery.Event{{Number: 7, Endpoints: discoveryMachines(), Complete: true}}
	if err != nil || last != 7 || !reflect.DeepEqual(events, want) {
		t.Errorf("read as %d, %+v, %v", last, events, err)
	}
}
