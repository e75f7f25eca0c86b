package changefeed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// plainEvent is an event of a plainLog.
type plainEvent struct {
	key     string
	expires time.Duration
}

// plainLog is a reference model of a log: it keeps all events of one origin in a list.
type plainLog struct {
	maxEntries int
	events     []plainEvent // by number, from 1
	evicted    map[uint64]bool
	live       []uint64 // numbers of the events that a log must keep, in ascending order
}

// add appends an event, and computes which events are live at that time.
func (p *plainLog) add(now time.Duration, event plainEvent) {
	p.events = append(p.events, event)
	newest := map[string]bool{}
	p.live = nil
	for i, each := range slices.Backward(p.events) {
		number := uint64(i + 1)
		if !newest[each.key] && !p.evicted[number] && each.expires > now {
			p.live = append(p.live, number)
		}
		newest[each.key] = true
	}
	slices.Reverse(p.live)
	for len(p.live) > p.maxEntries {
		p.evicted[p.live[0]] = true
		p.live = p.live[1:]
	}
}

// isLost reports whether an event was evicted and has neither expired nor been superseded.
func (p *plainLog) isLost(now time.Duration, number uint64) bool {
	event := p.events[number-1]
	supersedes := func(newer plainEvent) bool { return newer.key == event.key }
	isSuperseded := slices.ContainsFunc(p.events[number:], supersedes)
	return p.evicted[number] && event.expires > now && !isSuperseded
}

// check checks the events that a log sent to a subscriber that had read up to a number.
func (p *plainLog) check(t *testing.T, now time.Duration, from uint64, sent []Event) {
	t.Helper()
	reached, next := from, slices.IndexFunc(p.live, func(number uint64) bool { return number > from })
	for _, event := range sent {
		isLive := next >= 0 && next < len(p.live)
		if event.Lifetime == 0 {
			if isLive || event.Number != uint64(len(p.events)) {
				t.Fatalf("got an event past its lifetime with number %d, want it only at the head of %d, after all live events %v",
					event.Number, len(p.events), p.live)
			}
		} else {
			plain := p.events[event.Number-1]
			wantAge := event.Lifetime - (plain.expires - now)
			if !isLive || event.Number != p.live[next] || event.Key != plain.key || event.Age != wantAge {
				t.Fatalf("got %+v, want entry %d of the live events %v, with key %q and age %v", event, next, p.live, plain.key, wantAge)
			}
		}
		if event.Prev != reached {
			t.Fatalf("got %+v, want Prev %d", event, reached)
		}
		for number := reached + 1; number < event.Number; number++ {
			if number > event.LostUpTo && p.isLost(now, number) {
				t.Fatalf("got %+v, want LostUpTo at least %d, which was evicted", event, number)
			}
		}
		reached, next = event.Number, next+1
	}
	if reached != uint64(len(p.events)) {
		t.Fatalf("got events up to %d, want up to %d", reached, len(p.events))
	}
}

// checkBounds checks the limits on live entries, and on removed entries in the list and the heap.
func checkBounds(t *testing.T, node *Node) {
	t.Helper()
	own, heapSize := node.store.own, len(node.store.expiry)
	if own.live > node.config.MaxEntries {
		t.Fatalf("got %d entries, want at most %d", own.live, node.config.MaxEntries)
	}
	if limit := 2*own.live + maxRemovedSlack; len(own.entries) > limit {
		t.Fatalf("got a list of %d entries, want at most %d", len(own.entries), limit)
	}
	if limit := 2*node.store.entries + maxRemovedSlack; heapSize > limit {
		t.Fatalf("got a heap of %d entries, want at most %d", heapSize, limit)
	}
}

// TestLogMatchesPlainList compares a log with a plain list of all events, while random events are superseded, expire and are evicted.
// The log must send the same live events from any position. The number of removed entries in memory must stay within its limit.
func TestLogMatchesPlainList(t *testing.T) {
	for seed := range uint64(15) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 5))
			config := testConfig("a", 1)
			config.MaxEntries = 20 + rng.IntN(300)
			node, plain := New(config), plainLog{maxEntries: config.MaxEntries, evicted: map[uint64]bool{}}
			now, keys := time.Duration(0), 1+rng.IntN(400)
			for range 1000 {
				now += time.Duration(rng.IntN(20)) * time.Millisecond
				lifetime := time.Duration(1+rng.IntN(1<<rng.IntN(14))) * time.Millisecond
				key := fmt.Sprint(rng.IntN(keys))
				if _, err := node.Publish(now, key, lifetime, nil); err != nil {
					t.Fatal(err)
				}
				plain.add(now, plainEvent{key, now + lifetime})
				if rng.IntN(5) == 0 {
					node.Tick(now)
				}
				checkBounds(t, node)
				from := uint64(rng.IntN(len(plain.events) + 1))
				plain.check(t, now, from, node.Next(now, node.Subscribe(Vector{{"a", 1, from}}), 1<<20))
			}
		})
	}
}
