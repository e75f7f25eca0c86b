package scenario

// This file samples the resource usage of processes while the scenario "scale" runs.

import (
	"errors"
	"fmt"
	"math"
	"time"

	"indigochute.example/indigochute/internal/testing/hollow"
	"indigochute.example/indigochute/internal/testing/testcluster"
)

const (
	shortSamplePeriod = 500 * time.Millisecond // in the shortest runs
	longSamplePeriod  = time.Second            // in all others
)

// segmentHeaderBytes is the size of the headers of one TCP segment: 20 bytes of IPv4, 20 bytes of TCP and 12 bytes of the TCP
// time stamp option.
const segmentHeaderBytes = 52

// usage is the resource usage of the hollow directors up to a time.
type usage struct {
	at         time.Time
	cpu        time.Duration
	bytes      int64            // read and written by all directors
	byDirector map[string]int64 // bytes read and written, by name
}

// sampleUntilStopped samples the usage of all processes until the run ends. A sample is quiet if both of its
// readings are in the quiet phase.
func (s *scaleRun) sampleUntilStopped() {
	period := shortSamplePeriod
	if s.sizes.Directors > shortestUpTo {
		period = longSamplePeriod
	}
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	last, wasQuiet := s.readUsage(), s.quiet.Load()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
		now, quiet := s.readUsage(), s.quiet.Load()
		if now == nil || last == nil {
			last = now
			continue
		}
		step := now.since(last)
		step.Quiet = quiet && wasQuiet
		s.addSample(step)
		last, wasQuiet = now, quiet
	}
}

// since returns the sample between an earlier reading and this one.
func (u *usage) since(earlier *usage) sample {
	step := sample{
		Length: u.at.Sub(earlier.at),
		CPU:    u.cpu - earlier.cpu,
		Bytes:  float64(u.bytes - earlier.bytes),
	}
	for name, bytes := range u.byDirector {
		step.LargestBytes = max(step.LargestBytes, float64(bytes-earlier.byDirector[name]))
	}
	return step
}

// addSample adds a sample to the result.
func (s *scaleRun) addSample(step sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Samples = append(s.result.Samples, step)
}

// errReportTruncated means that a report does not list all directors.
var errReportTruncated = errors.New("the report lists fewer directors than requested")

// readUsage reads the usage of hollow directors so far, and updates the usage of all other processes. It returns nil if the
// hollow process did not answer.
func (s *scaleRun) readUsage() *usage {
	s.updateProcesses()
	cpu, memory, err := testcluster.ProcessUsage(s.hollow.PID())
	if err != nil {
		s.addSampleError(err)
		return nil
	}
	now := &usage{at: time.Now(), cpu: cpu, byDirector: map[string]int64{}}
	report, err := s.hollow.Report(s.result.HollowDirectors)
	if err == nil && report.Truncated {
		err = errReportTruncated
	}
	if err != nil {
		s.addSampleError(fmt.Errorf("bytes read and written by hollow directors: %w", err))
		return nil
	}
	now.bytes = report.Received + report.Written
	for _, d := range report.List {
		now.byDirector[d.Name] = d.Received + d.Written
	}
	s.mu.Lock()
	s.result.HollowMemory = max(s.result.HollowMemory, memory)
	s.mu.Unlock()
	return now
}

// updateProcesses updates the usage of the processes other than the hollow one. A process that does not run was killed, and is
// left out.
func (s *scaleRun) updateProcesses() {
	for _, p := range s.control() {
		if cpu, memory, err := p.Usage(); err == nil {
			s.updateControl(p.Name, cpu, memory)
		}
	}
	for _, p := range s.realDirectors() {
		if _, memory, err := p.Usage(); err == nil {
			s.mu.Lock()
			s.result.RealMemory[p.Name] = max(s.result.RealMemory[p.Name], memory)
			s.mu.Unlock()
		}
	}
}

// updateControl updates the largest memory of a control machine, and its processor time over all its incarnations.
func (s *scaleRun) updateControl(name string, cpu time.Duration, memory int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	times := s.cpu[name]
	if cpu < times.current { // another incarnation has begun
		times.current = 0
	}
	times.total += cpu - times.current
	times.current = cpu
	s.cpu[name] = times
	machine := s.result.Control[name]
	machine.Memory = max(machine.Memory, memory)
	s.result.Control[name] = machine
}

// addSampleError stores an error of a sample for the record, unless maxListed are stored already.
func (s *scaleRun) addSampleError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sampleErrs) < maxListed {
		s.sampleErrs = append(s.sampleErrs, err)
	}
}

// finishSamples records the errors of samples, and sets the mean processor time of control machines. It is called once the
// goroutines in background have ended.
func (s *scaleRun) finishSamples() {
	for _, err := range s.sampleErrs {
		s.record = append(s.record, "failed sample: "+err.Error())
	}
	for name, times := range s.cpu {
		machine := s.result.Control[name]
		machine.Cores = times.total.Seconds() / s.result.sampledLength().Seconds()
		s.result.Control[name] = machine
	}
}

// headerShare returns the bytes of TCP and IPv4 headers relative to the bytes of frames, from the segments that the system
// counted between two readings. It is NaN if no bytes were counted.
func headerShare(from, until *hollow.Usage) float64 {
	segments, bytes := until.Segments(from)
	if bytes == 0 {
		return math.NaN()
	}
	return segments * segmentHeaderBytes / bytes
}
