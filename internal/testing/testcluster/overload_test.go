package testcluster_test

// This file measures overload on real directors. The measurement runs only with the flag -grid.

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"

	"indigochute.example/indigochute/internal/testing/scenario"
	"indigochute.example/indigochute/internal/testing/testcluster"
)

var (
	grid         = flag.Bool("grid", false, "measure overload on 1, 5 and 20 real directors, which takes minutes")
	fleetSizes   = flag.String("sizes", "1,5,20", "numbers of directors in the grid")
	loadFactors  = flag.String("loads", "0.9,1.2,2,4", "loads in the grid, as multiples of the sustainable rate")
	causeFilter  = flag.String("cause", "", "measure only causes whose name contains this text")
	parallelRuns = flag.Int("side", 4, "runs at the same time")
)

// overloadRow is one row of the table in docs/overload.md.
type overloadRow struct {
	directors       int
	cause           scenario.Cause
	sustainableRate float64
	loadFactor      float64
}

// TestOverloadGrid measures and prints the first table of docs/overload.md.
func TestOverloadGrid(t *testing.T) {
	if !*grid {
		t.Skip("needs the flag -grid")
	}
	sustainableRate, err := scenario.SustainableRate(1)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Printf("sustainable rate: %.0f requests a second\n", sustainableRate)
	fmt.Println("| directors | cause | times | before | during | after | back | dispatches | again | denied | spread |")
	slots := make(chan struct{}, *parallelRuns)
	var runs sync.WaitGroup
	defer runs.Wait()
	for _, row := range overloadRows(t, sustainableRate) {
		slots <- struct{}{}
		runs.Go(func() {
			defer func() { <-slots }()
			row.measure(t)
		})
	}
}

// overloadRows returns the rows that the flags select.
func overloadRows(t *testing.T, sustainableRate float64) (rows []overloadRow) {
	t.Helper()
	for _, size := range strings.Split(*fleetSizes, ",") {
		directors, err := strconv.Atoi(size)
		if err != nil {
			t.Fatal(err)
		}
		for _, cause := range scenario.Causes {
			if !strings.Contains(cause.Name, *causeFilter) {
				continue
			}
			for _, load := range strings.Split(*loadFactors, ",") {
				loadFactor, err := strconv.ParseFloat(load, 64)
				if err != nil {
					t.Fatal(err)
				}
				rows = append(rows, overloadRow{directors, cause, sustainableRate, loadFactor})
			}
		}
	}
	return rows
}

// measure measures a row and prints it.
func (r *overloadRow) measure(t *testing.T) {
	t.Helper()
	options := testcluster.Options{Program: testcluster.Program(t), Directors: r.directors, Seed: 3, NoClusterConfig: true}
	result, err := scenario.RunOverload(options, r.cause, r.sustainableRate, r.loadFactor)
	if err != nil {
		t.Errorf("%d directors, %s, load factor %g: %v", r.directors, r.cause.Name, r.loadFactor, err)
	}
	if result == nil {
		return
	}
	fmt.Printf("| %d | %s | %g | %.3f | %.3f | %.3f | %.1f | %.2f | %.2f | %.3f | %.3f | late %v\n", r.directors, r.cause.Name,
		r.loadFactor, result.Before, result.During, result.After, result.Recovery.Seconds(), result.Forwarded,
		result.ClientRetries, result.RejectedShare, result.RejectedSpread, result.Lateness)
}
