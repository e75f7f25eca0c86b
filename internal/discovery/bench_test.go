package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"

	"indigochute.example/indigochute/internal/routing"
)

// endpoints returns a number of endpoints as a discovery service lists them: with different ids, addresses and start times.
func endpoints(count int) []Endpoint {
	all := make([]Endpoint, count)
	for i := range all {
		address := netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})
		all[i] = Endpoint{
			ID:          uint32(i + 1),
			Addr:        netip.AddrPortFrom(address, 8443),
			State:       routing.Ready,
			Zone:        i % 18,
			Kind:        i % 3,
			Cell:        i % 5,
			Capacity:    4,
			StartedUnix: 1764576000000 + int64(i),
		}
	}
	return all
}

// benchmarkRead measures reading a number of events from their frames, and reports the bytes of the frames.
func benchmarkRead(b *testing.B, raw []byte, events int) {
	b.ReportAllocs()
	in := bytes.NewReader(raw)
	for b.Loop() {
		in.Reset(raw)
		for range events {
			if _, err := Read(in); err != nil {
				b.Fatal(err)
			}
		}
		if in.Len() > 0 {
			b.Fatalf("%d bytes are left", in.Len())
		}
	}
	b.ReportMetric(float64(len(raw)), "B/msg")
}

// BenchmarkScaleFeedList reads one event that is a full snapshot.
func BenchmarkScaleFeedList(b *testing.B) {
	for _, size := range []int{20, 70, 140, 280} {
		b.Run(fmt.Sprintf("machines=%d", size), func(b *testing.B) {
			benchmarkRead(b, AppendEvent(nil, &Event{Number: 1, Endpoints: endpoints(size), Complete: true}), 1)
		})
	}
}

// BenchmarkScaleFeedChanges reads an event for each endpoint that changed.
func BenchmarkScaleFeedChanges(b *testing.B) {
	for _, size := range []int{20, 70, 140, 280} {
		b.Run(fmt.Sprintf("changes=%d", size), func(b *testing.B) {
			var raw []byte
			for i, endpoint := range endpoints(size) {
				raw = AppendEvent(raw, &Event{Number: uint64(i + 1), Endpoints: []Endpoint{endpoint}})
			}
			benchmarkRead(b, raw, size)
		})
	}
}

// BenchmarkScaleFeedPurges reads purges; every second one is of a group, the others are of objects.
func BenchmarkScaleFeedPurges(b *testing.B) {
	for _, size := range []int{100, 500, 1000, 5000, 10000} {
		b.Run(fmt.Sprintf("purges=%d", size), func(b *testing.B) {
			var raw []byte
			for i := range size {
				purge := &Purge{Object: uint64(i + 1), StampUnix: 1764576000000}
				if i%2 == 1 {
					purge.Object, purge.Group = 0, uint32(i)
				}
				raw = AppendEvent(raw, &Event{Number: uint64(i + 1), Purge: purge})
			}
			benchmarkRead(b, raw, size)
		})
	}
}

// BenchmarkScaleFeedKnown reads a full snapshot as the configuration holds it.
func BenchmarkScaleFeedKnown(b *testing.B) {
	zones, kinds := make([]string, 18), []string{"box", "mid", "root"}
	for i := range zones {
		zones[i] = fmt.Sprintf("zone%d", i)
	}
	for _, size := range []int{20, 70, 140, 280} {
		b.Run(fmt.Sprintf("machines=%d", size), func(b *testing.B) {
			raw, err := json.Marshal(NewSnapshot(1, endpoints(size), zones, kinds))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				_, events, err := ParseKnown(raw, zones, kinds)
				if err != nil || len(events) != 1 || len(events[0].Endpoints) != size {
					b.Fatalf("%d events, error %v", len(events), err)
				}
			}
			b.ReportMetric(float64(len(raw)), "B/msg")
		})
	}
}
