package simadapter

import (
	"bytes"
	"io"
	"testing"
)

// TestServeAllocationsForIgnoredEvents checks that frames with events that are not used for decisions cause no allocations.
func TestServeAllocationsForIgnoredEvents(t *testing.T) {
	const batches = 1000
	var start, session frames
	start.add(1e6, at(3), create(), announce(endpoint(1, 8, 0, 1), endpoint(1, 2, 1, 0), endpoint(1, 1, 2, 0)))
	session.Write(start.Bytes())
	for range batches {
		session.add(2e6, at(3),
			le(eventProbeDone, uint16(200), uint32(0), uint32(99), uint8(1), float32(1)),
			le(eventPeer, uint16(1), uint16(2), uint16(0)),
			le(eventOpened, uint32(1), uint8(0), uint32(8), uint32(0)),
			le(eventAnnounce, uint8(4), uint32(0), uint32(0)))
	}
	allocations := func(input []byte) float64 {
		return testing.AllocsPerRun(5, func() {
			if err := Serve(bytes.NewReader(input), io.Discard); err != nil {
				t.Fatal(err)
			}
		})
	}
	perBatch := (allocations(session.Bytes()) - allocations(start.Bytes())) / batches
	if perBatch > 0.01 { // above 0, because the buffers grow occasionally
		t.Errorf("got %v allocations per frame, want none", perBatch)
	}
}
