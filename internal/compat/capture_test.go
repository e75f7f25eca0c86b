package compat

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/capture"
	"indigochute.example/indigochute/internal/director"
	"indigochute.example/indigochute/internal/routing"
)

var captureHeader = capture.Header{Director: "d0", Start: 1_700_000_000_123_456, Classes: []string{"page", "log"}, Zones: []string{"west", "east"}}

// captureRows returns rows with each pair of a disposition and a cache status, and with the largest value of each number.
func captureRows() (rows []capture.Row) {
	for disposition := director.Served; disposition <= director.ClientGone; disposition++ {
		for fill := routing.FillUnknown; fill <= routing.OriginFailed; fill++ {
			n := len(rows)
			rows = append(rows, capture.Row{At: time.Duration(n) * 1234567 * time.Microsecond, Object: 0x9e3779b97f4a7c15 * uint64(n+1),
				Part: uint32(n % 3), Group: uint32(n % 7), Class: int16(n % 2), Zone: int16(n / 2 % 2), Disposition: disposition, Fill: fill,
				Attempts: uint8(n % 5), RequestBytes: uint32(n * 11), ResponseBytes: uint32(n * 1011), FirstByte: time.Duration(n) * time.Millisecond,
				Complete: time.Duration(n) * 1500 * time.Microsecond})
		}
	}
	last := &rows[len(rows)-1]
	last.Object, last.Part, last.Group, last.Attempts, last.RequestBytes, last.ResponseBytes = 1<<64-1, 1<<32-1, 1<<32-1, 255, 1<<32-1, 1<<32-1
	return rows
}

// TestCaptureFile checks that rows are written with the golden bytes, and that the golden bytes are read as these rows.
func TestCaptureFile(t *testing.T) {
	var b bytes.Buffer
	if err := capture.Write(&b, captureHeader, captureRows()); err != nil {
		t.Fatal(err)
	}
	golden(t, "capture.bin", b.Bytes())
	readCapture(t, "capture.bin")
}

// TestCaptureWriter checks the file that the writer of a serving director writes. The writer is closed before its first frame is due, so
// all rows are in one frame.
func TestCaptureWriter(t *testing.T) {
	var b bytes.Buffer
	w, err := capture.NewWriter(&b, captureHeader, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range captureRows() {
		w.Add(row)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	golden(t, "capture_writer.bin", b.Bytes())
	readCapture(t, "capture_writer.bin")
}

// readCapture checks that a golden capture is read completely, and has the same bytes after it is written again.
func readCapture(t *testing.T, file string) {
	t.Helper()
	c, err := capture.Parse(readGolden(t, file))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(c.Header, captureHeader) || !reflect.DeepEqual(c.Rows, captureRows()) {
		t.Errorf("the golden bytes are read as header %+v and rows\n%+v, want those of the test", c.Header, c.Rows)
	}
	if lines := c.Report.Notes(); len(lines) > 0 || c.Report.Frames != 3 {
		t.Errorf("%d frames, left out: %v, want 3 frames and nothing left out", c.Report.Frames, lines)
	}
	var rewritten bytes.Buffer
	if err := capture.Write(&rewritten, c.Header, c.Rows); err != nil {
		t.Fatal(err)
	}
	if raw := readGolden(t, file); !bytes.Equal(rewritten.Bytes(), raw) {
		t.Errorf("read and written again: %s", firstDifference(rewritten.Bytes(), raw))
	}
}

// TestStoredCaptures checks that the captures in the repository are read completely, with the rows of the golden file.
func TestStoredCaptures(t *testing.T) {
	files, err := filepath.Glob("../../examples/plan/*.capture")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d captures found, error %v, want at least one", len(files), err)
	}
	var lines bytes.Buffer
	for _, file := range files {
		c, err := capture.Read(file)
		if err != nil {
			t.Fatal(err)
		}
		var rewritten bytes.Buffer
		if err := capture.Write(&rewritten, c.Header, c.Rows); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&lines, "%s frames=%d rows=%d left_out=%d sha256=%x\n", filepath.Base(file), c.Report.Frames, len(c.Rows), len(c.Report.Notes()),
			sha256.Sum256(rewritten.Bytes()))
	}
	golden(t, "stored_captures.txt", lines.Bytes())
}
