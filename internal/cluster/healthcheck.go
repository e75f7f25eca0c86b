package cluster

// Runs of health check jobs, which check all machines and report the results.

import (
	"context"
	"errors"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/clusterconfig"
	"indigochute.example/indigochute/internal/director"
	"indigochute.example/indigochute/internal/lease"
)

// healthReportLifetimePeriods is the lifetime of a health report, in periods of its job. The lifetime is limited because the health
// of a machine may have changed since the check.
const healthReportLifetimePeriods = 10

// errInconclusive is the error of a health check to which most caches did not respond; see lease.Inconclusive. It prevents an
// instance that is cut off from the machines from making all directors eject them.
var errInconclusive = errors.New("more than half of the caches did not respond: no results are reported, as this instance may be cut off")

// runHealthCheck performs one run of a health check job: it checks every cache and parent and reports the results to all directors,
// unless they are inconclusive. The error is errLeaseLost, errInconclusive, a *panicError of a check or an error of publish.
func (m *Member) runHealthCheck(ctx context.Context, r *run, duty clusterconfig.Duty) error {
	m.mu.Lock()
	probe := m.file.Probe
	m.mu.Unlock()
	check := &healthCheck{member: m, duty: duty.Name, probe: probe, began: time.Now()}
	results, err := check.checkAll(ctx)
	if err != nil {
		return err
	}
	fence, err := m.mayAct(r)
	if err != nil {
		return err
	}
	if lease.Inconclusive(cachesOnly(results, m.director.Machines())) {
		m.health.countInconclusive()
		return errInconclusive
	}
	report := lease.HealthReport{Duty: r.order.Duty, Fence: fence, Run: r.order.Run, Machines: results}
	m.health.apply(m.now(), 0, &report)
	payload := lease.AppendHealthReport(nil, &report)
	if m.feed != nil {
		lifetime := healthReportLifetimePeriods * duty.Period.Duration()
		return m.publish(keyHealth+report.Duty, report.Fence, lifetime, payload)
	}
	m.bus.Broadcast(topicHealth, payload)
	return nil
}

// healthCheck is one check of all machines.
type healthCheck struct {
	member *Member
	duty   string
	probe  clusterconfig.Probe
	began  time.Time

	mu      sync.Mutex
	results []lease.MachineHealth // until all checks are done, Age is the time from began to the start of the check of the machine
	failure error                 // *panicError of a check; nil: none panicked
}

// checkAll checks all machines, up to Probe.Concurrency at a time, and returns the results with their ages. It starts no further
// check once the context is done. It waits for all goroutines that it starts; each ends within Probe.Timeout.
func (h *healthCheck) checkAll(ctx context.Context) ([]lease.MachineHealth, error) {
	var checks sync.WaitGroup
	slots := make(chan struct{}, h.probe.Concurrency)
	for _, machine := range h.member.director.Machines() {
		slots <- struct{}{}
		if ctx.Err() != nil {
			break
		}
		checks.Go(func() {
			defer func() { <-slots }()
			h.check(machine)
		})
	}
	checks.Wait()
	if h.failure != nil {
		return nil, h.failure
	}
	took := time.Since(h.began)
	for i := range h.results {
		h.results[i].Age = took - h.results[i].Age
	}
	return h.results, nil
}

// check checks one machine and records the result if the check was conclusive.
func (h *healthCheck) check(machine director.Machine) {
	startedAt := time.Now()
	alive, conclusive, err := h.call(machine)
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case err != nil:
		h.failure = err
	case conclusive:
		h.results = append(h.results, lease.MachineHealth{
			Node:        machine.ID,
			StartedUnix: machine.StartedUnix,
			Alive:       alive,
			Age:         startedAt.Sub(h.began),
		})
	}
}

// call lets the director check a machine. It turns a panic into a *panicError, as a panic in this goroutine would end the process.
func (h *healthCheck) call(machine director.Machine) (alive, conclusive bool, err error) {
	defer h.member.recoverPanic(h.duty, &err)
	alive, conclusive = h.member.director.CheckMachine(machine, h.probe.Timeout.Duration(), h.probe.Vhost, h.probe.Object)
	return alive, conclusive, nil
}

// cachesOnly returns the results of caches, without those of parents. Only the caches decide whether a run is conclusive, as there
// are many of them and they are alike.
func cachesOnly(results []lease.MachineHealth, machines []director.Machine) (caches []lease.MachineHealth) {
	isParent := map[uint32]bool{}
	for _, machine := range machines {
		isParent[machine.ID] = machine.Parent
	}
	for _, result := range results {
		if !isParent[result.Node] {
			caches = append(caches, result)
		}
	}
	return caches
}
