package changefeed

import (
	"fmt"
	"testing"
	"time"
)

// benchConfig returns the configuration of one of nine control machines.
func benchConfig(index int) Config {
	config := Config{Name: fmt.Sprintf("c%d", index), Epoch: 1}
	for i := range 9 {
		config.Origins = append(config.Origins, fmt.Sprintf("c%d", i))
	}
	return config
}

// fillNode stores count events in a node, of all nine origins in turn, each with a lifetime of an hour.
func fillNode(b testing.TB, node *Node, count int) {
	b.Helper()
	payload := make([]byte, 60)
	for i := range count {
		origin := fmt.Sprintf("c%d", i%9)
		key := fmt.Sprintf("note/purge/%d", i)
		if origin == node.config.Name {
			if _, err := node.Publish(0, key, time.Hour, payload); err != nil {
				b.Fatal(err)
			}
			continue
		}
		number := uint64(i/9 + 1)
		message := &Message{Kind: Events, From: origin, To: node.config.Name, Events: []Event{{Origin: origin, Epoch: 1, Number: number, Prev: number - 1,
			Key: key, Lifetime: time.Hour, Payload: payload}}}
		if _, fresh := node.Receive(0, message); len(fresh) != 1 {
			b.Fatalf("event %d of %s was not accepted", number, origin)
		}
	}
}

// logSizes are the numbers of stored events in the benchmarks. The last one is the number of purges in an hour by docs/CAPACITY.md.
var logSizes = []int{1000, 2000, 4000, 7740, 15480}

// benchmarkSizes runs a benchmark for each of logSizes, with a node that stores this number of events.
func benchmarkSizes(b *testing.B, run func(b *testing.B, node *Node, size int)) {
	for _, size := range logSizes {
		node := New(benchConfig(0))
		fillNode(b, node, size)
		b.Run(fmt.Sprintf("notes=%d", size), func(b *testing.B) { run(b, node, size) })
	}
}

// BenchmarkScaleStreamNext measures Next for a subscriber that lacks one event.
func BenchmarkScaleStreamNext(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, node *Node, _ int) {
		cursor := node.Subscribe(node.Vector())
		cursor.refresh(node.store)
		last := &cursor.logPositions[8]
		for b.Loop() {
			last.number = last.log.head - 1
			if len(node.Next(0, cursor, 16<<10)) != 1 {
				b.Fatal("got no event or several, want 1")
			}
		}
	})
}

// BenchmarkScaleStreamIdle measures Next for a subscriber that has all events.
func BenchmarkScaleStreamIdle(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, node *Node, _ int) {
		cursor := node.Subscribe(node.Vector())
		for b.Loop() {
			if len(node.Next(0, cursor, 16<<10)) != 0 {
				b.Fatal("got events for a subscriber that has all, want none")
			}
		}
	})
}

// BenchmarkScaleStreamCatchUp measures Next and the encoding of all stored events for a subscriber that has none. It reports the
// encoded bytes, without frames and headers, as B/msg.
func BenchmarkScaleStreamCatchUp(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, node *Node, size int) {
		bytes := 0
		for b.Loop() {
			sent := 0
			bytes = 0
			for cursor := node.Subscribe(nil); ; {
				list := node.Next(0, cursor, 16<<10)
				if len(list) == 0 {
					break
				}
				sent += len(list)
				bytes += len(AppendEvents(nil, list))
			}
			if sent != size {
				b.Fatalf("got %d events sent, want %d", sent, size)
			}
		}
		b.ReportMetric(float64(bytes), "B/msg")
	})
}

// BenchmarkScaleStreamPublish measures Publish at one of nine control machines with a full log. Each event has a key of its own, so
// that the oldest event is evicted.
func BenchmarkScaleStreamPublish(b *testing.B) {
	for _, size := range logSizes {
		b.Run(fmt.Sprintf("notes=%d", size), func(b *testing.B) {
			config := benchConfig(0)
			config.MaxEntries = size
			node := New(config)
			fillNode(b, node, size)
			payload := make([]byte, 60)
			for i := 0; b.Loop(); i++ {
				if out, err := node.Publish(0, fmt.Sprintf("note/other/%d", i), time.Hour, payload); err != nil || len(out) != 8 {
					b.Fatal(len(out), err)
				}
			}
		})
	}
}

// BenchmarkScaleStreamTake measures Reader.Accept for one event, with events of several origins in turn.
func BenchmarkScaleStreamTake(b *testing.B) {
	for _, origins := range []int{3, 5, 9} {
		b.Run(fmt.Sprintf("origins=%d", origins), func(b *testing.B) {
			reader := NewReader(benchConfig(0).Origins)
			event := Event{Epoch: 1, Key: "note/purge", Lifetime: time.Hour}
			for i := 0; b.Loop(); i++ {
				event.Origin, event.Number, event.Prev = benchOrigins[i%origins], uint64(i/origins+1), uint64(i/origins)
				if verdict := reader.Accept(&event); verdict != Accepted {
					b.Fatal(verdict)
				}
			}
		})
	}
}

// benchOrigins has the names of the nine control machines of benchConfig.
var benchOrigins = benchConfig(0).Origins
