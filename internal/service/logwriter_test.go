package service

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"
	"time"
)

// TestLogWriterDoesNotBlock checks that Write does not block if the reader of the log hangs, and that the log reports the lost lines
// once the reader reads.
func TestLogWriterDoesNotBlock(t *testing.T) {
	out, in := io.Pipe()
	log := newLogWriter(in)
	for range 3 * logQueueLines {
		log.Write([]byte("line\n"))
	}
	lines := bufio.NewScanner(out)
	for lines.Scan() && lines.Text() == "line" {
	}
	if !strings.HasSuffix(lines.Text(), "log lines lost") {
		t.Errorf("got line %q, want the number of log lines lost", lines.Text())
	}
}

// TestLogWriterClose checks that close writes the queued lines and ends the goroutine, and that later calls of Write do not block.
func TestLogWriterClose(t *testing.T) {
	var out bytes.Buffer
	log := newLogWriter(&out)
	const count = 100
	for range count {
		log.Write([]byte("line\n"))
	}
	log.close(20 * time.Second)
	select {
	case <-log.ended:
	default:
		t.Fatal("the goroutine has not ended after close")
	}
	if lines := strings.Count(out.String(), "line\n"); lines != count {
		t.Errorf("got %d lines, want %d", lines, count)
	}
	for range 2 * logQueueLines {
		log.Write([]byte("late\n"))
	}
}

// TestLogWriterCloseWithBlockedOutput checks that close returns after its timeout if the output hangs.
func TestLogWriterCloseWithBlockedOutput(t *testing.T) {
	_, in := io.Pipe() // without a reader
	t.Cleanup(func() { in.Close() })
	log := newLogWriter(in)
	log.Write([]byte("line\n"))
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		log.close(time.Millisecond)
	}()
	select {
	case <-closed:
	case <-time.After(20 * time.Second):
		t.Fatal("close has not returned although its timeout has passed")
	}
}
