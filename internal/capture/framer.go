package capture

import (
	"fmt"
	"time"
)

// A frame is written when it has frameRows rows, and otherwise every frameInterval.
const (
	frameRows     = 4096
	frameInterval = time.Second
)

// Retries of failed writes while the capture is closed, and the pause before each.
const (
	closeRetries       = 10 // in total, for all frames
	closeRetryInterval = 100 * time.Millisecond
)

// framer collects rows into frames and writes the frames in order. It buffers at most the rows of one frame: while a frame is unwritten,
// the framer receives no rows. They wait in the writer's queue, and those that do not fit are dropped and counted.
type framer struct {
	writer         *Writer
	file           *fileOutput
	rows           []Row         // rows of the next frame
	unwritten      []byte        // frame that could not be written yet; nil: none
	unwrittenRows  int           // number of rows in the unwritten frame
	unwrittenDrops int64         // total number of dropped rows that the frames up to and including the unwritten one report
	number         uint32        // number of the next frame
	writtenDrops   int64         // total number of dropped rows that the frames in the file report
	cpu            time.Duration // processor time that the process had used when the last frame was encoded
	retries        int           // number of retries left while the capture is closed
}

// newFramer returns a framer for a file to which the header has been written.
func newFramer(w *Writer, file *fileOutput) *framer {
	f := &framer{writer: w, file: file, number: 1, retries: closeRetries}
	if w.cpu != nil {
		f.cpu = w.cpu()
	}
	return f
}

// add adds a row to the next frame, and writes the frame if it is full.
func (f *framer) add(row Row) {
	f.rows = append(f.rows, row)
	if len(f.rows) >= frameRows {
		f.flush()
	}
}

// flush writes the unwritten frame or, if there is none, a frame of the collected rows. It reports whether no frame is left unwritten.
func (f *framer) flush() bool {
	if f.unwritten == nil && len(f.rows) > 0 {
		f.encode(kindRows)
	}
	return f.write()
}

// encode encodes the next frame, which contains the collected rows or, for kindEnd, ends the file and has no rows.
func (f *framer) encode(kind byte) {
	var payload []byte
	if kind == kindRows {
		payload = appendRows(nil, f.rows, f.cpuSinceLast())
	}
	f.unwrittenDrops = f.writer.dropped.Load()
	f.unwrittenRows = len(f.rows)
	newDrops := int(f.unwrittenDrops - f.writtenDrops)
	f.unwritten = appendFrame(nil, kind, f.number, f.unwrittenRows, newDrops, payload)
	f.rows = f.rows[:0]
}

// cpuSinceLast returns the processor time that the process has used since the previous frame, or 0 if the time is not stored.
func (f *framer) cpuSinceLast() time.Duration {
	if f.writer.cpu == nil {
		return 0
	}
	before := f.cpu
	f.cpu = f.writer.cpu()
	return f.cpu - before
}

// write tries to write the unwritten frame. It reports whether no frame is left unwritten.
func (f *framer) write() bool {
	if f.unwritten == nil {
		return true
	}
	if !f.file.writeFrame(f.unwritten) {
		return false
	}
	f.unwritten = nil
	f.writtenDrops = f.unwrittenDrops
	f.number++
	return true
}

// close writes the remaining rows and the frame that ends the file, and closes the file. A frame that cannot be written with the retries
// left is discarded, and its rows are lost. Writer.Close documents the errors.
func (f *framer) close() error {
	f.writeRemaining()
	f.encode(kindEnd)
	ended := f.retry(f.write())
	closeErr := f.file.close()
	lost := f.writer.Dropped()
	if f.file.firstFault != nil && (lost > 0 || !ended) {
		return &LossError{First: f.file.firstFault, Rows: lost, EndMissing: !ended}
	}
	if closeErr != nil {
		return fmt.Errorf("capture: the end of the file may be missing: %w", closeErr)
	}
	return nil
}

// writeRemaining writes the unwritten frame, the collected rows and the rows in the writer's queue.
func (f *framer) writeRemaining() {
	f.retry(f.write())
	for len(f.writer.rows) > 0 {
		f.rows = append(f.rows, <-f.writer.rows)
		if len(f.rows) >= frameRows {
			f.retry(f.flush())
		}
	}
	f.retry(f.flush())
}

// retry retries to write the unwritten frame while retries are left, then discards the frame. Written is the result of the first attempt.
// It reports whether the frame was written.
func (f *framer) retry(written bool) bool {
	for ; !written && f.retries > 0; f.retries-- {
		time.Sleep(closeRetryInterval)
		written = f.write()
	}
	if !written {
		f.writer.dropped.Add(int64(f.unwrittenRows))
		f.unwritten = nil
	}
	return written
}
