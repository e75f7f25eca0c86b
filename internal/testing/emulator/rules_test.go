package emulator

import (
	"context"
	"strings"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/capacity"
	"indigochute.example/indigochute/internal/msgpack"
	"indigochute.example/indigochute/internal/simulation"
)

// The checker reports every violation of rule 1 that a client can see: a second response, a response to a request that was
// never sent, a wrong or unreadable response, and none at all.
func TestRuleCheckerReportsFaultyResponses(t *testing.T) {
	const object, otherObject = 7, 99
	fleet, description := startFleet(t)
	size := description.Classes[pageClass].SizeOf(object, 0)
	bodyOf := func(object uint64) []byte {
		return newBody(bodyHeader{object: object, fetched: time.Now().UnixMilli()}, size)
	}
	for _, test := range []struct {
		name          string
		respond       func(request *msgpack.Message) []byte
		wantViolation string
	}{
		{
			name: "two responses",
			respond: func(request *msgpack.Message) []byte {
				return append(success(request.ID, bodyOf(object)), success(request.ID, bodyOf(object))...)
			},
			wantViolation: "second response",
		},
		{
			name: "response to an unknown message",
			respond: func(request *msgpack.Message) []byte {
				return append(success(request.ID, bodyOf(object)), msgpack.Rejection(request.ID+1000, 0)...)
			},
			wantViolation: "never sent",
		},
		{
			name:          "short body",
			respond:       func(request *msgpack.Message) []byte { return success(request.ID, []byte("short")) },
			wantViolation: "body has",
		},
		{
			name:          "body of another object",
			respond:       func(request *msgpack.Message) []byte { return success(request.ID, bodyOf(otherObject)) },
			wantViolation: "got the body of",
		},
		{
			name:          "invalid bytes",
			respond:       func(*msgpack.Message) []byte { return []byte{0x94, 0x07, 0xff} },
			wantViolation: "invalid response",
		},
		{
			name:          "no response",
			respond:       func(*msgpack.Message) []byte { return nil },
			wantViolation: "no final response",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			fleet.rules = newRuleChecker(fleet)
			fleet.directors = nil
			addFakeDirector(t, fleet, test.respond)
			load := fleet.NewLoad([]capacity.Request{{Object: object}}, 0, time.Second)
			load.Run(context.Background(), nil)
			time.Sleep(20 * time.Millisecond) // for a response that follows the first
			if got := strings.Join(fleet.Violations(), "\n"); !strings.Contains(got, test.wantViolation) {
				t.Errorf("violations %q, want one with %q", got, test.wantViolation)
			}
		})
	}
}

// A non-idempotent request may be forwarded again only if no earlier attempt can have been executed.
func TestRuleCheckerReportsRepeatedExecution(t *testing.T) {
	fleet, _ := startFleet(t)
	request := &pendingRequest{requestID: "a", class: orderClass}
	fleet.rules.attemptReceived(1, 0, "a", orderClass)
	fleet.rules.attemptEnded(request, simulation.Missing)
	fleet.rules.attemptReceived(1, 0, "a", orderClass)
	if violations := fleet.Violations(); len(violations) != 0 {
		t.Errorf("violations %v after a retry of an attempt that was not executed, want none", violations)
	}
	fleet.rules.attemptEnded(request, simulation.Failed)
	fleet.rules.attemptReceived(1, 0, "a", orderClass)
	wantViolations(t, fleet, map[string]int{"rule 2": 1})
}

// Once the grace of a drain has passed, the machine must receive nothing and must not be a fill source. Once the grace of a
// purge has passed, no copy from before it may be served.
func TestRuleCheckerReportsUseAfterDrainAndPurge(t *testing.T) {
	const object = 7
	fleet, description := startFleet(t)
	drained := fleet.Machines()[0].ID
	fleet.rules.drainedSince[drained] = time.Now().Add(-2 * time.Second)
	fleet.rules.purgedSince[object] = time.Now().Add(-3 * time.Second)

	fleet.rules.attemptReceived(drained, 0, "b", pageClass)
	fleet.rules.attemptReceived(1, drained, "c", pageClass)
	purged := bodyHeader{object: object, fetched: time.Now().Add(-time.Hour).UnixMilli()}
	size := description.Classes[pageClass].SizeOf(object, 0)
	fleet.rules.checkBody(pageClass, object, 0, newBody(purged, size))

	wantViolations(t, fleet, map[string]int{"rule 3": 2, "rule 5": 1})
}

// wantViolations checks how many violations of each rule were reported, and that no other rule was violated.
func wantViolations(t *testing.T, fleet *Fleet, want map[string]int) {
	t.Helper()
	violations := fleet.Violations()
	text := strings.Join(violations, "\n")
	wantTotal := 0
	for rule, wantCount := range want {
		wantTotal += wantCount
		if got := strings.Count(text, rule); got != wantCount {
			t.Errorf("%d violations of %s, want %d: %s", got, rule, wantCount, text)
		}
	}
	if len(violations) != wantTotal {
		t.Errorf("%d violations, want %d: %s", len(violations), wantTotal, text)
	}
}
