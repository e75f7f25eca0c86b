package scenario

// This file checks the resource usage of directors and control machines in a run of the scenario "scale" against budgets.

import (
	"math"
	"slices"
	"time"
)

// Budgets of one director for its control traffic.
const (
	maxCorePercent    = 1.7    // of a core
	maxBytesPerSecond = 19_000 // read and written
	maxMemoryMB       = 64
)

const bytesPerMB = 1e6

// worstWindowLength is the length of a worst window. In a shorter run the worst window is the complete run.
const worstWindowLength = 10 * time.Second

// checkUsage checks the usage of directors and of control machines.
func (p *scaleResult) checkUsage(r *Report) {
	r.Figures["window_s"] = min(worstWindowLength, p.sampledLength()).Seconds()
	cpu := func(s *sample) float64 { return 100 * s.CPU.Seconds() }
	bytes := func(s *sample) float64 { return s.Bytes }
	bytesWithHeaders := func(s *sample) float64 { return s.Bytes * (1 + p.HeaderShare) }
	p.checkRate(r, "director_core_percent", cpu, maxCorePercent, "% of a core")
	p.checkRate(r, "director_bytes_per_s", bytes, maxBytesPerSecond, "bytes/s")
	p.checkRate(r, "director_bytes_with_headers_per_s", bytesWithHeaders, maxBytesPerSecond, "bytes/s")
	largest := worstWindow(p.Samples, func(window []sample) float64 {
		return rate(window, func(s *sample) float64 { return s.LargestBytes })
	})
	r.addBudgeted("one_director_bytes_per_s_worst_window", largest, maxBytesPerSecond, "bytes/s")
	r.addBudgeted("director_memory_mb", float64(p.HollowMemory)/bytesPerMB/float64(p.HollowDirectors), maxMemoryMB, "MB")
	p.checkProcesses(r)
}

// checkRate checks the mean rate of one hollow director in the quiet phase, over the complete run, and in its worst window.
func (p *scaleResult) checkRate(r *Report, name string, measure func(*sample) float64, budget float64, unit string) {
	perDirector := func(samples []sample) float64 { return rate(samples, measure) / float64(p.HollowDirectors) }
	quiet := slices.DeleteFunc(slices.Clone(p.Samples), func(s sample) bool { return !s.Quiet })
	r.addBudgeted(name+"_quiet", perDirector(quiet), budget, unit)
	r.addBudgeted(name, perDirector(p.Samples), budget, unit)
	r.addBudgeted(name+"_worst_window", worstWindow(p.Samples, perDirector), budget, unit)
}

// checkProcesses checks the memory of real directors, and adds the largest figures of any control machine.
func (p *scaleResult) checkProcesses(r *Report) {
	realMemory := math.NaN()
	for _, bytes := range p.RealMemory {
		realMemory = maxNumber(realMemory, float64(bytes)/bytesPerMB)
	}
	r.addBudgeted("real_director_memory_mb", realMemory, maxMemoryMB, "MB")
	memory, cores, accepts := math.NaN(), math.NaN(), math.NaN()
	for _, usage := range p.Control {
		memory = maxNumber(memory, float64(usage.Memory)/bytesPerMB)
		cores = maxNumber(cores, 100*usage.Cores)
		accepts = maxNumber(accepts, usage.Accepts)
	}
	r.addFigure("control_memory_mb", memory)
	r.addFigure("control_core_percent", cores)
	r.addFigure("control_accepts_per_s", accepts)
}

// sampledLength returns the length of all samples together.
func (p *scaleResult) sampledLength() (sum time.Duration) {
	for _, s := range p.Samples {
		sum += s.Length
	}
	return sum
}

// rate returns the sum of a measure over some samples, divided by their length in seconds. It is NaN if there are no samples.
func rate(samples []sample, measure func(*sample) float64) float64 {
	sum, length := 0.0, time.Duration(0)
	for i := range samples {
		sum += measure(&samples[i])
		length += samples[i].Length
	}
	return sum / length.Seconds()
}

// worstWindow returns the largest value of a measure over any consecutive samples that last for worstWindowLength. If all
// samples together are shorter, it returns the measure of all of them.
func worstWindow(samples []sample, measure func([]sample) float64) float64 {
	worst := math.NaN()
	for first := range samples {
		length := time.Duration(0)
		for last := first; last < len(samples); last++ {
			if length += samples[last].Length; length >= worstWindowLength {
				worst = maxNumber(worst, measure(samples[first:last+1]))
				break
			}
		}
	}
	if math.IsNaN(worst) {
		return measure(samples)
	}
	return worst
}

// maxNumber returns the larger of two numbers. If one of them is NaN, it returns the other.
func maxNumber(a, b float64) float64 {
	if math.IsNaN(a) || b > a {
		return b
	}
	return a
}
