package capture

import (
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"indigochute.example/indigochute/internal/director"
)

// queueRows is the capacity of the queue of rows to be written. When the queue is full, further rows are dropped and counted.
const queueRows = 8192

// closeTimeout is how long Close waits for a write to the file that blocks.
const closeTimeout = 5 * time.Second

// Writer writes a capture. RequestEnded and Add never block, however slow the file is. If writes fail for a while, only the rows that do
// not fit into the queue are lost; fileOutput documents how writing resumes. NewWriter starts the goroutine that writes. The goroutine
// ends after Close or, if a write blocks, when that write returns.
type Writer struct {
	rows    chan Row
	dropped atomic.Int64
	stop    chan struct{} // closed by Close
	once    sync.Once     // closes stop
	done    chan error    // receives the result of the goroutine exactly once
	zone    int16
	cpu     func() time.Duration // processor time that this process has used so far; nil: not stored
}

// LossError is the error that Close returns if a failure of the file caused the loss of rows or of the end of the file. Two cases are not
// an error: a failure that ended before anything was lost, and rows dropped because of a slow file that never failed. The file itself
// reports the number of these rows.
type LossError struct {
	First      error // the first error of the file
	Rows       int   // number of rows lost since the start of the capture
	EndMissing bool  // the frame that ends the file could not be written
}

// Error returns a message with the first error and the number of rows lost.
func (e *LossError) Error() string {
	text := fmt.Sprintf("capture: %v; %d rows were lost", e.First, e.Rows)
	if e.EndMissing {
		text += ", the end of the file is missing"
	}
	return text
}

// Unwrap returns the first error of the file, for errors.Is and errors.As.
func (e *LossError) Unwrap() error { return e.First }

// HangError is the error that Close returns if a write to the file blocks for longer than Close waits.
type HangError struct {
	Waited time.Duration
	Rows   int // number of rows known to be lost, without those of the frame whose write blocks
}

// Error returns a message with the time that Close waited and the minimum number of rows lost.
func (e *HangError) Error() string {
	return fmt.Sprintf("capture: a write to the file blocked for %v, the end of the file is missing; at least %d rows were lost", e.Waited,
		e.Rows)
}

// NewWriter returns a Writer to out, which writes from the current position of out. If out can be synced and closed, Close does so. If out
// can be truncated, an incomplete frame is cut off. Zone is the index of the director's zone in the header. Cpu returns the processor time
// that the process has used so far; if it is nil, the time is not stored. NewWriter returns an error if it cannot write the header.
func NewWriter(out io.Writer, header Header, zone int, cpu func() time.Duration) (*Writer, error) {
	frame, err := headerFrame(header)
	if err != nil {
		return nil, err
	}
	file := newFileOutput(out)
	if !file.writeFrame(frame) {
		return nil, fmt.Errorf("capture: header: %w", file.firstFault)
	}
	w := &Writer{rows: make(chan Row, queueRows), stop: make(chan struct{}), done: make(chan error, 1), zone: int16(zone), cpu: cpu}
	go w.run(newFramer(w, file))
	return w, nil
}

// headerFrame returns the first frame of a file, which contains the header.
func headerFrame(header Header) ([]byte, error) {
	payload, err := json.Marshal(header)
	if err != nil {
		return nil, fmt.Errorf("capture: header: %w", err)
	}
	return appendFrame(nil, kindHeader, 0, 0, 0, payload), nil
}

// RequestEnded queues a row for a completed request, like Add. It never blocks.
func (w *Writer) RequestEnded(record director.RequestRecord) {
	w.Add(NewRow(record, w.zone))
}

// Add queues a row, or counts it as dropped if the queue is full. It never blocks.
func (w *Writer) Add(row Row) {
	select {
	case w.rows <- row:
	default:
		w.dropped.Add(1)
	}
}

// Dropped returns the number of rows lost so far because the queue was full or because their frame was discarded.
func (w *Writer) Dropped() int { return int(w.dropped.Load()) }

// Close writes the queued rows and the end of the file, then syncs and closes the file. It returns a *LossError if a failure of the file
// caused the loss of rows or of the end, the wrapped error if only the sync or the close failed, and a *HangError if a write blocks for
// closeTimeout. It returns no error for a failure that ended before anything was lost, because the file is complete then. Further calls
// return the same result.
func (w *Writer) Close() error {
	w.once.Do(func() { close(w.stop) })
	select {
	case err := <-w.done:
		w.done <- err // for further calls
		return err
	case <-time.After(closeTimeout):
		return &HangError{Waited: closeTimeout, Rows: w.Dropped() + len(w.rows)}
	}
}

// run collects rows into frames until the writer is stopped, then writes the end of the file.
func (w *Writer) run(f *framer) {
	tick := time.NewTicker(frameInterval)
	defer tick.Stop()
	for stopped := false; !stopped; {
		rows := w.rows
		if f.unwritten != nil {
			rows = nil // do not receive; rows wait in the bounded queue
		}
		select {
		case row := <-rows:
			f.add(row)
		case <-tick.C:
			f.flush()
		case <-w.stop:
			stopped = true
		}
	}
	w.done <- f.close()
}

// Write writes rows as a complete file.
func Write(out io.Writer, header Header, rows []Row) error {
	file, err := headerFrame(header)
	if err != nil {
		return err
	}
	number := uint32(1)
	for ; len(rows) > 0; number++ {
		count := min(len(rows), frameRows)
		file = appendFrame(file, kindRows, number, count, 0, appendRows(nil, rows[:count], 0))
		rows = rows[count:]
	}
	_, err = out.Write(appendFrame(file, kindEnd, number, 0, 0, nil))
	return err
}
