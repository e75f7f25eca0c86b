package scenario

// This file runs one cause of overload against real director processes, for the first table of docs/overload.md.

import (
	"context"
	"fmt"
	"math"
	"time"

	"indigochute.example/indigochute/internal/capacity"
	"indigochute.example/indigochute/internal/testing/emulator"
	"indigochute.example/indigochute/internal/testing/testcluster"
	"indigochute.example/indigochute/internal/topology"
)

// OverloadTopology is the YAML of the topology for overload runs, in which %d is the number of directors. Cached copies become
// stale within seconds, so that service depends on fills.
var OverloadTopology = testcluster.TopologyText{Name: "overload", ZoneLink: "8MB/s", Caches: 10, Tail: `
parents:
  - {name: mid, zone: west, number: 5, link: 600KB/s, fetches: 40, memory: 3MB}
origin: {link: 900KB/s, latency: 10ms, fetches: 60}
vhosts:
  - {name: page, aim: 500ms, timeout: 2s, effect: replayable, value: 1, fresh: 3s, grace: 2s, sizes: {least: 1KB, most: 6KB}, demand: {share: 70%%, objects: 1500, skew: 0.7}}
  - {name: clip, aim: 700ms, timeout: 3s, effect: replayable, value: 3, parts: 6, sizes: {least: 8KB, most: 30KB}, demand: {share: 25%%, objects: 150, skew: 0.7}}
  - {name: order, aim: 600ms, timeout: 2s, effect: non-replayable, write: true, value: 5, sizes: {least: 200B, most: 200B}, demand: {share: 5%%, objects: 300}}
cold: {floor: 15%%, ramp: 6s, multiple: 3, window: 2s}
parentCold: {floor: 20%%, ramp: 6s, multiple: 3, window: 2s}
clients: {retries: 2, after: 300ms}
`}.YAML()

// Cause is a fault that leads to overload. It begins and ends within a run.
type Cause struct {
	Name  string
	begin func(cluster *testcluster.Cluster)
	end   func(cluster *testcluster.Cluster)
}

// Causes are the faults under which overload is measured. Machines that return start with empty caches.
var Causes = []Cause{
	{
		Name: "origin at a tenth",
		begin: func(cluster *testcluster.Cluster) {
			cluster.Emulator.LimitLink(machineIDs(cluster, topology.OriginRole)[0], 0.1)
		},
		end: func(cluster *testcluster.Cluster) {
			cluster.Emulator.LimitLink(machineIDs(cluster, topology.OriginRole)[0], 10)
		},
	},
	{
		Name: "a fifth of the caches cold",
		begin: func(cluster *testcluster.Cluster) {
			caches := machineIDs(cluster, topology.CacheRole)
			cluster.Emulator.Restart(caches[:len(caches)/5]...)
		},
		end: func(*testcluster.Cluster) {},
	},
	{
		Name: "three of five parents gone",
		begin: func(cluster *testcluster.Cluster) {
			for _, id := range machineIDs(cluster, topology.ParentRole)[:3] {
				cluster.Emulator.Kill(id)
			}
		},
		end: func(cluster *testcluster.Cluster) {
			cluster.Emulator.Boot(machineIDs(cluster, topology.ParentRole)[:3]...)
		},
	},
}

// machineIDs returns the IDs of the machines with a role.
func machineIDs(cluster *testcluster.Cluster, role topology.Role) (ids []uint32) {
	for _, machine := range cluster.Emulator.Machines() {
		if machine.Role == role {
			ids = append(ids, machine.ID)
		}
	}
	return ids
}

// Phases of a run, in this order. The priming load is not sent: caches and parents start with the copies that they would hold
// after it.
const (
	overloadPriming  = 20 * time.Second
	overloadWarmup   = 4 * time.Second // requests do not count yet
	overloadBefore   = 3 * time.Second
	overloadFault    = 8 * time.Second
	overloadAfter    = 9 * time.Second
	overloadMeasured = overloadBefore + overloadFault + overloadAfter

	faultBegins = overloadWarmup + overloadBefore // since the start of the load
	faultEnds   = faultBegins + overloadFault
)

// Settings of the planner that finds the sustainable load.
const (
	sustainableGoal     = "all 95% in its aim"
	sustainableMeasured = 8 * time.Second
	plannedRate         = 150         // requests a second of the load that the planner scales
	plannedLength       = time.Minute // length of that load
)

// SustainableRate returns the load that OverloadTopology with one director can just serve, in requests a second: the rate at
// which the planner predicts that sustainableGoal breaks.
func SustainableRate(seed uint64) (float64, error) {
	network, err := overloadNetwork(1)
	if err != nil {
		return 0, err
	}
	load := plannedLoad{
		rate:     plannedRate,
		length:   plannedLength,
		goal:     sustainableGoal,
		warmup:   overloadWarmup,
		measured: sustainableMeasured,
	}
	planner, err := load.newPlanner(network, seed, seed)
	if err != nil {
		return 0, err
	}
	predicted, err := planner.Break(network, capacity.Failure{})
	return predicted.Rate, err
}

// overloadNetwork returns OverloadTopology with a number of directors.
func overloadNetwork(directors int) (*topology.Topology, error) {
	return topology.Parse("overload", fmt.Appendf(nil, OverloadTopology, directors))
}

// RunOverload runs one cause on real processes under loadFactor times the sustainable rate. If the protocol's rules were
// violated it returns the result together with an error.
func RunOverload(options testcluster.Options, cause Cause, sustainableRate, loadFactor float64) (*OverloadResult, error) {
	options.Topology = OverloadTopology
	cluster, err := testcluster.Start(options)
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	network, err := overloadNetwork(options.Directors)
	if err != nil {
		return nil, err
	}
	priming, requests, err := overloadRequests(network, sustainableRate*loadFactor, options.Seed)
	if err != nil {
		return nil, err
	}
	cluster.Emulator.Prime(capacity.InitialCopies(network, priming))
	result := &OverloadResult{Cause: cause.Name, Directors: options.Directors, LoadFactor: loadFactor}
	tally := newOverloadTally(network, requests)
	load := cluster.Emulator.NewLoad(requests, overloadWarmup, overloadMeasured)
	load.OnAttempt = tally.addAttempt
	forwarded := runCause(cluster, load, cause)
	tally.fill(result)
	result.Forwarded = float64(forwarded) / math.Max(1, tally.distinct)
	result.Lateness = max(load.Lateness(), cluster.Emulator.Lateness())
	if violations := cluster.Emulator.Violations(); len(violations) > 0 {
		return result, fmt.Errorf("protocol rules violated: %v", violations)
	}
	return result, nil
}

// overloadRequests generates the requests of a run, and the priming load that determines the cached copies at its start.
func overloadRequests(network *topology.Topology, rate float64, seed uint64) (priming, requests []capacity.Request, err error) {
	length := overloadPriming + overloadWarmup + overloadMeasured
	generated, err := emulator.GenerateRequests(network, rate, length, seed)
	if err != nil {
		return nil, nil, err
	}
	priming, requests, _, _, err = capacity.DemandFromRequests(generated).Window(1, overloadWarmup, overloadMeasured)
	return priming, requests, err
}

// runCause runs the load with the cause in its middle. It returns how many requests were forwarded to caches after the warmup.
func runCause(cluster *testcluster.Cluster, load *emulator.Load, cause Cause) (forwarded int) {
	load.Run(context.Background(), func() {
		before := forwardedToCaches(cluster)
		time.Sleep(overloadBefore)
		cause.begin(cluster)
		time.Sleep(overloadFault)
		cause.end(cluster)
		time.Sleep(overloadAfter)
		forwarded = forwardedToCaches(cluster) - before
	})
	return forwarded
}

// forwardedToCaches returns how many requests the caches have received so far.
func forwardedToCaches(cluster *testcluster.Cluster) (forwarded int) {
	for _, id := range machineIDs(cluster, topology.CacheRole) {
		requests, _ := cluster.Emulator.Received(id)
		forwarded += requests
	}
	return forwarded
}
