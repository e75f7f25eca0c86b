package emulator

// This file generates requests that follow the demand in a fleet's description.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"indigochute.example/indigochute/internal/capacity"
	"indigochute.example/indigochute/internal/topology"
)

// generateStream is the second half of the generator's seed. It keeps these draws apart from others with the same seed.
const generateStream = 0x1d1c0

// GenerateRequests returns requests in the order of their times, which are below span. Their mean rate is rate requests a
// second, spread over the request classes, objects and zones as the fleet's description states. Equal arguments give equal
// requests. It returns an error if no class has a share of the demand.
func GenerateRequests(description *topology.Topology, rate float64, span time.Duration, seed uint64) ([]capacity.Request, error) {
	shares := 0.0
	for i := range description.Classes {
		shares += float64(description.Classes[i].Demand.Share)
	}
	if shares == 0 {
		return nil, fmt.Errorf("fleet %s: no vhost has a demand.share, so no requests can be generated", description.Name)
	}
	g := &generator{
		random: rand.New(rand.NewPCG(seed, generateStream)),
		span:   span,
		zones:  newDistribution(len(description.Zones), func(i int) float64 { return float64(description.Zones[i].Share) }),
	}
	for i := range description.Classes {
		class := &description.Classes[i]
		if class.Demand.Share > 0 {
			meanBurst := 1 + class.Demand.Bursts
			arrivals := rate * float64(class.Demand.Share) / shares / meanBurst
			g.addClass(i, class, arrivals)
		}
	}
	slices.SortStableFunc(g.requests, func(a, b capacity.Request) int { return cmp.Compare(a.At, b.At) })
	return g.requests, nil
}

// generator draws requests from one random source.
type generator struct {
	random   *rand.Rand
	span     time.Duration
	zones    distribution
	requests []capacity.Request
}

// addClass adds the requests of a class. They come in bursts that arrive independently of each other, at a mean rate of
// arrivals a second. The requests of a burst come at once from one zone. The popularity of objects falls with their rank by
// the class's skew (a Zipf distribution).
func (g *generator) addClass(index int, class *topology.RequestClass, arrivals float64) {
	objects := newDistribution(max(1, class.Demand.Objects), func(i int) float64 { return math.Pow(float64(i+1), -class.Demand.Skew) })
	at := time.Duration(0)
	for {
		at += time.Duration(g.random.ExpFloat64() / arrivals * float64(time.Second))
		if at >= g.span {
			return
		}
		size := g.burstSize(class.Demand.Bursts)
		zone := g.zones.draw(g.random)
		for range size {
			request := g.newRequest(index, class, objects.draw(g.random))
			request.At, request.Zone = at, int16(zone)
			g.requests = append(g.requests, request)
		}
	}
}

// burstSize draws the number of requests in a burst: 1 plus a geometrically distributed number whose mean is extra.
func (g *generator) burstSize(extra float64) int {
	if extra <= 0 {
		return 1
	}
	return 1 + int(math.Log(1-g.random.Float64())/math.Log(extra/(1+extra)))
}

// newRequest returns a request of a class for the object with a popularity rank, which counts from 0. It draws the part and
// leaves the time and the zone unset.
func (g *generator) newRequest(index int, class *topology.RequestClass, rank int) capacity.Request {
	object := uint64(index+1)<<48 | uint64(rank+1)
	object = object*hashMultiplier | 1
	part := uint32(0)
	if class.Parts > 0 {
		part = uint32(g.random.IntN(class.Parts))
	}
	return capacity.Request{Object: object, Part: part, Group: uint32(object >> 56), Class: int16(index),
		Bytes: int32(class.SizeOf(object, part))}
}

// distribution is a cumulative distribution over the values from 0: element i is the probability of a value of i or less.
// The last element is 1.
type distribution []float64

// newDistribution returns the distribution of count values by their weights. It is uniform if all weights are 0.
func newDistribution(count int, weight func(int) float64) distribution {
	cumulative := make(distribution, count)
	total := 0.0
	for i := range cumulative {
		total += weight(i)
		cumulative[i] = total
	}
	for i := range cumulative {
		if total == 0 {
			cumulative[i] = float64(i+1) / float64(count)
		} else {
			cumulative[i] /= total
		}
	}
	return cumulative
}

// draw returns a random value of the distribution, from 0.
func (d distribution) draw(random *rand.Rand) int {
	value, _ := slices.BinarySearch(d, random.Float64())
	return min(value, len(d)-1)
}
