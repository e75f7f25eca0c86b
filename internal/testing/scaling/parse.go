package scaling

// This file parses the output of go test.

import (
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Measurement is one value that one run of a benchmark printed.
type Measurement struct {
	Package   string  // import path
	Benchmark string  // name without "Benchmark", the size and GOMAXPROCS
	SizeUnit  string  // what the size counts, such as directors
	Size      float64 // of the benchmark's input
	Unit      string  // of the value, such as ns/op
	Value     float64
}

// Output is the parsed output of go test.
type Output struct {
	Measurements []Measurement
	Failures     []string // benchmarks and packages that failed, and results that cannot be parsed
}

// benchmarkPrefix begins the names of the benchmarks that are parsed.
const benchmarkPrefix = "BenchmarkScale"

// inverseUnit is a unit whose values are left out. It is the inverse of ns/op, so it does not grow with a size.
const inverseUnit = "MB/s"

var (
	benchmarkName = regexp.MustCompile(`^Benchmark(Scale[^/]*)/(.+?)(-[0-9]+)?$`) // the last group is GOMAXPROCS
	sizePart      = regexp.MustCompile(`^([A-Za-z]+)=([0-9]+)$`)
)

var errNoSize = errors.New("no size in the benchmark's name")

// parser parses the output line by line.
type parser struct {
	output        Output
	pkg           string          // package of the lines that are parsed now
	failureListed map[string]bool // packages that have a failed benchmark in the list
}

// Parse parses the output of go test. It skips the lines of other benchmarks and all other lines. A benchmark that skips itself
// prints nothing, so it is not in the result.
func Parse(text string) Output {
	p := parser{failureListed: map[string]bool{}}
	for i, line := range strings.Split(text, "\n") {
		p.parseLine(i+1, strings.Fields(line))
	}
	return p.output
}

// parseLine parses the words of a line. A benchmark's name without a result on the same line is skipped, as the result follows
// on a later line.
func (p *parser) parseLine(number int, words []string) {
	switch {
	case len(words) == 2 && words[0] == "pkg:":
		p.pkg = words[1]
	case len(words) >= 3 && words[0] == "---" && words[1] == "FAIL:":
		p.addFailedBenchmark(words[2])
	case len(words) >= 2 && words[0] == "FAIL" && !p.failureListed[words[1]]:
		p.output.Failures = append(p.output.Failures, strings.Join(words[1:], " "))
	case len(words) >= 2 && strings.HasPrefix(words[0], benchmarkPrefix):
		p.addResult(number, words)
	}
}

// addFailedBenchmark lists a failed benchmark. It leaves out the parent of the benchmark listed last: go test prints a parent
// after the sub-benchmark that failed.
func (p *parser) addFailedBenchmark(name string) {
	failed := p.pkg + ": " + name
	last := len(p.output.Failures) - 1
	if last < 0 || !strings.HasPrefix(p.output.Failures[last], failed+"/") {
		p.output.Failures = append(p.output.Failures, failed)
	}
	p.failureListed[p.pkg] = true
}

// addResult adds the measurements of a line with a result, or lists the line as a failure.
func (p *parser) addResult(number int, words []string) {
	measurements, err := parseResult(words)
	if err != nil {
		p.output.Failures = append(p.output.Failures, fmt.Sprintf("line %d: %s: %v", number, words[0], err))
		return
	}
	for _, m := range measurements {
		m.Package = p.pkg
		p.output.Measurements = append(p.output.Measurements, m)
	}
}

// parseResult parses the words of a result: the name, the number of iterations, and pairs of a value and its unit.
func parseResult(words []string) (measurements []Measurement, err error) {
	m, err := parseName(words[0])
	if err != nil {
		return nil, err
	}
	if iterations, err := strconv.ParseInt(words[1], 10, 64); err != nil || iterations < 1 {
		return nil, fmt.Errorf("%q is not a number of iterations", words[1])
	}
	values := words[2:]
	if len(values) == 0 || len(values)%2 != 0 {
		return nil, fmt.Errorf("%d words after the number of iterations, want pairs of value and unit", len(values))
	}
	for pair := range slices.Chunk(values, 2) {
		value, unit := pair[0], pair[1]
		if m.Value, err = strconv.ParseFloat(value, 64); err != nil || math.IsNaN(m.Value) || math.IsInf(m.Value, 0) {
			return nil, fmt.Errorf("%q is not a finite value", value)
		}
		if unit == inverseUnit {
			continue
		}
		m.Unit = unit
		measurements = append(measurements, m)
	}
	return measurements, nil
}

// parseName parses the name of a benchmark. The first part of the form UNIT=NUMBER is the size. All other parts remain in
// Measurement.Benchmark.
func parseName(text string) (m Measurement, err error) {
	name := benchmarkName.FindStringSubmatch(text)
	if name == nil {
		return m, errNoSize
	}
	m.Benchmark = name[1]
	for _, part := range strings.Split(name[2], "/") {
		size := sizePart.FindStringSubmatch(part)
		if size == nil || m.SizeUnit != "" {
			m.Benchmark += "/" + part
			continue
		}
		m.SizeUnit = size[1]
		if m.Size, err = strconv.ParseFloat(size[2], 64); err != nil || math.IsInf(m.Size, 0) {
			return m, fmt.Errorf("%q is not a finite size", size[2])
		}
	}
	if m.SizeUnit == "" {
		return m, errNoSize
	}
	return m, nil
}
