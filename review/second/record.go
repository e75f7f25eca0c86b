package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run. Each line begins with the seconds since the start of the case.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

// createRecord creates or replaces the file.
func createRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// line adds a line about something that happens now.
func (r *record) line(format string, args ...any) { r.lineAt(time.Now(), format, args...) }

// lineAt adds a line about something that happened at a time.
func (r *record) lineAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// since returns a time in seconds since the start, for texts.
func (r *record) since(at time.Time) string {
	return fmt.Sprintf("%.3f s", at.Sub(r.start).Seconds())
}

// close writes the file out.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
