package testcluster

// This file tests how many health checks and requests a hung cache receives from several directors.

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
	directors = flag.Int("directors", 5, "directors in each cluster of the health check test")
	rate      = flag.Float64("rate", 150, "requests a second in the health check test, to all directors together")
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
	maxCheckRate = 3 // health checks a second that one hung cache receives
)

// hangResult is the outcome of a run in which one cache hangs.
type hangResult struct {
	checksPerSecond float64       // health checks that reach the hung cache, from all directors
	requests        int           // requests forwarded to the hung cache
	missed          int           // requests that missed their latency objective, over the complete run
	recovery        time.Duration // from the end of the hang until the cache gets half as many requests as its peers; 0 means never
}

// hangOneCache runs a load during which one cache accepts requests but answers nothing for hangLength.
func hangOneCache(t *testing.T, options Options) (outcome hangResult) {
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
		outcome.checksPerSecond = float64(checksAfter-checksBefore) / hangLength.Seconds()
		outcome.requests = requestsAfter - requestsBefore
		c.Network.Heal(link)
		c.Network.Reset(link) // as if the hung process had ended
		outcome.recovery = awaitRecovery(c, hung, caches)
	})
	tally := result.Tally(-1)
	outcome.missed = tally.Requests - tally.Met
	for _, violation := range c.Emulator.Violations() {
		t.Error(violation)
	}
	c.Close()
	return outcome
}

// awaitRecovery returns how long it takes until a cache gets half as many requests as its peers do on average, or 0 if that
// takes longer than maxRecovery.
func awaitRecovery(c *Cluster, hung topology.Machine, caches []topology.Machine) time.Duration {
	healed := time.Now()
	for time.Since(healed) < maxRecovery {
		before := receivedRequests(c, caches)
		time.Sleep(recoveryPoll)
		ownRequests, peerRequests := 0, 0
		for id, received := range receivedRequests(c, caches) {
			if id == hung.ID {
				ownRequests = received - before[id]
			} else {
				peerRequests += received - before[id]
			}
		}
		peers := len(caches) - 1
		if ownRequests > 0 && 2*ownRequests*peers >= peerRequests {
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

// If one director checks the health of caches for all others, a hung cache receives few health checks even from many directors,
// and no more requests than without health checks.
func TestSharedHealthChecksLimitRequestsToHungCache(t *testing.T) {
	const probe = "duties:\n  - {name: probe, kind: probe, period: 500ms, timeout: 450ms}\nprobe: {within: 200ms}\n"
	results := map[string]hangResult{}
	var mu sync.Mutex // guards results
	configurations := map[string]Options{
		"none":             {NoClusterConfig: true},
		"by each director": {ClusterConfig: probe, SingleMember: true},
		"by one director":  {ClusterConfig: probe},
	}
	t.Run("configurations", func(t *testing.T) {
		for name, options := range configurations {
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
	shared, none := results["by one director"], results["none"]
	if shared.checksPerSecond == 0 || shared.checksPerSecond > maxCheckRate {
		t.Errorf("the hung cache received %.1f health checks a second, want some and at most %d", shared.checksPerSecond, maxCheckRate)
	}
	if shared.requests > none.requests {
		t.Errorf("the hung cache received %d requests, want at most %d as without health checks", shared.requests, none.requests)
	}
}
