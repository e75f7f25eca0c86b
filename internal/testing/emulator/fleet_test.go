package emulator

import (
	"context"
	"net"
	"testing"
	"time"
)

// Clients are served through a real director while a machine restarts, another drains and an object is purged. No rule is
// violated, and every request has an outcome.
func TestFleetServesClientsDuringFailures(t *testing.T) {
	fleet, description := startFleet(t)
	if err := fleet.StartDirectors(); err != nil {
		t.Fatal(err)
	}
	requests, err := GenerateRequests(description, 60, 5*time.Second, 1)
	if err != nil {
		t.Fatal(err)
	}
	const warmup = time.Second
	load := fleet.NewLoad(requests, warmup, 4*time.Second)
	result := load.Run(context.Background(), func() {
		machines := fleet.Machines()
		fleet.Restart(machines[0].ID)
		fleet.Drain(machines[1].ID)
		fleet.Purge(requests[0].Object)
	})
	wantRequests := 0
	for _, request := range requests {
		if request.At >= warmup {
			wantRequests++
		}
	}
	tally := result.Tally(-1)
	if tally.Requests != wantRequests {
		t.Errorf("%d requests have an outcome, want %d", tally.Requests, wantRequests)
	}
	if share := tally.Share(); share < 0.8 {
		t.Errorf("%.3f of the requests met their latency objective, want at least 0.8: %+v", share, tally)
	}
	if violations := fleet.Violations(); len(violations) > 0 {
		t.Errorf("violations %v, want none", violations)
	}
	if got := fleet.Failures(); got != 1 {
		t.Errorf("%d machine failures, want 1", got)
	}
}

// Directors that were stopped no longer listen, and the fleet no longer returns their addresses.
func TestStopDirectorsClosesListeners(t *testing.T) {
	fleet, _ := startFleet(t)
	if err := fleet.StartDirectors(); err != nil {
		t.Fatal(err)
	}
	addr, ok := fleet.DirectorAddr(0, 0)
	if !ok {
		t.Fatal("no director was started in the first zone")
	}

	fleet.StopDirectors()

	if conn, err := net.Dial("tcp", addr.String()); err == nil {
		conn.Close()
		t.Errorf("director at %v accepts a client after StopDirectors", addr)
	}
	if addr, ok := fleet.DirectorAddr(0, 0); ok {
		t.Errorf("got director at %v after StopDirectors, want none", addr)
	}
}
