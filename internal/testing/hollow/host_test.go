package hollow

// This file tests hosts in this process.

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// followedHost is a host of directors that follow three control machines.
type followedHost struct {
	*Host
	directors int
	control   []*Host
}

// openFollowed opens three control machines and a host of directors that follow them. They end with the test.
func openFollowed(t *testing.T, directors int) *followedHost {
	t.Helper()
	layout := Layout{Directors: directors, Settings: trialJobs}
	control, configFile := openControl(t, layout)
	return &followedHost{open(t, Spec{Nodes: layout.NodeSpecs(configFile, 0, directors)}), directors, control}
}

// connected reports whether each director has two links, a health report and at least the given number of events.
func (h *followedHost) connected(minEvents int) bool {
	r := h.Report(h.directors)
	allLinked := r.NodesByLinks[2] == h.directors && r.DirectorsByUplink[""] == 0
	return allLinked && r.List[h.directors-1].Accepted >= minEvents && r.List[0].HealthReports > 0
}

// checkComplete checks that at least minEvents were published in a time range and that all directors accepted all of them.
func (h *followedHost) checkComplete(t *testing.T, from, until time.Time, minEvents int) {
	t.Helper()
	missing := h.checker.Missing(TimeRange{From: from.UnixNano(), Until: until.UnixNano()})
	if missing.Events < minEvents || missing.Incomplete > 0 || len(missing.WithoutEvents) > 0 {
		t.Errorf("%+v, want at least %d events and none missing", missing, minEvents)
	}
}

// Every director accepts every event once, even if the control machine that sends events to most directors ends.
func TestEveryDirectorAcceptsEveryEvent(t *testing.T) {
	t.Parallel()
	h := openFollowed(t, 20)
	await(t, "two links each and events", 15*time.Second, func() bool { return h.connected(30) })
	from := time.Now().Add(-500 * time.Millisecond)
	time.Sleep(2 * time.Second)
	h.checkComplete(t, from, time.Now().Add(-time.Second), 20)
	r := h.Report(h.directors)
	checkReport(t, r)
	if r.Nodes != h.directors || len(r.List) != h.directors {
		t.Errorf("%d nodes, %d listed, want %d", r.Nodes, len(r.List), h.directors)
	}
	if r.Received == 0 || r.Written == 0 {
		t.Errorf("%d bytes received, %d written, want some", r.Received, r.Written)
	}
	if first := r.Windows[0]; first.Count < 100 || first.Earlier > 0 {
		t.Errorf("first window %+v, want at least 100 events and no earlier ones", first)
	}
	h.checkLostControl(t, r)
	h.checkLostAll(t)
}

// busiestControl returns the index of the control machine that sends events to the most directors.
func (h *followedHost) busiestControl(r *Report) (busiest int) {
	followers := func(i int) int { return r.DirectorsByUplink[fmt.Sprintf("c%d", i)] }
	for i := range h.control {
		if followers(i) > followers(busiest) {
			busiest = i
		}
	}
	return busiest
}

// checkLostControl ends the control machine that sends events to the most directors, and checks that all directors continue to
// accept events.
func (h *followedHost) checkLostControl(t *testing.T, before *Report) {
	t.Helper()
	if err := h.checker.BeginWindow("a control machine ends", time.Now()); err != nil {
		t.Fatal(err)
	}
	ending := time.Now()
	busiest := h.busiestControl(before)
	h.control[busiest].Close()
	ended := time.Now()
	await(t, "links to the other two", 10*time.Second, func() bool {
		r := h.Report(h.directors)
		return r.NodesByLinks[2] == h.directors && r.DirectorsByUplink[fmt.Sprintf("c%d", busiest)] == 0 && r.DirectorsByUplink[""] == 0
	})
	accepted := h.Report(h.directors).List[h.directors-1].Accepted
	await(t, "events again", 10*time.Second, func() bool { return h.connected(accepted + 100) })
	time.Sleep(time.Second)
	// The last events of the ended machine may be lost, as it may not have sent them to any director.
	h.checkComplete(t, ending.Add(-time.Second), ending.Add(-100*time.Millisecond), 10)
	h.checkComplete(t, ended, time.Now().Add(-time.Second), 20)
	r := h.Report(h.directors)
	checkReport(t, r)
	if w := r.Windows; len(w) != 2 || w[1].Count == 0 || w[1].P50 > 1000 {
		t.Errorf("windows %+v, want a second one with a median of at most 1000 ms", w)
	}
	if r.LongestUnlinked > 5000 {
		t.Errorf("a director was %v ms without a link, want at most 5000", r.LongestUnlinked)
	}
}

// checkLostAll ends all control machines, and checks that all directors are reported without links.
func (h *followedHost) checkLostAll(t *testing.T) {
	t.Helper()
	for _, c := range h.control {
		c.Close()
	}
	await(t, "no links", 10*time.Second, func() bool { return h.Report(h.directors).NodesByLinks[0] == h.directors })
	time.Sleep(2 * unlinkedSamplePeriod)
	r := h.Report(h.directors)
	if minUnlinked := float64(unlinkedSamplePeriod.Milliseconds()); r.LongestUnlinked < minUnlinked {
		t.Errorf("the longest time without a link is %v ms, want at least %v", r.LongestUnlinked, minUnlinked)
	}
	if r.DirectorsByUplink[""] != h.directors {
		t.Errorf("directors by uplink %v, want all %d without one", r.DirectorsByUplink, h.directors)
	}
}

// The responses to queries show a violation that one director reports.
func TestQueriesShowViolations(t *testing.T) {
	t.Parallel()
	h := openFollowed(t, 3)
	await(t, "events", 15*time.Second, func() bool {
		r := h.Report(3)
		return r.List[2].Accepted > 10 && r.NodesByLinks[2] == 3
	})
	p := &Process{Address: h.Addr(), command: &exec.Cmd{Process: &os.Process{}}}
	at := time.Now()
	event := trialEvent("c9", 1, "by-hand", true, 1, 1, at)
	h.nodes[1].observer.Accept(event, at)
	h.nodes[1].observer.Accept(event, at)

	r, err := p.Report(1)
	if err != nil {
		t.Fatal(err)
	}
	if r.Total.Duplicates != 1 || r.Total.OutOfOrder != 1 {
		t.Errorf("total %+v, want one duplicate that is out of order", r.Total)
	}
	if len(r.List) != 1 || r.List[0].Name != "d1" || len(r.List[0].Violations) != 2 {
		t.Errorf("list %+v, want d1 with two violations", r.List)
	}
	missing, err := p.Missing(TimeRange{From: at.UnixNano(), Until: at.UnixNano() + 1})
	if err != nil {
		t.Fatal(err)
	}
	if missing.Events != 1 || missing.Incomplete != 1 || missing.Pairs != 2 {
		t.Errorf("missing %+v, want one event that two directors lack", missing)
	}
	if first := missing.List[0]; first.Director != "d0" || first.Key != "note/by-hand" {
		t.Errorf("first missing event %+v, want note/by-hand of d0", first)
	}
	if err := p.BeginWindow("next"); err != nil {
		t.Fatal(err)
	}
	if r, err := p.Report(0); err != nil || len(r.Windows) != 2 || r.Windows[1].Name != "next" || len(r.List) != 3 {
		t.Errorf("report %+v, %v, want a second window named next and 3 nodes", r, err)
	}
	if err := p.query(topicReport, "not a query", nil); err == nil || !strings.Contains(err.Error(), "query cannot be parsed") {
		t.Errorf("an invalid query returns %v, want an error that the query cannot be parsed", err)
	}
}

// Specs out of bounds are rejected, and so are nodes that their cluster configuration does not name.
func TestInvalidSpecsAreRejected(t *testing.T) {
	file := filepath.Join(t.TempDir(), "operator.yaml")
	layout := Layout{Instances: []string{"127.0.0.1:1"}}
	if err := os.WriteFile(file, []byte(layout.ClusterConfig()), 0o600); err != nil {
		t.Fatal(err)
	}
	tooMany := make([]NodeSpec, maxNodes+1)
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, test := range []struct {
		name      string
		spec      Spec
		wantError string
	}{
		{"too many nodes", Spec{Nodes: tooMany}, "at most"},
		{"two nodes of the same name", Spec{Nodes: tooMany[:2]}, "two nodes are named"},
		{"negative number of machines", Spec{Machines: -1}, "machines"},
		{"node that the file does not name", Spec{Nodes: []NodeSpec{{"d0", file}}}, "has no node of this name"},
		{"file that does not exist", Spec{Nodes: []NodeSpec{{"n0", file + ".not"}}}, "no such file"},
	} {
		t.Run(test.name, func(t *testing.T) {
			h, err := Open(test.spec, log.WithField("part", "test"))
			if err == nil {
				h.Close()
			}
			if err == nil || !strings.Contains(err.Error(), test.wantError) {
				t.Errorf("error %v, want one with %q", err, test.wantError)
			}
		})
	}
}
