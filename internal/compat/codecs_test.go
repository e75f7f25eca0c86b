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

// appendRequest returns the bytes of a client's message, whose kind may be any.
func appendRequest(m *msgpack.Message) []byte {
	switch m.Kind {
	case msgpack.ReadinessCheck:
		return msgpack.AppendReadinessCheck(nil, m.ID)
	case msgpack.Cancellation:
		return msgpack.AppendCancel(nil, m.ID)
	}
	return msgpack.AppendRequest(nil, m)
}

func requestEncoding(name string, m msgpack.Message) encoding {
	return encoding{name, m, appendRequest(&m), func(raw []byte) (any, []byte, error) {
		m, err := msgpack.NewReader(bufio.NewReader(bytes.NewReader(raw))).Read()
		return m, appendRequest(&m), err
	}}
}

// responseEncoding returns the encoding of a director's response to a client. The function write encodes a response.
func responseEncoding(name string, reply msgpack.Response, write func(msgpack.Response) []byte) encoding {
	return encoding{name, reply, write(reply), func(raw []byte) (any, []byte, error) {
		reply, err := msgpack.ReadResponse(bufio.NewReader(bytes.NewReader(raw)))
		return reply, write(reply), err
	}}
}

func TestClientMessages(t *testing.T) {
	full := msgpack.Message{Kind: msgpack.Request, ID: 1<<32 - 1, Class: "segment", HasID: true, RequestID: "c1-77", Timeout: 6 * time.Second,
		IdempotencyKey: "k-9", Object: "7f3a9c21e0b4d655", Part: "12", Group: "3", ETag: "1700000000123", Body: []byte("body \x00\xff")}
	long := full
	long.ID, long.Object, long.Body = 1, longest64, make([]byte, 300)
	success := func(a msgpack.Response) []byte { return slices.Concat(msgpack.Success(a.ID, a.Body, a.NotModified)) }
	rejection := func(a msgpack.Response) []byte { return msgpack.Rejection(a.ID, a.RetryAfter) }
	failure := func(a msgpack.Response) []byte { return msgpack.Failure(a.ID, "may have run") }
	readiness := func(a msgpack.Response) []byte { return msgpack.Readiness(a.ID, !a.Rejected) }
	goldenEncodings(t, "client_messages.txt", []encoding{
		requestEncoding("call_full", full),
		requestEncoding("call_long", long),
		requestEncoding("call_bare", msgpack.Message{Kind: msgpack.Request, ID: 2, Class: "log", HasID: true, RequestID: "r",
			Timeout: time.Millisecond}),
		requestEncoding("alive", msgpack.Message{Kind: msgpack.ReadinessCheck, ID: 3, Class: "alive", HasID: true}),
		requestEncoding("cancel", msgpack.Message{Kind: msgpack.Cancellation, ID: 1<<32 - 1}),
		responseEncoding("done", msgpack.Response{ID: 1<<32 - 1, Body: []byte("body \x00\xff")}, success),
		responseEncoding("done_same", msgpack.Response{ID: 5, NotModified: true}, success),
		responseEncoding("done_large", msgpack.Response{ID: 5, Body: make([]byte, 400)}, success),
		responseEncoding("denied", msgpack.Response{ID: 6, Rejected: true}, rejection),
		responseEncoding("denied_retry_after", msgpack.Response{ID: 6, Rejected: true, RetryAfter: 180 * time.Millisecond}, rejection),
		responseEncoding("aborted", msgpack.Response{ID: 7, Failed: true}, failure),
		responseEncoding("ready", msgpack.Response{ID: 8}, readiness),
		responseEncoding("not_ready", msgpack.Response{ID: 8, Rejected: true}, readiness),
	})
}

// commandEncoding returns the encoding of a command to a node.
func commandEncoding(name string, c resp.Command) encoding {
	write := func(c resp.Command) []byte {
		switch {
		case c.Cancel:
			return resp.AppendCancel(nil, c.ID)
		case c.HealthCheck:
			return resp.AppendHealthCheck(nil, c.ID)
		}
		return resp.AppendRequest(nil, &c.Request)
	}
	return encoding{name, c, write(c), func(raw []byte) (any, []byte, error) {
		c, err := resp.ReadCommand(bufio.NewReader(bytes.NewReader(raw)))
		return c, write(c), err
	}}
}

func nodeResponseEncoding(name string, a resp.Response) encoding {
	return encoding{name, a, resp.AppendResponse(nil, &a), func(raw []byte) (any, []byte, error) {
		a, err := resp.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
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
	encodings := []encoding{
		commandEncoding("get_full", resp.Command{Request: full}),
		commandEncoding("get_bare", with(routing.AttemptOrder{})),
		commandEncoding("get_join", with(routing.AttemptOrder{CollapseFills: true, CachePriority: 1})),
		commandEncoding("get_held_only", with(routing.AttemptOrder{OnlyIfCached: true, CachePriority: 2})),
		commandEncoding("get_renew", with(routing.AttemptOrder{Revalidate: true, MaxAge: time.Millisecond})),
		commandEncoding("get_join_renew", with(routing.AttemptOrder{CollapseFills: true, Revalidate: true})),
		{name: "get_least", bytes: resp.AppendRequest(nil, &resp.Request{ID: "x", Class: "log", Object: "o", Order: routing.AttemptOrder{MaxAge: time.Microsecond}})},
		commandEncoding("drop", resp.Command{Request: resp.Request{ID: "d0-17"}, Cancel: true}),
		commandEncoding("ping", resp.Command{Request: resp.Request{ID: "p-1"}, HealthCheck: true}),
	}
	statusNames := [...]string{"hit", "valid", "none", "full", "fault", "late", "pong"}
	for status, name := range statusNames {
		encodings = append(encodings, nodeResponseEncoding("answer_"+name,
			resp.Response{ID: "d0-17", Status: resp.Status(status), Body: []byte("body")}))
	}
	fillNames := [...]string{"untold", "hit", "filled", "filled_by_origin", "joined", "stale", "source_refused", "source_unreached", "source_lacks",
		"no_place", "origin_failed"}
	for fill, name := range fillNames {
		encodings = append(encodings, nodeResponseEncoding("note_"+name, resp.Response{ID: "d0-17", Status: resp.Hit, Fill: routing.Fill(fill),
			Waited: 12345 * time.Microsecond, Fetched: 1_700_000_000_123, Body: []byte{}}))
	}
	goldenEncodings(t, "node_messages.txt", encodings)
}

func discoveryMachines() []discovery.Endpoint {
	return []discovery.Endpoint{
		{ID: 0x331d10af, Addr: netip.MustParseAddrPort("10.1.0.1:7100"), State: routing.Ready, Zone: 1, Kind: 0, Cell: 513, Capacity: 12.5, StartedUnix: 1_700_000_000_123},
		{ID: 1, Addr: netip.MustParseAddrPort("10.1.0.2:1"), State: routing.Draining, Zone: 0, Kind: 1, Cell: 0, Capacity: 0},
		{ID: 1<<32 - 1, Addr: netip.MustParseAddrPort("255.255.255.255:65535"), State: routing.Gone, Zone: 0, Kind: 2, Cell: 65535, Capacity: 4000000, StartedUnix: 1},
	}
}

func TestDiscoveryFrames(t *testing.T) {
	event := func(name string, e discovery.Event) encoding {
		return encoding{name, e, discovery.AppendEvent(nil, &e), func(raw []byte) (any, []byte, error) {
			e, err := discovery.Read(bytes.NewReader(raw))
			return e, discovery.AppendEvent(nil, &e), err
		}}
	}
	last := uint64(1<<64 - 2)
	goldenEncodings(t, "discovery_frames.txt", []encoding{
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

// TestDiscoveryJSON checks the endpoint list as it is written in a configuration.
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
		t.Errorf("the golden bytes are read as last event %d, %+v, error %v, want 7, one complete event", last, events, err)
	}
}
