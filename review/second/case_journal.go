package main

import (
	"fmt"
	"time"

	"indigochute.example/indigochute/internal/discovery"
	"indigochute.example/indigochute/internal/msgpack"
	"indigochute.example/indigochute/internal/routing"
)

// onTheWay is the longest time that a request may be on its way from the director to a node. The checks judge when requests
// arrived, and the rules speak of when they were sent.
const onTheWay = 100 * time.Millisecond

// crowdedFor is how long a connection to the crowded journal service waits for its first frame.
const crowdedFor = 2 * time.Second

// slowJournal plays a journal service that is crowded: each new connection gets its first frame after crowdedFor, and all further
// ones in time. A cache begins to drain. The rule on drains binds once the news count as told.
func slowJournal(s *stage) (broken []string, err error) {
	err = s.setUp(4, func() {
		if s.trouble {
			s.journal.firstFrameAfter = crowdedFor
		}
	})
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	calls := make(chan []*call)
	go func() { calls <- s.load(4, 25*time.Millisecond, stop, steadyClips) }()
	time.Sleep(3 * time.Second)
	drained := s.caches[0]
	toldAt := s.tellDrain(drained)
	time.Sleep(toldWithin + drainGrace + 6*time.Second)
	close(stop)
	return s.sendsToDrained(<-calls, drained, toldAt)
}

// steadyClips returns the requests of a steady load for parts of 40 clips.
func steadyClips(i int) msgpack.Message {
	return clip(objectID(i*7%40), fmt.Sprint(i/40%3), fmt.Sprint(i*7%40))
}

// tellDrain makes a node drain in the journal service, and returns when that was.
func (s *stage) tellDrain(drained *node) time.Time {
	at := s.journal.tell(discovery.Event{Endpoints: []discovery.Endpoint{drained.endpoint(routing.Draining)}})
	s.record.lineAt(at, "journal: node %s begins to drain", drained.name())
	return at
}

// sendsToDrained returns the requests that reached a node, or named it as the source of a fill, although its drain had counted as
// told for longer than the grace. It returns an error if the load was not served before.
func (s *stage) sendsToDrained(calls []*call, drained *node, toldAt time.Time) (broken []string, err error) {
	limit := toldAt.Add(toldWithin + drainGrace + slack + onTheWay)
	s.record.line("requests at node %s from %s on break the rule", drained.name(), s.record.since(limit))
	before := 0
	for _, asked := range s.arrivals() {
		if asked.node != drained && asked.Source != drained.name() {
			continue
		}
		if asked.at.Before(toldAt) {
			before++
		}
		if asked.at.After(limit) {
			broken = append(broken, fmt.Sprintf("request %s reached node %s at %s, %.3f s after the drain was in the journal service",
				asked.ID, asked.node.name(), s.record.since(asked.at), asked.at.Sub(toldAt).Seconds()))
		}
	}
	s.recordEnds(calls)
	if before == 0 {
		return broken, fmt.Errorf("no request reached node %s before its drain", drained.name())
	}
	return broken, nil
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
