package main

import (
	"testing"
	"time"

	"indigochute.example/indigochute/internal/config"
	"indigochute.example/indigochute/internal/topology"
)

// TestCaptureHeaderStart checks that the header of a capture has the start time from which its rows count, and not the time at which the
// file is created.
func TestCaptureHeaderStart(t *testing.T) {
	fleet := &topology.Topology{Name: "small", Zones: []topology.Zone{{Name: "west"}}}
	for _, offset := range []time.Duration{-time.Hour, -3 * time.Second, time.Hour} {
		t.Run(offset.String(), func(t *testing.T) {
			start := time.Now().Add(offset)
			header := serveHeader(&config.Config{Name: "n3"}, start)
			if header.Start != start.UnixMicro() || header.Director != "n3" {
				t.Errorf("serve: got header %+v, want start %d", header, start.UnixMicro())
			}
			header = emulateHeader(fleet, start)
			if header.Start != start.UnixMicro() || header.Director != "stand-in fleet small" || len(header.Zones) != 1 {
				t.Errorf("emulate: got header %+v, want start %d", header, start.UnixMicro())
			}
		})
	}
}
