package main

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// purgeAfterStall plays five pauses of the director. In each a group is purged and clients ask for objects of that group.
func purgeAfterStall(s *stage) (verdict, error) {
	const (
		class      = "venue-video"
		clients    = 8
		pauses     = 5
		firstGroup = 40
		pause      = 600 * time.Millisecond
		purgeAfter = 50 * time.Millisecond  // from the begin of the pause
		askAfter   = 100 * time.Millisecond // from the begin of the pause, and askEvery for each further client
		askEvery   = 60 * time.Millisecond
		between    = 3 * time.Second
		deadline   = 6 * time.Second
		grace      = 300*time.Millisecond + 50*time.Millisecond // of the settings, and of the rules on sockets
	)
	deployment := site{
		classes: []classSettings{
			{name: class, idempotency: "read_like", group: "all", aim: 400000, deadline: 6000000, window: 5000000, inParts: true},
			{name: "listing-page", idempotency: "read_like", group: "all", aim: 400000, deadline: 3000000, window: 5000000},
		},
		mayBypass: true, noteLevel: "hit", drainGrace: 500000, purgeGrace: 300000, sendCap: 6, duplicate: true, memoryMB: 64,
	}
	var result verdict
	if err := s.open(deployment, 0); err != nil {
		return result, err
	}
	viewers := make([]*client, clients)
	for i := range viewers {
		var err error
		if viewers[i], err = s.connect(fmt.Sprintf("viewer-%d", i)); err != nil {
			return result, err
		}
	}
	ask := func(viewer, round int) answer {
		fields := map[string]string{"i": s.newID(), "o": fmt.Sprintf("%016x", 0x5000+16*round+viewer), "n": "0",
			"shard": fmt.Sprint(firstGroup + round)}
		return viewers[viewer].request(class, fields, deadline)
	}
	type purge struct {
		stamp int64
		told  time.Time
	}
	purges := map[string]purge{} // by object
	for round := range pauses {
		for range 3 { // the caches hold the objects, and connections to them are up
			var asked sync.WaitGroup
			failed := make(chan string, clients)
			for viewer := range viewers {
				asked.Go(func() {
					if got := ask(viewer, round); got.kind != "served" {
						failed <- got.kind
					}
				})
			}
			asked.Wait()
			if len(failed) > 0 {
				return result, errors.New("a request before the pause was not served: " + <-failed)
			}
		}
		time.Sleep(200 * time.Millisecond)
		if s.opts.trouble {
			s.director.signal(syscall.SIGSTOP)
		}
		began := time.Now()
		time.Sleep(purgeAfter)
		stamp, told := s.journal.purgeGroup(uint16(firstGroup + round))
		var asked sync.WaitGroup
		for viewer := range viewers {
			purges[fmt.Sprintf("%016x", 0x5000+16*round+viewer)] = purge{stamp, told}
			time.Sleep(time.Until(began.Add(askAfter + time.Duration(viewer)*askEvery)))
			asked.Go(func() { ask(viewer, round) })
		}
		time.Sleep(time.Until(began.Add(pause)))
		if s.opts.trouble {
			s.director.signal(syscall.SIGCONT)
		}
		asked.Wait()
		time.Sleep(between)
	}
	for _, d := range s.farm.all() {
		purged, ok := purges[d.fields["k"]]
		if ok && d.status == "HIT" && d.copyFrom < purged.stamp && d.firstByte.After(purged.told.Add(grace)) {
			result.broken("request %s reached %s %d ms after the purge was told, without a limit on the age (agelim %q), and is answered "+
				"from a copy %d ms older than the purge", d.id, d.node.name, d.firstByte.Sub(purged.told).Milliseconds(),
				d.fields["agelim"], purged.stamp-d.copyFrom)
		}
	}
	return result, nil
}
