package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/discovery"
	"indigochute.example/indigochute/internal/msgpack"
	"indigochute.example/indigochute/internal/routing"
)

// stage has the processes and stand-ins of one case.
type stage struct {
	record       *record
	trouble      bool // play the disruption
	memoryMB     int  // limits of the director
	sockets      int
	pageDeadline time.Duration // of the class pageClass
	patience     time.Duration // how long clients wait for an answer after its time
	folder       string
	journal      *journal
	nodes        []*node
	caches       []*node
	director     *directorProcess

	mu       sync.Mutex
	commands []command // all requests that nodes received
}

// newStage returns an empty stage.
func newStage(record *record, trouble bool) *stage {
	return &stage{record: record, trouble: trouble, memoryMB: 64, sockets: 512, pageDeadline: 2500 * time.Millisecond}
}

// First ids of the nodes of each kind.
const (
	firstCache  = 0x00c41f70
	firstParent = 0x00d51f70
	firstOrigin = 0x00e61f70
)

// setUp starts the nodes, the journal service and the director: the given number of caches, two parents and the origin. adjust is
// called before the director starts; it may change the stand-ins.
func (s *stage) setUp(caches int, adjust func()) (err error) {
	if s.folder, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	if s.journal, err = startJournal(s.record); err != nil {
		return err
	}
	for i := range caches + 3 {
		id, kind := uint32(firstCache+i), cacheKind
		switch {
		case i == caches+2:
			id, kind = firstOrigin, originKind
		case i >= caches:
			id, kind = uint32(firstParent+i-caches), parentKind
		}
		started, err := startNode(s.record, id, kind, s.received)
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, started)
		if kind == cacheKind {
			s.caches = append(s.caches, started)
		}
	}
	var list []discovery.Endpoint
	for _, started := range s.nodes {
		list = append(list, started.endpoint(routing.Ready))
	}
	s.journal.tell(discovery.Event{Endpoints: list, Complete: true})
	known := discovery.NewSnapshot(1, list, []string{"central"}, []string{"depot-cache", "parent", "origin"})
	if adjust != nil {
		adjust()
	}
	if s.director, err = startDirector(s, s.journal.listener.Addr().String(), known); err != nil {
		return err
	}
	s.record.line("the director listens at %s", s.director.address)
	return nil
}

// received records a request that a node received.
func (s *stage) received(asked command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commands = append(s.commands, asked)
}

// arrivals returns all requests that nodes received so far.
func (s *stage) arrivals() []command {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]command(nil), s.commands...)
}

// close ends everything and appends the director's log to the record.
func (s *stage) close() {
	s.director.close()
	for _, started := range s.nodes {
		started.close()
	}
	if s.journal != nil {
		s.journal.close()
	}
	if s.folder == "" {
		return
	}
	if log, err := os.Open(s.folder + "/director.log"); err == nil {
		for lines := bufio.NewScanner(log); lines.Scan(); {
			s.record.line("log of the director: %s", lines.Text())
		}
		log.Close()
	}
	os.RemoveAll(s.folder)
}

// clip returns a request for a part of a clip.
func clip(object, part, shard string) msgpack.Message {
	return msgpack.Message{Kind: msgpack.Request, Class: clipClass, Object: object, Part: part, Group: shard, Timeout: 6 * time.Second}
}

// load sends requests for clips at a steady pace over some connections, until stop is closed. A connection that the director
// ended is replaced. It returns all requests once their ends are known; a client gives a request up when its time is over.
func (s *stage) load(connections int, every time.Duration, stop <-chan struct{}, next func(i int) msgpack.Message) []*call {
	var calls []*call
	var waiting sync.WaitGroup
	clients := make([]*client, connections)
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			waiting.Wait()
			for _, c := range clients {
				if c != nil {
					c.close()
				}
			}
			return calls
		case <-ticker.C:
		}
		at := i % connections
		if clients[at] == nil || clients[at].hasEnded() {
			connected, err := connect(s.record, fmt.Sprintf("%d.%d", at, i), s.director.address)
			if err != nil {
				s.record.line("client %d: %v", at, err)
				continue
			}
			clients[at] = connected
		}
		c, message := clients[at], next(i)
		sent := c.send(message)
		calls = append(calls, sent)
		waiting.Go(func() {
			select {
			case <-sent.done:
			case <-time.After(message.Timeout + s.patience):
				c.giveUp(sent)
			}
		})
	}
}

// objectID returns the id of one of the objects of a case.
func objectID(i int) string { return fmt.Sprintf("7f3a9c21e0b4%04x", 0xd000+i) }

// steadyClips returns the requests of a steady load for parts of 40 clips.
func steadyClips(i int) msgpack.Message {
	return clip(objectID(i*7%40), fmt.Sprint(i/40%3), fmt.Sprint(i*7%40))
}

// recordEnds writes how the requests of a load ended.
func (s *stage) recordEnds(calls []*call) {
	ends := map[string]int{}
	for _, sent := range calls {
		select {
		case <-sent.done:
			ends[sent.outcome()]++
		default:
			ends["given up by the client"]++
		}
	}
	s.record.line("the load: %d requests, by end: %v", len(calls), ends)
}

// onTheWay is the longest time that a request may be on its way from the director to a node. The checks judge when requests
// arrived, and the rules speak of when they were sent.
const onTheWay = 100 * time.Millisecond
