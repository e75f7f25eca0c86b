package director

import (
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/discovery"
	"indigochute.example/indigochute/internal/routing"
)

// clockOffsets are offsets of the journal's stamps from the wall clock of this host, which may be an hour ahead of the journal's
// clock or behind it, from the start or after a step.
var clockOffsets = map[string]time.Duration{"ahead by an hour": -time.Hour, "right": 0, "behind by an hour": time.Hour}

// stampAt returns the stamp of a time by a journal clock with the given offset from this host's clock.
func stampAt(at time.Time, offset time.Duration) int64 { return at.Add(offset).UnixMilli() }

// maxAge returns the maximum age of a copy that the node may serve; 0: the command states none.
func (c nodeCommand) maxAge() time.Duration {
	for field := range strings.SplitSeq(c.fields, ",") {
		if text, ok := strings.CutPrefix(field, "agelim="); ok {
			milliseconds, _ := strconv.Atoi(text)
			return time.Duration(milliseconds) * time.Millisecond
		}
	}
	return 0
}

// After a purge, the maximum age of a copy must never exceed the time since the purge, and must grow with it.
func TestMaxAgeAfterPurgeWithWrongWallClock(t *testing.T) {
	const resolution = 2 * time.Millisecond // resolution of stamps and of the ages in commands
	for name, offset := range clockOffsets {
		w := start(t, 1)
		w.expectServed("page", "", "-", "before the purge")
		made := time.Now()
		w.applyNextEvent(discovery.Event{Purge: &discovery.Purge{Object: 0xa1, StampUnix: stampAt(made, offset)}})
		first := w.expectServed("page", "", "-", "").maxAge()
		if since := time.Since(made); first <= 0 || first > since+resolution {
			t.Errorf("%s: got maximum age %v, want at most %v, the time since the purge", name, first, since)
		}
		const rest = 200 * time.Millisecond
		time.Sleep(rest)
		second := w.expectServed("page", "", "-", "").maxAge()
		if since := time.Since(made); second < first+rest-resolution || second > since+resolution {
			t.Errorf("%s: got maximum age %v, want at most %v (time since the purge) and more than %v (earlier age)", name, second, since, first)
		}
	}
}

// A node that has just started must count as just started, and the time of its start must not change when later events move the
// journal clock's origin.
func TestNodeStartWithWrongWallClock(t *testing.T) {
	for name, offset := range clockOffsets {
		w := start(t, 2)
		machine := discovery.Endpoint{ID: 1, Addr: netip.MustParseAddrPort(w.nodes[0].Addr().String()), State: routing.Ready}
		born := time.Now()
		before := w.director.clock.now()
		machine.StartedUnix = stampAt(born, offset)
		w.applyNextEvent(discovery.Event{Endpoints: []discovery.Endpoint{machine}})
		at := w.director.journal.starts[1].at
		if at < before-2*time.Millisecond || at > w.director.clock.now() { // stamps are whole milliseconds
			t.Errorf("%s: got start at %v, want %v", name, at, before)
		}
		w.applyNextEvent(discovery.Event{Purge: &discovery.Purge{Object: 0xb2, StampUnix: stampAt(time.Now(), offset+10*time.Second)}})
		w.applyNextEvent(discovery.Event{Endpoints: []discovery.Endpoint{machine}})
		if again := w.director.journal.starts[1].at; again != at {
			t.Errorf("%s: got start at %v first, then at %v; want the same", name, at, again)
		}
		if dated := w.director.journal.startOf(w.director.clock.now(), 1, machine.StartedUnix); dated != at {
			t.Errorf("%s: start from another director's report: got %v, want %v", name, dated, at)
		}
		machine.StartedUnix += 1000
		w.applyNextEvent(discovery.Event{Endpoints: []discovery.Endpoint{machine}})
		if next := w.director.journal.starts[1].at; next <= at {
			t.Errorf("%s: next start: got %v, want later than %v", name, next, at)
		}
		machine.State = routing.Gone
		w.applyNextEvent(discovery.Event{Endpoints: []discovery.Endpoint{machine}})
		if n := len(w.director.journal.starts); n != 0 {
			t.Errorf("%s: got %d starts of nodes that are gone, want none", name, n)
		}
	}
}

// The newest stamp in the configuration determines the times of all its events, independent of their order.
func TestStampsOfConfiguredEvents(t *testing.T) {
	for name, offset := range clockOffsets {
		w := start(t, 1)
		conf := *w.director.config
		newest := time.Now().Add(offset - time.Minute).UnixMilli()
		conf.Known = append(conf.Known,
			discovery.Event{Endpoints: []discovery.Endpoint{{ID: 7, State: routing.Ready, StartedUnix: newest - 90_000},
				{ID: 8, State: routing.Ready, StartedUnix: newest}}},
			discovery.Event{Purge: &discovery.Purge{Object: 1, StampUnix: newest}})
		d := New(&conf, w.director.log)
		if at := d.journal.starts[7].at; at != -90*time.Second {
			t.Errorf("%s: got start at %v, want -1m30s", name, at)
		}
		if at := d.journal.starts[8].at; at == 0 || at.Abs() > time.Microsecond { // 0 means no start to routing
			t.Errorf("%s: node that started last: got start at %v, want within 1µs of 0 but not 0", name, at)
		}
	}
}

// Whatever the delays of events, no event may seem older than it is, since copies that are too old would then be served after a
// purge. Events with invalid stamps count as made now.
func TestJournalClockNeverOverestimatesAge(t *testing.T) {
	const start = int64(1_764_576_000_000) // the journal's clock at the director's start
	c := newJournalClock()
	for _, e := range []struct{ made, delay time.Duration }{
		{-time.Hour, 0}, {time.Second, 3 * time.Second}, {5 * time.Second, 7 * time.Second}, {20 * time.Second, time.Millisecond},
		{30 * time.Second, time.Minute}, {40 * time.Second, 0},
	} {
		arrived := max(0, e.made+e.delay)
		stamp := start + e.made.Milliseconds()
		c.updateOrigin(arrived, discovery.Event{Purge: &discovery.Purge{StampUnix: stamp}})
		if at := c.since(arrived, stamp); at < e.made || at > arrived {
			t.Errorf("event made at %v that arrived at %v: got time %v, want one in between", e.made, arrived, at)
		}
	}
	if at := c.since(time.Minute, start+40_000); at != 40*time.Second {
		t.Errorf("after an event without delay: got %v, want 40s", at)
	}
	for _, stamp := range []int64{0, -5, -1 << 63, 1<<63 - 1} {
		c.updateOrigin(time.Minute, discovery.Event{Purge: &discovery.Purge{StampUnix: stamp}})
		if at := c.since(time.Minute, stamp); at != time.Minute {
			t.Errorf("stamp %d: got %v, want 1m0s", stamp, at)
		}
	}
	if at := c.since(time.Minute, start+40_000); at != 40*time.Second {
		t.Errorf("after invalid stamps: got %v, want 40s", at)
	}
}
