package main

import (
	"fmt"
	"sync"
	"time"
)

// slowJournal plays a journal service that needs a while until the first frame on each connection, and a drain.
func slowJournal(s *stage) (verdict, error) {
	const (
		class      = "manual-page"
		clients    = 4
		slow       = 1800 * time.Millisecond
		drainAfter = 3 * time.Second
		told       = 7 * time.Second                           // what the journal service tells counts as told by then
		grace      = time.Second + 50*time.Millisecond         // of the settings, and of the rules on sockets
		lasts      = drainAfter + told + grace + 5*time.Second // of the requests
		askEvery   = 100 * time.Millisecond
		deadline   = 2500 * time.Millisecond
		pages      = 400
	)
	deployment := site{
		classes: []classSettings{
			{name: class, idempotency: "read_like", group: "all", aim: 250000, deadline: 2500000, window: 3000000,
				fresh: 12000000, grace: 10000000},
		},
		noteLevel: "all", drainGrace: 1000000, purgeGrace: 1000000, sendCap: 8, memoryMB: 64,
	}
	var result verdict
	firstAfter := time.Duration(0)
	if s.opts.trouble {
		firstAfter = slow
	}
	if err := s.open(deployment, firstAfter); err != nil {
		return result, err
	}
	began := time.Now()
	var asking sync.WaitGroup
	for number := range clients {
		reader, err := s.connect(fmt.Sprintf("reader-%d", number))
		if err != nil {
			return result, err
		}
		asking.Go(func() {
			for page := number; time.Since(began) < lasts; page += clients {
				fields := map[string]string{"i": s.newID(), "o": fmt.Sprintf("%016x", 0x9000+page%pages), "n": "0", "shard": "7"}
				reader.request(class, fields, deadline)
				time.Sleep(askEvery)
			}
		})
	}
	time.Sleep(drainAfter)
	drained := s.caches[0]
	drainedAt := s.journal.drain(drained, 1, 0)
	asking.Wait()
	for _, d := range s.farm.all() {
		late := d.firstByte.Sub(drainedAt.Add(told + grace))
		if late > 0 && (d.node == drained || d.fields["next"] == drained.host()) {
			result.broken("request %s reached %s, which drains, %d ms after the drain was in the journal service", d.id, d.node.name,
				d.firstByte.Sub(drainedAt).Milliseconds())
		}
	}
	return result, nil
}
