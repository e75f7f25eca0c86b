package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// unsafeRepeat plays one reset connection under a non-replayable request, where the settings allow requests to bypass the caches.
func unsafeRepeat(s *stage) (verdict, error) {
	const (
		safe, unsafe     = "venue-video", "listing-page"
		warmUps, pages   = 30, 40
		deadline         = 3 * time.Second
		resetPage        = 20 // the connection of this page's request is reset
		betweenRequests  = 50 * time.Millisecond
		videoDeadline    = 6 * time.Second
		microsecondsEach = 1000000
	)
	deployment := site{
		classes: []classSettings{
			{name: safe, idempotency: "read_like", group: "all", aim: 400000, deadline: 6 * microsecondsEach, window: 5 * microsecondsEach,
				inParts: true},
			{name: unsafe, idempotency: "non_idempotent", group: "all", aim: 400000, deadline: 3 * microsecondsEach,
				window: 5 * microsecondsEach},
		},
		mayBypass: true, noteLevel: "hit", drainGrace: 500000, purgeGrace: 300000, sendCap: 6, duplicate: true, memoryMB: 64,
	}
	var result verdict
	var mu sync.Mutex
	resetID := "" // id of the request whose connection is to be reset; empty: none
	s.farm.resetAfter = func(d *dispatch) bool {
		mu.Lock()
		defer mu.Unlock()
		reset := resetID != "" && d.id == resetID
		if reset {
			resetID = ""
		}
		return reset
	}
	if err := s.open(deployment, 0); err != nil {
		return result, err
	}
	viewer, err := s.connect("viewer")
	if err != nil {
		return result, err
	}
	for part := range warmUps {
		fields := map[string]string{"i": s.newID(), "o": fmt.Sprintf("%016x", 0x1000+part/10), "n": fmt.Sprint(part % 10), "shard": "3"}
		if got := viewer.request(safe, fields, videoDeadline); got.kind != "served" {
			return result, errors.New("a request before the disruption was not served")
		}
	}
	answers := map[string]string{}
	for page := range pages {
		id := s.newID()
		if s.opts.trouble && page == resetPage {
			mu.Lock()
			resetID = id
			mu.Unlock()
		}
		fields := map[string]string{"i": id, "o": fmt.Sprintf("%016x", 0x2000+page), "n": "0", "shard": "4"}
		answers[id] = viewer.request(unsafe, fields, deadline).kind
		time.Sleep(betweenRequests)
	}
	time.Sleep(deadline) // for a dispatch after the answer
	runs := map[string][]string{}
	for _, d := range s.farm.all() {
		if d.class() != unsafe {
			continue
		}
		if before := runs[d.id]; len(before) > 0 {
			result.broken("non-replayable request %s was dispatched to %s although it may have run at %v; its client was answered %s",
				d.id, d.node.name, before, answers[d.id])
		}
		if d.mayHaveRun() {
			runs[d.id] = append(runs[d.id], fmt.Sprintf("%s (%s)", d.node.name, d.status))
		}
	}
	for id, ran := range runs {
		if answers[id] == "Shed" {
			result.broken("non-replayable request %s was denied although it may have run at %v", id, ran)
		}
	}
	s.log.say("%d non-replayable requests were sent, %d ran", pages, len(runs))
	return result, nil
}
