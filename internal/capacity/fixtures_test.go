package capacity

import (
	"math"
	mathrand "math/rand"
	"math/rand/v2"
	"testing"
	"testing/quick"
	"time"

	"indigochute.example/indigochute/internal/topology"
)

// smallTopology has two zones with five caches and two parents.
const smallTopology = `
name: test
zones:
  - {name: west, link: 1MB/s, directors: 1}
  - {name: east, link: 1MB/s, directors: 1, hub: 1}
kinds:
  - {name: std, cores: 1, pace: 100KB/s, each: 2ms, slots: 16, room: 12, memory: 1MB, number: {west: 3, east: 2}}
parents:
  - {name: mid, zone: west, number: 2, link: 1MB/s, fetches: 40, memory: 8MB}
origin: {link: 2MB/s, latency: 10ms, fetches: 80}
flow: 100KB/s
vhosts:
  - {name: page, aim: 400ms, timeout: 2s, effect: replayable, sizes: {least: 1KB, most: 6KB}}
  - {name: order, aim: 400ms, timeout: 2s, effect: non-replayable, write: true, sizes: {least: 200B, most: 200B}}
cold: {floor: 20%, ramp: 5s, multiple: 3, window: 1s}
parentCold: {floor: 20%, ramp: 5s, multiple: 3, window: 1s}
clients: {retries: 1, after: 300ms}
`

// testTopology parses smallTopology.
func testTopology(t testing.TB) *topology.Topology {
	t.Helper()
	network, err := topology.Parse("test", []byte(smallTopology))
	if err != nil {
		t.Fatal(err)
	}
	return network
}

// randomDemand returns a demand with Poisson arrivals at a rate in requests a second. Most requests are for a few popular
// objects.
func randomDemand(network *topology.Topology, rate float64, span time.Duration, objects int, seed uint64) *Demand {
	const spread = 0x9e3779b97f4a7c15 // odd, so that different popularity ranks give different objects
	random := rand.New(rand.NewPCG(seed, 9))
	var requests []Request
	for at := time.Duration(0); at < span; at += time.Duration(random.ExpFloat64() / rate * 1e9) {
		popularityRank := math.Floor(float64(objects) * math.Pow(random.Float64(), 2))
		object := uint64(1+popularityRank) * spread
		request := Request{At: at, Object: object, Zone: int16(random.IntN(len(network.Zones)))}
		if random.IntN(20) == 0 {
			request.Class = 1
		}
		request.Bytes = int32(network.Classes[request.Class].SizeOf(object, 0))
		requests = append(requests, request)
	}
	return DemandFromRequests(requests)
}

// testPlanner returns a planner with short runs that are simulated one after another.
func testPlanner(t testing.TB, network *topology.Topology, demand *Demand, goal string, seed uint64) *Planner {
	t.Helper()
	parsed, err := ParseGoal(network, goal)
	if err != nil {
		t.Fatal(err)
	}
	planner := NewPlanner(network, demand, parsed, RunSequentially, seed)
	planner.Warmup, planner.Span = 2*time.Second, 8*time.Second
	return planner
}

// quickConfig returns a configuration with which testing/quick generates count inputs from a fixed seed, so that each run of the
// tests has the same inputs.
func quickConfig(count int) *quick.Config {
	return &quick.Config{MaxCount: count, Rand: mathrand.New(mathrand.NewSource(1))}
}
