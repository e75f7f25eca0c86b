package resp

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/routing"
)

// TestAllocations bounds the allocations of each operation that a director or a node performs for an attempt.
func TestAllocations(t *testing.T) {
	request := Request{
		ID: "d0-17", Class: "segment", Object: "7f3a9c21e0b4d655", Part: "12",
		IdempotencyKey: "k-9", ETag: "17", Timeout: 5 * time.Second, Source: "s-331d10af",
		Order: routing.AttemptOrder{CachePriority: 3, MaxAge: time.Second, CollapseFills: true, OnlyIfCached: true, Revalidate: true},
		Body:  make([]byte, 300),
	}
	response := Response{ID: "d0-17", Status: Hit, Fill: routing.Filled, Waited: 12345 * time.Microsecond, Fetched: 1_700_000_000_123,
		Body: make([]byte, 300)}
	rawRequest, rawResponse := AppendRequest(nil, &request), AppendResponse(nil, &response)
	source := bytes.NewReader(nil)
	in := bufio.NewReaderSize(source, 1<<10)
	buffer := make([]byte, 0, 1<<10)
	cases := []struct {
		name string
		max  float64 // allocations
		run  func()
	}{
		{"append a request", 0, func() { buffer = AppendRequest(buffer[:0], &request) }},
		{"append a response", 0, func() { buffer = AppendResponse(buffer[:0], &response) }},
		{"append a health check", 0, func() { buffer = AppendHealthCheck(buffer[:0], "p-1") }},
		{"append a cancellation", 0, func() { buffer = AppendCancel(buffer[:0], "d0-17") }},
		{"read a response", 9, func() {
			source.Reset(rawResponse)
			in.Reset(source)
			if _, err := ReadResponse(in, nil); err != nil {
				t.Fatal(err)
			}
		}},
		{"read a command", 18, func() {
			source.Reset(rawRequest)
			in.Reset(source)
			if _, err := ReadCommand(in); err != nil {
				t.Fatal(err)
			}
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if got := testing.AllocsPerRun(100, test.run); got > test.max {
				t.Errorf("got %v allocations, want at most %v", got, test.max)
			}
		})
	}
}
