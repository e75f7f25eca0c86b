package simulation

import (
	"testing"
	"time"

	"indigochute.example/indigochute/internal/routing"
)

// TestFillsAndHits submits requests to a cache one after another: fills by a parent and by the origin, a hit, misses that no
// machine fills, and a write.
func TestFillsAndHits(t *testing.T) {
	w, cache, parent, origin := newTestWorld(t)
	w.Submit(cache, Request{ID: 1, Object: 7, Bytes: 10000, FillSource: parent, Rank: 2})
	response := awaitResponse(t, w, 1, time.Second)
	// One hop, the latency of the origin, then 10 KB from origin to parent at 1 MB/s, from parent to cache at 500 KB/s, and to
	// the client at 100 KB/s.
	checkNear(t, "a fill through the parent", response.At, (1+10+10+20+100)*time.Millisecond)
	checkEnd(t, "a fill through the parent", response, Served, routing.Filled)
	if want := 40 * time.Millisecond; response.Waited < want {
		t.Errorf("a fill through the parent: got a wait of %v, want at least %v", response.Waited, want)
	}

	submitted := w.now
	w.Submit(cache, Request{ID: 2, Object: 7, Bytes: 10000, FillSource: parent, Rank: 2})
	response = awaitResponse(t, w, 2, time.Second)
	checkEnd(t, "a hit", response, Served, routing.CacheHit)
	checkNear(t, "a hit", response.At-submitted, 100*time.Millisecond)

	w.Advance(w.now + 3*time.Second) // past its freshness lifetime
	w.Submit(cache, Request{ID: 3, Object: 7, Bytes: 10000, FillSource: origin, Rank: 2})
	checkEnd(t, "a copy past its lifetime", awaitResponse(t, w, 3, time.Second), Served, routing.FilledByOrigin)

	w.Submit(cache, Request{ID: 4, Object: 8, Bytes: 10000})
	if response = awaitResponse(t, w, 4, time.Second); response.Status != Missing {
		t.Errorf("a miss without a fill source: got status %d, want %d", response.Status, Missing)
	}

	w.Submit(cache, Request{ID: 5, Object: 9, Bytes: 10000, FillSource: parent, OnlyIfCached: true})
	checkEnd(t, "a miss of the parent, only if cached", awaitResponse(t, w, 5, time.Second), Missing, routing.SourceMiss)

	w.Submit(cache, Request{ID: 6, Class: 1, Object: 9, Bytes: 1000, FillSource: origin})
	response = awaitResponse(t, w, 6, time.Second)
	if response.Status != Served {
		t.Errorf("a write: got status %d, want %d", response.Status, Served)
	}
	if w.machines[cache].memory.get(segment{9, 0}) != nil {
		t.Error("a write: got a cached response, want none")
	}
}

// checkEnd fails the test if a response does not have the wanted status and cache status.
func checkEnd(t *testing.T, name string, got Response, wantStatus Status, wantFill routing.Fill) {
	t.Helper()
	if got.Status != wantStatus || got.Fill != wantFill {
		t.Errorf("%s: got status %d and cache status %v, want %d and %v", name, got.Status, got.Fill, wantStatus, wantFill)
	}
}

// TestParentFailureFailsFills kills a parent that serves fills. The requests that wait for these fills must fail, and no open
// request or transfer may remain.
func TestParentFailureFailsFills(t *testing.T) {
	w, cache, parent, _ := newTestWorld(t)
	for i := range uint64(3) {
		w.Submit(cache, Request{ID: i + 1, Object: i, Bytes: 20000, FillSource: parent, Rank: 2})
	}
	w.Advance(15 * time.Millisecond)
	w.Kill(parent)
	failed := 0
	for _, response := range w.Advance(time.Second) {
		if response.Fill == routing.SourceUnreachable && response.Status == Failed {
			failed++
		}
	}
	if failed == 0 {
		t.Error("got no failed request, want at least one")
	}
	if open := len(w.machines[cache].open); open > 0 {
		t.Errorf("got %d open requests after the failure, want none", open)
	}
	if transfers := len(w.network.transfers); transfers > 0 {
		t.Errorf("got %d transfers after the failure, want none", transfers)
	}
}

// TestBackgroundRevalidation sends several hits on a copy that is past half of its lifetime. Together they must start a single
// revalidation in the background. The revalidation must also end if the parent goes down during it.
func TestBackgroundRevalidation(t *testing.T) {
	w, cache, parent, _ := newTestWorld(t)
	checkRevalidations := func(condition string, want int) {
		t.Helper()
		if got := len(w.machines[cache].revalidations); got != want {
			t.Errorf("%s: got %d revalidations in progress, want %d", condition, got, want)
		}
	}
	w.Insert(cache, 5, 0, 1000, 2, 0)
	w.Advance(1500 * time.Millisecond) // of a lifetime of 2 s
	for i := range uint64(4) {
		w.Submit(cache, Request{ID: i + 1, Object: 5, Bytes: 1000, FillSource: parent, Rank: 2, Revalidate: true})
	}
	checkRevalidations("after four hits", 1)
	w.Advance(1600 * time.Millisecond)
	checkRevalidations("after 100 ms", 0)
	if born := w.machines[cache].memory.get(segment{5, 0}).born; born < 1500*time.Millisecond {
		t.Errorf("got a copy that the origin sent at %v, want 1.5 s or later", born)
	}

	w.Advance(3100 * time.Millisecond)
	w.Submit(cache, Request{ID: 9, Object: 5, Bytes: 1000, FillSource: parent, Rank: 2, Revalidate: true})
	w.Advance(3102 * time.Millisecond)
	w.Kill(parent)
	w.Advance(4 * time.Second)
	checkRevalidations("after the parent went down", 0)
}
