package emulator

// This file measures on sockets what package capacity predicts by simulation.

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/capacity"
	"indigochute.example/indigochute/internal/simulation"
	"indigochute.example/indigochute/internal/topology"
)

// Runner runs setups on sockets, in real time, with real directors. Its method Run is a capacity.Runner.
type Runner struct {
	// Parallel is how many setups run at once, at least 1. Together they must leave some of the machine's cores free.
	Parallel int
	// MaxLateness is the largest lateness of the emulator itself with which a run is valid; 0 means capacity.MaxLateness.
	MaxLateness time.Duration

	// The totals of all runs so far. They must not be read while Run is in progress.
	Violations []string      // of the protocol's rules
	Lateness   time.Duration // the greatest of any run
	Runs       int

	mu sync.Mutex // guards the totals
}

// LatenessError is the error of a run during which the machine that measures was itself too late.
type LatenessError struct{ Lateness, Max time.Duration }

func (e LatenessError) Error() string {
	return fmt.Sprintf("invalid run: this machine was late by %v, more than %v; give it more free cores or less load", e.Lateness, e.Max)
}

// Run runs the setups, Parallel at a time, and returns their results in order. A setup during which this machine was too late
// runs once more, alone. Run returns a capacity.ShortDemandError, before anything runs, if the demand is too short for a setup.
// It returns a LatenessError if this machine was too late again, or the error of a fleet that could not start.
func (r *Runner) Run(description *topology.Topology, demand *capacity.Demand, setups []capacity.Setup) ([]*capacity.Result, error) {
	for i := range setups {
		if _, err := newRunPlan(demand, &setups[i]); err != nil {
			return nil, err
		}
	}
	results, errs := r.runParallel(description, demand, setups)
	for i, err := range errs {
		var late LatenessError
		if errors.As(err, &late) {
			results[i], err = r.runOne(description, demand, &setups[i])
		}
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

// runParallel runs the setups and returns a result or an error for each.
func (r *Runner) runParallel(description *topology.Topology, demand *capacity.Demand, setups []capacity.Setup) ([]*capacity.Result, []error) {
	results, errs := make([]*capacity.Result, len(setups)), make([]error, len(setups))
	slots := make(chan struct{}, max(1, r.Parallel))
	var running sync.WaitGroup
	for i := range setups {
		slots <- struct{}{}
		running.Go(func() {
			results[i], errs[i] = r.runOne(description, demand, &setups[i])
			<-slots
		})
	}
	running.Wait()
	return results, errs
}

// runPlan is the part of a demand that a setup runs.
type runPlan struct {
	before   []capacity.Request // earlier requests, which determine what the caches hold at first
	requests []capacity.Request
	warmup   time.Duration
	span     time.Duration // after the warmup, in which requests are counted
}

// newRunPlan selects a setup's part of the demand. It returns the error of Demand.Window.
func newRunPlan(demand *capacity.Demand, setup *capacity.Setup) (plan runPlan, err error) {
	plan.before, plan.requests, plan.warmup, plan.span, err = demand.Window(setup.Factor, setup.Warmup, setup.Span)
	return plan, err
}

// runOne runs a setup on a fleet of its own.
func (r *Runner) runOne(description *topology.Topology, demand *capacity.Demand, setup *capacity.Setup) (*capacity.Result, error) {
	plan, err := newRunPlan(demand, setup)
	if err != nil {
		return nil, err
	}
	fleet, err := Start(description, Options{Seed: setup.Seed, BodySize: bodySizes(description, demand)})
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	if err := fleet.StartDirectors(); err != nil {
		return nil, err
	}
	fleet.Prime(capacity.InitialCopies(description, plan.before))
	fleet.limitForeignLinks(setup)
	load := fleet.NewLoad(plan.requests, plan.warmup, plan.span)
	result := runLoad(fleet, load, &plan, &setup.Failure)
	result.Factor = setup.Factor
	result.Rate = float64(len(plan.requests)) / (plan.warmup + plan.span).Seconds()
	if err := r.record(fleet, load); err != nil {
		return nil, err
	}
	return result, nil
}

// bodySizes returns a function for Options.BodySize: the captured size of a part, or the size that the description states
// if none was captured.
func bodySizes(description *topology.Topology, demand *capacity.Demand) func(class int, object uint64, part uint32) int {
	captured := demand.Sizes()
	return func(class int, object uint64, part uint32) int {
		if size, ok := captured[capacity.Part{Object: object, Part: part, Class: int16(class)}]; ok {
			return int(size)
		}
		return description.Classes[class].SizeOf(object, part)
	}
}

// limitForeignLinks reduces the machines' links by the shares that zones outside the emulation use.
func (f *Fleet) limitForeignLinks(setup *capacity.Setup) {
	shares := setup.ForeignLinkShares
	f.update(func(world *simulation.World) {
		for i, machine := range f.machines {
			if i < len(shares) && shares[i] > 0 {
				remaining := 1 - shares[i]*setup.Factor
				world.LimitLink(machine.ID, max(capacity.MinRemainingLinkShare, remaining))
			}
		}
	})
}

// runLoad runs the load and injects the failure once the warmup is over. For the counted span it measures the use of
// resources, and how many machines failed in addition to those of the injected failure.
func runLoad(fleet *Fleet, load *Load, plan *runPlan, failure *capacity.Failure) *capacity.Result {
	meter := &usageMeter{fleet: fleet}
	meter.begin()
	end := time.NewTimer(plan.warmup + plan.span)
	defer end.Stop()
	var uses []simulation.Use
	var machineFailures int
	var measuring sync.WaitGroup
	measuring.Go(func() {
		<-end.C
		uses = meter.uses()
		machineFailures = fleet.Failures() - len(failure.Restarted) - len(failure.Removed)
	})
	result := load.Run(context.Background(), func() {
		if !failure.Empty() {
			inject(fleet, load, failure)
		}
		meter.begin()
	})
	measuring.Wait()
	result.Utilizations, result.MachineFailures = uses, machineFailures
	return result
}

// inject applies a failure to a fleet and its load.
func inject(fleet *Fleet, load *Load, failure *capacity.Failure) {
	for _, id := range failure.Removed {
		fleet.Kill(id)
	}
	fleet.Restart(failure.Restarted...)
	if len(failure.LostZones) > 0 {
		load.LoseZones(failure.LostZones, failure.ClientsLost)
	}
}

// usageMeter measures the use of a fleet's resources since the last call of begin. It is safe for concurrent use.
type usageMeter struct {
	fleet *Fleet

	mu    sync.Mutex // guards since
	since simulation.Snapshot
}

// begin starts measuring, or starts again.
func (m *usageMeter) begin() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.since = m.fleet.Snapshot()
}

// uses returns the use of each machine's resources since begin.
func (m *usageMeter) uses() []simulation.Use {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fleet.Uses(m.since)
}

// record adds a run to the runner's totals. It returns a LatenessError if this machine was too late during the run.
func (r *Runner) record(fleet *Fleet, load *Load) error {
	lateness := max(load.Lateness(), fleet.Lateness())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Runs++
	r.Violations = append(r.Violations, fleet.Violations()...)
	r.Lateness = max(r.Lateness, lateness)
	if limit := cmp.Or(r.MaxLateness, capacity.MaxLateness); lateness > limit {
		return LatenessError{lateness, limit}
	}
	return nil
}
