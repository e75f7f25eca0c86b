package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"indigochute.example/indigochute/internal/capacity"
)

// The example of a plan: the description of a fleet and a capture of its load.
const (
	smallFleet   = "../../examples/plan/small.yaml"
	smallCapture = "../../examples/plan/small.capture"
)

// TestPlanPredictsFirstBreak checks that the plan of the example predicts cores as the limit that breaks first, and writes its page. The
// exit code is 1 if the goal does not hold.
func TestPlanPredictsFirstBreak(t *testing.T) {
	folder := t.TempDir()
	code, stdout, stderr := runCommand("plan", smallFleet, "--load", smallCapture, "--json", "--report", folder)
	var answer capacity.Answer
	if err := json.Unmarshal([]byte(stdout), &answer); code != 0 || err != nil {
		t.Fatalf("exit %d, %v: %s", code, err, stderr)
	}
	if len(answer.Causes) == 0 || answer.Causes[0].Limit.Resource != "cores" {
		t.Errorf("got causes %+v, want cores first", answer.Causes)
	}
	first := answer.FirstBreak
	if first.Factor < 2 || first.Factor > 2.8 || first.Low > first.Factor || !answer.Met {
		t.Errorf("got met %v and a break at %+v, want a goal that is met and breaks at 2 to 2.8 times the load", answer.Met, first)
	}
	page, err := os.ReadFile(filepath.Join(folder, "plan.html"))
	if err != nil || strings.Count(string(page), `src="data:image/png`) < 3 || strings.Contains(string(page), "http") {
		t.Errorf("got a page of %d bytes and error %v, want at least three images and no links", len(page), err)
	}
	code, stdout, stderr = runCommand("plan", smallFleet, "--load", smallCapture, "--goal", "page 98% in its aim at 900 reqs/s")
	if code != 1 || !strings.Contains(stdout, "NOT met") {
		t.Errorf("goal that does not hold: got exit code %d, want 1 and NOT met: %s%s", code, stdout, stderr)
	}
}

// TestCommandFailures checks the exit code and the printed cause of commands with missing or faulty input. Rows that are excluded from a
// capture are reported in a note and are not a failure.
func TestCommandFailures(t *testing.T) {
	complete := readTestFile(t, smallCapture)
	folder := t.TempDir()
	empty := writeTestFile(t, folder, "empty", nil)
	truncated := writeTestFile(t, folder, "cut", complete[:len(complete)/2])
	otherFleet := strings.Replace(string(readTestFile(t, smallFleet)), "name: page", "name: leaf", 1)
	other := writeTestFile(t, folder, "other.yaml", []byte(otherFleet))
	cases := []struct {
		name string
		code int
		want string // part of the output
		args []string
	}{
		{"no capture", 2, "--load", []string{"plan", smallFleet}},
		{"empty capture", 1, "no header", []string{"plan", smallFleet, "--load", empty}},
		{"truncated capture", 0, "torn tail", []string{"plan", smallFleet, "--load", truncated}},
		{"missing capture", 1, "no such file", []string{"plan", smallFleet, "--load", truncated + "x"}},
		{"capture of another fleet", 0, "rows of vhost page, which the fleet lacks", []string{"plan", other, "--load", smallCapture}},
		{"goal of an unknown class", 1, `no vhost "x"`, []string{"plan", smallFleet, "--load", smallCapture, "--goal", "x 9% in its aim"}},
		{"goal out of reach", 1, "is the limiting resource",
			[]string{"plan", "need", smallFleet, "--load", smallCapture, "--goal", "page 99% in its aim at 1200 reqs/s"}},
		{"unknown scenario", 1, "unknown scenario", []string{"scenario", "dance"}},
		{"unknown schema", 2, "no schema", []string{"schema", "dance"}},
		{"unknown log format", 2, "--log-format", []string{"serve", "--log-format", "loud"}},
		{"emulate without a description", 1, "small.capture", []string{"emulate", smallCapture}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			if code, stdout, stderr := runCommand(test.args...); code != test.code || !strings.Contains(stdout+stderr, test.want) {
				t.Errorf("%v: got exit code %d, want output with %q: %s", test.args, code, test.want, stderr)
			}
		})
	}
}
