package capture

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Report has the counts of the content of a file and of what was excluded from it.
type Report struct {
	Frames     int            `json:"frames"`
	Rows       int            `json:"rows"`
	Dropped    int            `json:"dropped"`  // rows that the writer dropped because its queue was full
	OutOfOrder int            `json:"back"`     // rows that ended more than maxReportDelay before an earlier row; they were sorted
	Excluded   map[string]int `json:"left_out"` // number by reason: of rows, or of frames or bytes if the number of rows is unknown
	CPU        time.Duration  `json:"cpu"`      // processor time of the director's process for the rows; 0: unknown
}

// Reasons for excluding rows, frames or bytes. They are printed in notes and are the keys of Report.Excluded.
const (
	reasonTornBytes    = "bytes of a torn tail"
	reasonNoFrame      = "bytes that are no frame"
	reasonTornRows     = "rows of a torn tail"
	reasonDamagedRows  = "rows of frames that are damaged"
	reasonUnreadable   = "rows that cannot be read"
	reasonOutOfOrder   = "frames out of order or missing before one"
	reasonNoEnd        = "end of the file missing: the director did not end as planned"
	reasonUnknownClass = "rows of a vhost that the director did not know"
	reasonUnknownZone  = "rows of a zone that the header lacks"
)

// reasonVersion returns the reason for excluding the rows of a frame with another version of the file format.
func reasonVersion(found byte) string {
	return fmt.Sprintf("rows of frames of version %d, where %d is known", found, version)
}

// exclude adds a number of rows, frames or bytes to the count of a reason.
func (r *Report) exclude(reason string, count int) {
	if r.Excluded == nil {
		r.Excluded = map[string]int{}
	}
	r.Excluded[reason] += count
}

// include undoes exclude for a number of rows. It removes a reason whose count becomes 0.
func (r *Report) include(reason string, count int) {
	if count == 0 {
		return
	}
	r.Excluded[reason] -= count
	if r.Excluded[reason] == 0 {
		delete(r.Excluded, reason)
	}
}

// add adds the counts of another capture, except the rows, which sortRows counts.
func (r *Report) add(other *Report) {
	r.Frames += other.Frames
	r.Dropped += other.Dropped
	r.OutOfOrder += other.OutOfOrder
	r.CPU += other.CPU
	for reason, count := range other.Excluded {
		r.exclude(reason, count)
	}
}

// Notes returns a sentence for dropped rows, one for sorted rows and one for each reason for exclusions, in a fixed order.
func (r *Report) Notes() (notes []string) {
	if r.Dropped > 0 {
		notes = append(notes, fmt.Sprintf("%d rows were dropped while the capture was written", r.Dropped))
	}
	if r.OutOfOrder > 0 {
		notes = append(notes, fmt.Sprintf("%d rows were out of order and were sorted", r.OutOfOrder))
	}
	for _, reason := range slices.Sorted(maps.Keys(r.Excluded)) {
		notes = append(notes, fmt.Sprintf("%d left out: %s", r.Excluded[reason], reason))
	}
	return notes
}
