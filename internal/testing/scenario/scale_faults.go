package scenario

// This file holds the faults of the scenario "scale". Each fault collects evidence that it took effect.

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"indigochute.example/indigochute/internal/testing/faultproxy"
	"indigochute.example/indigochute/internal/testing/testcluster"
)

// beginFault records the start of a fault and begins a phase with its name. The returned function records the end of the fault,
// and the evidence that it took effect. Empty evidence means that there is none.
func (s *scaleRun) beginFault(name string) (end func(evidence string)) {
	s.beginPhase(phase{}, name)
	index := len(s.result.Faults)
	s.result.Faults = append(s.result.Faults, faultRecord{Name: name, From: s.cluster.Now()})
	return func(evidence string) {
		s.result.Faults[index].Until, s.result.Faults[index].Evidence = s.cluster.Now(), evidence
	}
}

// awaitLeader waits until there is a leader, and returns its process.
func (s *scaleRun) awaitLeader() (leader *testcluster.Process, err error) {
	_, err = s.cluster.Await("a leader", maxTakeover, func() bool {
		leader = s.cluster.Leader()
		return leader != nil
	})
	return leader, err
}

// killLeader kills the leader, measures the takeover, and starts the process again. The evidence is that the process ended and
// that another one leads.
func (s *scaleRun) killLeader() error {
	leader, err := s.awaitLeader()
	if err != nil {
		return err
	}
	owned := map[string]bool{}
	for job, owners := range s.cluster.Owners() {
		owned[job] = slices.Contains(owners, leader.Name)
	}
	end := s.beginFault("leader killed")
	from := s.cluster.Now()
	leader.Kill()
	s.leaderKilledAt = time.Now()
	newLeader, err := s.awaitTakeover(from, owned)
	if err != nil {
		s.result.Takeover = -1
		s.addViolation(err)
	}
	evidence := ""
	if newLeader != nil && newLeader != leader && !leader.Running() {
		evidence = fmt.Sprintf("%s ended, %s is the new leader, all jobs ran again after %.2f s", leader.Name, newLeader.Name, s.result.Takeover.Seconds())
	}
	time.Sleep(s.timing.killLength)
	if err := leader.Start(); err != nil {
		return err
	}
	end(evidence)
	time.Sleep(s.timing.afterKill)
	return nil
}

// awaitTakeover waits until there is a leader and each job that calls the counter has run again. A job that the lost leader
// owned must run with a higher fencing token than before. It records the longest of these times as the takeover, and returns the
// new leader, or nil if there is none.
func (s *scaleRun) awaitTakeover(lostAt time.Duration, lostJobs map[string]bool) (newLeader *testcluster.Process, err error) {
	_, err = s.cluster.Await("a new leader, and every job runs again", maxTakeover+takeoverAllowance, func() bool {
		if newLeader == nil {
			if newLeader = s.cluster.Leader(); newLeader != nil {
				s.result.Takeover = max(s.result.Takeover, s.cluster.Now()-lostAt)
			}
		}
		first := firstStarts(s.cluster.Counter.Calls(), lostAt, func(call *testcluster.Call, highestToken uint64) bool {
			return !call.Rejected && (!lostJobs[call.Job] || call.FencingToken > highestToken)
		})
		for _, at := range first {
			s.result.Takeover = max(s.result.Takeover, at-lostAt)
		}
		return newLeader != nil && len(first) == callJobs
	})
	return newLeader, err
}

// cutOffRegion partitions a region that has a control machine from all others, and then heals the partition.
func (s *scaleRun) cutOffRegion() error {
	regions := s.layout.severableRegions()
	if len(regions) == 0 {
		return errors.New("no region can be cut off")
	}
	region := regions[s.random.IntN(len(regions))]
	end := s.beginFault(fmt.Sprintf("region r%d cut off", region))
	for _, link := range s.layout.border(region) {
		s.cluster.Network.SetFault(link, faultproxy.Both, faultproxy.Fault{Drop: true})
	}
	time.Sleep(s.timing.cutLength)
	evidence, err := s.cutOffEvidence(region)
	if err != nil {
		return err
	}
	s.beginPhase(phase{Healed: true}, fmt.Sprintf("region r%d joined again", region))
	for _, link := range s.layout.border(region) {
		s.cluster.Network.Heal(link)
	}
	end(evidence)
	time.Sleep(s.timing.afterCut)
	return nil
}

// cutOffEvidence returns the evidence that a region is cut off: its directors have links only to its own control machines, and
// some of them lack links or lag behind. It returns an empty text unless both are the case.
func (s *scaleRun) cutOffEvidence(region int) (string, error) {
	inside := map[string]bool{}
	for _, m := range s.layout.hollowDirectors() {
		inside[m.name] = m.location.region == region
	}
	ownControl := countIn(region, s.layout.control)
	report, err := s.hollow.Report(s.result.HollowDirectors)
	if err != nil {
		return "", err
	}
	vectors, err := s.hollow.Vectors()
	if err != nil {
		return "", err
	}
	directors, unlinked, maxLinks := 0, 0, 0
	for _, d := range report.List {
		if !inside[d.Name] {
			continue
		}
		directors++
		maxLinks = max(maxLinks, d.Links)
		if d.Links < 2 {
			unlinked++
		}
	}
	lagging := map[string]bool{}
	for _, lag := range vectors.List {
		if inside[lag.Director] {
			lagging[lag.Director] = true
		}
	}
	reachesOthers := maxLinks > ownControl
	affected := unlinked > 0 || len(lagging) > 0
	if directors == 0 || reachesOthers || !affected {
		return "", nil
	}
	const evidence = "of %d directors in the region %d lack a link and at least %d lag; control machines in the region: %d"
	return fmt.Sprintf(evidence, directors, unlinked, len(lagging), ownControl), nil
}

// dropAllLinks resets every link of every director at once. The evidence is that the proxy reset two links of each hollow
// director, and that all directors have two links again.
func (s *scaleRun) dropAllLinks() error {
	end := s.beginFault("all links of directors reset")
	open, resetsBefore := s.countConnections(allDirectorLinks)
	from := time.Now()
	s.cluster.Network.Reset(allDirectorLinks)
	_, resetsAfter := s.countConnections(allDirectorLinks)
	resets := resetsAfter - resetsBefore
	took, err := s.cluster.Await("two links of every director after the reset", maxTakeover, func() bool {
		return len(s.firstResponsesAfter(from, allDirectorLinks)) >= 2*s.sizes.Directors && s.allLinked()
	})
	evidence := ""
	if err != nil {
		s.addViolation(err)
	} else if resets >= 2*s.result.HollowDirectors {
		evidence = fmt.Sprintf("%d of %d connections were reset and %d opened anew; after %.2f s all directors had two links", resets, open,
			len(s.firstResponsesAfter(from, allDirectorLinks)), took.Seconds())
	}
	end(evidence)
	time.Sleep(s.timing.afterDrop)
	return nil
}

// countConnections counts, over the links that match a pattern, the connections that are open and those that the proxy has
// reset so far.
func (s *scaleRun) countConnections(pattern string) (open, resets int) {
	for _, link := range s.cluster.Network.Links(pattern) {
		stats := link.Stats()
		open += stats.Open
		resets += stats.Reset
	}
	return open, resets
}

// firstResponsesAfter returns the times at which connections over the links that match a pattern received their first response.
// It leaves out times up to the given one.
func (s *scaleRun) firstResponsesAfter(after time.Time, pattern string) (all []time.Time) {
	for _, link := range s.cluster.Network.Links(pattern) {
		for _, at := range link.Stats().FirstResponses {
			if at.After(after) {
				all = append(all, at)
			}
		}
	}
	return all
}

// pauseControl pauses a control machine that is not the leader for a while. Its connections stay open. The evidence is that
// directors received events from it before the pause, and none receives events from it during the pause.
func (s *scaleRun) pauseControl() error {
	leader, err := s.awaitLeader()
	if err != nil {
		return err
	}
	before, err := s.followersByControl()
	if err != nil {
		return err
	}
	var candidates []*testcluster.Process
	for _, p := range s.control() {
		if p != leader && before[p.Name] > 0 {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		return fmt.Errorf("directors receive events only from the leader: %v", before)
	}
	p := candidates[s.random.IntN(len(candidates))]
	end := s.beginFault(p.Name + " paused")
	if err := p.Pause(); err != nil {
		return err
	}
	time.Sleep(s.timing.pauseLength)
	after, err := s.followersByControl()
	if err != nil {
		return err
	}
	evidence := ""
	if after[p.Name] == 0 && !p.Running() {
		evidence = fmt.Sprintf("%d directors received events from %s before the pause, none during it", before[p.Name], p.Name)
	}
	if err := p.Resume(); err != nil {
		return err
	}
	end(evidence)
	time.Sleep(s.timing.afterPause)
	return nil
}

// followersByControl returns how many directors, hollow and real, receive events from each control machine.
func (s *scaleRun) followersByControl() (map[string]int, error) {
	report, err := s.hollow.Report(1)
	if err != nil {
		return nil, err
	}
	for _, p := range s.realDirectors() {
		status, err := s.followerStatus(p)
		if err != nil {
			return nil, err
		}
		report.DirectorsByUplink[status.Uplinks.Active]++
	}
	return report.DirectorsByUplink, nil
}
