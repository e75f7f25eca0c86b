package hollow

// This file reports the state of a host and of its nodes.

import (
	"cmp"
	"encoding/json"
	"errors"
	"runtime"
	"slices"

	"indigochute.example/indigochute/internal/changefeed"
	"indigochute.example/indigochute/internal/peer"
)

// defaultListed is how many nodes a report lists unless the query names a number.
const defaultListed = 32

// Report is the state of a host.
type Report struct {
	Nodes             int                     `json:"parts"` // number of nodes
	Windows           []WindowReport          `json:"windows"`
	Total             Tally                   `json:"total"`              // of all directors
	Reader            changefeed.ReaderCounts `json:"stream"`             // of the readers of all directors
	Received          int64                   `json:"received"`           // bytes on uplinks, without TCP headers
	Written           int64                   `json:"written"`            // bytes on uplinks, without TCP headers
	NodesByLinks      map[int]int             `json:"links"`              // number of nodes, by number of links that are up
	DirectorsByUplink map[string]int          `json:"active"`             // number of directors, by control machine that sends events; "" is none
	LongestUnlinked   float64                 `json:"without_longest_ms"` // of any director
	Unchecked         int                     `json:"unchecked"`          // events that the checker could not check
	List              []NodeReport            `json:"list"`               // the worst first
	Truncated         bool                    `json:"cut"`                // the list is shorter than requested, as a response has a maximum size
	Goroutines        int                     `json:"goroutines"`
	Heap              uint64                  `json:"heap"`   // bytes in use
	Stacks            uint64                  `json:"stacks"` // bytes in use
}

// NodeReport is the state of one node.
type NodeReport struct {
	Name string `json:"name"`
	Role string `json:"role"`
	Tally
	Reader              changefeed.ReaderCounts `json:"stream"`
	Links               int                     `json:"links"`              // number of links that are up
	ActiveUplink        string                  `json:"active"`             // control machine from which the director receives events
	Received            int64                   `json:"received"`           // bytes, 0 for a member
	Written             int64                   `json:"written"`            // bytes
	LongestUnlinked     float64                 `json:"without_longest_ms"` // sampled each unlinkedSamplePeriod
	HealthReports       int64                   `json:"told"`               // reports on machines that reached the director
	UnresponsiveReports int64                   `json:"silent"`             // the part of HealthReports on unresponsive machines
	HealthChecks        int64                   `json:"looks"`              // checks of fake machines
	Violations          []string                `json:"faults,omitempty"`   // the first maxListedViolations
}

// Report returns the state of the host with the given number of nodes listed, the worst first.
func (h *Host) Report(list int) *Report {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	r := &Report{
		Nodes:             len(h.nodes),
		Windows:           h.checker.Windows(),
		NodesByLinks:      map[int]int{},
		DirectorsByUplink: map[string]int{},
		Unchecked:         h.checker.Unchecked(),
		Goroutines:        runtime.NumGoroutine(),
		Heap:              memory.HeapInuse,
		Stacks:            memory.StackInuse,
	}
	for _, n := range h.nodes {
		r.add(n.report(), n.follower != nil)
	}
	slices.SortStableFunc(r.List, compareReports)
	r.List = r.List[:min(len(r.List), list)]
	return r
}

// add adds a node to the totals and to the list.
func (r *Report) add(n NodeReport, isDirector bool) {
	r.Total.add(n.Tally)
	r.Received += n.Received
	r.Written += n.Written
	r.Reader = addReaderCounts(r.Reader, n.Reader)
	r.NodesByLinks[n.Links]++
	if isDirector {
		r.DirectorsByUplink[n.ActiveUplink]++
	}
	r.LongestUnlinked = max(r.LongestUnlinked, n.LongestUnlinked)
	r.List = append(r.List, n)
}

// compareReports sorts the nodes with the most violations first, then those with the worst connections.
func compareReports(a, b NodeReport) int {
	return cmp.Or(
		cmp.Compare(b.violations(), a.violations()),
		cmp.Compare(b.Reader.Losses, a.Reader.Losses),
		cmp.Compare(b.Reader.Gaps, a.Reader.Gaps),
		cmp.Compare(a.Links, b.Links),
		cmp.Compare(b.LongestUnlinked, a.LongestUnlinked),
		cmp.Compare(a.Accepted, b.Accepted),
	)
}

// handleReport returns a report as JSON. It halves the list until the report fits into a frame.
func (h *Host) handleReport(query ReportQuery) ([]byte, error) {
	r := h.Report(min(cmp.Or(query.List, defaultListed), maxNodes))
	for {
		raw, err := json.Marshal(r)
		if err != nil || len(raw) <= peer.MaxPayloadBytes {
			return raw, err
		}
		if len(r.List) == 0 {
			return nil, errors.New("hollow: the report does not fit into a frame, even without a list of nodes")
		}
		r.Truncated, r.List = true, r.List[:len(r.List)/2]
	}
}

// linkUp is the state of a link that is up, in a member's status.
const linkUp = "up"

// report returns the state of the node.
func (n *node) report() NodeReport {
	r := NodeReport{
		Name:                n.Name,
		Role:                n.role,
		HealthReports:       n.director.healthReports.Load(),
		UnresponsiveReports: n.director.unresponsiveReports.Load(),
		HealthChecks:        n.director.healthChecks.Load(),
	}
	if n.follower == nil {
		n.reportMember(&r)
	} else {
		n.reportFollower(&r)
	}
	return r
}

// reportMember adds the links of a member.
func (n *node) reportMember(r *NodeReport) {
	for _, link := range n.member.Status().Bus.Links {
		r.Written += link.WrittenBytes
		if link.State == linkUp {
			r.Links++
		}
	}
}

// reportFollower adds the events and uplinks of a follower.
func (n *node) reportFollower(r *NodeReport) {
	r.Tally, r.Violations = n.observer.Tally()
	r.LongestUnlinked = float64(n.updateUnlinked().Microseconds()) / microsecondsPerMillisecond
	status := n.follower.Status()
	r.Reader = status.Feed
	r.ActiveUplink, r.Links = status.Uplinks.Active, status.Uplinks.Up
	r.Received, r.Written = status.Uplinks.ReceivedBytes, status.Uplinks.WrittenBytes
}

// addReaderCounts returns the sum of each count.
func addReaderCounts(a, b changefeed.ReaderCounts) changefeed.ReaderCounts {
	return changefeed.ReaderCounts{
		Accepted:   a.Accepted + b.Accepted,
		Duplicates: a.Duplicates + b.Duplicates,
		Gaps:       a.Gaps + b.Gaps,
		Expired:    a.Expired + b.Expired,
		Invalid:    a.Invalid + b.Invalid,
		OldEpochs:  a.OldEpochs + b.OldEpochs,
		Losses:     a.Losses + b.Losses,
		Superseded: a.Superseded + b.Superseded,
	}
}
