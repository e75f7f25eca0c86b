package lease

import (
	"testing"
	"time"
)

// TestHealthBoardRejectsOlderResults passes a board one result of a machine after another. The board must reject results of an older
// start of the machine, of a lower fencing token and of an earlier run.
func TestHealthBoardRejectsOlderResults(t *testing.T) {
	board := NewHealthBoard()
	for _, step := range []struct {
		name         string
		startedUnix  int64
		fence, run   uint64
		wantAccepted bool
	}{
		{name: "first", startedUnix: 5, fence: 10, run: 1, wantAccepted: true},
		{name: "same", startedUnix: 5, fence: 10, run: 1, wantAccepted: false},
		{name: "later run", startedUnix: 5, fence: 10, run: 2, wantAccepted: true},
		{name: "lower fencing token", startedUnix: 5, fence: 9, run: 99, wantAccepted: false},
		{name: "higher fencing token", startedUnix: 5, fence: 11, run: 1, wantAccepted: true},
		{name: "older start", startedUnix: 4, fence: 99, run: 99, wantAccepted: false},
		{name: "newer start", startedUnix: 6, fence: 1, run: 1, wantAccepted: true},
		{name: "earlier run", startedUnix: 6, fence: 1, run: 0, wantAccepted: false},
	} {
		raw := AppendHealthReport(nil, &HealthReport{
			Duty:     "probe",
			Fence:    step.fence,
			Run:      step.run,
			Machines: []MachineHealth{{Node: 7, StartedUnix: step.startedUnix, Alive: true, Age: time.Millisecond}},
		})
		report, err := ParseHealthReport(raw)
		if err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		if accepted := len(board.Accept(time.Second, &report)) == 1; accepted != step.wantAccepted {
			t.Errorf("%s: got accepted %v, want %v", step.name, accepted, step.wantAccepted)
		}
	}
}
