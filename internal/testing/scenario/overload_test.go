package scenario

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/capacity"
	"indigochute.example/indigochute/internal/testing/emulator"
)

var division = flag.Bool("division", false, "simulate the cost of dividing a load among directors, which takes half a minute")

// TestLoadDividedAmongDirectors measures and prints the second table of docs/overload.md. It divides a load among increasing
// numbers of directors, none of which has information on the load of the others.
func TestLoadDividedAmongDirectors(t *testing.T) {
	if !*division {
		t.Skip("only with -division")
	}
	const seeds = 3
	for _, loadFactor := range []float64{2, 4} {
		for _, directors := range []int{1, 5, 20, 100} {
			served, requested := 0.0, 0.0
			for seed := range uint64(seeds) {
				servedWeight, requestedWeight := simulateDivision(t, loadFactor, directors, seed)
				served, requested = served+servedWeight, requested+requestedWeight
			}
			fmt.Printf("%g times the sustainable load, %d directors: %.3f of the priority weight met its objective\n", loadFactor, directors,
				served/requested)
		}
	}
}

// simulateDivision simulates a steady load and returns the priority weights of the requests that met their latency objective,
// and of all requests.
func simulateDivision(t *testing.T, loadFactor float64, directors int, seed uint64) (served, requested float64) {
	t.Helper()
	const sustainableRate = 480 // requests a second, the figure of docs/overload.md
	network, err := overloadNetwork(directors)
	if err != nil {
		t.Fatal(err)
	}
	requests, err := emulator.GenerateRequests(network, sustainableRate*loadFactor, 40*time.Second, seed+1)
	if err != nil {
		t.Fatal(err)
	}
	setup := capacity.Setup{Factor: 1, Seed: seed, Warmup: 6 * time.Second, Span: 12 * time.Second}
	result, err := capacity.Run(network, capacity.DemandFromRequests(requests), setup)
	if err != nil {
		t.Fatal(err)
	}
	for i, class := range result.Classes {
		weight := network.Classes[i].Value
		served += weight * float64(class.Met)
		requested += weight * float64(class.Requests)
	}
	return served, requested
}
