package scenario

// This file tests the checks of the scenario "scale".

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/testing/hollow"
	"indigochute.example/indigochute/internal/testing/testcluster"
)

// validResult returns the result of a run without any violation: 30 samples of a second, the first ten of them quiet, and four
// calls of each job, the last of which was rejected as stale.
func validResult() *scaleResult {
	p := &scaleResult{
		Sizes:           Sizes{60, 5},
		HollowDirectors: 55,
		Accepted:        hollow.Tally{Accepted: 5500},
		Missing:         hollow.Missing{Events: 100},
		RealDirectors:   map[string]eventCounts{"d0": {Accepted: 100}},
		Faults: []faultRecord{
			{Name: "leader killed", From: 1, Until: 2, Evidence: "c0 ended"},
			{Name: "region r1 cut off", From: 3, Until: 4, Evidence: "all lag"},
		},
		Takeover:          2 * time.Second,
		HeaderShare:       0.5,
		ClientRequests:    900,
		ClientRequestsMet: 890,
		RealMemory:        map[string]int64{"d0": 30e6},
		HollowMemory:      55 * 2e6,
		Control:           map[string]controlUsage{"c0": {Memory: 40e6, Cores: 0.1, Accepts: 50}},
	}
	for _, name := range callJobNames() {
		p.Calls = append(p.Calls,
			testcluster.Call{Job: name, FencingToken: 1, Run: 1, IsStart: true},
			testcluster.Call{Job: name, FencingToken: 1, Run: 1},
			testcluster.Call{Job: name, FencingToken: 2, Run: 2, IsStart: true},
			testcluster.Call{Job: name, FencingToken: 1, Run: 2, Rejected: true},
		)
	}
	for i := range 30 {
		p.Samples = append(p.Samples, sample{
			Length:       time.Second,
			Quiet:        i < 10,
			CPU:          50 * time.Millisecond,
			Bytes:        55 * 2000,
			LargestBytes: 4000,
		})
	}
	p.Phases = []phase{
		{
			WindowReport: hollow.WindowReport{Name: "quiet", Count: 50, P50: 1, P99: 3, Max: 5},
			Quiet:        true,
		},
		{
			WindowReport: hollow.WindowReport{Name: "leader killed", Count: 20, P50: 1, P99: 300, Max: 900, EarlierMax: 800},
		},
		{
			WindowReport: hollow.WindowReport{Name: "joined again", Count: 20, P50: 1, P99: 300, Max: 900, EarlierMax: 12_000, EarlierFor: 700},
			Healed:       true,
		},
	}
	return p
}

// reportOf checks a result and returns the report.
func reportOf(p *scaleResult) *Report {
	r := &Report{Figures: map[string]float64{}}
	p.check(r)
	return r
}

// invalidResults are changes to a valid result, each with the violations that it must cause.
var invalidResults = []struct {
	name   string
	change func(p *scaleResult)
	want   string // parts of the violations, separated by |
}{
	{"duplicate event", func(p *scaleResult) { p.Accepted.Duplicates++ }, "notes_doubled: 1 "},
	{"event out of order", func(p *scaleResult) { p.Accepted.OutOfOrder++ }, "notes_doubled: 1 "},
	{"stale event", func(p *scaleResult) { p.Accepted.Stale = 1 }, "notes_stale: 1 "},
	{"stale events of former owners", func(p *scaleResult) { p.Accepted.Stale, p.Accepted.StaleAcrossOrigins = 3, 3 }, "notes_stale: 3 "},
	{"unreadable event", func(p *scaleResult) { p.Accepted.Unreadable++ }, "notes_unread: 1 "},
	{"missing event", func(p *scaleResult) {
		p.Missing.Pairs, p.Missing.List = 1, []hollow.MissingEvent{{Director: "d7", Key: "note/small", FencingToken: 3, Run: 9}}
	}, "notes_missed: 1 |d7 lacks run 9 of note/small with fencing token 3"},
	{"many missing events", func(p *scaleResult) {
		p.Missing.Pairs, p.Missing.List = 20, make([]hollow.MissingEvent, 20)
	}, "notes_missed: 20 " + strings.Repeat("| lacks run 0 of  with fencing token 0", maxListed) + "|more missing events are not listed"},
	{"missing newest event", func(p *scaleResult) { p.Missing.Behind = 2 }, "directors_behind: 2 "},
	{"director without events", func(p *scaleResult) { p.Missing.WithoutEvents = []string{"d9"} }, "d9 accepted no events"},
	{"no event published", func(p *scaleResult) { p.Missing.Events = 0 }, "no event was published"},
	{"unchecked events", func(p *scaleResult) { p.Missing.Unchecked = 4 }, "4 events could not be checked"},
	{"real director without events", func(p *scaleResult) { p.RealDirectors["d0"] = eventCounts{} }, "d0, a real director, accepted no events"},
	{"event lost by a real director", func(p *scaleResult) { p.RealDirectors["d0"] = eventCounts{Accepted: 5, Lost: 1} }, "real_notes_lost_for_good: 1 "},
	{"overlapping runs", func(p *scaleResult) { p.Overlaps = 1 }, "overlaps: 1 "},
	{"accepted call with a stale token", func(p *scaleResult) { p.Calls[len(p.Calls)-1].Rejected = false }, "effects_by_old_numbers: 1 "},
	{"job that never ran", func(p *scaleResult) { p.Calls = p.Calls[4:] }, "job call0 never ran"},
	{"late takeover", func(p *scaleResult) { p.Takeover = 11 * time.Second }, "takeover_s: 11 "},
	{"no takeover", func(p *scaleResult) { p.Takeover = -1 }, "takeover_s was not measured"},
	{"late event in the quiet phase", func(p *scaleResult) { p.Phases[0].Max = 1800 },
		"note_quiet_worst_s: 1.8 |phase quiet: an event took 1.80 s"},
	{"late 99th percentile in the quiet phase", func(p *scaleResult) { p.Phases[0].P99 = 1800 }, "note_quiet_p99_s: 1.8 "},
	{"late event during a fault", func(p *scaleResult) { p.Phases[1].Max = 1750 },
		"note_beside_faults_worst_s: 1.75 |phase leader killed: an event took 1.75 s"},
	{"late event published before the phase", func(p *scaleResult) { p.Phases[1].EarlierMax = 2000 },
		"note_beside_faults_worst_s: 2 |phase leader killed: an event took 2.00 s"},
	{"region that catches up late", func(p *scaleResult) { p.Phases[2].EarlierFor = 1900 }, "catch_up_s: 1.9 "},
	{"no healed phase", func(p *scaleResult) { p.Phases = p.Phases[:2] }, "catch_up_s was not measured"},
	{"no latencies in the quiet phase", func(p *scaleResult) { p.Phases[0].Count = 0 }, "note_quiet: no latency was measured"},
	{"fault without evidence", func(p *scaleResult) { p.Faults[1].Evidence = "" },
		"region r1 cut off at 0.0 s: no evidence that the fault took effect"},
	{"no fault", func(p *scaleResult) { p.Faults = nil }, "no fault was injected"},
	{"violated protocol rule", func(p *scaleResult) { p.Violations = []string{"rule 1: broken"} }, "rule 1: broken"},
	{"no client requests served", func(p *scaleResult) { p.ClientRequestsMet = 0 }, "served no request within its latency objective"},
	{"memory of a real director", func(p *scaleResult) { p.RealMemory["d1"] = 70e6 }, "real_director_memory_mb: 70 "},
	{"memory of hollow directors", func(p *scaleResult) { p.HollowMemory = 55 * 65e6 }, "director_memory_mb: 65 "},
	{"bytes of one director", func(p *scaleResult) {
		for i := range p.Samples[:10] {
			p.Samples[i].LargestBytes = 20_000
		}
	}, "one_director_bytes_per_s_worst_window: 2e+04 "},
	{"bytes in the worst window", func(p *scaleResult) {
		for i := range p.Samples[15:25] {
			p.Samples[15+i].Bytes = 55 * 20_000
		}
	}, "director_bytes_per_s_worst_window: 2e+04 |director_bytes_with_headers_per_s_worst_window: 3e+04 "},
	{"processor time", func(p *scaleResult) {
		for i := range p.Samples {
			p.Samples[i].CPU = time.Second
		}
	}, "director_core_percent_quiet: 1.818 |director_core_percent: 1.818 |director_core_percent_worst_window: 1.818 "},
	{"unmeasured headers", func(p *scaleResult) { p.HeaderShare = math.NaN() },
		"with_headers_per_s_quiet was not|with_headers_per_s was not measured|with_headers_per_s_worst_window was not"},
}

// A valid result has no violations.
func TestCheckAcceptsValidResult(t *testing.T) {
	if r := reportOf(validResult()); len(r.Violations) > 0 {
		t.Errorf("violations %q, want none", r.Violations)
	}
}

// Each invalid result leads to its violations, and to no others.
func TestCheckReportsEachViolation(t *testing.T) {
	for _, test := range invalidResults {
		t.Run(test.name, func(t *testing.T) {
			result := validResult()
			test.change(result)
			got := reportOf(result).Violations
			want := strings.Split(test.want, "|")
			if len(got) != len(want) {
				t.Fatalf("violations %q, want %d with %q", got, len(want), want)
			}
			for _, part := range want {
				if !slices.ContainsFunc(got, func(violation string) bool { return strings.Contains(violation, part) }) {
					t.Errorf("violations %q, want one with %q", got, part)
				}
			}
		})
	}
}

// The report has every figure and its budget. The worst window is the worst ten seconds.
func TestReportHasFiguresAndBudgets(t *testing.T) {
	result := validResult()
	for i := range 5 {
		result.Samples[20+i].Bytes = 55 * 10_000
	}
	r := reportOf(result)
	if len(r.Violations) > 0 {
		t.Fatalf("violations %q, want none", r.Violations)
	}
	checkFinite(t, r)
	for name, want := range map[string]float64{
		"director_core_percent_budget":            1.7,
		"director_bytes_per_s_budget":             19_000,
		"director_memory_mb":                      2,
		"director_bytes_per_s_worst_window":       6000,
		"director_bytes_per_s_quiet":              2000,
		"director_bytes_with_headers_per_s_quiet": 3000,
		"catch_up_s":                              0.7,
		"takeover_s":                              2,
		"control_accepts_per_s":                   50,
		"note_beside_faults_worst_s":              0.9,
		"old_numbers_refused":                     callJobs,
	} {
		if got, ok := r.Figures[name]; !ok || math.Abs(got-want) > 1e-9 {
			t.Errorf("%s is %v, want %v", name, got, want)
		}
	}
}

// In a run of less than ten seconds the worst window is the complete run.
func TestWorstWindowOfShortRun(t *testing.T) {
	short := validResult()
	short.Samples = short.Samples[:4]
	short.Samples[3].Bytes, short.Samples[3].Quiet = 55*6000, false
	r := reportOf(short)
	if got := r.Figures["director_bytes_per_s_worst_window"]; got != 3000 {
		t.Errorf("the worst window has %v bytes a second, want 3000", got)
	}
	if got := r.Figures["window_s"]; got != 4 {
		t.Errorf("the worst window lasts %v s, want 4", got)
	}
}

// A run without samples is a violation, and its figures can still be represented in JSON.
func TestCheckWithoutSamples(t *testing.T) {
	empty := validResult()
	empty.Samples = nil
	r := reportOf(empty)
	if !slices.Contains(r.Violations, "director_core_percent was not measured") {
		t.Errorf("violations %q, want one that nothing was measured", r.Violations)
	}
	checkFinite(t, r)
}

// checkFinite checks that all figures of a report are finite.
func checkFinite(t *testing.T, r *Report) {
	t.Helper()
	for name, value := range r.Figures {
		if math.IsNaN(value) || math.IsInf(value, 0) {
			t.Errorf("%s is %v, want a finite value, which JSON can represent", name, value)
		}
	}
}
