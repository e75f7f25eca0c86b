package capture

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// unlimited is the value of faultyFile.free for a file that never fills up.
const unlimited = -1

// faultyFile is a file in memory with injected faults.
type faultyFile struct {
	mu          sync.Mutex
	data        []byte
	offset      int64
	free        int           // number of bytes that can still be written; a longer write writes only these and fails with ENOSPC
	maxWrite    int           // maximum number of bytes that one write accepts without an error; 0: no limit
	truncateErr error         // error of Truncate
	syncErr     error         // error of Sync
	closeErr    error         // error of Close
	failed      chan struct{} // closed at the first failed write
	synced      bool
}

// newFaultyFile returns an empty file without faults.
func newFaultyFile() *faultyFile { return &faultyFile{free: unlimited, failed: make(chan struct{})} }

func (f *faultyFile) Write(content []byte) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.maxWrite > 0 {
		content = content[:min(len(content), f.maxWrite)]
	}
	var err error
	if f.free != unlimited {
		if len(content) > f.free {
			content = content[:f.free]
			err = syscall.ENOSPC
			f.recordFailure()
		}
		f.free -= len(content)
	}
	f.data = append(f.data[:f.offset], content...)
	f.offset += int64(len(content))
	return len(content), err
}

// recordFailure closes failed if it is still open.
func (f *faultyFile) recordFailure() {
	select {
	case <-f.failed:
	default:
		close(f.failed)
	}
}

// waitFailed waits until a write has failed.
func (f *faultyFile) waitFailed(t *testing.T) {
	t.Helper()
	select {
	case <-f.failed:
	case <-time.After(10 * time.Second):
		t.Fatal("no write has failed within 10s")
	}
}

func (f *faultyFile) Seek(offset int64, whence int) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if whence == io.SeekStart {
		f.offset = offset
	}
	return f.offset, nil
}

func (f *faultyFile) Truncate(size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.truncateErr == nil {
		f.data = f.data[:size]
	}
	return f.truncateErr
}

func (f *faultyFile) Sync() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.synced = true
	return f.syncErr
}

func (f *faultyFile) Close() error { return f.closeErr }

// setFree sets the number of bytes that can still be written, or unlimited.
func (f *faultyFile) setFree(bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.free = bytes
}

// streamOnly hides all methods of a file except Write, so that the file cannot be truncated.
type streamOnly struct{ io.Writer }

// startedFramer writes the header to a file and returns a framer for it, without the goroutine, the ticks and the retries of a Writer.
func startedFramer(t *testing.T, destination io.Writer) *framer {
	t.Helper()
	out := newFileOutput(destination)
	if !out.writeFrame(testHeaderFrame()) {
		t.Fatal(out.firstFault)
	}
	return &framer{writer: &Writer{rows: make(chan Row, queueRows)}, file: out, number: 1}
}

// TestCloseWritesWaitingRowsInOneFrame checks that close writes the rows that the framer has collected and those that are still in the
// queue as one frame, however they are divided. So the bytes of a short capture do not depend on timing.
func TestCloseWritesWaitingRowsInOneFrame(t *testing.T) {
	rows := someRows(8)
	for collected := range len(rows) + 1 {
		var file bytes.Buffer
		framer := startedFramer(t, &file)
		for _, row := range rows[:collected] {
			framer.add(row)
		}
		for _, row := range rows[collected:] {
			framer.writer.rows <- row
		}
		if err := framer.close(); err != nil {
			t.Fatal(err)
		}
		captured, err := Parse(file.Bytes())
		if err != nil {
			t.Fatal(err)
		}
		const wantFrames = 3 // header, rows, end
		if captured.Report.Frames != wantFrames || !reflect.DeepEqual(captured.Rows, rows) {
			t.Errorf("%d rows collected: got %d frames and %d rows, want %d and %d", collected, captured.Report.Frames, len(captured.Rows),
				wantFrames, len(rows))
		}
	}
}

// truncateFault says how long truncation of a file fails after a frame has been torn.
type truncateFault int

const (
	noTruncateFault truncateFault = iota
	whileDiskIsFull
	untilNextFrame // until the disk has space again and one more frame has been written
)

// tornFrameCase describes a kind of file in which a frame is torn.
type tornFrameCase struct {
	name     string
	stream   bool // the file cannot be truncated at all
	truncate truncateFault
	clean    bool // the torn part is cut off eventually, so that the file causes no notes
}

// TestFramerResumesAfterTornFrame tears a frame at each byte. Writing resumes when the disk works again, whether the torn part can be cut
// off immediately, only later, or never because the file cannot be truncated. No row may be lost or duplicated.
func TestFramerResumesAfterTornFrame(t *testing.T) {
	cases := []tornFrameCase{
		{name: "file", clean: true},
		{name: "file that is truncated late", truncate: whileDiskIsFull, clean: true},
		{name: "file that cannot be truncated for a while", truncate: untilNextFrame},
		{name: "stream", stream: true},
	}
	rows := someRows(30)
	frameSize := headSize + len(appendRows(nil, rows[10:20], 0))
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			for free := range frameSize {
				test.run(t, rows, free)
			}
		})
	}
}

// run writes three frames of ten rows each. The second frame is torn, because only the given number of bytes is free, and written again
// afterwards.
func (c *tornFrameCase) run(t *testing.T, rows []Row, free int) {
	t.Helper()
	file := newFaultyFile()
	var out io.Writer = file
	if c.stream {
		out = streamOnly{file}
	}
	framer := startedFramer(t, out)
	framer.rows = append(framer.rows, rows[:10]...)
	framer.flush()

	file.setFree(free)
	if c.truncate != noTruncateFault {
		file.truncateErr = syscall.EIO
	}
	framer.rows = append(framer.rows, rows[10:20]...)
	if framer.flush() {
		t.Fatalf("%d bytes free: the whole frame was written, want it torn", free)
	}
	if captured, err := Parse(file.data); err != nil || !reflect.DeepEqual(captured.Rows, rows[:10]) {
		t.Fatalf("torn after %d bytes: got other rows than those before the torn frame, or error %v", free, err)
	}
	canBeCut := !c.stream && c.truncate == noTruncateFault
	if after := int64(len(file.data)) - framer.file.completeEnd; canBeCut && after != 0 {
		t.Fatalf("torn after %d bytes: got %d bytes after the last complete frame, want none", free, after)
	}

	file.setFree(unlimited)
	if c.truncate == whileDiskIsFull {
		file.truncateErr = nil
	}
	framer.flush()
	file.truncateErr = nil
	framer.rows = append(framer.rows, rows[20:]...)
	framer.flush()
	if err := framer.close(); err != nil {
		t.Fatalf("torn after %d bytes: %v", free, err)
	}
	c.check(t, file.data, rows, free)
}

// check checks that the file has all rows, and that none is reported as excluded or dropped.
func (c *tornFrameCase) check(t *testing.T, content []byte, rows []Row, free int) {
	t.Helper()
	captured, err := Parse(content)
	if err != nil {
		t.Fatalf("torn after %d bytes: %v", free, err)
	}
	report := captured.Report
	if !reflect.DeepEqual(captured.Rows, rows) || report.Dropped != 0 {
		t.Fatalf("torn after %d bytes: got %d rows and notes %q, want all rows and none dropped", free, len(captured.Rows), report.Notes())
	}
	if excluded := report.Excluded[reasonDamagedRows]; excluded != 0 {
		t.Fatalf("torn after %d bytes: got %d rows reported as excluded, want none", free, excluded)
	}
	if notes := report.Notes(); c.clean && len(notes) > 0 {
		t.Fatalf("torn after %d bytes: got notes %q on a complete file, want none", free, notes)
	}
}

// TestWriterContinuesShortWrites checks that a write that accepts only a part of the bytes without an error, which Linux allows, is
// continued.
func TestWriterContinuesShortWrites(t *testing.T) {
	file := newFaultyFile()
	file.maxWrite = 7
	writer, err := NewWriter(file, testHeader, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	rows := someRows(40)
	for _, row := range rows {
		writer.Add(row)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	checkCompleteFile(t, file.data, rows)
	if !file.synced {
		t.Error("the file was not synced")
	}
}

// checkCompleteFile checks that a file has exactly the given rows, and that parsing it causes no notes.
func checkCompleteFile(t *testing.T, content []byte, rows []Row) {
	t.Helper()
	captured, err := Parse(content)
	if err != nil {
		t.Fatal(err)
	}
	if notes := captured.Report.Notes(); !reflect.DeepEqual(captured.Rows, rows) || len(notes) > 0 {
		t.Errorf("got %d rows and notes %q, want the %d rows that were written and no notes", len(captured.Rows), notes, len(rows))
	}
}

// TestWriterCountsDropsWhileDiskIsFull checks that rows wait in the bounded queue while the disk is full, and that those that do not fit
// are dropped. When the disk has space again, both the file and Close report the number of dropped rows.
func TestWriterCountsDropsWhileDiskIsFull(t *testing.T) {
	file := newFaultyFile()
	writer, err := NewWriter(file, testHeader, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	file.setFree(100)
	const maxBuffered = queueRows + frameRows
	const added = 3 * maxBuffered
	for _, row := range someRows(frameRows) {
		writer.Add(row)
	}
	file.waitFailed(t)
	for _, row := range someRows(added - frameRows) {
		writer.Add(row)
	}
	if buffered := added - writer.Dropped(); buffered > maxBuffered {
		t.Errorf("got %d rows buffered, want at most %d", buffered, maxBuffered)
	}
	file.setFree(unlimited)
	err = writer.Close()
	var loss *LossError
	if !errors.As(err, &loss) || !errors.Is(err, syscall.ENOSPC) || loss.EndMissing || loss.Rows != writer.Dropped() || loss.Rows == 0 {
		t.Errorf("got error %v from Close, want a *LossError with %d dropped rows and the end written", err, writer.Dropped())
	}
	captured, err := Parse(file.data)
	if err != nil {
		t.Fatal(err)
	}
	if report := captured.Report; report.Dropped != writer.Dropped() || len(captured.Rows)+report.Dropped != added || len(report.Excluded) > 0 {
		t.Errorf("got %d rows, %d dropped and notes %q, want %d dropped and %d together", len(captured.Rows), report.Dropped,
			report.Notes(),
			writer.Dropped(), added)
	}
}

// TestCloseAfterTransientFault checks that Close returns no error after a fault that ends before the next tick, since no rows are lost.
func TestCloseAfterTransientFault(t *testing.T) {
	file := newFaultyFile()
	writer, err := NewWriter(file, testHeader, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	file.setFree(50)
	rows := someRows(frameRows)
	for _, row := range rows {
		writer.Add(row)
	}
	file.waitFailed(t)
	file.setFree(unlimited)
	if err := writer.Close(); err != nil || writer.Dropped() != 0 {
		t.Errorf("got error %v from Close and %d rows dropped, want no error and none", err, writer.Dropped())
	}
	checkCompleteFile(t, file.data, rows)
}

// TestCloseReportsFullDisk checks that Close returns a *LossError with the number of lost rows if the disk stays full.
func TestCloseReportsFullDisk(t *testing.T) {
	file := newFaultyFile()
	writer, err := NewWriter(file, testHeader, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	file.setFree(0)
	for _, row := range someRows(20) {
		writer.Add(row)
	}
	var loss *LossError
	err = writer.Close()
	if !errors.As(err, &loss) || !errors.Is(err, syscall.ENOSPC) || loss.Rows != 20 || !loss.EndMissing {
		t.Fatalf("got error %v from Close, want a *LossError with 20 rows and a missing end", err)
	}
	if !strings.Contains(err.Error(), "20 rows") {
		t.Errorf("got error %q, want the number of lost rows in it", err)
	}
}

// TestCloseReportsFailedSyncAndClose checks that Close returns the error on one line if the sync or the close of the file fails.
func TestCloseReportsFailedSyncAndClose(t *testing.T) {
	cases := []struct {
		name string
		file *faultyFile
	}{
		{"sync", &faultyFile{free: unlimited, syncErr: syscall.EIO}},
		{"close", &faultyFile{free: unlimited, closeErr: syscall.EIO}},
		{"sync and close", &faultyFile{free: unlimited, syncErr: syscall.EIO, closeErr: syscall.EIO}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			writer, err := NewWriter(test.file, testHeader, 0, nil)
			if err != nil {
				t.Fatal(err)
			}
			err = writer.Close()
			if !errors.Is(err, syscall.EIO) {
				t.Fatalf("got error %v from Close, want EIO", err)
			}
			if text := err.Error(); !strings.Contains(text, "end of the file may be missing") || strings.Contains(text, "\n") {
				t.Errorf("got error %q, want one line about the end of the file", text)
			}
		})
	}
}

// TestCloseTimesOutOnBlockedWrite checks that Close waits a bounded time for a file whose writes block, and counts the queued rows as lost.
func TestCloseTimesOutOnBlockedWrite(t *testing.T) {
	t.Parallel()
	file := &blockingFile{release: make(chan struct{})}
	defer close(file.release)
	writer, err := NewWriter(file, testHeader, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	const added = frameRows + queueRows + 10
	for _, row := range someRows(added) {
		writer.Add(row)
	}
	start := time.Now()
	err = writer.Close()
	if elapsed := time.Since(start); elapsed > 2*closeTimeout {
		t.Errorf("Close took %v, want at most %v", elapsed, 2*closeTimeout)
	}
	lost := 0
	if err != nil {
		_, lostText, _ := strings.Cut(err.Error(), "the end of the file is missing; ")
		fmt.Sscanf(lostText, "at least %d rows were lost", &lost)
	}
	// All rows except those of the frame whose write blocks are known to be lost. A tick may have written that frame before it was full.
	if lost < added-frameRows || lost >= added {
		t.Errorf("got %d of %d rows lost, want all but those of one frame: %v", lost, added, err)
	}
}

// TestParseFileOfKilledWriter checks that a file whose writer was killed at any byte is read up to its last complete frame, even if it
// contains a torn frame between others.
func TestParseFileOfKilledWriter(t *testing.T) {
	for _, torn := range []bool{false, true} {
		t.Run(fmt.Sprintf("torn frame %v", torn), func(t *testing.T) { testParseFileOfKilledWriter(t, torn) })
	}
}

// testParseFileOfKilledWriter writes frames and parses the file cut at each byte. If torn is set, the third frame is torn once, then
// written again.
func testParseFileOfKilledWriter(t *testing.T, torn bool) {
	const rowsOfFrame, tornFrameStart = 10, 20
	file := newFaultyFile()
	framer := startedFramer(t, streamOnly{file})
	headerEnd := len(file.data)
	rows := someRows(40)
	rowsByEnd := map[int]int{headerEnd: 0} // number of rows in all complete frames, by the offset at which the last of these frames ends
	for start := 0; start < len(rows); start += rowsOfFrame {
		framer.rows = append(framer.rows, rows[start:start+rowsOfFrame]...)
		if torn && start == tornFrameStart {
			file.setFree(headSize + 11)
			framer.flush()
			file.setFree(unlimited)
		}
		framer.flush()
		rowsByEnd[len(file.data)] = start + rowsOfFrame
	}
	if err := framer.close(); err != nil {
		t.Fatal(err)
	}
	want := 0
	for cut := range file.data {
		if rowsSoFar, isEnd := rowsByEnd[cut]; isEnd {
			want = rowsSoFar
		}
		captured, err := Parse(file.data[:cut])
		if cut < headerEnd {
			if err == nil {
				t.Fatalf("cut at %d, within the header: no error", cut)
			}
			continue
		}
		if err != nil {
			t.Fatalf("cut at %d: %v", cut, err)
		}
		if !slices.Equal(captured.Rows, rows[:want]) {
			t.Fatalf("cut at %d: got %d rows, want the %d rows of complete frames", cut, len(captured.Rows), want)
		}
	}
}

// faultyFolder is the file system of the operating system, with files of a limited size and with injected errors.
type faultyFolder struct {
	systemFolder
	free      int   // number of bytes that each file accepts
	syncErr   error // error of Sync
	removeErr error // error of Remove
}

// limitedFile is a file of the operating system that accepts a limited number of bytes.
type limitedFile struct {
	*os.File
	free int // number of bytes that it still accepts
}

func (f *limitedFile) Write(content []byte) (int, error) {
	if len(content) <= f.free {
		f.free -= len(content)
		return f.File.Write(content)
	}
	written, _ := f.File.Write(content[:f.free])
	f.free = 0
	return written, syscall.ENOSPC
}

func (f faultyFolder) Create(path string) (io.Writer, error) {
	file, err := f.systemFolder.Create(path)
	if err != nil {
		return nil, err
	}
	return &limitedFile{file.(*os.File), f.free}, nil
}

func (f faultyFolder) Sync(string) error { return f.syncErr }

func (f faultyFolder) Remove(path string) error {
	if f.removeErr != nil {
		return f.removeErr
	}
	return f.systemFolder.Remove(path)
}

// TestCreateCleansUpAfterFault checks that, if a capture cannot be started, the error says why, and no file is left that would make the
// next attempt fail.
func TestCreateCleansUpAfterFault(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.capture")
	for free := range 40 {
		if _, err := createIn(faultyFolder{free: free}, path, testHeader, 0, nil); !errors.Is(err, syscall.ENOSPC) {
			t.Fatalf("%d bytes free: got error %v, want ENOSPC", free, err)
		}
		if _, err := os.Lstat(path); !errors.Is(err, os.ErrNotExist) {
			t.Fatalf("%d bytes free: got %v from Lstat, want no file", free, err)
		}
	}
	_, err := createIn(faultyFolder{free: 1 << 20, syncErr: syscall.EIO}, path, testHeader, 0, nil)
	if !errors.Is(err, syscall.EIO) || !strings.Contains(err.Error(), "sync of the folder of "+path) {
		t.Errorf("folder that cannot be synced: got error %v, want EIO and the path", err)
	}
	writer, err := Create(path, testHeader, 0, nil)
	if err != nil {
		t.Fatalf("after the failed attempts: %v", err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestCreateKeepsExistingFile checks that Create fails if the file exists, and does not change the file.
func TestCreateKeepsExistingFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.capture")
	writer, err := Create(path, testHeader, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	before, _ := os.ReadFile(path)
	if _, err := Create(path, testHeader, 0, nil); !errors.Is(err, os.ErrExist) {
		t.Errorf("got error %v, want os.ErrExist", err)
	}
	if after, _ := os.ReadFile(path); len(after) == 0 || string(after) != string(before) {
		t.Errorf("got a file of %d bytes, want the %d bytes from before unchanged", len(after), len(before))
	}
}

// TestCreateReportsFileItCannotRemove checks that the error says so on one line if the file of a failed attempt cannot be removed.
func TestCreateReportsFileItCannotRemove(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.capture")
	_, err := createIn(faultyFolder{removeErr: syscall.EIO}, path, testHeader, 0, nil)
	if !errors.Is(err, syscall.ENOSPC) || !errors.Is(err, syscall.EIO) {
		t.Fatalf("got error %v, want ENOSPC and EIO", err)
	}
	if text := err.Error(); !strings.Contains(text, "is left in place") || strings.Contains(text, "\n") {
		t.Errorf("got error %q, want one line about the file that is left", text)
	}
}

// TestNewWriterOnFullDevice checks that NewWriter fails on /dev/full, a real device without space.
func TestNewWriterOnFullDevice(t *testing.T) {
	full, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
	if err != nil {
		t.Skip(err)
	}
	defer full.Close()
	if _, err := NewWriter(full, testHeader, 0, nil); !errors.Is(err, syscall.ENOSPC) {
		t.Errorf("got error %v, want ENOSPC", err)
	}
}
