package testcluster

// This file tests the resource usage of idle directors.

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// Bounds on the usage of an idle director.
const (
	maxIdleCores          = 0.1
	maxIdleBytesPerSecond = 20000 // sent to other directors
)

// idleUsage is the resource usage of a process since its start.
type idleUsage struct {
	cpu      time.Duration
	resident int64 // bytes, now
	sent     int64 // bytes, over links to other directors
}

// readIdleUsage reads the usage of a process so far.
func readIdleUsage(t *testing.T, p *Process) (usage idleUsage) {
	t.Helper()
	var err error
	if usage.cpu, usage.resident, err = p.Usage(); err != nil {
		t.Fatal(err)
	}
	if p.cluster.options.NoClusterConfig {
		return usage
	}
	status, err := p.Status()
	if err != nil {
		t.Fatal(err)
	}
	for _, link := range status.Bus.Links {
		usage.sent += link.WrittenBytes
	}
	return usage
}

// Directors that share 1,000 idle jobs use little processor time and bandwidth, and so does a director without a cluster.
func TestIdleDirectorsUseLittle(t *testing.T) {
	const jobs = 1000
	const span = 5 * time.Second // of the measurement
	clustered := start(t, Options{Directors: 3, Seed: 41, ClusterConfig: idleJobsConfig(jobs)})
	time.Sleep(5 * time.Second) // without queries of the status: with so many jobs they cost more than the jobs do
	if owned := len(clustered.Owners()); owned != jobs {
		t.Fatalf("%d jobs are owned, want %d", owned, jobs)
	}
	separate := start(t, Options{Directors: 1, Seed: 42, NoClusterConfig: true})
	time.Sleep(time.Second)

	processes := slices.Concat(clustered.Processes, separate.Processes)
	var before []idleUsage
	for _, p := range processes {
		before = append(before, readIdleUsage(t, p))
	}
	time.Sleep(span)
	for i, p := range processes {
		after := readIdleUsage(t, p)
		cores := (after.cpu - before[i].cpu).Seconds() / span.Seconds()
		bytesPerSecond := float64(after.sent-before[i].sent) / span.Seconds()
		t.Logf("%s, separate %v, leader %v: %.3f of a core, %.1f MB, %.0f bytes a second", p.Name, p.cluster == separate,
			p == clustered.Leader(), cores, float64(after.resident)/1e6, bytesPerSecond)
		if cores > maxIdleCores {
			t.Errorf("%s uses %.3f of a core, want at most %.3f", p.Name, cores, maxIdleCores)
		}
		if bytesPerSecond > maxIdleBytesPerSecond {
			t.Errorf("%s sends %.0f bytes a second, want at most %d", p.Name, bytesPerSecond, maxIdleBytesPerSecond)
		}
	}
}

// idleJobsConfig returns a cluster configuration with jobs whose period is longer than any test.
func idleJobsConfig(jobs int) string {
	var config strings.Builder
	config.WriteString("duties:\n")
	for i := range jobs {
		fmt.Fprintf(&config, "  - {name: duty-%04d, kind: call, address: \"COUNTER\", period: 1h, timeout: 1s, missed: pass}\n", i)
	}
	return config.String()
}
