package scenario

// This file captures a load in a real director for the scenario "plan", and checks that the capture is complete.

import (
	"bytes"
	"context"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/capacity"
	"indigochute.example/indigochute/internal/capture"
	"indigochute.example/indigochute/internal/director"
	"indigochute.example/indigochute/internal/testing/emulator"
	"indigochute.example/indigochute/internal/topology"
)

const (
	captureRate   = 60 // requests a second
	captureLength = 7 * time.Second
	captureWarmup = time.Second // before the drain and the purge

	minCapturedPercent = 95 // accepted share of captured requests, as some may end after the capture is closed
)

// captureLoad captures a load in a real director while a machine is drained and an object is purged. It checks the capture
// against the requests sent.
func captureLoad(network *topology.Topology, seed uint64, r *Report) (*capture.Capture, error) {
	requests, err := emulator.GenerateRequests(network, captureRate, captureLength, seed)
	if err != nil {
		return nil, err
	}
	file := &memoryFile{}
	writer, err := capture.NewWriter(file, captureHeader(network), 0, nil)
	if err != nil {
		return nil, err
	}
	observer := func(int, int, time.Time) director.Observer { return writer }
	machines, err := emulator.Start(network, emulator.Options{Seed: seed, NewObserver: observer})
	if err != nil {
		return nil, err
	}
	defer machines.Close()
	if err := sendCaptured(machines, requests); err != nil {
		return nil, err
	}
	machines.StopDirectors() // a director notifies its observer of a request some moments after the answer
	if err := writer.Close(); err != nil {
		return nil, err
	}
	captured, err := capture.Parse(file.buffer.Bytes())
	if err != nil {
		return nil, err
	}
	checkCapture(network, captured, writer.Dropped(), len(requests), r)
	r.Violations = append(r.Violations, machines.Violations()...)
	return captured, nil
}

// captureHeader returns the header of a capture that starts now.
func captureHeader(network *topology.Topology) capture.Header {
	header := capture.Header{Director: "rehearsal", Start: time.Now().UnixMicro(), Zones: []string{"west"}}
	for _, class := range network.Classes {
		header.Classes = append(header.Classes, class.Name)
	}
	return header
}

// sendCaptured sends the requests to real directors. It drains a machine and purges an object once the warmup is over.
func sendCaptured(machines *emulator.Fleet, requests []capacity.Request) error {
	if err := machines.StartDirectors(); err != nil {
		return err
	}
	load := machines.NewLoad(requests, captureWarmup, captureLength-captureWarmup)
	load.Run(context.Background(), func() {
		machines.Drain(machines.Machines()[0].ID)
		machines.Purge(requests[0].Object)
	})
	return nil
}

// checkCapture checks that each request sent has a row in the capture or was dropped by its writer, and that the demand from the
// capture has about as many requests as were sent.
func checkCapture(network *topology.Topology, captured *capture.Capture, dropped, sent int, r *Report) {
	if len(captured.Rows)+dropped < sent {
		r.addViolation("the capture has %d requests and dropped %d, want at least %d in total", len(captured.Rows), dropped, sent)
	}
	demand, err := capacity.DemandFromCapture(network, captured)
	if err != nil {
		r.addViolation("the capture cannot be converted to a demand: %v", err)
		return
	}
	if n := len(demand.Requests); n < sent*minCapturedPercent/100 || n > sent {
		r.addViolation("the demand from the capture has %d requests, want about the %d that were sent", n, sent)
	}
}

// memoryFile is an in-memory io.Writer that is safe for concurrent use.
type memoryFile struct {
	mu     sync.Mutex // guards buffer
	buffer bytes.Buffer
}

// Write appends data to the file.
func (f *memoryFile) Write(data []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.buffer.Write(data)
}
