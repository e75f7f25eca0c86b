package hollow

// This file measures the cost of the traffic between directors and control machines, by the number of directors.

import (
	"fmt"
	"os"
	"slices"
	"time"
)

// Bounds of the sizes that MeasureTraffic accepts.
const (
	minSize        = 2
	MaxMeshSize    = 64  // instances of a mesh
	MaxControlSize = 580 // directors that follow control machines
)

// Settings of measurements. The figures of the project are measured with these defaults.
const (
	trafficMachines     = 140 // fake machines, which give health reports a realistic size
	trafficJobs         = "duties:\n  - {name: probe, kind: probe, period: 500ms, timeout: 300ms}\n"
	defaultControl      = 9 // control machines
	defaultSettleTime   = 3 * time.Second
	defaultMeasuredTime = 8 * time.Second
	linksToControl      = 2 // of each director
)

// Kinds of traffic.
const (
	Mesh    = "mesh"    // between all instances of a mesh
	Control = "control" // between directors and control machines
)

// Meter measures the cost of traffic.
type Meter struct {
	Program         string // path of the built program
	ControlMachines int
	SettleTime      time.Duration         // from when all links are up until a measurement begins
	MeasuredTime    time.Duration         // length of each measurement
	Progress        func(measured string) // called after each measurement with its description
}

// NewMeter returns a meter with the settings that the figures of the project are measured with.
func NewMeter(program string) *Meter {
	return &Meter{
		Program:         program,
		ControlMachines: defaultControl,
		SettleTime:      defaultSettleTime,
		MeasuredTime:    defaultMeasuredTime,
		Progress:        func(string) {},
	}
}

// PeerTraffic holds what traffic of one kind costs, by the number of directors.
type PeerTraffic struct {
	Kind  string      `json:"kind"`
	Empty Rates       `json:"empty"` // of a process without directors
	Sizes []Size      `json:"sizes"`
	Fits  []LinearFit `json:"slopes"`
	Holds bool        `json:"holds"` // every prediction holds whose size was measured
}

// Size holds what traffic costs with one number of directors.
type Size struct {
	Directors  int           `json:"directors"`
	SettleTime time.Duration `json:"settled_ns"`   // until all links were up and all directors had health reports
	Process    Rates         `json:"process"`      // of the process of all directors
	Director   Rates         `json:"director"`     // one director's share of Process, without PeerTraffic.Empty
	Control    *Rates        `json:"control"`      // mean of the control machines; nil for a mesh
	ControlMax *Rates        `json:"control_most"` // each figure of the control machine for which it is largest; nil for a mesh
	Threads    int           `json:"threads"`      // of the process of all directors
}

// MeasureTraffic measures traffic of a kind with each of several numbers of directors. The directors are the instances of a
// mesh, or hollow directors that follow control machines. All directors share a process, and each control machine has its own.
func (m *Meter) MeasureTraffic(kind string, sizes []int) (*PeerTraffic, error) {
	var maxSize int
	var measure func(directors int) (*Size, error)
	switch kind {
	case Mesh:
		maxSize, measure = MaxMeshSize, m.measureMesh
	case Control:
		maxSize, measure = MaxControlSize, m.measureControl
	default:
		return nil, fmt.Errorf("hollow: unknown kind of traffic %q, want %s or %s", kind, Mesh, Control)
	}
	traffic := &PeerTraffic{Kind: kind}
	var err error
	if traffic.Empty, err = m.measureEmpty(); err != nil {
		return nil, err
	}
	for _, directors := range slices.Sorted(slices.Values(sizes)) {
		if directors < minSize || directors > maxSize {
			return nil, fmt.Errorf("hollow: %d directors, want %d to %d for %s", directors, minSize, maxSize, kind)
		}
		size, err := measure(directors)
		if err != nil {
			return nil, fmt.Errorf("hollow: %s with %d directors: %w", kind, directors, err)
		}
		size.Director = size.Process.minus(traffic.Empty).dividedBy(directors)
		traffic.Sizes = append(traffic.Sizes, *size)
		m.Progress(fmt.Sprintf("%s with %d directors", kind, directors))
	}
	traffic.addFits()
	return traffic, nil
}

// measureEmpty measures a host without nodes.
func (m *Meter) measureEmpty() (rates Rates, err error) {
	p, err := Start(m.Program, Spec{}, hostThreads)
	if err != nil {
		return rates, err
	}
	defer p.Close()
	time.Sleep(m.SettleTime)
	all, err := m.rates([]*Process{p})
	if err != nil {
		return rates, err
	}
	return all[0], nil
}

// measureMesh measures a mesh of a number of instances, which all run in one process.
func (m *Meter) measureMesh(instances int) (size *Size, err error) {
	layout := Layout{Settings: trafficJobs}
	if layout.Instances, err = freeAddresses(instances); err != nil {
		return nil, err
	}
	dir, path, err := writeClusterConfig(&layout)
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	spec := Spec{Machines: trafficMachines}
	for i := range instances {
		spec.Nodes = append(spec.Nodes, NodeSpec{fmt.Sprintf("n%d", i), path})
	}
	p, err := Start(m.Program, spec, hostThreads)
	if err != nil {
		return nil, err
	}
	defer p.Close()
	return m.measureHost(p, instances-1, nil)
}

// measureControl measures a number of directors in one process, and the control machines that they follow.
func (m *Meter) measureControl(directors int) (*Size, error) {
	layout := Layout{Directors: directors, Settings: trafficJobs}
	control, err := StartControlPlane(m.Program, layout, m.ControlMachines, trafficMachines)
	if err != nil {
		return nil, err
	}
	defer control.Close()
	p, err := control.StartDirectors(m.Program, 0, directors)
	if err != nil {
		return nil, err
	}
	defer p.Close()
	return m.measureHost(p, linksToControl, control.Machines)
}

// measureHost measures a host and control machines, once each node of the host has the given number of links.
func (m *Meter) measureHost(p *Process, links int, control []*Process) (*Size, error) {
	took, err := m.awaitSettled(p, links)
	if err != nil {
		return nil, err
	}
	rates, err := m.rates(append([]*Process{p}, control...))
	if err != nil {
		return nil, err
	}
	usage, err := ReadUsage(p.PID())
	if err != nil {
		return nil, err
	}
	size := &Size{Directors: len(p.Spec.Nodes), SettleTime: took, Process: rates[0], Threads: usage.Threads}
	if len(control) > 0 {
		var sum, largest Rates
		for _, machine := range rates[1:] {
			sum, largest = sum.plus(machine), largest.max(machine)
		}
		mean := sum.dividedBy(len(control))
		size.Control, size.ControlMax = &mean, &largest
	}
	return size, nil
}

// awaitSettled waits until every node of a host has the given number of links up and has health reports. It then waits for
// SettleTime, which is not part of the returned duration.
func (m *Meter) awaitSettled(p *Process, links int) (time.Duration, error) {
	nodes := len(p.Spec.Nodes)
	lastState := "no report was received"
	took, err := Await("all links up and health reports at every node", maxLinkTime, func() bool {
		time.Sleep(linkPollPeriod)
		report, err := p.Report(nodes)
		if err != nil {
			lastState = err.Error()
			return false
		}
		withReports := 0
		for _, n := range report.List {
			if n.HealthReports > 0 {
				withReports++
			}
		}
		lastState = fmt.Sprintf("nodes by links up %v, %d of %d nodes have health reports", report.NodesByLinks, withReports, nodes)
		return report.NodesByLinks[links] == nodes && withReports == nodes
	})
	if err != nil {
		return took, fmt.Errorf("%w: %s\n%s", err, lastState, p.Log())
	}
	time.Sleep(m.SettleTime)
	return took, nil
}

// rates measures processes at the same time.
func (m *Meter) rates(processes []*Process) ([]Rates, error) {
	var pids []int
	for _, p := range processes {
		pids = append(pids, p.PID())
	}
	all, err := m.ratesOf(pids)
	if err != nil {
		return nil, err
	}
	for i, p := range processes { // after the measurement, as the query has a cost itself
		report, err := p.Report(1)
		if err != nil {
			return nil, err
		}
		all[i].Goroutines = float64(report.Goroutines)
	}
	return all, nil
}

// ratesOf measures processes, by their process IDs, over MeasuredTime.
func (m *Meter) ratesOf(pids []int) (all []Rates, err error) {
	before, err := readUsages(pids)
	if err != nil {
		return nil, err
	}
	time.Sleep(m.MeasuredTime)
	after, err := readUsages(pids)
	if err != nil {
		return nil, err
	}
	for i := range after {
		all = append(all, after[i].Since(&before[i]))
	}
	return all, nil
}

// readUsages reads the usage of each process.
func readUsages(pids []int) (all []Usage, err error) {
	for _, pid := range pids {
		usage, err := ReadUsage(pid)
		if err != nil {
			return nil, err
		}
		all = append(all, usage)
	}
	return all, nil
}
