package compat

import (
	"fmt"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/changefeed"
	"indigochute.example/indigochute/internal/lease"
)

// leaseEncoding returns the encoding of a message about leases.
func leaseEncoding(name string, m lease.Message) encoding {
	return encoding{name, m, lease.Append(nil, &m), func(raw []byte) (any, []byte, error) {
		m, err := lease.Parse(raw)
		return m, lease.Append(nil, &m), err
	}}
}

// healthReportEncoding returns the encoding of the health report of one run.
func healthReportEncoding(name string, report lease.HealthReport) encoding {
	return encoding{name, report, lease.AppendHealthReport(nil, &report), func(raw []byte) (any, []byte, error) {
		report, err := lease.ParseHealthReport(raw)
		return report, lease.AppendHealthReport(nil, &report), err
	}}
}

// changefeedEncoding returns the encoding of a message between control machines.
func changefeedEncoding(name string, m changefeed.Message) encoding {
	return encoding{name, m, changefeed.AppendMessage(nil, &m), func(raw []byte) (any, []byte, error) {
		m, err := changefeed.ParseMessage(raw)
		return m, changefeed.AppendMessage(nil, &m), err
	}}
}

func eventsEncoding(name string, list []changefeed.Event) encoding {
	return encoding{name, list, changefeed.AppendEvents(nil, list), func(raw []byte) (any, []byte, error) {
		list, err := changefeed.ParseEvents(raw)
		return list, changefeed.AppendEvents(nil, list), err
	}}
}

func vectorEncoding(name string, v changefeed.Vector) encoding {
	return encoding{name, v, changefeed.AppendVector(nil, v), func(raw []byte) (any, []byte, error) {
		v, err := changefeed.ParseVector(raw)
		return v, changefeed.AppendVector(nil, v), err
	}}
}

const longest64 = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

func TestLeaseMessages(t *testing.T) {
	leases := []lease.LeaseRecord{
		{Duty: "probe", Owner: "n0", Fence: 1, Remaining: 1200 * time.Millisecond, HasRun: true, SinceRun: 500 * time.Millisecond},
		{Duty: longest64, Owner: longest64, Fence: 1<<64 - 1, Remaining: 1000 * time.Hour, HasRun: false, SinceRun: time.Microsecond},
		{Duty: "s", Fence: 300},
	}
	returned := []lease.LeaseRecord{{Duty: "sweep", Owner: "n2", Fence: 70000, Remaining: time.Second, HasRun: true, SinceRun: time.Hour}}
	var encodings []encoding
	for kind, name := range [...]string{"ask", "promise", "hello", "grant", "release"} {
		full := lease.Message{Kind: lease.Kind(kind), Term: 1_700_000_000_123, Sequence: 1<<64 - 1, Granted: true, Duration: 1250 * time.Millisecond, Leaving: true,
			Leases: leases, Returned: returned, Complete: true, SetNumber: 255, SetTerm: 65536, InheritedLeases: 999 * time.Microsecond, InheritedTerm: 128}
		encodings = append(encodings, leaseEncoding(name+"_full", full),
			leaseEncoding(name+"_bare", lease.Message{Kind: lease.Kind(kind), Term: 127, Sequence: 128}))
	}
	goldenEncodings(t, "lease_messages.txt", encodings)
}

// TestLeaseDurationRounding checks that durations are rounded so that no lease gets longer. The rounding is part of the encoding.
func TestLeaseDurationRounding(t *testing.T) {
	var encodings []encoding
	for kind := lease.VoteRequest; kind <= lease.VoteRelease; kind++ {
		m := lease.Message{Kind: kind, Duration: 1500 * time.Nanosecond, InheritedLeases: 1500 * time.Nanosecond,
			Leases: []lease.LeaseRecord{{Duty: "d", Remaining: 1500 * time.Nanosecond, SinceRun: 1500 * time.Nanosecond}}}
		encodings = append(encodings, encoding{name: fmt.Sprintf("rounded_%d", kind), bytes: lease.Append(nil, &m)})
	}
	goldenEncodings(t, "lease_spans.txt", encodings)
}

func TestHealthReports(t *testing.T) {
	goldenEncodings(t, "lease_news.txt", []encoding{
		healthReportEncoding("none", lease.HealthReport{Duty: "probe", Fence: 1, Run: 2}),
		healthReportEncoding("several", lease.HealthReport{Duty: longest64, Fence: 1<<64 - 1, Run: 1 << 32, Machines: []lease.MachineHealth{
			{Node: 1, StartedUnix: 0, Alive: true, Age: 0},
			{Node: 1<<32 - 1, StartedUnix: 1_700_000_000_123, Alive: false, Age: 200 * time.Millisecond},
			{Node: 70000, StartedUnix: 1 << 62, Alive: true, Age: 1000 * time.Hour},
		}}),
	})
}

func TestChangefeedMessages(t *testing.T) {
	vector := changefeed.Vector{{Origin: longest64, Epoch: 255, Number: 128}, {Origin: "c0", Epoch: 1, Number: 0},
		{Origin: "c0", Epoch: 1_700_000_000_123, Number: 1<<64 - 1}}
	events := []changefeed.Event{
		{Origin: "c0", Epoch: 1_700_000_000_123, Number: 7, Prev: 5, LostUpTo: 6, Fence: 9, Key: "probe/12", Lifetime: 10 * time.Minute,
			Age: 3 * time.Second, Payload: []byte("payload \x00\xff")},
		{Origin: longest64, Epoch: 1, Number: 1<<64 - 1, Key: longest64 + longest64, Lifetime: 1000 * time.Hour, Age: time.Microsecond,
			Payload: make([]byte, 300)},
		{Origin: "c2", Epoch: 1, Number: 2, Prev: 1, Key: "k", Payload: make([]byte, 70)},
	}
	goldenEncodings(t, "changefeed.txt", []encoding{
		changefeedEncoding("have", changefeed.Message{Kind: changefeed.Positions, Vector: vector}),
		changefeedEncoding("want", changefeed.Message{Kind: changefeed.Fetch, Vector: vector}),
		changefeedEncoding("tell", changefeed.Message{Kind: changefeed.Events, Events: events}),
		changefeedEncoding("tell_both", changefeed.Message{Kind: changefeed.Events, Vector: vector, Events: events}),
		changefeedEncoding("have_none", changefeed.Message{Kind: changefeed.Positions}),
		eventsEncoding("notes", events),
		eventsEncoding("notes_none", nil),
		vectorEncoding("vector", vector),
		vectorEncoding("vector_none", nil),
		{name: "rounded", bytes: changefeed.AppendEvents(nil, []changefeed.Event{{Origin: "c0", Key: "k", Lifetime: 1500 * time.Nanosecond, Age: 1500 * time.Nanosecond}})},
	})
}
