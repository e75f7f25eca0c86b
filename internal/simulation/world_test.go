package simulation

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestEveryRequestGetsOneResponse submits and cancels requests, and kills and restarts machines, in random order. Each request
// that is not canceled must get exactly one response, and a canceled request none. At the end the machines must have no
// requests, transfers, fetches or revalidations in progress.
func TestEveryRequestGetsOneResponse(t *testing.T) {
	for seed := range uint64(30) {
		random := rand.New(rand.NewPCG(seed, 5))
		w, _, parent, origin := newTestWorld(t)
		open := map[uint64]uint32{} // cache by request id
		advance := func(by time.Duration) {
			t.Helper()
			for _, response := range w.Advance(w.now + by) {
				if _, ok := open[response.ID]; !ok {
					t.Fatalf("seed %d: got a response to request %d, which is not open", seed, response.ID)
				}
				delete(open, response.ID)
			}
		}

		for id := uint64(1); id < 3000; id++ {
			advance(time.Duration(random.IntN(30)) * time.Millisecond)
			cache := w.machineList[random.IntN(3)].ID
			switch n := random.IntN(100); {
			case n < 80:
				open[id] = cache
				w.Submit(cache, Request{
					ID:           id,
					Class:        random.IntN(2),
					Object:       uint64(random.IntN(30)),
					Bytes:        1 + random.IntN(20000),
					FillSource:   []uint32{noSource, parent, origin}[random.IntN(3)],
					Rank:         uint8(random.IntN(4)),
					Revalidate:   n%2 == 0,
					OnlyIfCached: n%7 == 0,
				})
			case n < 95:
				cancelRandom(w, random, open)
			case n < 98:
				w.Kill(w.machineList[random.IntN(4)].ID)
			default:
				w.Restart(w.machineList[random.IntN(4)].ID)
			}
		}
		for range 600 {
			advance(100 * time.Millisecond)
		}

		if len(open) > 0 || len(w.network.transfers) > 0 {
			t.Fatalf("seed %d: got %d requests and %d transfers in progress at the end, want none", seed, len(open), len(w.network.transfers))
		}
		for _, m := range w.machineList {
			if m.active != 0 || len(m.queue) != 0 || m.fetches != 0 || len(m.revalidations) != 0 {
				t.Fatalf("seed %d: at the end %s has %d requests in slots, %d in the queue, %d fetches and %d revalidations, want none",
					seed, m.Name, m.active, len(m.queue), m.fetches, len(m.revalidations))
			}
		}
	}
}

// cancelRandom cancels a randomly chosen open request, if there is any.
func cancelRandom(w *World, random *rand.Rand, open map[uint64]uint32) {
	if len(open) == 0 {
		return
	}
	ids := slices.Sorted(maps.Keys(open))
	id := ids[random.IntN(len(ids))]
	w.Cancel(open[id], id)
	delete(open, id)
}
