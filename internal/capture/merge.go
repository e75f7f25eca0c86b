package capture

import (
	"slices"
	"time"
)

// mergedName is the name of the director in the header of a merged capture.
const mergedName = "several"

// Merge merges the captures of several directors. There must be at least one capture. Request classes with the same name are merged, and so
// are zones. Arrivals count from the earliest start of all captures.
func Merge(captures ...*Capture) *Capture {
	if len(captures) == 1 {
		return captures[0]
	}
	merged := &Capture{Header: Header{Start: captures[0].Start, Director: mergedName}}
	for _, captured := range captures {
		merged.Start = min(merged.Start, captured.Start)
	}
	for _, captured := range captures {
		merged.add(captured)
	}
	merged.sortRows()
	return merged
}

// add appends the rows of another capture, with their indexes and arrivals converted to the header of this one.
func (c *Capture) add(other *Capture) {
	classes := indexes(&c.Classes, other.Classes)
	zones := indexes(&c.Zones, other.Zones)
	shift := time.Duration(other.Start-c.Start) * time.Microsecond
	for _, row := range other.Rows {
		row.Class = classes[row.Class]
		row.Zone = zones[row.Zone]
		row.At += shift
		c.Rows = append(c.Rows, row)
	}
	c.Report.add(&other.Report)
}

// indexes returns the index of each name in a list. It appends names that are not in the list yet.
func indexes(list *[]string, names []string) (found []int16) {
	for _, name := range names {
		index := slices.Index(*list, name)
		if index < 0 {
			index = len(*list)
			*list = append(*list, name)
		}
		found = append(found, int16(index))
	}
	return found
}
