package discovery

import (
	"bytes"
	"testing"
)

// TestAllocations bounds the allocations of reading and writing an event.
func TestAllocations(t *testing.T) {
	snapshot := AppendEvent(nil, &Event{Number: 1, Endpoints: endpoints(70), Complete: true})
	purge := AppendEvent(nil, &Event{Number: 1, Purge: &Purge{Object: 7, StampUnix: 1764576000000}})
	in := bytes.NewReader(nil)
	buffer := make([]byte, 0, 4<<10)
	change := Event{Number: 1, Endpoints: endpoints(70)}
	read := func(frame []byte) func() {
		return func() {
			in.Reset(frame)
			if _, err := Read(in); err != nil {
				t.Fatal(err)
			}
		}
	}
	cases := []struct {
		name string
		max  float64 // allocations
		run  func()
	}{
		{"read a snapshot", 3, read(snapshot)},
		{"read a purge", 3, read(purge)},
		{"append a change", 0, func() { buffer = AppendEvent(buffer[:0], &change) }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if got := testing.AllocsPerRun(100, test.run); got > test.max {
				t.Errorf("got %v allocations, want at most %v", got, test.max)
			}
		})
	}
}
