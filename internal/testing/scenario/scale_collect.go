package scenario

// This file collects the observations of directors, the counter and the proxy at the end of a run of the scenario "scale".

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"indigochute.example/indigochute/internal/cluster"
	"indigochute.example/indigochute/internal/testing/hollow"
	"indigochute.example/indigochute/internal/testing/testcluster"
)

const (
	// An event may have reached only some directors when the machine that published it is killed. The events that a machine
	// published within this time before it was killed are therefore counted separately.
	lossWindow = 300 * time.Millisecond

	lastEventAllowance = 3 * time.Second // until the newest event of a key, which may still be on its way, has arrived
	collectedDirectors = 8               // number of directors whose violations are listed in the record
)

// collect completes the result with everything that is not sampled during the run.
func (s *scaleRun) collect() error {
	if err := s.collectMissing(); err != nil {
		return err
	}
	report, err := s.hollow.Report(collectedDirectors)
	if err != nil {
		return err
	}
	if len(report.Windows) != len(s.phases)+1 {
		return fmt.Errorf("%d latency windows are reported, want %d", len(report.Windows), len(s.phases)+1)
	}
	for i, window := range report.Windows[1:] {
		s.phases[i].WindowReport = window
	}
	s.result.Phases, s.result.Accepted = s.phases, report.Total
	if err := s.collectRealDirectors(); err != nil {
		return err
	}
	s.result.Calls, s.result.Overlaps = s.cluster.Counter.Calls(), s.cluster.Counter.Overlaps()
	s.result.Violations = append(s.result.Violations, s.cluster.Emulator.Violations()...)
	s.collectAccepts()
	s.recordRun(report)
	return nil
}

// collectMissing waits until every director must have accepted all events published so far, and collects those that are missing
// then.
func (s *scaleRun) collectMissing() error {
	published := time.Now()
	time.Sleep(time.Duration(maxEventSeconds * float64(time.Second)))
	var missing *hollow.Missing
	var err error
	s.cluster.Await("no missing events", lastEventAllowance, func() bool {
		missing, err = s.missingUntil(published)
		return err != nil || missing.Pairs == 0 && missing.Behind == 0
	})
	if err != nil {
		return err
	}
	s.result.Missing = *missing
	return nil
}

// missingUntil compares the events that directors accepted with those published until a time. The last events of a killed
// leader may be lost with it. They are counted separately, in LostWithLeader.
func (s *scaleRun) missingUntil(until time.Time) (*hollow.Missing, error) {
	if s.leaderKilledAt.IsZero() {
		return s.hollow.Missing(hollow.TimeRange{Until: until.UnixNano()})
	}
	from, killed := s.leaderKilledAt.Add(-lossWindow).UnixNano(), s.leaderKilledAt.UnixNano()
	before, err := s.hollow.Missing(hollow.TimeRange{Until: from})
	if err != nil {
		return nil, err
	}
	lost, err := s.hollow.Missing(hollow.TimeRange{From: from, Until: killed})
	if err != nil {
		return nil, err
	}
	after, err := s.hollow.Missing(hollow.TimeRange{From: killed, Until: until.UnixNano()})
	if err != nil {
		return nil, err
	}
	s.result.LostWithLeader = *lost
	after.Events += before.Events
	after.Incomplete += before.Incomplete
	after.Pairs += before.Pairs
	after.List = append(before.List, after.List...)
	return after, nil
}

// collectRealDirectors collects the event counts of real directors.
func (s *scaleRun) collectRealDirectors() error {
	for _, p := range s.realDirectors() {
		status, err := s.followerStatus(p)
		if err != nil {
			return err
		}
		s.result.RealDirectors[p.Name] = eventCounts{
			Accepted:   status.Feed.Accepted,
			Duplicates: status.Feed.Duplicates,
			Lost:       status.Feed.Losses,
		}
	}
	return nil
}

// followerStatus returns what a real director reports of the control machines that it follows. The query is retried, as the
// response may be late on a busy machine.
func (s *scaleRun) followerStatus(p *testcluster.Process) (*cluster.FollowerStatus, error) {
	var status *cluster.Status
	var err error
	s.cluster.Await("a status response of "+p.Name, maxTakeover, func() bool {
		status, err = p.Status()
		return err == nil
	})
	if err == nil && status.Follower == nil {
		err = errors.New("the status has no part about following control machines")
	}
	if err != nil {
		return nil, fmt.Errorf("status of %s: %w", p.Name, err)
	}
	return status.Follower, nil
}

// collectAccepts determines for each control machine how many connections it answered in its busiest second.
func (s *scaleRun) collectAccepts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.layout.control {
		usage := s.result.Control[m.name]
		usage.Accepts = float64(maxInOneSecond(s.firstResponsesAfter(time.Time{}, "r*>"+m.name)))
		s.result.Control[m.name] = usage
	}
}

// maxInOneSecond returns the largest number of times that lie within any interval of one second. It sorts the times.
func maxInOneSecond(times []time.Time) (largest int) {
	slices.SortFunc(times, time.Time.Compare)
	first := 0
	for last, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		largest = max(largest, last-first+1)
	}
	return largest
}

// recordRun adds the faults, the phases and the violations that directors observed to the record.
func (s *scaleRun) recordRun(report *hollow.Report) {
	for _, fault := range s.result.Faults {
		s.record = append(s.record, fault.String())
	}
	for _, p := range s.phases {
		s.record = append(s.record, fmt.Sprintf("phase %s: %d events accepted, p50 %.0f ms, p99 %.0f ms, max %.0f ms; "+
			"%d published before the phase, max %.0f ms, the last accepted %.0f ms after it began", p.Name, p.Count, p.P50, p.P99, p.Max,
			p.Earlier, p.EarlierMax, p.EarlierFor))
	}
	for _, director := range report.List {
		for _, violation := range director.Violations {
			s.record = append(s.record, "accepted by "+director.Name+": "+violation)
		}
	}
}
