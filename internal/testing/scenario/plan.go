package scenario

// This file runs the scenario "plan": the planner predicts the breaking point of a load, and the prediction is checked on real
// sockets below and above that point, and with caches that restart empty.

import (
	"time"

	"indigochute.example/indigochute/internal/capacity"
	"indigochute.example/indigochute/internal/testing/emulator"
	"indigochute.example/indigochute/internal/topology"
)

// planTopology is the YAML of a small and slow topology, which a shared machine can emulate without being late itself.
const planTopology = `
name: rehearsal
zones:
  - {name: west, link: 1MB/s, directors: 1}
kinds:
  - {name: std, cores: 1, pace: 100KB/s, each: 2ms, slots: 16, room: 12, memory: 2MB, number: {west: 5}}
parents:
  - {name: mid, zone: west, number: 2, link: 1MB/s, fetches: 40, memory: 12MB}
origin: {link: 2MB/s, latency: 10ms, fetches: 80}
flow: 100KB/s
vhosts:
  - {name: page, aim: 500ms, timeout: 2s, effect: replayable, value: 1, sizes: {least: 1KB, most: 6KB}, demand: {share: 95%, objects: 400, skew: 0.8}}
  - {name: order, aim: 500ms, timeout: 2s, effect: non-replayable, write: true, value: 1, sizes: {least: 200B, most: 200B}, demand: {share: 5%, objects: 300}}
cold: {floor: 15%, ramp: 6s, multiple: 3, window: 2s}
parentCold: {floor: 20%, ramp: 6s, multiple: 3, window: 2s}
clients: {retries: 1, after: 300ms}
`

// Load factors relative to the predicted breaking point. The goal must hold at factorBelow and fail at factorAbove. Both are far
// enough from the breaking point that a busy machine does not change the result. At factorColdReturn some caches restart empty.
const (
	factorBelow      = 0.75
	factorAbove      = 1.35
	factorColdReturn = 0.5
)

const (
	planGoal                = "all 95% in its aim"
	planDemandLength        = 2 * time.Minute       // length of the generated load that the planner uses
	planWarmup              = 2 * time.Second       // start of each run on sockets, whose requests do not count
	planMeasured            = 8 * time.Second       // part of each run on sockets whose requests count
	planParallelRuns        = 3                     // runs on sockets at the same time
	maxEmulatorDelay        = 80 * time.Millisecond // accepted lateness of the measuring machine itself; the latency objectives are 500 ms
	coldReturnShare         = 0.2                   // share of the caches that restart at the same time
	coldReturnPlannedFactor = 0.6                   // load, relative to the breaking point, for which the worst set of caches is determined
)

// runPlan captures a load, predicts where the goal breaks, and checks the prediction on sockets below and above that point.
func runPlan(seed uint64, r *Report) error {
	network, err := topology.Parse("rehearsal", []byte(planTopology))
	if err != nil {
		return err
	}
	captured, err := captureLoad(network, seed, r)
	if err != nil {
		return err
	}
	r.Figures["captured_rows"] = float64(len(captured.Rows))
	// A capture of a few seconds is too short to be replayed at several times its rate. It is therefore only checked against
	// the load that was sent. The planner uses a longer load from the same generator.
	load := plannedLoad{rate: captureRate, length: planDemandLength, goal: planGoal, warmup: planWarmup, measured: planMeasured}
	planner, err := load.newPlanner(network, seed+1, seed)
	if err != nil {
		return err
	}
	predicted, err := planner.Break(network, capacity.Failure{})
	if err != nil {
		return err
	}
	r.Figures["predicted"] = predicted.Factor
	if predicted.AlwaysHolds || predicted.NeverHolds {
		r.addViolation("the planner predicted no breaking point: %+v", predicted)
		return nil
	}
	coldReturn := planner.WorstRestart(coldReturnShare, predicted.Factor*coldReturnPlannedFactor)
	setup := func(factor float64, failure capacity.Failure) capacity.Setup {
		return capacity.Setup{Factor: predicted.Factor * factor, Seed: seed, Warmup: planWarmup, Span: planMeasured, Failure: failure}
	}
	return measurePlan(planner, r, planSetups{
		below:      setup(factorBelow, capacity.Failure{}),
		above:      setup(factorAbove, capacity.Failure{}),
		coldReturn: setup(factorColdReturn, capacity.Failure{Restarted: coldReturn.Machines}),
	})
}

// plannedLoad describes a generated load, and the goal that the planner checks for it.
type plannedLoad struct {
	rate     float64       // requests a second
	length   time.Duration // of the load
	goal     string
	warmup   time.Duration // start of each simulated run, whose requests do not count
	measured time.Duration // part of each simulated run whose requests count
}

// newPlanner generates the load and returns a planner for it. loadSeed is the seed of the load, runSeed that of
// the simulated runs.
func (l *plannedLoad) newPlanner(network *topology.Topology, loadSeed, runSeed uint64) (*capacity.Planner, error) {
	requests, err := emulator.GenerateRequests(network, l.rate, l.length, loadSeed)
	if err != nil {
		return nil, err
	}
	goal, err := capacity.ParseGoal(network, l.goal)
	if err != nil {
		return nil, err
	}
	planner := capacity.NewPlanner(network, capacity.DemandFromRequests(requests), goal, capacity.RunSequentially, runSeed)
	planner.Warmup, planner.Span = l.warmup, l.measured
	return planner, nil
}

// planSetups are the setups that are measured on sockets.
type planSetups struct {
	below      capacity.Setup // below the predicted breaking point
	above      capacity.Setup // above it
	coldReturn capacity.Setup // below it, with caches that restart empty
}

// measurePlan runs the setups on real sockets. It checks that the goal holds below the breaking point and fails above it, and
// that no machine fails when a share of the caches restarts empty.
func measurePlan(planner *capacity.Planner, r *Report, setups planSetups) error {
	runner := &emulator.Runner{Parallel: planParallelRuns, MaxLateness: maxEmulatorDelay}
	results, err := runner.Run(planner.Topology, planner.Demand, []capacity.Setup{setups.below, setups.above, setups.coldReturn})
	if err != nil {
		return err
	}
	below, above, coldReturn := results[0].Share(-1), results[1].Share(-1), results[2]
	r.Figures["share_below"] = below
	r.Figures["share_above"] = above
	r.Figures["share_cold_return"] = coldReturn.Share(-1)
	r.Figures["fell_over"] = float64(coldReturn.MachineFailures)
	r.Figures["late_ms"] = float64(runner.Lateness.Microseconds()) / 1000
	wantedShare := planner.Goal.WantedShare()
	if below < wantedShare {
		r.addViolation("at %.2f times the predicted breaking point the goal fails: served share %.3f", factorBelow, below)
	}
	if above >= wantedShare {
		r.addViolation("at %.2f times the predicted breaking point the goal still holds: served share %.3f", factorAbove, above)
	}
	if coldReturn.MachineFailures > 0 {
		r.addViolation("rule 4: %d machines failed when a fifth of the caches restarted empty", coldReturn.MachineFailures)
	}
	r.Violations = append(r.Violations, runner.Violations...)
	return nil
}
