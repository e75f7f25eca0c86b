package msgpack

import (
	"bufio"
	"bytes"
	"slices"
	"testing"
	"time"
)

// sink makes results escape to the heap, so that their allocations are counted.
var sink []byte

// TestAllocations bounds the allocations of each operation that a director performs for a request.
func TestAllocations(t *testing.T) {
	message := Message{ID: 7, Class: "segment", RequestID: "9b1f", Timeout: time.Second, IdempotencyKey: "k", Object: "7f3a9c21e0b4d655", Part: "3",
		Group: "17", ETag: "ab", Body: make([]byte, 300)}
	request := AppendRequest(nil, &message)
	source := bytes.NewReader(request)
	in := bufio.NewReaderSize(source, 1<<10)
	reader := NewReader(in)
	buffer := make([]byte, 0, 1<<10)
	head, body, tail := Success(7, message.Body, false)
	response := slices.Concat(head, body, tail)
	single := AppendUint(AppendList(nil, 1), 300)
	cases := []struct {
		name string
		max  float64 // allocations
		run  func()
	}{
		{"read a request", 24, func() {
			source.Reset(request)
			in.Reset(source)
			if _, err := reader.Read(); err != nil {
				t.Fatal(err)
			}
		}},
		{"read a response", 3, func() {
			source.Reset(response)
			in.Reset(source)
			if _, err := ReadResponse(in); err != nil {
				t.Fatal(err)
			}
		}},
		{"read values", 4, func() {
			values := NewValues(single)
			if values.List(4) != 1 || values.Uint() != 300 || values.End() != nil {
				t.Fatal(values.Err())
			}
		}},
		{"append a request", 1, func() { buffer = AppendRequest(buffer[:0], &message) }},
		{"append values", 0, func() { buffer = AppendText(AppendUint(AppendList(buffer[:0], 20), 300), "text") }},
		{"success", 4, func() { sink, _, sink = Success(7, message.Body, false) }},
		{"success, not modified", 6, func() { sink, _, sink = Success(7, nil, true) }},
		{"rejection", 5, func() { sink = Rejection(7, 250*time.Millisecond) }},
		{"failure", 4, func() { sink = Failure(7, "unknown") }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if got := testing.AllocsPerRun(100, test.run); got > test.max {
				t.Errorf("got %v allocations, want at most %v", got, test.max)
			}
		})
	}
}
