package main

import (
	"io"
	"net"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/discovery"
)

// journal is a stand-in for the journal service. It serves the numbered events to each connection, and an empty frame each second.
type journal struct {
	record   *record
	listener net.Listener
	// firstFrameAfter is how long a connection waits for its first frame after its hello. 0: the service is not crowded.
	firstFrameAfter time.Duration

	mu     sync.Mutex
	events []discovery.Event // event n is at index n-1
	more   chan struct{}     // closed and replaced at each event
	conns  []net.Conn
}

// startJournal starts a journal service without events.
func startJournal(record *record) (*journal, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	j := &journal{record: record, listener: listener, more: make(chan struct{})}
	go j.accept()
	return j, nil
}

// tell adds an event, gives it the next number and returns when that was.
func (j *journal) tell(event discovery.Event) time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	event.Number = uint64(len(j.events) + 1)
	j.events = append(j.events, event)
	close(j.more)
	j.more = make(chan struct{})
	return time.Now()
}

// after returns the events after a number, and a channel that is closed at the next event.
func (j *journal) after(number uint64) ([]discovery.Event, <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.events[min(number, uint64(len(j.events))):], j.more
}

func (j *journal) accept() {
	for {
		conn, err := j.listener.Accept()
		if err != nil {
			return
		}
		j.mu.Lock()
		j.conns = append(j.conns, conn)
		j.mu.Unlock()
		go j.serve(conn)
	}
}

// serve serves one connection until it ends.
func (j *journal) serve(conn net.Conn) {
	defer conn.Close()
	began := time.Now()
	var raw [8]byte
	if _, err := io.ReadFull(conn, raw[:]); err != nil {
		return
	}
	last, err := discovery.ReadHello(raw[:])
	if err != nil {
		return
	}
	j.record.line("journal: a director connected, it holds the events up to %d", last)
	ended := make(chan struct{})
	go func() { // a director writes nothing after its hello, so this returns at the end of the connection
		defer close(ended)
		io.Copy(io.Discard, conn)
	}()
	defer func() { j.record.line("journal: that connection ended after %.3f s", time.Since(began).Seconds()) }()
	select {
	case <-time.After(j.firstFrameAfter):
	case <-ended:
		return
	}
	for {
		events, more := j.after(last)
		var frames []byte
		for i := range events {
			frames = discovery.AppendEvent(frames, &events[i])
			last = events[i].Number
		}
		if len(events) == 0 {
			frames = discovery.AppendEvent(nil, &discovery.Event{Number: last})
		}
		if _, err := conn.Write(frames); err != nil {
			return
		}
		for i := range events {
			j.record.line("journal: event %d written", events[i].Number)
		}
		select {
		case <-more:
		case <-time.After(time.Second):
		case <-ended:
			return
		}
	}
}

// close ends the service.
func (j *journal) close() {
	j.listener.Close()
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, conn := range j.conns {
		conn.Close()
	}
}
