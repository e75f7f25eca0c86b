package capacity

import (
	"errors"
	"strings"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/capture"
	"indigochute.example/indigochute/internal/director"
)

// Indexes in the captured list of request classes of demandOf.
const (
	pageClass = iota
	orderClass
	unknownClass
)

// Indexes in the captured list of zones of demandOf.
const (
	westZone = iota
	unknownZone
)

// capturedRow returns the row of a request. All rows are for the same object.
func capturedRow(milliseconds int, class, zone int16, disposition director.Disposition, responseBytes uint32) capture.Row {
	return capture.Row{
		At:            time.Duration(milliseconds) * time.Millisecond,
		Object:        5,
		Class:         class,
		Zone:          zone,
		Disposition:   disposition,
		ResponseBytes: responseBytes,
	}
}

// demandOf returns the demand in a capture with the given rows.
func demandOf(t *testing.T, rows ...capture.Row) (*Demand, error) {
	t.Helper()
	header := capture.Header{Classes: []string{"page", "order", "video"}, Zones: []string{"west", "north"}}
	return DemandFromCapture(testTopology(t), &capture.Capture{Header: header, Rows: rows})
}

// TestDemandFromCaptureCountsExcludedRows reads a capture with rows that are not part of the demand. They must be excluded and
// counted.
func TestDemandFromCaptureCountsExcludedRows(t *testing.T) {
	demand, err := demandOf(t,
		capturedRow(0, pageClass, westZone, director.Served, 700),
		capturedRow(10, unknownClass, westZone, director.Served, 9),
		capturedRow(20, pageClass, unknownZone, director.Served, 9),
		capturedRow(1000, pageClass, westZone, director.Rejected, 0),
		capturedRow(1400, pageClass, westZone, director.Served, 700), // the retry of the rejected request
		capturedRow(1500, pageClass, westZone, director.Served, 0),
		capturedRow(9000, orderClass, westZone, director.Rejected, 0))
	if err != nil {
		t.Fatal(err)
	}
	excluded := 0
	for _, count := range demand.Excluded {
		excluded += count
	}
	if len(demand.Requests) != 4 {
		t.Fatalf("got %d requests, want 4", len(demand.Requests))
	}
	if got := demand.Requests[1].Bytes; got != 700 {
		t.Errorf("size of the second request: got %d bytes, want 700", got)
	}
	if demand.SizesEstimated != 1 {
		t.Errorf("got %d estimated sizes, want 1", demand.SizesEstimated)
	}
	if excluded != 3 {
		t.Errorf("got excluded rows %v, want 3 rows", demand.Excluded)
	}
	if want := 9 * time.Second; demand.Span != want {
		t.Errorf("got a span of %v, want %v", demand.Span, want)
	}
	if notes := demand.Notes(); len(notes) != 4 { // three reasons, and the estimated size
		t.Errorf("got notes %q, want 4", notes)
	}
}

// TestDemandFromCaptureRejectsUnusableCaptures reads captures without demand, and a capture whose demand is too short for a
// rate. Each must fail.
func TestDemandFromCaptureRejectsUnusableCaptures(t *testing.T) {
	for _, test := range []struct {
		name    string
		rows    []capture.Row
		wantErr string
	}{
		{name: "no rows", wantErr: "no request"},
		{
			name: "only other classes and zones",
			rows: []capture.Row{
				capturedRow(10, unknownClass, westZone, director.Served, 9),
				capturedRow(20, pageClass, unknownZone, director.Served, 9),
			},
			wantErr: "no request",
		},
		{
			name: "less than a second",
			rows: []capture.Row{
				capturedRow(0, pageClass, westZone, director.Served, 700),
				capturedRow(900, pageClass, westZone, director.Served, 700),
			},
			wantErr: "too short",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := demandOf(t, test.rows...)
			if err == nil || !strings.Contains(err.Error(), test.wantErr) {
				t.Errorf("got error %v, want an error that contains %q", err, test.wantErr)
			}
		})
	}
}

// TestRunAndBreakOfShortCapture uses a capture that is too short for high loads. A single run at a high load must fail with a
// ShortDemandError, and a search for the break must end below that load.
func TestRunAndBreakOfShortCapture(t *testing.T) {
	network := testTopology(t)
	demand := randomDemand(network, 60, 10*time.Second, 100, 1)
	_, err := Run(network, demand, Setup{Factor: 50, Warmup: time.Second, Span: 5 * time.Second})
	var short ShortDemandError
	if !errors.As(err, &short) || short.Factor != 50 || !strings.Contains(err.Error(), "a longer capture is needed") {
		t.Errorf("got error %v, want a ShortDemandError at 50 times the load", err)
	}

	found, err := testPlanner(t, network, demand, "all 50% in its aim", 1).Break(network, Failure{})
	if err != nil {
		t.Fatal(err)
	}
	if !found.AlwaysHolds && found.Factor > 5 {
		t.Errorf("break: got %g, want at most 5", found.Factor)
	}
}
