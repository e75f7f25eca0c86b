package scaling

// This file tests the parsing of the output of go test.

import (
	"slices"
	"strings"
	"testing"
)

// Each value of a line is a figure of its own, except MB/s. The parts of the name other than the size belong to the figure's
// name. Lines of other benchmarks are skipped.
func TestParseValuesAndNames(t *testing.T) {
	output := Parse("pkg: a/b\nBenchmarkScaleX/held=yes/objects=1000/kind=2-3   7   12.5 ns/op  80 MB/s  3 B/msg  0 allocs/op\n" +
		"BenchmarkOther/directors=7 1 2 ns/op\nBenchmarkScaleX/held=yes/objects=1000/kind=2-3\n" +
		"    bench_test.go:7: BenchmarkScaleX/n=1 is told here\nBenchmarkScaleY/n=5 1 1e+06 keeper-ns/beat\n")
	const wantName = "ScaleX/held=yes/kind=2"
	want := []Measurement{
		{Package: "a/b", Benchmark: wantName, SizeUnit: "objects", Size: 1000, Unit: "ns/op", Value: 12.5},
		{Package: "a/b", Benchmark: wantName, SizeUnit: "objects", Size: 1000, Unit: "B/msg", Value: 3},
		{Package: "a/b", Benchmark: wantName, SizeUnit: "objects", Size: 1000, Unit: "allocs/op", Value: 0},
		{Package: "a/b", Benchmark: "ScaleY", SizeUnit: "n", Size: 5, Unit: "keeper-ns/beat", Value: 1e6},
	}
	if len(output.Failures) > 0 {
		t.Errorf("failures %q, want none", output.Failures)
	}
	if !slices.Equal(output.Measurements, want) {
		t.Errorf("measurements %+v, want %+v", output.Measurements, want)
	}
	if all := Fit(output.Measurements); len(all) != 4 || all[1].Unit != "B/msg" {
		t.Errorf("figures %+v, want 4 with B/msg as the second", all)
	}
}

// A result that cannot be parsed is listed with the number of its line.
func TestParseListsInvalidResults(t *testing.T) {
	for _, line := range []string{
		"BenchmarkScaleX 1 2 ns/op",
		"BenchmarkScaleX/held=yes 1 2 ns/op",
		"BenchmarkScaleX/n=many 1 2 ns/op",
		"BenchmarkScaleX/n=5#01 1 2 ns/op",
		"BenchmarkScaleX/n=5 x 2 ns/op",
		"BenchmarkScaleX/n=5 0 2 ns/op",
		"BenchmarkScaleX/n=5 1",
		"BenchmarkScaleX/n=5 1 2",
		"BenchmarkScaleX/n=5 1 2 ns/op 3",
		"BenchmarkScaleX/n=5 1 two ns/op",
		"BenchmarkScaleX/n=5 1 NaN ns/op",
		"BenchmarkScaleX/n=5 1 +Inf ns/op",
		"BenchmarkScaleX/n=5 said something 1 2 ns/op",
		"BenchmarkScaleX/n=" + strings.Repeat("9", 400) + " 1 2 ns/op",
	} {
		output := Parse("pkg: p\n" + line + "\n")
		if len(output.Measurements) > 0 {
			t.Errorf("%s: measurements %+v, want none", line, output.Measurements)
		}
		if len(output.Failures) != 1 || !strings.HasPrefix(output.Failures[0], "line 2: BenchmarkScaleX") {
			t.Errorf("%s: failures %q, want one of line 2", line, output.Failures)
		}
	}
}

// A size that failed is listed, and its figure is fitted without it. Packages that could not be built are listed as well.
func TestParseListsFailures(t *testing.T) {
	text := benchmarkOutput("ScaleX", func(n float64) float64 { return 7 * n })
	text = strings.Replace(text, "BenchmarkScaleX/directors=145-8 \t     100\t  1015 ns/op\n",
		"--- FAIL: BenchmarkScaleX/directors=145\n    x_test.go:1: no\n", 1)
	text = strings.Replace(text, "PASS\nok  \texample/x\t1.2s\n",
		"--- FAIL: BenchmarkScaleX\nFAIL\nexit status 1\nFAIL\texample/x\t1.2s\n", 1) +
		"FAIL\texample/y [build failed]\nok  \texample/z\t0.1s\n?   \texample/w\t[no test files]\nFAIL\n"
	output := Parse(text)
	if got := strings.Join(output.Failures, "; "); got != "example/x: BenchmarkScaleX/directors=145; example/y [build failed]" {
		t.Errorf("failures %q, want the size and the package that cannot be built", got)
	}
	all := Fit(output.Measurements)
	if len(all) != 1 || len(all[0].Points) != 4 || all[0].Line.Points != 3 || all[0].Verdict != PredictedByLine {
		t.Errorf("figures %+v, want one of 4 sizes with a line through 3", all)
	}
}

// An empty output has no measurements, no failures and no figures.
func TestParseEmptyOutput(t *testing.T) {
	output := Parse("")
	if len(output.Measurements) > 0 || len(output.Failures) > 0 {
		t.Errorf("output %+v, want an empty one", output)
	}
	if all := Fit(output.Measurements); len(all) > 0 {
		t.Errorf("figures %+v, want none", all)
	}
}
