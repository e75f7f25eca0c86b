package service

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// logQueueLines is the capacity of the queue of log lines. Lines that do not fit are lost and counted.
const logQueueLines = 256

// logWriter is a writer that never blocks, even if the reader of the log hangs. Log lines are written while locks are held, so a write
// that blocks would block the director as well. Lines that do not fit into the queue are lost; their number is written to the log.
// newLogWriter starts a goroutine that writes the queued lines. The goroutine ends after close or, if the output hangs, after the write
// in progress returns.
type logWriter struct {
	lines chan []byte
	lost  atomic.Int64  // number of lines lost since the last report
	stop  chan struct{} // closed by close
	ended chan struct{} // closed when the goroutine has ended
}

// newLogWriter returns a writer to out and starts its goroutine. Writes to out may hang.
func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, logQueueLines), stop: make(chan struct{}), ended: make(chan struct{})}
	go w.run(out)
	return w
}

// run writes lines until the writer is stopped, and then the lines that are still queued.
func (w *logWriter) run(out io.Writer) {
	defer close(w.ended)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(out, line)
		case <-w.stop:
			for len(w.lines) > 0 {
				w.writeLine(out, <-w.lines)
			}
			return
		}
	}
}

// writeLine writes a line and then, if lines were lost, a report of their number. It ignores errors, since there is no other place to
// report that the log cannot be written.
func (w *logWriter) writeLine(out io.Writer, line []byte) {
	out.Write(line)
	if lost := w.lost.Swap(0); lost > 0 {
		fmt.Fprintf(out, "%d log lines lost\n", lost)
	}
}

// Write queues a line, or counts it as lost. It never fails.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line): // the caller reuses its buffer
	default:
		w.lost.Add(1)
	}
	return len(line), nil
}

// close waits until the queued lines are written, for at most the timeout. It must be called only once. Lines passed to Write later
// are lost.
func (w *logWriter) close(timeout time.Duration) {
	close(w.stop)
	select {
	case <-w.ended:
	case <-time.After(timeout):
	}
}
