package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/capture"
	"indigochute.example/indigochute/internal/testing/emulator"
	"indigochute.example/indigochute/internal/topology"
)

// frameWait is longer than the interval of one second between two frames of a capture.
const frameWait = 1200 * time.Millisecond

// servingProcess is a separate process with a director that serves an emulated installation and writes a capture.
type servingProcess struct {
	*exec.Cmd
	capture string // path of the capture
	log     *bytes.Buffer
	leave   func() // must be called once the process has ended
}

// startServing starts a process with a director and waits until it listens. The process is killed at the end of the test if it still runs.
func startServing(t *testing.T, installation *emulator.Fleet) *servingProcess {
	t.Helper()
	folder := t.TempDir()
	address, leave, err := installation.AddExternalDirector(0)
	if err != nil {
		t.Fatal(err)
	}
	config, err := installation.DirectorConfig(0, 0, address.String())
	if err != nil {
		t.Fatal(err)
	}
	process := &servingProcess{Cmd: exec.Command(os.Args[0]), capture: filepath.Join(folder, "x.capture"), log: &bytes.Buffer{}, leave: leave}
	process.Env = append(os.Environ(), argsVariable+"=serve --capture "+process.capture,
		"ROUTER_CONFIG="+writeTestFile(t, folder, "config.json", config))
	process.Stderr = process.log
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { process.Process.Kill() })
	if err := emulator.WaitListening(address, 10*time.Second); err != nil {
		t.Fatal(err, process.log.String())
	}
	return process
}

// TestServeCapturesRequests checks that the process of a director captures the requests that it serves. After SIGKILL, the file lacks only
// the end.
func TestServeCapturesRequests(t *testing.T) {
	fleet, err := topology.Read(smallFleet)
	if err != nil {
		t.Fatal(err)
	}
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(signal.String(), func(t *testing.T) { testServeCapturesRequests(t, fleet, signal) })
	}
}

// testServeCapturesRequests sends requests to a director, ends its process with a signal and checks the capture.
func testServeCapturesRequests(t *testing.T, fleet *topology.Topology, signal syscall.Signal) {
	installation, err := emulator.Start(fleet, emulator.Options{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	process := startServing(t, installation)
	requests, err := emulator.GenerateRequests(fleet, 60, 3*time.Second, 1)
	if err != nil {
		t.Fatal(err)
	}
	result := installation.NewLoad(requests, 0, 3*time.Second).Run(t.Context(), nil)
	time.Sleep(frameWait)
	process.Process.Signal(signal)
	if err := process.Wait(); signal == syscall.SIGTERM && err != nil {
		t.Errorf("got %v at the end of the process, want exit code 0: %s", err, process.log)
	}
	process.leave()
	installation.Close()
	captured, err := capture.Read(process.capture)
	if err != nil {
		t.Fatal(err)
	}
	if len(captured.Rows) != len(requests) || captured.Report.CPU <= 0 {
		t.Errorf("got %d rows, want %d; got processor time %v, want more than 0", len(captured.Rows), len(requests), captured.Report.CPU)
	}
	if total := result.Tally(-1); total.Met < len(requests)*9/10 {
		t.Errorf("got %+v, want nine in ten of %d requests within their latency objective", total, len(requests))
	}
	if complete := len(captured.Report.Excluded) == 0; complete != (signal == syscall.SIGTERM) {
		t.Errorf("got notes %v, want some after SIGKILL only", captured.Report.Notes())
	}
	if violations := installation.Violations(); len(violations) > 0 {
		t.Error(violations)
	}
}
