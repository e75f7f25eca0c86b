package main

import (
	"fmt"
	"maps"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/msgpack"
	"indigochute.example/indigochute/internal/resp"
)

// Limits of the director.
const (
	smallMemoryMB = 32
	manySockets   = 1024
)

// What the bad clients do, and when.
const (
	maxOpen       = 32 // requests open on a connection
	askers        = 16 // connections that ask for objects that no cache node knows, as fast as they are refused
	badObjects    = 8192
	badParts      = 4 // of each of these objects
	askOnly       = 12 * time.Second
	keepers       = 250 // connections that ask once and are kept
	bursts        = 6   // times that many connections send many requests with bodies at once
	burstClients  = 100
	burstRequests = 30
	burstBytes    = 48000
	burstEvery    = 600 * time.Millisecond
	afterBursts   = 2 * time.Second
)

// badClients plays bad clients of several kinds at a director with little memory.
func badClients(s *stage) (broken []string, err error) {
	s.memoryMB, s.sockets = smallMemoryMB, manySockets
	err = s.setUp(5, func() {
		for _, known := range s.nodes {
			known.refuses = func(asked command) bool { return strings.HasPrefix(asked.Object, "bad") }
		}
	})
	if err != nil {
		return nil, err
	}
	stop, stopBad := make(chan struct{}), make(chan struct{})
	calls := make(chan []*call)
	go func() { calls <- s.load(4, 25*time.Millisecond, stop, steadyClips) }()
	time.Sleep(2 * time.Second)
	s.recordMemory("before the bad clients")
	var bad sync.WaitGroup
	if s.trouble {
		for i := range askers {
			bad.Go(func() { s.ask(i, stopBad) })
		}
	}
	time.Sleep(askOnly)
	s.recordMemory("with requests for unknown objects")
	var kept []*client
	if s.trouble {
		kept = s.askOnceAndKeep()
	}
	time.Sleep(time.Second)
	s.recordMemory("with connections that are kept")
	for range bursts {
		if s.trouble {
			for i := range burstClients {
				bad.Go(func() { s.burst(i) })
			}
		}
		time.Sleep(burstEvery)
		s.recordMemory("after a burst")
	}
	time.Sleep(afterBursts)
	held := s.recordMemory("at the end")
	close(stopBad)
	bad.Wait()
	for _, c := range kept {
		c.close()
	}
	close(stop)
	s.recordEnds(<-calls)
	if held == 0 {
		return nil, fmt.Errorf("the memory of the director is not known")
	}
	if held > smallMemoryMB<<10 {
		broken = append(broken, fmt.Sprintf("the director held %d kB, more than its %d kB: the platform kills it", held, smallMemoryMB<<10))
	}
	return broken, nil
}

// recordMemory writes and returns how much memory the director has held at most so far, in kB. It returns 0 if that is not known.
func (s *stage) recordMemory(when string) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.director.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	line, _, _ := strings.Cut(rest, "\n")
	held, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(line, "kB")))
	s.record.line("%s the director has held %d kB of %d kB at most", when, held, smallMemoryMB<<10)
	return held
}

// quietClient connects a client whose answers are not recorded one by one. It returns nil if it cannot connect.
func (s *stage) quietClient(name string) *client {
	c, err := connectClient(&client{name: name, record: s.record, quiet: true, open: map[uint32]*call{}}, s.director.address)
	if err != nil {
		return nil
	}
	return c
}

// unknownClip returns a request for a part of an object that no cache node knows.
func unknownClip(document int) msgpack.Message {
	return clip(fmt.Sprintf("bad%013x", document/badParts%badObjects), strconv.Itoa(document%badParts), "1")
}

// ask keeps maxOpen requests for unknown objects open on a connection until stop is closed.
func (s *stage) ask(number int, stop <-chan struct{}) {
	places := make(chan struct{}, maxOpen)
	var c *client
	var counting sync.Mutex
	ends := map[string]int{}
	defer func() {
		counting.Lock()
		defer counting.Unlock()
		s.record.line("bad client %d asked for unknown objects; its requests by end: %v", number, maps.Clone(ends))
	}()
	for i := number; ; i += askers {
		select {
		case <-stop:
			return
		case places <- struct{}{}:
		}
		if c == nil || c.hasEnded() {
			if c = s.quietClient(fmt.Sprint("bad", number)); c == nil {
				return
			}
		}
		asked := c.prepare(unknownClip(i))
		c.socket.Write(msgpack.AppendRequest(nil, &asked.message))
		go func() {
			<-asked.done
			counting.Lock()
			ends[asked.outcome()]++
			counting.Unlock()
			<-places
		}()
	}
}

// askOnceAndKeep returns connections that have asked once.
func (s *stage) askOnceAndKeep() (kept []*client) {
	for i := range keepers {
		c := s.quietClient(fmt.Sprint("kept", i))
		if c == nil {
			continue
		}
		asked := c.prepare(unknownClip(i))
		c.socket.Write(msgpack.AppendRequest(nil, &asked.message))
		kept = append(kept, c)
	}
	s.record.line("%d bad clients have asked once and stay connected", len(kept))
	return kept
}

// burst sends many requests with bodies at once on a connection, and closes it once all are answered.
func (s *stage) burst(number int) {
	c := s.quietClient(fmt.Sprint("burst", number))
	if c == nil {
		return
	}
	defer c.close()
	var sent []*call
	for i := range burstRequests {
		message := unknownClip(number*burstRequests + i)
		message.Body = make([]byte, burstBytes)
		asked := c.prepare(message)
		c.socket.SetWriteDeadline(time.Now().Add(2 * time.Second))
		c.socket.Write(msgpack.AppendRequest(nil, &asked.message))
		sent = append(sent, asked)
	}
	over := time.After(2 * time.Second)
	for _, asked := range sent {
		select {
		case <-asked.done:
		case <-over:
			return
		}
	}
}

// refusal returns the answer 'error' to a request.
func refusal(asked command) resp.Response {
	return resp.Response{ID: asked.ID, Status: resp.Failed}
}
