package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/msgpack"
	"indigochute.example/indigochute/internal/resp"
	"indigochute.example/indigochute/internal/routing"
)

const (
	smallMemoryMB  = 32 // of the smallest director
	manyCaches     = 80 // of one location: sixteen times five
	badConnections = 16
	badObjects     = 64  // objects that no cache node knows
	badParts       = 512 // parts of each, most of them out of range
	maxOpen        = 32  // requests open on a connection
	floodTime      = 25 * time.Second
)

// manyDocuments plays bad clients that ask at full speed for parts of objects that no cache node knows, at a director with little
// memory whose location has many caches.
func manyDocuments(s *stage) (broken []string, err error) {
	s.memoryMB = smallMemoryMB
	err = s.setUp(manyCaches, func() {
		for _, cache := range s.nodes {
			cache.refuses = func(asked command) bool { return strings.HasPrefix(asked.Object, "bad") }
		}
	})
	if err != nil {
		return nil, err
	}
	stop, stopBad := make(chan struct{}), make(chan struct{})
	calls := make(chan []*call)
	go func() { calls <- s.load(4, 25*time.Millisecond, stop, steadyClips) }()
	time.Sleep(2 * time.Second)
	var bad sync.WaitGroup
	if s.trouble {
		for i := range badConnections {
			bad.Go(func() { s.flood(i, stopBad) })
		}
	}
	peak := 0
	for end := time.Now().Add(floodTime); time.Now().Before(end) && s.director.failure() == nil; time.Sleep(100 * time.Millisecond) {
		held, err := s.director.residentKB()
		if err != nil {
			continue
		}
		if held > peak {
			peak = held
			s.record.line("the director holds %d kB", held)
		}
	}
	close(stopBad)
	bad.Wait()
	close(stop)
	s.recordEnds(<-calls)
	s.record.line("the director held %d kB at most, its limit is %d kB", peak, smallMemoryMB<<10)
	if peak == 0 {
		return nil, fmt.Errorf("the memory of the director is not known")
	}
	if peak > smallMemoryMB<<10 {
		broken = append(broken, fmt.Sprintf("the director held %d kB, more than its %d kB: it is killed", peak, smallMemoryMB<<10))
	}
	return broken, nil
}

// flood keeps maxOpen requests open on a connection until stop is closed.
func (s *stage) flood(number int, stop <-chan struct{}) {
	places := make(chan struct{}, maxOpen)
	var c *client
	sent := 0
	var counting sync.Mutex
	ends := map[string]int{}
	defer func() {
		counting.Lock()
		defer counting.Unlock()
		s.record.line("bad client %d sent %d requests, by end: %v", number, sent, ends)
	}()
	for i := number; ; i += badConnections {
		select {
		case <-stop:
			return
		case places <- struct{}{}:
		}
		if c == nil || c.hasEnded() {
			connected, err := connectClient(&client{name: fmt.Sprint("bad", number), record: s.record, quiet: true, open: map[uint32]*call{}},
				s.director.address)
			if err != nil {
				<-places
				time.Sleep(10 * time.Millisecond)
				continue
			}
			c = connected
		}
		document := i % (badObjects * badParts)
		asked := c.prepare(msgpack.Message{Kind: msgpack.Request, Class: clipClass, Object: fmt.Sprintf("bad%013x", document/badParts),
			Part: strconv.Itoa(document % badParts), Group: "1", Timeout: 6 * time.Second})
		c.socket.Write(msgpack.AppendRequest(nil, &asked.message))
		sent++
		go func() {
			<-asked.done
			counting.Lock()
			ends[asked.outcome()]++
			counting.Unlock()
			<-places
		}()
	}
}

// residentKB returns how much memory the process has held at most.
func (p *directorProcess) residentKB() (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	line, _, _ := strings.Cut(rest, "\n")
	return strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(line, "kB")))
}

// refusal returns the answer 'error' to a request.
func refusal(asked command) resp.Response {
	return resp.Response{ID: asked.ID, Status: resp.Failed, Fill: routing.FillUnknown}
}
