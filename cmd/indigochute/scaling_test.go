package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/testing/scaling"
)

// fakeCheckout creates a directory that looks like a checkout and changes to it. In PATH, the go command is a shell script with the given
// text.
func fakeCheckout(t *testing.T, script string) {
	t.Helper()
	folder := t.TempDir()
	for name, text := range map[string]string{"go.mod": "module " + module + "\n\ngo 1.26\n", "go": "#!/bin/sh\n" + script} {
		if err := os.WriteFile(filepath.Join(folder, name), []byte(text), 0o755); err != nil {
			t.Fatal(err)
		}
	}
	t.Setenv("PATH", folder+":/usr/bin:/bin")
	t.Chdir(folder)
}

// printing returns a shell script that prints a text, which must end with a newline.
func printing(text string) string { return "cat <<'END'\n" + text + "END\n" }

// benchmarkOutput returns the output of go test for a figure that grows linearly, one that grows quadratically and one that is constant.
func benchmarkOutput() string {
	text := "pkg: " + module + "/x\n"
	for _, size := range []float64{36, 72, 145, 290, 580} {
		for _, excess := range []float64{0, 3, 900} { // for three runs, whose median is 3 above the line
			text += fmt.Sprintf("BenchmarkScaleList/machines=%.0f-4 100 %v ns/op %v B/msg 7 allocs/op\n", size, 500+20*size+excess, size*size)
		}
	}
	return text
}

// runScalingJSON runs scaling --json with more flags. It returns the exit code, the result and standard error.
func runScalingJSON(t *testing.T, flags ...string) (code int, result scalingResult, stderr string) {
	t.Helper()
	code, stdout, stderr := runCommand(append([]string{"scaling", "--json"}, flags...)...)
	if err := json.Unmarshal([]byte(stdout), &result); err != nil {
		t.Fatalf("exit %d, %v: %s%s", code, err, stdout, stderr)
	}
	return code, result, stderr
}

// TestScalingFigures checks that the figures are computed from the medians, that the output of go test is copied to standard error, and
// that go test gets the flags of the command.
func TestScalingFigures(t *testing.T) {
	fakeCheckout(t, "echo \"$@\" >args\necho building >&2\n"+printing(benchmarkOutput()+"PASS\n"))
	code, result, stderr := runScalingJSON(t, "--run", "ScaleL", "--benchtime", "50ms", "--count", "3")
	if code != 0 || len(result.Figures) != 3 || len(result.Failures) != 0 {
		t.Fatalf("got exit code %d and %+v, want 0 and three figures: %s", code, result, stderr)
	}
	linear, square, constant := result.Figures[0], result.Figures[1], result.Figures[2]
	if linear.Unit != "ns/op" || linear.Verdict != scaling.PredictedByLine || linear.Shape != scaling.Linear || linear.Points[0].Runs != 3 ||
		linear.Points[0].Median != 1223 || linear.Line.Points != 4 || linear.Package != module+"/x" || linear.SizeUnit != "machines" {
		t.Errorf("got %+v with line %+v, want a linear figure", linear, linear.Line)
	}
	if square.Unit != "B/msg" || square.Verdict != scaling.NotPredicted || square.Shape != scaling.Quadratic {
		t.Errorf("got %+v, want a quadratic figure", square)
	}
	if constant.Unit != "allocs/op" || constant.Verdict != scaling.PredictedByMean || constant.Measured != 7 {
		t.Errorf("got %+v, want a constant figure", constant)
	}
	if !strings.Contains(stderr, "building") || !strings.Contains(stderr, "BenchmarkScaleList/machines=36") {
		t.Errorf("got standard error %s, want the output of go test", stderr)
	}
	const wantArgs = "test -run ^$ -bench ScaleL -benchtime 50ms -count 3 -p 1 -vet off -timeout 10m0s ./...\n"
	if args := string(readTestFile(t, "args")); args != wantArgs {
		t.Errorf("got go called with %s, want %s", args, wantArgs)
	}
}

func TestScalingTable(t *testing.T) {
	fakeCheckout(t, printing(benchmarkOutput()+"PASS\n"))
	code, stdout, stderr := runCommand("scaling")
	if code != 0 {
		t.Errorf("got exit code %d, want 0: %s", code, stderr)
	}
	for _, want := range []string{"x List", "36 72 145 290 580 machines", "20 each", "503", "1.21e+04", "within 15% (+0.0%)",
		"N²", "bent (-", "constant, spread 0.0%"} {
		if !strings.Contains(stdout, want) {
			t.Errorf("the output lacks %q: %s", want, stdout)
		}
	}
}

// TestScalingReportsFailedBenchmarks checks that, if something could not be run or parsed, the command still prints the measured figures,
// and that its exit code is 1.
func TestScalingReportsFailedBenchmarks(t *testing.T) {
	cases := []struct {
		name     string
		script   string
		want     string // part of the output
		measured bool   // the table has the benchmark that ran
	}{
		{"package that does not build", printing(benchmarkOutput()) + "echo 'FAIL " + module + "/y [build failed]'\nexit 1\n",
			"not run or not parsed: " + module + "/y [build failed]", true},
		{"value that is no number", printing(benchmarkOutput()) + "echo 'BenchmarkScaleX/n=1 1 two ns/op'\n", `"two" is not a finite value`, true},
		{"no benchmark", "echo PASS\n", "no benchmark that measures by size matches", false},
		{"go test fails", "exit 2\n", "go test: exit status 2", false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fakeCheckout(t, test.script)
			code, stdout, stderr := runCommand("scaling")
			if code != 1 || !strings.Contains(stdout+stderr, test.want) || test.measured != strings.Contains(stdout, "x List") {
				t.Errorf("got exit code %d, want 1 and %q in the output: %s%s", code, test.want, stdout, stderr)
			}
		})
	}
}

// TestScalingRejectsBadFlags checks that flags that go test would reject, or that are out of bounds, are usage errors, and that go test is
// not started.
func TestScalingRejectsBadFlags(t *testing.T) {
	fakeCheckout(t, "touch started\n")
	cases := []struct {
		name string
		want string // part of standard error
		args []string
	}{
		{"count too small", "--count", []string{"--count", "0"}},
		{"count too large", "--count", []string{"--count", "21"}},
		{"pattern that does not compile", "--run", []string{"--run", "Scale("}},
		{"no time", "--benchtime", []string{"--benchtime", "0s"}},
		{"time too long", "--benchtime", []string{"--benchtime", "5m"}},
		{"neither time nor iterations", "--benchtime", []string{"--benchtime", "x"}},
		{"argument", "accepts 0 arg", []string{"./..."}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			code, stdout, stderr := runCommand(append([]string{"scaling"}, test.args...)...)
			if code != 2 || !strings.Contains(stderr, test.want) {
				t.Errorf("%v: got exit code %d, want 2 and %q in standard error: %s%s", test.args, code, test.want, stdout, stderr)
			}
		})
	}
	if _, err := os.Stat("started"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("go was started: %v", err)
	}
}

// TestScalingRequiresCheckout checks that the command fails and does not start go test if there is no go command in PATH, or if the working
// directory is not the root of a checkout.
func TestScalingRequiresCheckout(t *testing.T) {
	fakeCheckout(t, "touch started\n")
	started, err := filepath.Abs("started")
	if err != nil {
		t.Fatal(err)
	}
	t.Run("no go command", func(t *testing.T) {
		t.Setenv("PATH", t.TempDir())
		if code, _, stderr := runCommand("scaling"); code != 1 || !strings.Contains(stderr, "executable file not found") {
			t.Errorf("got exit code %d, want 1 and a missing executable: %s", code, stderr)
		}
	})
	cases := []struct{ name, goMod string }{
		{"no go.mod", ""},
		{"another module", "module example.com/other\n"},
		{"module in a comment", "// module " + module + "\n"},
		{"module below", "module " + module + "/tools\n"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			folder := t.TempDir()
			if test.goMod != "" {
				writeTestFile(t, folder, "go.mod", []byte(test.goMod))
			}
			t.Chdir(folder)
			if code, _, stderr := runCommand("scaling"); code != 1 || !strings.Contains(stderr, "not the root of a checkout") {
				t.Errorf("got exit code %d, want 1 and the missing checkout: %s", code, stderr)
			}
		})
	}
	if _, err := os.Stat(started); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("go was started: %v", err)
	}
}

// realBenchmarks is the source of a package with a benchmark that measures by size. It fails at one size and logs at another.
const realBenchmarks = `package a
import ("fmt"; "testing")
func BenchmarkScaleA(b *testing.B) {
	for _, n := range []int{10, 20, 40, 80} {
		b.Run(fmt.Sprintf("things=%d", n), func(b *testing.B) {
			switch n {
			case 20:
				b.Fatal("no 20")
			case 80:
				b.Log("80 is logged")
			}
			for b.Loop() {
			}
			b.ReportMetric(float64(3*n), "B/msg")
		})
	}
}
func BenchmarkOther(b *testing.B) { b.Fatal("does not match") }
`

// TestScalingParsesGoTestOutput checks that the output of the real go command is parsed, with a size that fails, a size that logs, a
// package that does not build and a package without benchmarks.
func TestScalingParsesGoTestOutput(t *testing.T) {
	folder := t.TempDir()
	for name, text := range map[string]string{"go.mod": "module " + module + "\n\ngo 1.26\n", "a/a_test.go": realBenchmarks,
		"b/b.go": "package b\n", "b/b_test.go": "package b\nnothing\n", "c/c_test.go": "package c\n"} {
		if err := os.MkdirAll(filepath.Dir(filepath.Join(folder, name)), 0o755); err != nil {
			t.Fatal(err)
		}
		writeTestFile(t, folder, name, []byte(text))
	}
	t.Chdir(folder)
	code, result, stderr := runScalingJSON(t, "--benchtime", "5x", "--count", "2")
	if code != 1 || len(result.Figures) != 2 || len(result.Failures) != 2 {
		t.Fatalf("got exit code %d and %+v, want 1, two figures and two failures: %s", code, result, stderr)
	}
	slices.Sort(result.Failures) // go chooses the order of packages
	if result.Failures[0] != module+"/a: BenchmarkScaleA/things=20" || result.Failures[1] != module+"/b [setup failed]" {
		t.Errorf("got failures %q, want size 20 of package a, and package b", result.Failures)
	}
	bytesPerMessage := result.Figures[1]
	wantPoint := scaling.Point{Size: 40, Median: 120, Min: 120, Max: 120, Runs: 2}
	if bytesPerMessage.Unit != "B/msg" || bytesPerMessage.Package != module+"/a" || len(bytesPerMessage.Points) != 3 ||
		bytesPerMessage.Line.Slope != 3 || bytesPerMessage.Measured != 240 || bytesPerMessage.Verdict != scaling.PredictedByLine ||
		bytesPerMessage.Points[1] != wantPoint {
		t.Errorf("got %+v with line %+v, want slope 3 and 240 at size 80", bytesPerMessage, bytesPerMessage.Line)
	}
}

// TestScalingKillsChildProcesses checks that after the timeout run returns the output so far, and that go test and its child processes have
// ended.
func TestScalingKillsChildProcesses(t *testing.T) {
	fakeCheckout(t, "sleep 300 &\necho $! >child.part\nmv child.part child\necho BenchmarkScaleX/n=1 1 1 ns/op\nwait\n")
	ctx, cancel := context.WithCancelCause(t.Context())
	timedOut := errors.New("timed out")
	go func() { // returns when ctx is done, at the latest at the end of the test
		for ctx.Err() == nil {
			if _, err := os.Stat("child"); err == nil {
				time.Sleep(100 * time.Millisecond) // the script prints its line after it has created the file
				cancel(timedOut)
			}
			time.Sleep(time.Millisecond)
		}
	}()
	start := time.Now()
	benchmarks := benchmarkRun{pattern: "Scale", benchtime: "1x", count: 1}
	text, err := benchmarks.run(ctx, ".", &bytes.Buffer{})
	if elapsed := time.Since(start); !errors.Is(err, timedOut) || elapsed > 20*time.Second || !strings.Contains(text, "ScaleX/n=1") {
		t.Errorf("got error %v after %v and output %q, want the cause of ctx within 20s and the line of ScaleX", err, elapsed, text)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(readTestFile(t, "child"))))
	if err != nil {
		t.Fatal(err)
	}
	waitProcessEnded(t, pid)
}

// waitProcessEnded waits up to five seconds for a process to end. A zombie, for which its parent has not waited yet, counts as ended.
func waitProcessEnded(t *testing.T, pid int) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		_, state, _ := strings.Cut(string(stat), ") ")
		if err != nil || strings.HasPrefix(state, "Z") {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("process %d still runs: %s", pid, stat)
		}
	}
}
