package testcluster

// This file tests how often many directors check the health of a hung cache, and how many requests the checks spare.

import (
	"context"
	"flag"
	"sync"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/testing/emulator"
	"indigochute.example/indigochute/internal/testing/faultproxy"
	"indigochute.example/indigochute/internal/topology"
)

var (
	directors = flag.Int("directors", 5, "that probe, each for itself and one for all")
	rate      = flag.Float64("rate", 150, "reqs a second that all of them get while they do")
)

// Phases of the load while one cache hangs.
const (
	beforeHang = 3 * time.Second
	hangLength = 5 * time.Second
	afterHang  = 10 * time.Second
)

const (
	recoveryPoll = 500 * time.Millisecond
	maxRecovery  = afterHang - time.Second
	maxCheckRate = 3 // health checks a second of one hung cache
)

// hangResult is the outcome of a run in which one cache hangs.
type hangResult struct {
	checksPerSecond float64       // health checks that reach the hung cache, from all directors
	requests        int           // requests forwarded to the hung cache
	missed          int           // requests that missed their latency objective, over the complete run
	recovery        time.Duration // from the end of the hang until the cache gets half as many requests as its peers; 0: never
}

// hangOneCache runs a load during which one cache accepts everything and answers nothing for hangLength.
func hangOneCache(t *testing.T, options Options) (measured hangResult) {
	t.Helper()
	c := start(t, options)
	requests, err := emulator.GenerateRequests(c.topology, *rate, beforeHang+hangLength+afterHang, 5)
	if err != nil {
		t.Fatal(err)
	}
	var caches []topology.Machine
	for _, machine := range c.Emulator.Machines() {
		if machine.Role == topology.CacheRole {
			caches = append(caches, machine)
		}
	}
	hung := caches[0]
	link := ">" + hung.Name
	load := c.Emulator.NewLoad(requests, beforeHang, hangLength+afterHang)
	result := load.Run(context.Background(), func() {
		c.Network.SetFault(link, faultproxy.Reverse, drop)
		requestsBefore, checksBefore := c.Emulator.Received(hung.ID)
		time.Sleep(hangLength)
		requestsAfter, checksAfter := c.Emulator.Received(hung.ID)
		measured.checksPerSecond = float64(checksAfter-checksBefore) / hangLength.Seconds()
		measured.requests = requestsAfter - requestsBefore
		c.Network.Heal(link)
		c.Network.Reset(link) // as when a hung process ends
		measured.recovery = awaitRecovery(c, hung, caches)
	})
	tally := result.Tally(-1)
	measured.missed = tally.Requests - tally.Met
	for _, violation := range c.Emulator.Violations() {
		t.Error(violation)
	}
	c.Close()
	return measured
}

// awaitRecovery returns how long it takes until a cache gets half as many requests as its peers do on average, or 0 if that
// takes longer than maxRecovery.
func awaitRecovery(c *Cluster, hung topology.Machine, caches []topology.Machine) time.Duration {
	healed := time.Now()
	for time.Since(healed) < maxRecovery {
		before := receivedRequests(c, caches)
		time.Sleep(recoveryPoll)
		own, others := 0, 0
		for id, received := range receivedRequests(c, caches) {
			if id == hung.ID {
				own = received - before[id]
			} else {
				others += received - before[id]
			}
		}
		peers := len(caches) - 1
		if own > 0 && 2*own*peers >= others {
			return time.Since(healed)
		}
	}
	return 0
}

// receivedRequests returns how many requests each of the caches has received, by machine ID.
func receivedRequests(c *Cluster, caches []topology.Machine) map[uint32]int {
	received := map[uint32]int{}
	for _, cache := range caches {
		received[cache.ID], _ = c.Emulator.Received(cache.ID)
	}
	return received
}

// If one director checks the health of caches for all others, a hung cache receives few health checks whatever the number of
// directors, and no more requests than without health checks.
func TestSharedHealthChecksSpareRequests(t *testing.T) {
	const probe = "duties:\n  - {name: probe, kind: probe, period: 500ms, timeout: 450ms}\nprobe: {within: 200ms}\n"
	results := map[string]hangResult{}
	var mu sync.Mutex // guards results
	ways := map[string]Options{
		"none":            {NoClusterConfig: true},
		"each for itself": {ClusterConfig: probe, SingleMember: true},
		"one for all":     {ClusterConfig: probe},
	}
	t.Run("ways", func(t *testing.T) {
		for name, options := range ways {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				options.Directors, options.Seed = *directors, 31
				result := hangOneCache(t, options)
				t.Logf("%d directors: %+v", *directors, result)
				mu.Lock()
				defer mu.Unlock()
				results[name] = result
			})
		}
	})
	shared, none := results["one for all"], results["none"]
	if shared.checksPerSecond == 0 || shared.checksPerSecond > maxCheckRate {
		t.Errorf("the hung cache received %.1f health checks a second, want some and at most %d", shared.checksPerSecond, maxCheckRate)
	}
	if shared.requests > none.requests {
		t.Errorf("the hung cache received %d requests, want at most %d as without health checks", shared.requests, none.requests)
	}
}
