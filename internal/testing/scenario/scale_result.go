package scenario

// This file holds the results of a run of the scenario "scale", before they are checked.

import (
	"fmt"
	"time"

	"indigochute.example/indigochute/internal/testing/hollow"
	"indigochute.example/indigochute/internal/testing/testcluster"
)

// scaleResult is the result of a run.
type scaleResult struct {
	Sizes           Sizes
	HollowDirectors int

	Calls             []testcluster.Call
	Overlaps          int
	ClientRequests    int      // requests to real directors
	ClientRequestsMet int      // the part of them that was answered within the latency objective
	Violations        []string // of the protocol's rules, and all other violations found during the run

	Phases         []phase
	Accepted       hollow.Tally           // events accepted by all hollow directors together
	Missing        hollow.Missing         // of the events published, without LostWithLeader
	LostWithLeader hollow.Missing         // of the events published just before the leader was killed
	RealDirectors  map[string]eventCounts // by name

	Faults   []faultRecord
	Takeover time.Duration // from the leader's kill until there was a new one and every job had run again; negative if never

	Samples      []sample
	HeaderShare  float64                 // bytes of TCP and IPv4 headers relative to the bytes of frames
	HollowMemory int64                   // largest memory of the hollow process, in bytes
	RealMemory   map[string]int64        // largest memory of each real director, in bytes, by name
	Control      map[string]controlUsage // by name of the control machine
}

func newScaleResult(sizes Sizes, hollowDirectors int) scaleResult {
	return scaleResult{
		Sizes:           sizes,
		HollowDirectors: hollowDirectors,
		RealDirectors:   map[string]eventCounts{},
		RealMemory:      map[string]int64{},
		Control:         map[string]controlUsage{},
		Takeover:        -1,
	}
}

// phase is a part of a run whose latencies are measured separately.
type phase struct {
	hollow.WindowReport
	Quiet  bool // before the first fault
	Healed bool // began when a region was joined again; latencies of earlier events are measured from then on
}

// faultRecord is one fault that was injected.
type faultRecord struct {
	Name        string
	From, Until time.Duration // by the cluster's clock
	Evidence    string        // evidence that the fault took effect; empty if there is none
}

// String returns the fault as a line of the report's record.
func (f faultRecord) String() string {
	return fmt.Sprintf("%s, %.1f s to %.1f s: %s", f.Name, f.From.Seconds(), f.Until.Seconds(), f.Evidence)
}

// sample is the usage of hollow directors between two readings.
type sample struct {
	Length       time.Duration
	Quiet        bool          // within the quiet phase
	CPU          time.Duration // of the hollow process
	Bytes        float64       // frames read and written by all directors, without headers
	LargestBytes float64       // frames of the director with the most bytes
}

// eventCounts are the events that a real director has counted.
type eventCounts struct{ Accepted, Duplicates, Lost int }

// controlUsage is the usage of a control machine.
type controlUsage struct {
	Memory  int64   // largest, in bytes
	Cores   float64 // mean
	Accepts float64 // connections that it answered in its busiest second
}
