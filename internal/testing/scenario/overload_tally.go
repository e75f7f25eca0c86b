package scenario

// This file adds up, over the time of an overload run, the requests that were served within their latency objective and the
// attempts that were rejected.

import (
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/capacity"
	"indigochute.example/indigochute/internal/testing/emulator"
	"indigochute.example/indigochute/internal/topology"
)

// OverloadResult is the result of one run. A served share is the part of all requests that was answered within the latency
// objective, each request weighted by the priority weight of its vhost.
type OverloadResult struct {
	Cause      string
	Directors  int
	LoadFactor float64 // the load relative to the sustainable rate
	Before     float64 // served share before the fault
	During     float64 // served share during the fault
	After      float64 // served share after the fault

	// Recovery is the time from the end of the fault until the served share reaches Before less recoveryMargin again. It is
	// negative if that does not happen within the run.
	Recovery time.Duration

	Forwarded      float64       // attempts at caches for each distinct request, over the complete run
	ClientRetries  float64       // for each distinct request
	RejectedShare  float64       // of the attempts during the fault
	RejectedSpread float64       // largest difference between two directors in the rejected share of one vhost, during the fault
	Lateness       time.Duration // lateness of the measuring machine itself
}

const (
	slotLength       = 500 * time.Millisecond // resolution of the tally
	spareSlots       = 20                     // slots after the end of the run
	recoveryWindow   = 2 * time.Second        // period over which the served share must be restored
	recoveryMargin   = 0.05                   // accepted loss of the served share
	rejectionsAfter  = time.Second            // rejections count from this time after the start of the fault
	uncountedEnd     = time.Second            // end of the run that does not count, as its requests may not have ended
	minSpreadSamples = 20                     // attempts of a vhost at a director from which their rejected share is compared
)

// overloadTally adds up attempts as the clients' goroutines report them.
type overloadTally struct {
	network *topology.Topology

	mu            sync.Mutex // guards the fields below
	requested     []float64  // priority weight requested, by slot of the intended time
	served        []float64  // the part of requested that was answered within the latency objective
	distinct      float64    // requests after the warmup
	clientRetries int
	faultAttempts map[netip.AddrPort][]attemptCount // during the fault, by director and vhost
}

// attemptCount counts the attempts of one vhost at one director.
type attemptCount struct{ all, rejected int }

func newOverloadTally(network *topology.Topology, requests []capacity.Request) *overloadTally {
	slots := int((overloadWarmup+overloadMeasured)/slotLength) + spareSlots
	tally := &overloadTally{
		network:       network,
		requested:     make([]float64, slots),
		served:        make([]float64, slots),
		faultAttempts: map[netip.AddrPort][]attemptCount{},
	}
	for i := range requests {
		tally.requested[requests[i].At/slotLength] += network.Classes[requests[i].Class].Value
		if requests[i].At >= overloadWarmup {
			tally.distinct++
		}
	}
	return tally
}

// addAttempt adds a client's attempt. A request that is served after a rejection counts as served if all its attempts together
// took no longer than the latency objective.
func (t *overloadTally) addAttempt(attempt emulator.Attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if attempt.Retries > 0 && attempt.EndedAt >= overloadWarmup {
		t.clientRetries++
	}
	if attempt.EndedAt >= faultBegins+rejectionsAfter && attempt.EndedAt < faultEnds {
		t.addFaultAttempt(&attempt)
	}
	if attempt.MetObjective {
		t.served[attempt.IntendedAt/slotLength] += t.network.Classes[attempt.Class].Value
	}
}

// addFaultAttempt counts an attempt that ended during the fault. The caller holds t.mu.
func (t *overloadTally) addFaultAttempt(attempt *emulator.Attempt) {
	counts := t.faultAttempts[attempt.Director]
	if counts == nil {
		counts = make([]attemptCount, len(t.network.Classes))
		t.faultAttempts[attempt.Director] = counts
	}
	counts[attempt.Class].all++
	if attempt.Outcome == capacity.Rejected {
		counts[attempt.Class].rejected++
	}
}

// servedShare returns the served share of the requests that were intended in a time. The caller holds t.mu.
func (t *overloadTally) servedShare(from, to time.Duration) float64 {
	requested, served := 0.0, 0.0
	for slot := int(from / slotLength); slot < int(to/slotLength); slot++ {
		requested += t.requested[slot]
		served += t.served[slot]
	}
	return served / math.Max(1, requested)
}

// fill sets the figures of a result that follow from attempts.
func (t *overloadTally) fill(result *OverloadResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	result.Before = t.servedShare(overloadWarmup, faultBegins)
	result.During = t.servedShare(faultBegins, faultEnds)
	result.After = t.servedShare(faultEnds, faultEnds+overloadAfter-uncountedEnd)
	result.Recovery = t.recovery(result.Before - recoveryMargin)
	result.ClientRetries = float64(t.clientRetries) / math.Max(1, t.distinct)
	result.RejectedShare, result.RejectedSpread = t.rejections()
}

// recovery returns how long after the fault the served share reached minShare again, or -1 if it did not within the run. The
// caller holds t.mu.
func (t *overloadTally) recovery(minShare float64) time.Duration {
	for at := faultEnds; at <= faultEnds+overloadAfter-recoveryWindow; at += slotLength {
		if t.servedShare(at, at+recoveryWindow) >= minShare {
			return at - faultEnds
		}
	}
	return -1
}

// rejections returns the rejected share of all attempts during the fault, and the largest difference between the rejected
// shares of two directors for the same vhost. The caller holds t.mu.
func (t *overloadTally) rejections() (share, spread float64) {
	all, rejected := 0, 0
	for vhost := range t.network.Classes {
		var shares []float64
		for _, counts := range t.faultAttempts {
			count := counts[vhost]
			all += count.all
			rejected += count.rejected
			if count.all >= minSpreadSamples {
				shares = append(shares, float64(count.rejected)/float64(count.all))
			}
		}
		if len(shares) > 1 {
			spread = max(spread, slices.Max(shares)-slices.Min(shares))
		}
	}
	return float64(rejected) / math.Max(1, float64(all)), spread
}
