package capture

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"indigochute.example/indigochute/director"
)

const (
	queued     = 8192 // rows that wait for the file; what comes then is dropped and counted
	rowsEach   = 4096 // of a frame
	frameEach  = time.Second
	closeWaits = 5 * time.Second // for a file that takes nothing
)

// Writer writes a capture. Ended never blocks, however slow the file is.
type Writer struct {
	rows    chan Row
	dropped atomic.Int64
	stop    chan struct{}
	once    sync.Once
	done    chan error
	zone    int16
	cpu     func() time.Duration // that this process took so far; nil: not to be told
}

// NewWriter writes to w until Close. Where w is an io.Closer it is closed. Zone is the place in the header's zones of
// the reqs that Ended tells of.
func NewWriter(w io.Writer, h Header, zone int, cpu func() time.Duration) (*Writer, error) {
	head, err := json.Marshal(h)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(appendFrame(nil, kindHeader, 0, 0, 0, head)); err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	c := &Writer{rows: make(chan Row, queued), stop: make(chan struct{}), done: make(chan error, 1), zone: int16(zone), cpu: cpu}
	go c.run(w)
	return c, nil
}

// Create begins a capture in a new file. One that is there is not written over: it may be all there is of a bad day.
func Create(path string, h Header, zone int, cpu func() time.Duration) (*Writer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("capture: %w", err)
	}
	return NewWriter(f, h, zone, cpu)
}

// Ended takes what a director saw of a req.
func (c *Writer) Ended(s director.Seen) {
	c.Add(RowOf(s, c.zone))
}

// RowOf is the row of a req that a director of a zone saw.
func RowOf(s director.Seen, zone int16) Row {
	return Row{At: s.Came, Obj: s.Obj, Part: s.Part, Group: s.Group, Vhost: int16(s.Vhost), Zone: zone, How: s.How, Fill: s.Fill,
		Dispatches: uint8(min(s.Dispatches, 255)), Up: uint32(s.Up), Down: uint32(s.Down), First: s.First, Whole: s.Whole}
}

// Add takes a row, or counts it where there is no place.
func (c *Writer) Add(r Row) {
	select {
	case c.rows <- r:
	default:
		c.dropped.Add(1)
	}
}

// Dropped counts the rows so far for which there was no place.
func (c *Writer) Dropped() int { return int(c.dropped.Load()) }

// Close writes what waits and ends the file. The error is the first fault of writing.
func (c *Writer) Close() error {
	c.once.Do(func() { close(c.stop) })
	select {
	case err := <-c.done:
		c.done <- err
		return err
	case <-time.After(closeWaits):
		return fmt.Errorf("capture: the file took nothing for %v, its end is missing", closeWaits)
	}
}

// run gathers rows into frames until it is stopped. After a fault it goes on taking rows, and counts them.
func (c *Writer) run(w io.Writer) {
	var rows []Row
	var failed error
	number, told := uint32(1), int64(0)
	var cpu time.Duration
	flush := func(kind byte) {
		if len(rows) == 0 && kind == kindRows {
			return
		}
		var took time.Duration
		if c.cpu != nil {
			all := c.cpu()
			took, cpu = all-cpu, all
		}
		var payload []byte
		if kind == kindRows {
			payload = appendRows(nil, rows, took)
		}
		dropped := c.dropped.Load()
		frame := appendFrame(nil, kind, number, len(rows), int(dropped-told), payload)
		if failed == nil {
			_, failed = w.Write(frame)
		}
		if failed != nil {
			c.dropped.Add(int64(len(rows)))
		} else {
			told = dropped
			number++
		}
		rows = rows[:0]
	}
	if c.cpu != nil {
		cpu = c.cpu()
	}
	tick := time.NewTicker(frameEach)
	defer tick.Stop()
	for open := true; open; {
		select {
		case r := <-c.rows:
			if rows = append(rows, r); len(rows) >= rowsEach {
				flush(kindRows)
			}
		case <-tick.C:
			flush(kindRows)
		case <-c.stop:
			open = false
		}
	}
	for len(c.rows) > 0 {
		if rows = append(rows, <-c.rows); len(rows) >= rowsEach {
			flush(kindRows)
		}
	}
	flush(kindRows)
	flush(kindEnd)
	if closer, ok := w.(io.Closer); ok {
		if err := closer.Close(); failed == nil {
			failed = err
		}
	}
	if failed != nil {
		failed = fmt.Errorf("capture: %w", failed)
	}
	c.done <- failed
}

// Write writes rows as a whole file.
func Write(w io.Writer, h Header, rows []Row) error {
	head, err := json.Marshal(h)
	if err != nil {
		return err
	}
	b := appendFrame(nil, kindHeader, 0, 0, 0, head)
	number := uint32(1)
	for ; len(rows) > 0; number++ {
		n := min(len(rows), rowsEach)
		b = appendFrame(b, kindRows, number, n, 0, appendRows(nil, rows[:n], 0))
		rows = rows[n:]
	}
	_, err = w.Write(appendFrame(b, kindEnd, number, 0, 0, nil))
	return err
}

// Read reads a file.
func Read(path string) (*Capture, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}
