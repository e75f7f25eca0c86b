package cluster

// The status of one instance, and the answer to a request for it.

import (
	"encoding/json"
	"slices"
	"time"

	"indigochute.example/indigochute/internal/changefeed"
	"indigochute.example/indigochute/internal/lease"
	"indigochute.example/indigochute/internal/peer"
)

// Status is the status of one instance, as it reports it. The JSON keys must not change.
type Status struct {
	Lease     lease.Status      `json:"duty"`
	Bus       peer.Status       `json:"peer"`
	Results   map[string]Result `json:"results"` // of the last run, by job, of the jobs that it has the leases of
	Runs      int               `json:"runs"`    // that ended, failed ones included
	Failed    int               `json:"failed"`
	Hung      int               `json:"hung"` // runs past their deadline whose goroutine has not returned
	Health    HealthCounts      `json:"told"`
	Others    map[string]string `json:"others"` // addresses of the other instances, by name
	Truncated bool              `json:"cut"`    // lists were shortened to fit a frame

	// Of a control machine:
	Feed           *FeedStatus `json:"stream,omitempty"`
	DifferingLists []string    `json:"lists,omitempty"` // control machines with another list of control machines
	// LeaderlessFor is for how long no majority has followed a leader, as far as this instance knows; 0: one does.
	LeaderlessFor time.Duration `json:"without_ns"`
	// Of a director that follows control machines:
	Follower *FollowerStatus `json:"follower,omitempty"`
}

// FeedStatus is the status of the change feed of a control machine.
type FeedStatus struct {
	Counts changefeed.Counts `json:"counts"`
	Vector changefeed.Vector `json:"vector"`
}

// Status returns the present status of this instance.
func (m *Member) Status() Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	status := Status{
		Lease:   m.lease.Status(now),
		Bus:     m.bus.Status(),
		Results: map[string]Result{},
		Health:  m.health.snapshot(),
		Others:  m.file.PeerAddresses(m.name),
	}
	for name, j := range m.jobs {
		status.addJob(j)
		if _, ok := m.lease.Holds(now, name); ok {
			status.Results[name] = j.last
		}
	}
	if m.feed != nil {
		status.Feed = &FeedStatus{m.feed.Counts(), m.feed.Vector()}
		status.DifferingLists = slices.Clone(m.differingMachines)
		status.LeaderlessFor = m.lease.LeaderlessFor(now)
	}
	return status
}

// addJob adds the counts of a job. Called with the lock of the member held.
func (s *Status) addJob(j *job) {
	s.Runs += j.finished
	s.Failed += j.failed
	for _, r := range j.runs {
		if r.ended {
			s.Hung++
		}
	}
}

// answerStatus answers a request for the status, as JSON. It shortens the lists until the answer fits a frame.
func (m *Member) answerStatus([]byte) ([]byte, error) {
	status := m.Status()
	for {
		answer, err := json.Marshal(status)
		if err != nil || len(answer) <= peer.MaxPayloadBytes || !status.shorten() {
			return answer, err
		}
	}
}

// shorten drops the leader's table, the results and half of the owned leases. It returns false if there is nothing left to drop.
func (s *Status) shorten() bool {
	if s.Truncated && len(s.Lease.Owned) == 0 {
		return false
	}
	s.Truncated = true
	s.Lease.Table = nil
	s.Results = nil
	s.Lease.Owned = s.Lease.Owned[:len(s.Lease.Owned)/2]
	return true
}
