// Package capture stores the records of requests that directors served in files. A file is a sequence of versioned, compressed frames with
// checksums. From a truncated or damaged file all complete frames are read, and the rest is counted and reported.
//
// A frame has these fields, with their lengths in bytes:
//
//	magic:4 version:1 kind:1 number:4 rows:4 dropped:4 size:4 sum:8 payload
//
// Numbers are little-endian. Number is the index of the frame in the file, rows the number of rows in the payload, size the length of the
// payload in bytes, and sum the XXH64 checksum of the preceding fields and the payload. Dropped is the number of rows that were lost since
// the previous frame. The payload depends on the kind: kind 0 contains the header in JSON, kind 1 contains rows (varints, compressed with
// zstd), and kind 2 ends the file and has no payload.
package capture

import (
	"cmp"
	"fmt"
	"math"
	"os"
	"slices"
	"time"

	"indigochute.example/indigochute/internal/director"
	"indigochute.example/indigochute/internal/routing"
)

// Header contains the names that the indexes in the rows refer to, and the time from which arrivals count.
type Header struct {
	Director string   `json:"director"` // name of the director
	Start    int64    `json:"start"`    // time from which arrivals count, in Unix microseconds
	Classes  []string `json:"vhosts"`   // names of the request classes
	Zones    []string `json:"zones"`
}

// Row is the record of one request at a director.
type Row struct {
	At            time.Duration // arrival, as the time since the header's start
	Object        uint64
	Part          uint32
	Group         uint32
	Class         int16 // index in the header; -1: the class is not in the director's configuration
	Zone          int16 // index in the header
	Disposition   director.Disposition
	Fill          routing.Fill
	Attempts      uint8         // 255 means 255 or more
	RequestBytes  uint32        // length of the request's body
	ResponseBytes uint32        // length of the response's body
	FirstByte     time.Duration // from arrival to the first byte of the response; 0: no response
	Complete      time.Duration // from arrival to the final response
}

// NewRow returns the row of a request that a director served. Zone is the index of the director's zone in the header.
func NewRow(record director.RequestRecord, zone int16) Row {
	return Row{
		At:            record.ArrivedAt,
		Object:        record.Object,
		Part:          record.Part,
		Group:         record.Group,
		Class:         int16(record.Class),
		Zone:          zone,
		Disposition:   record.Disposition,
		Fill:          record.Fill,
		Attempts:      uint8(min(record.Attempts, math.MaxUint8)),
		RequestBytes:  uint32(record.BytesIn),
		ResponseBytes: uint32(record.BytesOut),
		FirstByte:     record.FirstByte,
		Complete:      record.Duration,
	}
}

// Capture is the content of a file, or of several files that were merged.
type Capture struct {
	Header
	Rows   []Row // in the order of arrival
	Report Report
}

// Read reads and parses a file. It returns an error only if the file cannot be read or has no valid header.
func Read(path string) (*Capture, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	captured, err := Parse(content)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return captured, nil
}

// sortRows sorts the rows by arrival and sets their number in the report. Rows with the same arrival keep their order.
func (c *Capture) sortRows() {
	slices.SortStableFunc(c.Rows, func(a, b Row) int { return cmp.Compare(a.At, b.At) })
	c.Report.Rows = len(c.Rows)
}
