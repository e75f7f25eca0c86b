package emulator

// This file is the load generator: it sends requests at their intended times and counts how they ended.

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"indigochute.example/indigochute/internal/capacity"
)

// Load sends requests to a fleet's directors. It is an open-loop load: each request is sent at its intended time, whether
// or not earlier ones have ended, and latency is measured from that time, so there is no coordinated omission. A rejected request is
// retried as the fleet's description configures for its clients. A Load can be run only once.
type Load struct {
	// OnAttempt, if set before Run, is called at the end of each attempt. It must not block.
	OnAttempt func(Attempt)

	fleet     *Fleet
	requests  []capacity.Request
	warmup    time.Duration // requests whose intended time is earlier are not counted
	start     time.Time
	lateness  *lateness // how late requests were sent
	lostZones atomic.Pointer[lostZones]
	lastID    atomic.Uint64

	unfinished  sync.WaitGroup // requests without an outcome
	connections sync.WaitGroup // goroutines of the pools' connections

	mu         sync.Mutex // guards the fields below
	result     *capacity.Result
	histograms []*hdrhistogram.Histogram // of latency in microseconds, by class
	pools      map[netip.AddrPort]*connectionPool
}

// lostZones is a set of zones whose directors are gone.
type lostZones struct {
	zones       []int
	clientsLost bool // the zones' clients stop as well; otherwise they use the directors of other zones
}

// has reports whether a zone is lost. A nil receiver means that none is.
func (l *lostZones) has(zone int) bool { return l != nil && slices.Contains(l.zones, zone) }

// latencyDigits is the precision of latencies in decimal digits.
const latencyDigits = 3

// NewLoad prepares a run of requests, which must be in the order of their times. Requests intended before warmup, or after
// the span that follows it, are sent but not counted.
func (f *Fleet) NewLoad(requests []capacity.Request, warmup, span time.Duration) *Load {
	classes := len(f.description.Classes)
	l := &Load{
		fleet:    f,
		requests: requests,
		warmup:   warmup,
		lateness: newLateness(),
		result:   &capacity.Result{Classes: make([]capacity.Tally, classes), Span: span},
		pools:    map[netip.AddrPort]*connectionPool{},
	}
	for range classes {
		l.histograms = append(l.histograms, newHistogram(latencyDigits))
	}
	return l
}

// LoseZones simulates the loss of the directors of zones. From now on the clients of these zones use the directors of other
// zones, or stop sending if clientsLost is set.
func (l *Load) LoseZones(zones []int, clientsLost bool) {
	l.lostZones.Store(&lostZones{zones, clientsLost})
}

// Run sends the requests until ctx ends. It returns their result once each request that was sent has an outcome and all
// connections are closed. onWarm, if not nil, is called in a goroutine of its own when the warmup is over, if the run lasts
// that long. Run waits for its return.
func (l *Load) Run(ctx context.Context, onWarm func()) *capacity.Result {
	l.start = time.Now()
	warmDone := make(chan struct{})
	timer := time.AfterFunc(l.warmup, func() {
		defer close(warmDone)
		if onWarm != nil {
			onWarm()
		}
	})
	l.sendAll(ctx)
	l.unfinished.Wait()
	if !timer.Stop() {
		<-warmDone
	}
	l.closePools()
	return l.result
}

// sendAll sends each request at its intended time, until ctx ends.
func (l *Load) sendAll(ctx context.Context) {
	for i := range l.requests {
		request := &l.requests[i]
		if wait := request.At - l.elapsed(); wait > 0 {
			select {
			case <-ctx.Done():
			case <-time.After(wait):
			}
		}
		if ctx.Err() != nil {
			return
		}
		l.lateness.record(l.elapsed() - request.At)
		l.unfinished.Add(1)
		l.send(request, 0)
	}
}

// send makes an attempt at a request that was already retried the given number of times. The attempt goes to a director of
// its client's zone.
func (l *Load) send(request *capacity.Request, retries int) {
	lost := l.lostZones.Load()
	if lost.has(int(request.Zone)) && lost.clientsLost {
		l.unfinished.Done() // there is no client to send it
		return
	}
	id := l.lastID.Add(1)
	zone := l.fleet.description.ServingZone(int(request.Zone), lost.has)
	if zone < 0 {
		l.finish(request, capacity.Failed, retries)
		return
	}
	director, ok := l.fleet.DirectorAddr(zone, directorIndex(id))
	if !ok {
		l.finish(request, capacity.Failed, retries)
		return
	}
	attempt := newAttempt(l, request, retries, id, director)
	l.pool(director).send(attempt)
}

// directorIndex spreads consecutive request IDs over a zone's directors with Knuth's multiplicative hash.
func directorIndex(requestID uint64) int {
	const (
		multiplier = 2654435761 // a prime close to 2^32 divided by the golden ratio
		shift      = 8          // drops the low bits, which are the least random
		mask       = 0xffffff   // keeps the result a positive int
	)
	return int(requestID * multiplier >> shift & mask)
}

// finish counts the final outcome of a request.
func (l *Load) finish(request *capacity.Request, outcome capacity.Outcome, retries int) {
	l.mu.Lock()
	intended, ended := request.At-l.warmup, l.elapsed()-l.warmup
	l.result.Count(l.fleet.description, request, intended, ended, outcome, retries)
	if outcome == capacity.Served && intended >= 0 && intended < l.result.Span {
		recordTime(l.histograms[request.Class], ended-intended)
	}
	l.mu.Unlock()
	l.unfinished.Done()
}

// elapsed returns the time since the run began.
func (l *Load) elapsed() time.Duration { return time.Since(l.start) }

// Lateness returns how late requests were sent, at the 99th percentile.
func (l *Load) Lateness() time.Duration { return l.lateness.percentile99() }

// Latency returns the histogram of latencies, in microseconds from the intended times, of the requests of a class that were
// served and counted. It is valid once Run has returned.
func (l *Load) Latency(class int) *hdrhistogram.Histogram { return l.histograms[class] }

// pool returns the connections to a director. It creates the pool at first use.
func (l *Load) pool(director netip.AddrPort) *connectionPool {
	l.mu.Lock()
	defer l.mu.Unlock()
	pool := l.pools[director]
	if pool == nil {
		pool = &connectionPool{load: l, director: director}
		l.pools[director] = pool
	}
	return pool
}

// closePools closes all connections and waits until their goroutines have ended. No request may be unfinished.
func (l *Load) closePools() {
	l.mu.Lock()
	for _, pool := range l.pools {
		pool.close()
	}
	l.mu.Unlock()
	l.connections.Wait()
}
