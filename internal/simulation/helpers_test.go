package simulation

import (
	"testing"
	"time"

	"indigochute.example/indigochute/internal/topology"
)

// sampleTopology has two zones with a hub each, three caches and a parent.
const sampleTopology = `
name: test
zones: [{name: west, link: 1MB/s, directors: 1}, {name: east, link: 1MB/s, directors: 1, hub: 1}]
kinds: [{name: std, cores: 2, pace: 100KB/s, slots: 4, room: 2, memory: 100KB, number: {west: 2, east: 1}}]
parents: [{name: mid, zone: west, number: 1, link: 500KB/s, fetches: 2, memory: 1MB}]
origin: {link: 1MB/s, latency: 10ms, fetches: 4}
flow: 100KB/s
hop: 1ms
vhosts:
  - {name: page, aim: 1s, timeout: 5s, effect: replayable, fresh: 2s, sizes: {least: 1KB, most: 20KB}}
  - {name: log, aim: 1s, timeout: 5s, effect: uniqued, write: true, sizes: {least: 1KB, most: 1KB}}
cold: {floor: 50%, ramp: 4s, multiple: 2, window: 1s, down: 1s}
parentCold: {floor: 50%, ramp: 4s, multiple: 2, window: 1s}
`

// newTestWorld returns a world with the machines of sampleTopology, and the ids of its first cache, its parent and its origin.
func newTestWorld(t *testing.T) (w *World, cache, parent, origin uint32) {
	t.Helper()
	description, err := topology.Parse("test", []byte(sampleTopology))
	if err != nil {
		t.Fatal(err)
	}
	machines := description.Machines()
	return New(description), machines[0].ID, machines[3].ID, machines[4].ID
}

// awaitResponse advances the world until it returns the response to a request. It fails the test if there is none within the
// given time.
func awaitResponse(t *testing.T, w *World, id uint64, within time.Duration) Response {
	t.Helper()
	for until := w.now + within; w.now < until; {
		for _, response := range w.Advance(w.now + time.Millisecond) {
			if response.ID == id {
				return response
			}
		}
	}
	t.Fatalf("got no response to request %d within %v", id, within)
	return Response{}
}

// nearTolerance is the difference of times that checkNear accepts.
const nearTolerance = 3 * time.Millisecond

// checkNear fails the test if a time differs from the wanted one by more than nearTolerance.
func checkNear(t *testing.T, name string, got, want time.Duration) {
	t.Helper()
	if difference := (got - want).Abs(); difference > nearTolerance {
		t.Errorf("%s: got %v, want %v", name, got, want)
	}
}
