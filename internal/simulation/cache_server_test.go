package simulation

import (
	"testing"
	"time"
)

// TestSlotsQueueAndCancel submits more requests than the slots and the queue hold. The excess requests must be rejected, a
// canceled request must free its slot for the next request in the queue, and the responses must share the cores.
func TestSlotsQueueAndCancel(t *testing.T) {
	const canceled = 1
	w, cache, _, _ := newTestWorld(t)
	for i := range uint64(8) {
		w.Insert(cache, i, 0, 10000, 2, 0)
		w.Submit(cache, Request{ID: i + 1, Object: i, Bytes: 10000})
	}
	rejected := 0
	for _, response := range w.Advance(0) {
		if response.Status == Rejected {
			rejected++
		}
	}
	if rejected != 2 {
		t.Errorf("rejected requests out of 8: got %d, want 2 with 4 slots and a queue of 2", rejected)
	}

	w.Cancel(cache, canceled)
	if m := w.machines[cache]; m.active != 4 || len(m.queue) != 1 {
		t.Errorf("after the cancellation: got %d requests in slots and %d in the queue, want 4 and 1", m.active, len(m.queue))
	}

	// Four responses share two cores, so that 0.1 s of work takes 0.2 s.
	checkNear(t, "a response on shared cores", awaitResponse(t, w, 2, time.Second).At, 200*time.Millisecond)
	for _, response := range w.Advance(time.Minute) {
		if response.ID == canceled {
			t.Error("got a response to a canceled request, want none")
		}
	}
}
