package capture

import (
	"bytes"
	"encoding/binary"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"indigochute.example/indigochute/internal/director"
	"indigochute.example/indigochute/internal/routing"
)

// testHeader is the header of the captures in these tests, and testHeaderJSON is the payload of its frame.
var testHeader = Header{Director: "d0", Start: 5, Classes: []string{"page", "log"}, Zones: []string{"west", "east"}}

const testHeaderJSON = `{"director":"d0","start":5,"vhosts":["page","log"],"zones":["west","east"]}`

// testHeaderFrame returns the frame of testHeader.
func testHeaderFrame() []byte { return appendFrame(nil, kindHeader, 0, 0, 0, []byte(testHeaderJSON)) }

// someRows returns a number of different rows in the order of arrival.
func someRows(count int) (rows []Row) {
	for i := range count {
		rows = append(rows, Row{
			At:            time.Duration(i) * 300 * time.Millisecond,
			Object:        uint64(i) * 0x9e3779b97f4a7c15,
			Part:          uint32(i % 3),
			Class:         int16(i % 2),
			Zone:          1,
			Disposition:   director.Disposition(i % 4),
			Fill:          routing.Filled,
			Attempts:      1,
			RequestBytes:  7,
			ResponseBytes: uint32(i),
			FirstByte:     time.Millisecond,
			Complete:      2 * time.Millisecond,
		})
	}
	return rows
}

// fileOf returns the content of a complete file with the given rows.
func fileOf(t *testing.T, rows []Row) []byte {
	t.Helper()
	var b bytes.Buffer
	if err := Write(&b, testHeader, rows); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// TestWriteAndParseRoundTrip checks that a capture is parsed as it was written, without notes.
func TestWriteAndParseRoundTrip(t *testing.T) {
	rows := someRows(10000)
	captured, err := Parse(fileOf(t, rows))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(captured.Rows, rows) {
		t.Errorf("got %d rows, want the %d that were written", len(captured.Rows), len(rows))
	}
	if !reflect.DeepEqual(captured.Header, testHeader) {
		t.Errorf("got header %+v, want %+v", captured.Header, testHeader)
	}
	if notes := captured.Report.Notes(); len(notes) > 0 {
		t.Errorf("got notes %q, want none", notes)
	}
}

// TestParseTruncatedFile parses a file that is truncated at each byte. Either all rows of its only frame or none are read, and notes say
// what is missing. A file without a complete header is an error.
func TestParseTruncatedFile(t *testing.T) {
	rows := someRows(60)
	complete := fileOf(t, rows)
	headerEnd := len(testHeaderFrame())
	for cut := range complete {
		captured, err := Parse(complete[:cut])
		if cut < headerEnd {
			if err == nil {
				t.Fatalf("cut at %d, within the header: no error", cut)
			}
			continue
		}
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		allOrNone := len(captured.Rows) == 0 || reflect.DeepEqual(captured.Rows, rows)
		if notes := captured.Report.Notes(); !allOrNone || len(notes) == 0 {
			t.Fatalf("cut at %d: got %d rows and notes %q, want all rows or none, and a note", cut, len(captured.Rows), notes)
		}
	}
}

// TestParseDamagedFile parses files with one changed byte. At most the rows of the damaged frame are lost, and no row is read that was not
// written.
func TestParseDamagedFile(t *testing.T) {
	rows := someRows(3 * frameRows)
	written := map[Row]bool{}
	for _, row := range rows {
		written[row] = true
	}
	complete := fileOf(t, rows)
	for offset := len(testHeaderFrame()); offset < len(complete); offset += 1997 {
		damaged := bytes.Clone(complete)
		damaged[offset] ^= 0x41
		captured, err := Parse(damaged)
		if err != nil {
			t.Fatalf("byte %d: %v", offset, err)
		}
		if len(captured.Rows) < 2*frameRows || len(captured.Report.Notes()) == 0 {
			t.Fatalf("byte %d: got %d rows and %+v, want the rows of two frames and a note", offset, len(captured.Rows), captured.Report)
		}
		for _, row := range captured.Rows {
			if !written[row] {
				t.Fatalf("byte %d: got row %+v, which was not written", offset, row)
			}
		}
	}
}

// frameOfNextVersion returns a frame without a payload, with a correct checksum and a version above the supported one.
func frameOfNextVersion(number uint32, rows int) []byte {
	frame := appendFrame(nil, kindRows, number, rows, 0, nil)
	frame[versionAt] = version + 1
	binary.LittleEndian.PutUint64(frame[sumAt:], checksum(frame, nil))
	return frame
}

// TestParseFramesOutOfOrderOrOfUnknownVersion checks that the rows of frames that are out of order are sorted, that frames with another
// version are excluded, and that notes say so.
func TestParseFramesOutOfOrderOrOfUnknownVersion(t *testing.T) {
	rows := someRows(20)
	content := appendFrame(nil, kindHeader, 0, 0, 0, []byte(`{"vhosts":["page","log"],"zones":["west","east"]}`))
	content = appendFrame(content, kindRows, 2, 10, 0, appendRows(nil, rows[10:], 0))
	content = appendFrame(content, kindRows, 1, 10, 3, appendRows(nil, rows[:10], 0))
	content = append(content, frameOfNextVersion(3, 5)...)
	content = appendFrame(content, kindEnd, 4, 0, 0, nil)
	captured, err := Parse(content)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(captured.Rows, rows) {
		t.Errorf("got %d rows, want the %d that were written, in order", len(captured.Rows), len(rows))
	}
	notes := strings.Join(captured.Report.Notes(), "\n")
	for _, want := range []string{"3 rows were dropped", "10 rows were out of order", "5 left out: rows of frames of version 2",
		"out of order"} {
		if !strings.Contains(notes, want) {
			t.Errorf("got notes %q, want %q in them", notes, want)
		}
	}
}

// blockingFile is a file whose writes, except the first, block until release is closed.
type blockingFile struct {
	bytes.Buffer
	release chan struct{}
	fails   bool // writes fail after release is closed
}

func (f *blockingFile) Write(content []byte) (int, error) {
	if f.Len() > 0 {
		<-f.release
		if f.fails {
			return 0, errors.New("disk full")
		}
	}
	return f.Buffer.Write(content)
}

// TestWriterDoesNotBlockOnSlowFile checks that a file whose writes block does not delay requests, and that the file itself reports the
// number of rows that were dropped.
func TestWriterDoesNotBlockOnSlowFile(t *testing.T) {
	file := &blockingFile{release: make(chan struct{})}
	writer, err := NewWriter(file, testHeader, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	const added = 3 * queueRows
	start := time.Now()
	for range added {
		writer.RequestEnded(director.RequestRecord{Class: 1, Disposition: director.Rejected})
	}
	if elapsed := time.Since(start); elapsed > 2*time.Second {
		t.Errorf("adding %d rows took %v, want at most 2s", added, elapsed)
	}
	close(file.release)
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	captured, err := Parse(file.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	if report := captured.Report; report.Dropped == 0 || report.Rows+report.Dropped != added {
		t.Errorf("got %d rows and %d dropped, want some dropped and %d together", report.Rows, report.Dropped, added)
	}
	if got := captured.Rows[0].Disposition; got != director.Rejected {
		t.Errorf("got disposition %v, want %v", got, director.Rejected)
	}
}

// TestCloseReportsFailedWrites checks that Close returns the error of a file whose writes fail, and that the rows count as dropped. It also
// checks that Create fails for the path of a folder.
func TestCloseReportsFailedWrites(t *testing.T) {
	file := &blockingFile{release: make(chan struct{}), fails: true}
	close(file.release)
	writer, err := NewWriter(file, testHeader, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	writer.Add(Row{})
	if err := writer.Close(); err == nil || !strings.Contains(err.Error(), "disk full") || writer.Dropped() != 1 {
		t.Errorf("got error %v from Close and %d rows dropped, want disk full and 1", err, writer.Dropped())
	}
	if _, err := Create(t.TempDir(), testHeader, 0, nil); err == nil {
		t.Error("got no error from Create for the path of a folder")
	}
}

// TestMergeSortsAndReindexesRows checks that merged rows are sorted by arrival, which counts from the earlier start, and that their indexes
// refer to the merged header.
func TestMergeSortsAndReindexesRows(t *testing.T) {
	first := &Capture{
		Header: Header{Start: 10, Classes: []string{"page"}, Zones: []string{"west"}},
		Rows:   []Row{{At: time.Microsecond}},
	}
	second := &Capture{
		Header: Header{Start: 4, Classes: []string{"log", "page"}, Zones: []string{"east"}},
		Rows:   []Row{{Class: 1}},
	}
	merged := Merge(first, second)
	want := []Row{
		{At: 0, Class: 0, Zone: 1},                    // row of second
		{At: 7 * time.Microsecond, Class: 0, Zone: 0}, // row of first
	}
	if !reflect.DeepEqual(merged.Rows, want) || merged.Report.Rows != len(want) {
		t.Errorf("got %d rows reported and rows %+v, want %+v", merged.Report.Rows, merged.Rows, want)
	}
}
