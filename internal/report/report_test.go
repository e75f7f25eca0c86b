package report

import (
	"bytes"
	"encoding/base64"
	"errors"
	"image/png"
	"slices"
	"strings"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/capacity"
	"indigochute.example/indigochute/internal/topology"
)

// twoZoneTopology has two zones and no parents.
const twoZoneTopology = `
name: test
zones:
  - {name: west, link: 1MB/s, directors: 1}
  - {name: east, link: 1MB/s, directors: 1, hub: 1}
kinds:
  - {name: std, cores: 1, pace: 100KB/s, each: 2ms, slots: 16, room: 12, memory: 1MB, number: {west: 3, east: 2}}
origin: {link: 2MB/s, latency: 10ms, fetches: 80}
flow: 100KB/s
vhosts:
  - {name: page, aim: 400ms, timeout: 2s, effect: replayable, sizes: {least: 1KB, most: 6KB}}
cold: {floor: 20%, ramp: 5s, multiple: 3, window: 1s}
`

// answeredInput returns an input with data for every chart.
func answeredInput(t *testing.T) Input {
	t.Helper()
	network, err := topology.Parse("test", []byte(twoZoneTopology))
	if err != nil {
		t.Fatal(err)
	}
	goal, err := capacity.ParseGoal(network, "page 95% in its aim also after the loss of zone east")
	if err != nil {
		t.Fatal(err)
	}
	var requests []capacity.Request
	for i := range 2000 {
		at := time.Duration(i) * 10 * time.Millisecond
		requests = append(requests, capacity.Request{At: at, Object: uint64(i*i) % 97, Bytes: 50_000, Zone: int16(i % 2)})
	}
	found := &capacity.Break{
		Factor: 1.5,
		Rate:   150,
		Low:    1.4,
		High:   1.6,
		Points: []capacity.Point{
			{Factor: 1, Share: 0.99, Requests: 1000},
			{Factor: 2, Share: 0.9, Requests: 1000},
		},
		Utilizations: []capacity.Utilization{
			{Name: "zone <west>", Resource: "link", Used: 0.99},
			{Name: "std-west-0", Resource: "cores", Used: 0.7},
		},
	}
	loss := &capacity.LossResult{
		Description:   goal.Losses[0].String(),
		Factor:        1,
		Break:         found,
		ShareOverTime: []float64{1, 0.4, 0.8, 1},
	}
	return Input{
		Fleet:  network,
		Demand: capacity.DemandFromRequests(requests),
		Goal:   goal,
		Notes:  []string{"3 rows <b>torn</b>"},
		Answer: &capacity.Answer{
			Fleet:        network.Name,
			Goal:         goal.String(),
			Requests:     len(requests),
			FirstBreak:   found,
			Met:          true,
			WantedFactor: 1,
			Causes:       []capacity.Cause{{Limit: found.Utilizations[0], Break: found}},
			Losses:       []*capacity.LossResult{loss},
		},
	}
}

// chartNames returns the names of the charts of an input.
func chartNames(t *testing.T, in Input) (names []string) {
	t.Helper()
	charts, err := Charts(in)
	if err != nil {
		t.Fatal(err)
	}
	for _, chart := range charts {
		names = append(names, chart.Name)
	}
	return names
}

// TestChartsArePNGImages checks that each chart is a PNG image with the expected width.
func TestChartsArePNGImages(t *testing.T) {
	charts, err := Charts(answeredInput(t))
	if err != nil {
		t.Fatal(err)
	}
	for _, chart := range charts {
		encoded, isPNG := strings.CutPrefix(string(chart.PNG), "data:image/png;base64,")
		raw, err := base64.StdEncoding.DecodeString(encoded)
		if err != nil || !isPNG {
			t.Fatalf("%s: got %.40s (%v), want a PNG as a data URL", chart.Name, chart.PNG, err)
		}
		image, err := png.Decode(bytes.NewReader(raw))
		if err != nil {
			t.Fatalf("%s: %v", chart.Name, err)
		}
		if width := image.Bounds().Dx(); width < 1000 || width > 1020 { // 16 cm at 160 dots per inch
			t.Errorf("%s: got a width of %d dots, want 1000 to 1020", chart.Name, width)
		}
	}
}

// TestChartsOmitsChartsWithoutData draws the charts of inputs that lack the data for one chart. Only that chart is omitted.
func TestChartsOmitsChartsWithoutData(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Input)
		want   []string
	}{
		{
			name:   "all data",
			change: func(*Input) {},
			want:   []string{"load", "fullness", "shortfall", "misses"},
		},
		{
			name:   "no loss",
			change: func(in *Input) { in.Answer.Losses = nil },
			want:   []string{"load", "fullness", "misses"},
		},
		{
			name:   "no limit used",
			change: func(in *Input) { in.Answer.FirstBreak.Utilizations = nil },
			want:   []string{"load", "shortfall", "misses"},
		},
		{
			name:   "only one request",
			change: func(in *Input) { in.Demand.Requests = in.Demand.Requests[:1] },
			want:   []string{"load", "fullness", "shortfall"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			in := answeredInput(t)
			test.change(&in)
			if got := chartNames(t, in); !slices.Equal(got, test.want) {
				t.Errorf("got charts %v, want %v", got, test.want)
			}
		})
	}
}

// pageOf returns the page of an input.
func pageOf(t *testing.T, in Input) string {
	t.Helper()
	var written bytes.Buffer
	if err := Write(&written, in); err != nil {
		t.Fatal(err)
	}
	return written.String()
}

// TestPageIsSelfContained checks that a page loads no other resources, contains all charts and escapes names.
func TestPageIsSelfContained(t *testing.T) {
	text := pageOf(t, answeredInput(t))
	if count := strings.Count(text, `src="data:image/png`); count != 4 {
		t.Errorf("got a page with %d images, want 4", count)
	}
	for _, part := range []string{"http:", "https:", "<script", "<link", "zone <west>", "<b>torn"} {
		if strings.Contains(text, part) {
			t.Errorf("got a page with %q, want it without", part)
		}
	}
	for _, part := range []string{"zone &lt;west&gt;", "after the loss of zone east", "99.0%", "The goal holds at 1 times the captured load."} {
		if !strings.Contains(text, part) {
			t.Errorf("the page lacks %q", part)
		}
	}
}

// TestPageShowsUnmetGoalsAndRestarts checks the page for a goal that is not met: it gives the reason, says how the machines of a restart
// were selected, and says that retries sustain the overload.
func TestPageShowsUnmetGoalsAndRestarts(t *testing.T) {
	in := answeredInput(t)
	in.Answer.Met, in.Answer.Reason = false, "it breaks"
	restart := in.Answer.Losses[0]
	restart.Metastable = true
	restart.Selection = &capacity.RestartSelection{Caches: 5, Restarted: 2, SetsTried: 10}
	text := pageOf(t, in)
	for _, part := range []string{"The goal is not met: it breaks.", "Metastable overload: with the clients",
		"Worst of 10 sets of 2 out of 5 caches."} {
		if !strings.Contains(text, part) {
			t.Errorf("the page lacks %q", part)
		}
	}
}

// errFull is the error of a fullDisk.
var errFull = errors.New("disk full")

// fullDisk is a writer whose writes always fail.
type fullDisk struct{}

func (fullDisk) Write([]byte) (int, error) { return 0, errFull }

// TestWriteReturnsWriterError checks that Write returns the error of its writer.
func TestWriteReturnsWriterError(t *testing.T) {
	if err := Write(fullDisk{}, answeredInput(t)); !errors.Is(err, errFull) {
		t.Errorf("got error %v, want %v", err, errFull)
	}
}
