package lease

import (
	"fmt"
	"time"

	"indigochute.example/indigochute/internal/msgpack"
)

// MachineHealth is the result of a health check of one machine.
type MachineHealth struct {
	Node        uint32 // number of the machine
	StartedUnix int64  // start of the machine in Unix milliseconds; 0: long ago
	Alive       bool
	Age         time.Duration // time since the check began
}

// HealthReport is the results of one run of a health check job.
type HealthReport struct {
	Duty     string
	Fence    uint64 // fencing token of the run
	Run      uint64 // number of the run at its instance
	Machines []MachineHealth
}

const (
	maxMachines    = 16000            // maximum number of machines in one report and on a HealthBoard
	resultLifetime = 10 * time.Minute // a full HealthBoard drops a machine whose last accepted result is older

	healthReportFields  = 4       // values in the list that encodes a HealthReport
	machineHealthFields = 4       // values in the list that encodes a MachineHealth
	maxStartedUnix      = 1 << 62 // later starts are decoded as this one, so that the number fits in an int64

	minInconclusiveMachines = 3 // the results of fewer machines are always conclusive
)

// HealthBoard stores which result of each machine is the newest, and rejects older ones. Results are compared by the start of the
// machine, then by the fencing token, then by the number of the run. So a late report of an instance that has lost the lease does
// not overwrite a newer result. A board has up to maxMachines machines.
type HealthBoard struct {
	accepted map[uint32]acceptedResult
}

// acceptedResult is the newest result of a machine.
type acceptedResult struct {
	startedUnix int64
	fence, run  uint64
	acceptedAt  time.Duration
}

// NewHealthBoard returns an empty board.
func NewHealthBoard() *HealthBoard { return &HealthBoard{accepted: map[uint32]acceptedResult{}} }

// Accept returns those results of a report that are newer than the stored ones, and stores them.
func (board *HealthBoard) Accept(now time.Duration, report *HealthReport) (newer []MachineHealth) {
	for _, machine := range report.Machines {
		if !board.mayAccept(now, report, machine) {
			continue
		}
		board.accepted[machine.Node] = acceptedResult{
			startedUnix: machine.StartedUnix,
			fence:       report.Fence,
			run:         report.Run,
			acceptedAt:  now,
		}
		newer = append(newer, machine)
	}
	return newer
}

// mayAccept reports whether a result is newer than the stored one of its machine, or is of a new machine for which there is
// capacity.
func (board *HealthBoard) mayAccept(now time.Duration, report *HealthReport, machine MachineHealth) bool {
	known, isKnown := board.accepted[machine.Node]
	if !isKnown {
		return board.hasCapacity(now)
	}
	return known.olderThan(machine.StartedUnix, report.Fence, report.Run)
}

// olderThan reports whether a stored result is older than another one.
func (known acceptedResult) olderThan(startedUnix int64, fence, run uint64) bool {
	if known.startedUnix != startedUnix {
		return known.startedUnix < startedUnix
	}
	if known.fence != fence {
		return known.fence < fence
	}
	return known.run < run
}

// hasCapacity reports whether there is capacity for another machine. From a full board it first drops machines past resultLifetime.
func (board *HealthBoard) hasCapacity(now time.Duration) bool {
	if len(board.accepted) < maxMachines {
		return true
	}
	for node, known := range board.accepted {
		if now-known.acceptedAt > resultLifetime {
			delete(board.accepted, node)
		}
	}
	return len(board.accepted) < maxMachines
}

// Inconclusive reports whether the instance that made the health checks may itself be the cause of the results. That is so if more
// than half of at least three machines did not respond: the instance may be disconnected from them. If the machines really are
// down, every instance detects that itself.
func Inconclusive(results []MachineHealth) bool {
	unresponsive := 0
	for _, result := range results {
		if !result.Alive {
			unresponsive++
		}
	}
	return len(results) >= minInconclusiveMachines && 2*unresponsive > len(results)
}

// AppendHealthReport appends an encoded report. Ages are in microseconds, rounded up.
func AppendHealthReport(b []byte, report *HealthReport) []byte {
	b = msgpack.AppendList(b, healthReportFields)
	b = msgpack.AppendText(b, report.Duty)
	b = msgpack.AppendUint(b, report.Fence)
	b = msgpack.AppendUint(b, report.Run)
	b = msgpack.AppendList(b, len(report.Machines))
	for i := range report.Machines {
		machine := &report.Machines[i]
		b = msgpack.AppendList(b, machineHealthFields)
		b = msgpack.AppendUint(b, uint64(machine.Node))
		b = msgpack.AppendUint(b, uint64(machine.StartedUnix))
		b = msgpack.AppendBool(b, machine.Alive)
		b = msgpack.AppendUint(b, microsecondsUp(machine.Age))
	}
	return b
}

// ParseHealthReport decodes a report. It returns an error that wraps one of package msgpack if raw is not a valid report, or if the
// report has more than maxMachines machines.
func ParseHealthReport(raw []byte) (report HealthReport, err error) {
	values := msgpack.NewValues(raw)
	values.List(healthReportFields)
	report.Duty = values.Text(MaxNameBytes)
	report.Fence = values.Uint()
	report.Run = values.Uint()
	for range values.List(maxMachines) {
		if values.Err() != nil {
			break
		}
		values.List(machineHealthFields)
		report.Machines = append(report.Machines, MachineHealth{
			Node:        uint32(values.Uint()),
			StartedUnix: int64(min(values.Uint(), maxStartedUnix)),
			Alive:       values.Bool(),
			Age:         parseSpan(values),
		})
	}
	if err := values.End(); err != nil {
		return report, fmt.Errorf("decoding a health report: %w", err)
	}
	return report, nil
}
