package capacity

// Bounds: the load on each limit, without queueing.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"indigochute.example/indigochute/internal/simulation"
	"indigochute.example/indigochute/internal/topology"
)

// Limit is a resource that greater load may exhaust, and the load on it.
type Limit struct {
	Name     string  `json:"name"` // of the machine or link
	Resource string  `json:"what"` // cores, link, fetches or director
	Zone     int     `json:"-"`
	Kind     int     `json:"-"`      // of a cache or parent
	ID       uint32  `json:"-"`      // of the machine; 0 for the link or the directors of a zone
	Load     float64 `json:"load"`   // share of the limit that the captured load uses
	Factor   float64 `json:"factor"` // multiple of the captured load at which the limit is full
	Low      float64 `json:"low"`    // lower bound of Factor, from the variation of the load during the capture
	High     float64 `json:"high"`   // upper bound of Factor, from the same variation
}

// Values of Limit.Resource and Utilization.Resource.
const (
	limitCores    = simulation.LimitCores
	limitLink     = simulation.LimitLink
	limitFetches  = simulation.LimitFetches
	limitDirector = "director" // cores of the directors of a zone

	// limitSlowStart is the limit if many machines restart: their reduced capacity and their overload multiple in slow start.
	limitSlowStart = "cold start"
)

const (
	// blocks is the number of equal parts into which the time of the capture is divided. The variance of the load between
	// blocks gives the standard deviation of its mean.
	blocks = 10

	// maxTrackedReads is the maximum number of reads whose stack distances are computed. If a demand has more reads, only a
	// sample of the parts is tracked.
	maxTrackedReads = 200_000

	// minShareOfMean is the least load from which the upper bound of a factor is computed, as a share of the mean load. An upper
	// bound beyond 1/minShareOfMean times the factor would be meaningless.
	minShareOfMean = 0.1
)

// blockLoads holds the load of each block.
type blockLoads [blocks]float64

// Bounds estimates the load of the demand on each limit and returns the limits, the fullest first. It adds up work and
// bytes and ignores queueing, so that the factor of a limit is an upper bound of the load that the limit can carry. The
// parameter factor is the multiple of the captured load at which hot objects and the age of copies are determined.
func Bounds(network *topology.Topology, demand *Demand, factor float64) []Limit {
	estimate := newBounds(network, demand, factor)
	estimate.countReads(func(int) bool { return true })
	estimate.cores()
	estimate.links()
	estimate.directors()
	slices.SortStableFunc(estimate.limits, func(a, b Limit) int {
		return cmp.Or(cmp.Compare(a.Factor, b.Factor), cmp.Compare(a.Name, b.Name))
	})
	return estimate.limits
}

// ZoneMissRatioCurve returns the miss-ratio curve of the reads of one zone, and the memory in bytes that the caches of the
// zone have for distinct parts.
func ZoneMissRatioCurve(network *topology.Topology, demand *Demand, zone int) (curve *MissRatioCurve, pool float64) {
	estimate := newBounds(network, demand, 1)
	estimate.countReads(func(other int) bool { return other == zone })
	curve = NewMissRatioCurve(estimate.sampleShare())
	for i := range demand.Requests {
		request := &demand.Requests[i]
		if estimate.zoneOf(request) == zone && !network.Classes[request.Class].Write {
			curve.Read(request.Object, request.Part, float64(request.Bytes))
		}
	}
	return curve, estimate.pool(zone)
}

// bounds is the state of an estimate in progress.
type bounds struct {
	network   *topology.Topology
	demand    *Demand
	factor    float64 // multiple of the captured load
	homes     *homes
	blockSpan time.Duration // length of a block
	reads     []zoneReads   // by zone; empty for zones that countReads excludes
	limits    []Limit       // found so far
}

// newBounds returns an estimate at a multiple of the captured load, without any limits.
func newBounds(network *topology.Topology, demand *Demand, factor float64) *bounds {
	return &bounds{
		network:   network,
		demand:    demand,
		factor:    factor,
		homes:     newHomes(network),
		blockSpan: demand.Span/blocks + 1, // rounded up, so that the last request is in the last block
	}
}

// zoneOf returns the zone whose directors and caches serve a request.
func (b *bounds) zoneOf(request *Request) int { return b.network.ServingZone(int(request.Zone), nil) }

// blockOf returns the block in which a request arrives.
func (b *bounds) blockOf(request *Request) int { return int(request.At / b.blockSpan) }

// sampleShare returns the share of the parts whose stack distances are computed.
func (b *bounds) sampleShare() float64 {
	return min(1, maxTrackedReads/float64(len(b.demand.Requests)))
}

// add adds a limit with its load in each block, as a share of the limit. It ignores a limit without load.
func (b *bounds) add(limit Limit, loads blockLoads) {
	mean, variance := 0.0, 0.0
	for _, load := range loads {
		mean += load / blocks
	}
	for _, load := range loads {
		variance += (load - mean) * (load - mean) / (blocks - 1)
	}
	if mean <= 0 {
		return
	}
	margin := 2 * math.Sqrt(variance/blocks) // two standard deviations of the mean
	limit.Load = mean
	limit.Factor = 1 / mean
	limit.Low = 1 / (mean + margin)
	limit.High = 1 / max(mean-margin, mean*minShareOfMean)
	b.limits = append(b.limits, limit)
}

// directors adds the load on the cores of the directors of each zone, if the capture has the core time of a request.
func (b *bounds) directors() {
	if b.demand.CPUPerRequest == 0 {
		return
	}
	loads := make([]blockLoads, len(b.network.Zones))
	for i := range b.demand.Requests {
		request := &b.demand.Requests[i]
		loads[b.zoneOf(request)][b.blockOf(request)]++
	}
	for z, zone := range b.network.Zones {
		cores := float64(max(1, zone.Directors)) * b.network.Directors.Cores
		for block := range loads[z] {
			loads[z][block] *= b.demand.CPUPerRequest.Seconds() / b.blockSpan.Seconds() / cores
		}
		b.add(Limit{Name: "directors of " + zone.Name, Resource: limitDirector, Zone: z}, loads[z])
	}
}
