package hollow

// This file tests the checker.

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/changefeed"
	"indigochute.example/indigochute/internal/lease"
)

type events = []*changefeed.Event

// trialEvent returns a trial event as control machines publish it. The key of a complete job names its token and run.
func trialEvent(origin string, number uint64, job string, complete bool, token, run uint64, published time.Time) *changefeed.Event {
	payload := binary.BigEndian.AppendUint64(nil, uint64(published.UnixNano()))
	payload = binary.BigEndian.AppendUint64(payload, run)
	payload = binary.BigEndian.AppendUint64(payload, token)
	payload = append(payload, make([]byte, 36)...)
	key := "note/" + job
	if complete {
		key = fmt.Sprintf("note/%s/%d/%d", job, token, run)
	}
	return &changefeed.Event{Origin: origin, Epoch: 7, Number: number, Prev: number - 1, Key: key, Payload: payload}
}

// healthEvent returns the health report of a run of job p.
func healthEvent(number, run uint64) *changefeed.Event {
	report := lease.HealthReport{Duty: "p", Fence: 5, Run: run, Machines: []lease.MachineHealth{{Node: 1, Alive: true}}}
	payload := lease.AppendHealthReport(nil, &report)
	return &changefeed.Event{Origin: "c2", Epoch: 7, Number: number, Prev: number - 1, Key: "news/p", Payload: payload}
}

// checkerCase describes the events that two directors accept, and what the checker must find.
type checkerCase struct {
	name          string
	first         events // accepted by the first director, after the valid events
	second        events // accepted by the second director
	wantTally     Tally  // of both directors
	wantViolation string // part of one of the violations; empty means that there is none

	wantIncomplete, wantPairs, wantBehind int // of Missing
}

// checkerCases returns valid events, and cases without any fault and with one fault each.
func checkerCases(at time.Time) (valid events, cases []checkerCase) {
	valid = events{
		trialEvent("c0", 1, "a", true, 3, 1, at),
		trialEvent("c0", 2, "a", true, 3, 2, at),
		trialEvent("c1", 1, "b", false, 4, 1, at),
		trialEvent("c0", 3, "a", true, 3, 3, at),
		trialEvent("c1", 2, "b", false, 4, 2, at),
	}
	without := func(i int) events { return slices.Delete(slices.Clone(valid), i, i+1) }
	after := func(event *changefeed.Event) events { return append(events{event}, valid...) }
	truncated := trialEvent("c0", 9, "a", true, 3, 9, at)
	truncated.Payload = truncated.Payload[:trialHeaderBytes-1]
	otherKey := trialEvent("c0", 9, "a", true, 3, 9, at)
	otherKey.Key = "note/a/3/8"
	otherJob := healthEvent(4, 2)
	otherJob.Key = "news/q"
	duplicate := events{trialEvent("c0", 4, "a", true, 3, 2, at)}
	oldToken := events{trialEvent("c1", 3, "b", false, 3, 9, at)}
	oldRun := events{trialEvent("c1", 3, "b", false, 4, 0, at)}
	oldAcrossOrigins := events{trialEvent("c2", 1, "b", false, 3, 9, at)}
	report1, report2 := healthEvent(1, 1), healthEvent(2, 2)
	staleReport := events{report2, healthEvent(3, 1)}
	return valid, []checkerCase{
		{
			name:      "no fault",
			second:    valid,
			wantTally: Tally{Accepted: 10},
		},
		{
			name:          "duplicate",
			first:         duplicate,
			second:        valid,
			wantTally:     Tally{Accepted: 11, Duplicates: 1},
			wantViolation: "duplicate: number 4 of c0/7",
		},
		{
			name:          "duplicate number",
			first:         valid[1:2],
			second:        valid,
			wantTally:     Tally{Accepted: 11, Duplicates: 1, OutOfOrder: 1},
			wantViolation: "out of order: number 2 of c0/7 after 3",
		},
		{
			name:          "stale token",
			first:         oldToken,
			second:        valid,
			wantTally:     Tally{Accepted: 11, Stale: 1},
			wantViolation: "stale: key \"note/b\"",
		},
		{
			name:          "stale run",
			first:         oldRun,
			second:        valid,
			wantTally:     Tally{Accepted: 11, Stale: 1},
			wantViolation: "run 0 with fencing token 4 of c1 after run 2",
		},
		{
			name:          "stale token of another origin",
			first:         oldAcrossOrigins,
			second:        valid,
			wantTally:     Tally{Accepted: 11, Stale: 1, StaleAcrossOrigins: 1},
			wantViolation: "stale",
		},
		{
			name:           "missing event",
			second:         without(1),
			wantTally:      Tally{Accepted: 9},
			wantIncomplete: 1,
			wantPairs:      1,
		},
		{
			name:           "missing event at the end",
			second:         without(3),
			wantTally:      Tally{Accepted: 9},
			wantIncomplete: 1,
			wantPairs:      1,
		},
		{
			name:      "superseded event that is not missing",
			second:    without(2),
			wantTally: Tally{Accepted: 9},
		},
		{
			name:       "missing newest event",
			second:     without(4),
			wantTally:  Tally{Accepted: 9},
			wantBehind: 1,
		},
		{
			name:           "all events missing",
			wantTally:      Tally{Accepted: 5},
			wantIncomplete: 3,
			wantPairs:      3,
			wantBehind:     1,
		},
		{
			name:          "truncated payload",
			first:         events{truncated},
			second:        valid,
			wantTally:     Tally{Accepted: 11, Unreadable: 1},
			wantViolation: "unreadable",
		},
		{
			name:          "key of another run",
			first:         events{otherKey},
			second:        valid,
			wantTally:     Tally{Accepted: 11, Unreadable: 1},
			wantViolation: "unreadable",
		},
		{
			name:      "health reports",
			first:     events{report1, report2},
			second:    after(report2),
			wantTally: Tally{Accepted: 13},
		},
		{
			name:       "missing newest health report",
			first:      events{report1, report2},
			second:     after(report1),
			wantTally:  Tally{Accepted: 13},
			wantBehind: 1,
		},
		{
			name:          "stale health report",
			first:         staleReport,
			second:        after(report2),
			wantTally:     Tally{Accepted: 13, Stale: 1},
			wantViolation: "stale: key \"news/p\"",
		},
		{
			name:          "health report of another job",
			first:         events{healthEvent(3, 2), otherJob},
			second:        after(healthEvent(3, 2)),
			wantTally:     Tally{Accepted: 13, Unreadable: 1},
			wantViolation: "unreadable",
		},
	}
}

// The checker finds each fault among the events that directors accept, and nothing else.
func TestCheckerFindsEachFault(t *testing.T) {
	at := time.Now()
	valid, cases := checkerCases(at)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(t, valid, at) })
	}
}

// run has two directors accept the events of the case and checks what the checker finds.
func (c *checkerCase) run(t *testing.T, valid events, at time.Time) {
	t.Helper()
	checker := NewChecker()
	var total Tally
	var violations []string
	for name, accepted := range map[string]events{"d0": slices.Concat(valid, c.first), "d1": c.second} {
		observer := checker.Observer(name)
		for _, event := range accepted {
			observer.Accept(event, at.Add(time.Millisecond))
		}
		tally, found := observer.Tally()
		total.add(tally)
		violations = append(violations, found...)
	}
	if total != c.wantTally {
		t.Errorf("tally %+v, want %+v", total, c.wantTally)
	}
	if c.wantViolation == "" && len(violations) > 0 {
		t.Errorf("violations %q, want none", violations)
	}
	if !strings.Contains(strings.Join(violations, "\n"), c.wantViolation) {
		t.Errorf("violations %q, want one with %q", violations, c.wantViolation)
	}
	if c.wantViolation != "" && len(violations) == 0 {
		t.Errorf("no violations, want one with %q", c.wantViolation)
	}
	c.checkMissing(t, checker.Missing(TimeRange{}))
}

// checkMissing checks the events that the second director lacks.
func (c *checkerCase) checkMissing(t *testing.T, missing Missing) {
	t.Helper()
	if missing.Events != 3 {
		t.Errorf("%d events, want 3", missing.Events)
	}
	if missing.Incomplete != c.wantIncomplete || missing.Pairs != c.wantPairs || missing.Behind != c.wantBehind {
		t.Errorf("%d incomplete, %d pairs, %d behind, want %d, %d, %d", missing.Incomplete, missing.Pairs, missing.Behind,
			c.wantIncomplete, c.wantPairs, c.wantBehind)
	}
	wantListed := c.wantPairs + c.wantBehind
	if len(missing.List) != wantListed {
		t.Errorf("%d missing events are listed, want %d: %+v", len(missing.List), wantListed, missing.List)
	}
	if wantDirectors := min(wantListed, 1); missing.Directors != wantDirectors {
		t.Errorf("%d directors lack events, want %d", missing.Directors, wantDirectors)
	}
	for _, event := range missing.List {
		if event.Director != "d1" {
			t.Errorf("%s lacks an event, want only d1: %+v", event.Director, event)
		}
	}
}

// Only events published in the time range count. The digests of two hosts that accepted the same events are equal in any
// order of the events.
func TestMissingInTimeRange(t *testing.T) {
	at := time.Now()
	checker, other := NewChecker(), NewChecker()
	checker.Observer("d1") // accepts nothing
	event := func(number, second int) *changefeed.Event {
		return trialEvent("c0", uint64(number), "a", true, 1, uint64(second), at.Add(time.Duration(second)*time.Second))
	}
	for i := range 8 {
		checker.Observer("d0").Accept(event(i+1, i), at)
		other.Observer("d2").Accept(event(8-i, 7-i), at)
	}
	published := TimeRange{From: at.Add(2 * time.Second).UnixNano(), Until: at.Add(5 * time.Second).UnixNano()}

	missing := checker.Missing(published)
	if missing.Events != 3 || missing.Incomplete != 3 || len(missing.List) != 3 || missing.List[0].Run != 2 {
		t.Errorf("missing %+v, want the three events from run 2 on", missing)
	}
	if !slices.Equal(missing.WithoutEvents, []string{"d1"}) {
		t.Errorf("directors without events %v, want d1", missing.WithoutEvents)
	}
	inRange := other.Missing(published)
	if inRange.Digest != missing.Digest {
		t.Errorf("the digest of the other host is %s, want %s", inRange.Digest, missing.Digest)
	}
	if inRange.Pairs != 0 {
		t.Errorf("the other host has %d missing events, want none", inRange.Pairs)
	}
	all := other.Missing(TimeRange{})
	if all.Events != 8 || all.Digest == missing.Digest {
		t.Errorf("without a range %+v, want 8 events and another digest than %s", all, missing.Digest)
	}
}

// Latencies are recorded by window, and separately for events that were published before the window began. There are at most
// maxWindows.
func TestWindows(t *testing.T) {
	checker := NewChecker()
	observer := checker.Observer("d0")
	at := time.Now().Add(time.Second)
	for i := range 100 {
		event := trialEvent("c0", uint64(i+1), "a", true, 1, uint64(i), at)
		observer.Accept(event, at.Add(time.Duration(i+1)*time.Millisecond))
	}
	if err := checker.BeginWindow("next", at.Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	observer.Accept(trialEvent("c0", 101, "a", true, 1, 101, at), at.Add(3*time.Second))
	observer.Accept(trialEvent("c0", 102, "a", true, 1, 102, at.Add(2*time.Second)), at.Add(2500*time.Millisecond))

	windows := checker.Windows()
	if len(windows) != 2 {
		t.Fatalf("%d windows, want 2: %+v", len(windows), windows)
	}
	near := func(got, want float64) bool { return got > want*0.995 && got < want*1.005 }
	first, next := windows[0], windows[1]
	if first.Count != 100 || !near(first.P50, 50) || !near(first.P99, 99) || !near(first.Max, 100) || first.Earlier != 0 {
		t.Errorf("first window %+v, want 100 latencies of 1 to 100 ms", first)
	}
	if next.Name != "next" || next.Count != 1 || !near(next.Max, 500) {
		t.Errorf("next window %+v, want one latency of 500 ms", next)
	}
	if next.Earlier != 1 || !near(next.EarlierMax, 3000) || !near(next.EarlierFor, 2000) {
		t.Errorf("next window %+v, want one earlier event that took 3 s, 2 s after the start", next)
	}
	for number := len(windows) + 1; number <= maxWindows+2; number++ {
		err := checker.BeginWindow("more", at)
		if wantError := number > maxWindows; (err != nil) != wantError {
			t.Errorf("window %d: error %v, want one: %v", number, err, wantError)
		}
	}
}

// Events past a bound are counted as unchecked.
func TestCheckerCountsEventsPastItsBounds(t *testing.T) {
	checker := NewChecker()
	observer := checker.Observer("d0")
	at := time.Now()
	for i := range maxKeys + 5 {
		observer.Accept(trialEvent("c0", uint64(i+1), fmt.Sprintf("a%d", i), false, 1, 1, at), at)
	}
	if got := checker.Unchecked(); got != 5 {
		t.Errorf("%d events past the bound of keys are unchecked, want 5", got)
	}
	for i := range maxIncarnations + 5 {
		event := trialEvent("c1", 1, "a0", false, 1, uint64(i+2), at)
		event.Epoch = uint64(i)
		observer.Accept(event, at)
	}
	const wantUnchecked = 5 + 6 // c0 is an incarnation as well
	if got := checker.Unchecked(); got != wantUnchecked {
		t.Errorf("%d events are unchecked, want %d", got, wantUnchecked)
	}
	if got := checker.Missing(TimeRange{}).Unchecked; got != wantUnchecked {
		t.Errorf("%d unchecked events are reported, want %d", got, wantUnchecked)
	}
	tally, violations := observer.Tally()
	if tally.violations() != 0 || tally.Accepted != maxKeys+maxIncarnations+10 {
		t.Errorf("tally %+v, violations %q, want %d accepted events and no violation", tally, violations, maxKeys+maxIncarnations+10)
	}
}
