package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// platform watches the memory of the director's process and kills the process once it is over the limit, as the platform does.
type platform struct {
	director *process
	limitKB  int
	stop     chan struct{}
	done     chan struct{}

	peakKB int       // highest anonymous resident memory seen; valid once done is closed
	killed time.Time // zero: not killed
}

// watch starts a platform.
func watch(director *process, limitKB int) *platform {
	p := &platform{director: director, limitKB: limitKB, stop: make(chan struct{}), done: make(chan struct{})}
	go p.run()
	return p
}

// run looks at the memory each millisecond until it is stopped or has killed the director. It counts the private memory alone,
// without the pages of the program's file.
func (p *platform) run() {
	defer close(p.done)
	path := fmt.Sprintf("/proc/%d/status", p.director.command.Process.Pid)
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(time.Millisecond):
		}
		raw, err := os.ReadFile(path)
		if err != nil {
			return
		}
		p.peakKB = max(p.peakKB, anonymousKB(string(raw)))
		if p.peakKB > p.limitKB {
			p.killed = time.Now()
			p.director.log.add("platform: the director holds %d kB, over its limit of %d kB", p.peakKB, p.limitKB)
			p.director.signal(syscall.SIGKILL)
			return
		}
	}
}

// anonymousKB returns the anonymous resident memory in the status of a process.
func anonymousKB(status string) int {
	_, rest, _ := strings.Cut(status, "RssAnon:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	size, _ := strconv.Atoi(fields[0])
	return size
}

// memoryOfUnadmitted plays clients that send hundreds of requests at once, beside usual clients.
func memoryOfUnadmitted(s *stage) (verdict, error) {
	const (
		class, write = "manual-page", "job-log"
		memoryMB     = 32
		readers      = 4
		bad          = 40
		atOnce       = 200
		bodyBytes    = 48000
		rounds       = 8
		quiet        = time.Second
		between      = time.Second
		askEvery     = 100 * time.Millisecond
		deadline     = 2500 * time.Millisecond
	)
	deployment := site{
		classes: []classSettings{
			{name: class, idempotency: "read_like", group: "all", aim: 250000, deadline: 2500000, window: 3000000,
				fresh: 12000000, grace: 10000000},
			{name: write, idempotency: "idempotency_key", group: "all", aim: 600000, deadline: 3000000, window: 3000000, write: true},
		},
		noteLevel: "all", drainGrace: 1000000, purgeGrace: 1000000, sendCap: 8, memoryMB: memoryMB,
	}
	var result verdict
	if err := s.open(deployment, 0); err != nil {
		return result, err
	}
	watched := watch(s.director, memoryMB<<10)
	var mu sync.Mutex
	asked, unanswered := 0, 0
	var asking sync.WaitGroup
	end := time.Now().Add(quiet + rounds*between)
	for number := range readers {
		reader, err := s.connect(fmt.Sprintf("reader-%d", number))
		if err != nil {
			return result, err
		}
		asking.Go(func() {
			for page := number; time.Now().Before(end) && s.director.stillRuns() == nil; page += readers {
				fields := map[string]string{"i": s.newID(), "o": fmt.Sprintf("%016x", 0x9000+page%100), "n": "0", "shard": "7"}
				got := reader.request(class, fields, deadline)
				mu.Lock()
				asked++
				if got.kind == "unanswered" {
					unanswered++
				}
				mu.Unlock()
				time.Sleep(askEvery)
			}
		})
	}
	time.Sleep(quiet)
	if s.opts.trouble {
		s.sendAtOnce(write, bad, atOnce, rounds, between, make([]byte, bodyBytes))
	}
	asking.Wait()
	close(watched.stop)
	<-watched.done
	s.log.say("the director held %d kB at most, its limit is %d kB", watched.peakKB, watched.limitKB)
	s.log.say("usual clients: %d requests, %d unanswered", asked, unanswered)
	if !watched.killed.IsZero() {
		result.broken("the director went over its memory of %d MB and was killed; %d requests of usual clients were open then",
			memoryMB, unanswered)
	}
	return result, nil
}

// sendAtOnce lets bad clients send many requests at once, and the same again in each round. They read what they are sent.
func (s *stage) sendAtOnce(class string, clients, atOnce, rounds int, between time.Duration, body []byte) {
	var senders []*client
	for number := range clients {
		sender, err := s.connect(fmt.Sprintf("bad-%d", number))
		if err != nil {
			s.log.add("a bad client could not connect: %v", err)
			continue
		}
		senders = append(senders, sender)
	}
	for round := range rounds {
		if s.director.stillRuns() != nil {
			break
		}
		s.log.add("round %d: %d clients send %d requests of %d bytes each at once", round, len(senders), atOnce, len(body))
		var sending sync.WaitGroup
		for _, sender := range senders {
			sending.Go(func() {
				for range atOnce {
					fields := map[string]string{"i": s.newID(), "k": s.newID() + s.newID(), "o": s.newID(), "n": "0", "shard": "1", "d": "3000"}
					sender.send(func(id uint32) []byte { return requestMessage(id, class, fields, body) })
				}
			})
		}
		sending.Wait()
		time.Sleep(between)
	}
	for _, sender := range senders {
		sender.end()
	}
}
