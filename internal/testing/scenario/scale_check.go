package scenario

// This file checks the results of a run of the scenario "scale": the faults, the jobs, the events and their latencies.

import (
	"maps"
	"math"
	"slices"

	"indigochute.example/indigochute/internal/testing/hollow"
)

// Guarantees that must hold under every fault.
const (
	maxEventSeconds    = 1.7 // from the publishing of an event until a director has accepted it
	maxTakeoverSeconds = 10  // from the leader's kill until every job runs again
)

// maxListed is the largest number of violations of one kind that are listed individually.
const maxListed = 8

// check adds figures to the report, and violations of the guarantees and budgets.
func (p *scaleResult) check(r *Report) {
	r.Figures["directors"] = float64(p.Sizes.Directors)
	r.Figures["control_machines"] = float64(p.Sizes.Control)
	r.Figures["hollow_directors"] = float64(p.HollowDirectors)
	for _, fault := range p.Faults {
		if fault.Evidence == "" {
			r.addViolation("%s at %.1f s: no evidence that the fault took effect", fault.Name, fault.From.Seconds())
		}
	}
	if len(p.Faults) == 0 {
		r.addViolation("no fault was injected")
	}
	p.checkJobs(r)
	p.checkEvents(r)
	p.checkLatencies(r)
	p.checkUsage(r)
	r.Figures["client_reqs"] = float64(p.ClientRequests)
	r.Figures["client_reqs_met"] = float64(p.ClientRequestsMet)
	if p.ClientRequestsMet == 0 {
		r.addViolation("real directors served no request within its latency objective")
	}
	for _, violation := range p.Violations {
		r.addViolation("%s", violation)
	}
}

// checkJobs checks the calls that the counter received.
func (p *scaleResult) checkJobs(r *Report) {
	current, stale := splitStale(p.Calls)
	starts := map[string]int{}
	for _, call := range current {
		if call.IsStart {
			starts[call.Job]++
		}
	}
	accepted := countAccepted(stale)
	total := 0
	for _, name := range callJobNames() {
		total += starts[name]
		if starts[name] == 0 {
			r.addViolation("job %s never ran", name)
		}
	}
	r.Figures["runs"] = float64(total)
	r.Figures["old_numbers_refused"] = float64(len(stale) - accepted)
	r.addBudgeted("overlaps", float64(p.Overlaps), 0, "runs")
	r.addBudgeted("effects_by_old_numbers", float64(accepted), 0, "acts")
	takeover := p.Takeover.Seconds()
	if p.Takeover < 0 {
		takeover = math.NaN() // not measured
	}
	r.addBudgeted("takeover_s", takeover, maxTakeoverSeconds, "s")
}

// checkEvents compares the events that directors accepted with those that they should have accepted.
func (p *scaleResult) checkEvents(r *Report) {
	r.Figures["notes_published"] = float64(p.Missing.Events + p.LostWithLeader.Events)
	r.Figures["notes_taken"] = float64(p.Accepted.Accepted)
	if p.Missing.Events == 0 {
		r.addViolation("no event was published that all directors should have accepted")
	}
	r.addBudgeted("notes_doubled", float64(p.Accepted.Duplicates+p.Accepted.OutOfOrder), 0, "notes")
	// Stale events include those of a former owner of a job that was cut off and has rejoined. Their fencing token is lower than
	// that of the new owner's events.
	r.addBudgeted("notes_stale", float64(p.Accepted.Stale), 0, "notes")
	r.addBudgeted("notes_unread", float64(p.Accepted.Unreadable), 0, "notes")
	r.addBudgeted("notes_missed", float64(p.Missing.Pairs), 0, "pairs of a director and an event that it lacks")
	r.addBudgeted("directors_behind", float64(p.Missing.Behind), 0, "pairs of a director and a key whose newest event it lacks")
	r.Figures["notes_gone_with_a_killed_machine"] = float64(p.LostWithLeader.Incomplete)
	p.listMissing(r)
	p.checkRealDirectors(r)
}

// listMissing lists the first missing events, the directors without any, and the events that were not checked.
func (p *scaleResult) listMissing(r *Report) {
	for i, event := range p.Missing.List {
		if i == maxListed {
			r.addViolation("more missing events are not listed")
			break
		}
		r.addViolation("%s lacks run %d of %s with fencing token %d", event.Director, event.Run, event.Key, event.FencingToken)
	}
	for _, name := range p.Missing.WithoutEvents {
		r.addViolation("%s accepted no events", name)
	}
	if n := p.Missing.Unchecked; n > 0 {
		r.addViolation("%d events could not be checked", n)
	}
}

// checkRealDirectors checks the events that real directors have counted themselves.
func (p *scaleResult) checkRealDirectors(r *Report) {
	duplicates, lost := 0, 0
	for _, name := range slices.Sorted(maps.Keys(p.RealDirectors)) {
		counts := p.RealDirectors[name]
		duplicates += counts.Duplicates
		lost += counts.Lost
		if counts.Accepted == 0 {
			r.addViolation("%s, a real director, accepted no events", name)
		}
	}
	r.Figures["real_notes_refused_as_doubled"] = float64(duplicates)
	r.addBudgeted("real_notes_lost_for_good", float64(lost), 0, "notes")
}

// secondsPerMillisecond converts the latencies of windows.
const secondsPerMillisecond = 1e-3

// checkLatencies checks how long events took. A quantile of several phases is the largest of the phases' quantiles.
func (p *scaleResult) checkLatencies(r *Report) {
	var quiet, disturbed hollow.WindowReport
	catchUp := math.NaN() // seconds from the healing of a region until it had accepted the last earlier event
	for i := range p.Phases {
		phase := &p.Phases[i]
		if phase.Quiet {
			addWindow(&quiet, phase)
		} else {
			addWindow(&disturbed, phase)
		}
		slowest := max(phase.Max, phase.EarlierMax) * secondsPerMillisecond
		if phase.Healed {
			catchUp = max(phase.EarlierFor*secondsPerMillisecond, 0)
		} else if slowest > maxEventSeconds {
			r.addViolation("phase %s: an event took %.2f s", phase.Name, slowest)
		}
	}
	reportWindow(r, "note_quiet", &quiet)
	reportWindow(r, "note_beside_faults", &disturbed)
	r.addBudgeted("catch_up_s", catchUp, maxEventSeconds, "s")
}

// addWindow merges the latencies of a phase into those of several. Events published before a healed phase do not count.
func addWindow(merged *hollow.WindowReport, phase *phase) {
	merged.Count += phase.Count
	merged.P50 = max(merged.P50, phase.P50)
	merged.P99 = max(merged.P99, phase.P99)
	merged.Max = max(merged.Max, phase.Max)
	if !phase.Healed {
		merged.Max = max(merged.Max, phase.EarlierMax)
	}
}

// reportWindow adds the figures of merged latencies to the report, under names that begin with the given name.
func reportWindow(r *Report, name string, merged *hollow.WindowReport) {
	if merged.Count == 0 {
		r.addViolation("%s: no latency was measured", name)
		return
	}
	r.Figures[name+"_p50_s"] = merged.P50 * secondsPerMillisecond
	r.addBudgeted(name+"_p99_s", merged.P99*secondsPerMillisecond, maxEventSeconds, "s")
	r.addBudgeted(name+"_worst_s", merged.Max*secondsPerMillisecond, maxEventSeconds, "s")
}
