package scenario

import (
	"fmt"
	"testing"

	"indigochute.example/indigochute/internal/changefeed"
	"indigochute.example/indigochute/internal/testing/hollow"
)

// The state of a hollow director has a label for each value.
func TestNodeStateLabels(t *testing.T) {
	n := &hollow.NodeReport{
		Name:                "d7",
		Role:                "director",
		Tally:               hollow.Tally{Accepted: 9, Duplicates: 1, Stale: 2, StaleAcrossOrigins: 3, OutOfOrder: 4, Unreadable: 5},
		Reader:              changefeed.ReaderCounts{Accepted: 9},
		Links:               2,
		ActiveUplink:        "c1",
		Received:            100,
		Written:             200,
		LongestUnlinked:     12.5,
		HealthReports:       6,
		UnresponsiveReports: 7,
		HealthChecks:        8,
		Violations:          []string{"a", "b"},
	}
	want := "{Name:d7 Role:director Tally:{Accepted:9 Duplicates:1 Stale:2 StaleAcrossOrigins:3 OutOfOrder:4 Unreadable:5} " +
		fmt.Sprintf("Reader:%+v ", n.Reader) +
		"Links:2 ActiveUplink:c1 Received:100 Written:200 LongestUnlinked:12.5 HealthReports:6 UnresponsiveReports:7 HealthChecks:8 Violations:[a b]}"
	if got := nodeState(n); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
