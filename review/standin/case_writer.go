package main

import (
	"errors"
	"fmt"
	"time"
)

// slowWriter plays clients, one after another, that write a request slowly while another request is open on the same connection.
func slowWriter(s *stage) (verdict, error) {
	const (
		clip, write  = "repair-clip", "job-log"
		clients      = 5
		clipTakes    = 2600 * time.Millisecond // at the cache
		writeTakes   = 2300 * time.Millisecond // from the first byte of the write to its last
		pieces       = 46
		bodyBytes    = 46000
		clipDeadline = 6 * time.Second
		deadline     = 3 * time.Second
	)
	deployment := site{
		classes: []classSettings{
			{name: clip, idempotency: "read_like", group: "all", aim: 500000, deadline: 6000000, window: 3000000, inParts: true},
			{name: write, idempotency: "idempotency_key", group: "all", aim: 600000, deadline: 3000000, window: 3000000, write: true},
		},
		noteLevel: "all", drainGrace: 1000000, purgeGrace: 1000000, sendCap: 8, memoryMB: 64,
	}
	var result verdict
	s.farm.workFor = func(d *dispatch) time.Duration {
		if d.class() == clip && d.fields["p"] == "1" {
			return clipTakes
		}
		return workTime
	}
	if err := s.open(deployment, 0); err != nil {
		return result, err
	}
	for number := range clients {
		c, err := s.connect(fmt.Sprintf("technician-%d", number))
		if err != nil {
			return result, err
		}
		fields := func(part string, deadline time.Duration) map[string]string {
			return map[string]string{"i": s.newID(), "o": fmt.Sprintf("%016x", 0x6000+number), "n": part, "shard": "5",
				"d": fmt.Sprint(deadline.Milliseconds())}
		}
		if got := c.request(clip, fields("0", clipDeadline), clipDeadline); got.kind != "served" {
			return result, errors.New("a request before the disruption was not served")
		}
		first := c.begin(clip, fields("1", clipDeadline), nil, 1, 0)
		log := fields("0", deadline)
		log["k"] = s.newID() + s.newID()
		takes, writes := writeTakes, pieces
		if !s.opts.trouble {
			takes, writes = 0, 1
		}
		second := c.begin(write, log, make([]byte, bodyBytes), writes, takes)
		time.Sleep(writeTakes - takes)
		third := c.begin(clip, fields("2", clipDeadline), nil, 1, 0)
		for _, sent := range []*sentRequest{first, second, third} {
			got := c.wait(sent.message, sent.waiting, clipDeadline)
			s.log.add("client %s gets %s for %s at %s", c.name, got.kind, sent.id, s.log.at(got.at))
			if got.kind == "unanswered" && sent.whole {
				result.broken("%s: the last byte of %s %s was written at %s ms, and the connection ended at %s ms without an answer", c.name,
					sent.class, sent.id, s.log.at(sent.lastByte), s.log.at(got.at))
			}
		}
		c.end()
	}
	return result, nil
}

// sentRequest is a request that a client has written, at least in part.
type sentRequest struct {
	id, class string
	message   uint32
	waiting   chan answer
	whole     bool // its last byte was written, and the client had not seen the end of the connection before
	lastByte  time.Time
}

// begin writes a request in equal pieces over a time.
func (c *client) begin(class string, fields map[string]string, body []byte, pieces int, takes time.Duration) *sentRequest {
	c.mu.Lock()
	c.lastID++
	sent := &sentRequest{id: fields["i"], class: class, message: c.lastID, waiting: make(chan answer, 1)}
	if !c.ended {
		c.open[sent.message] = sent.waiting
	}
	c.mu.Unlock()
	c.log.add("client %s begins to write %s %v", c.name, class, fields)
	raw := requestMessage(sent.message, class, fields, body)
	size := (len(raw) + pieces - 1) / pieces
	began := time.Now()
	for piece := 0; len(raw) > 0; piece++ {
		if pieces > 1 {
			time.Sleep(time.Until(began.Add(takes * time.Duration(piece) / time.Duration(pieces-1))))
		}
		n := min(size, len(raw))
		if _, err := c.socket.Write(raw[:n]); err != nil {
			c.log.add("client %s cannot go on writing: %v", c.name, err)
			return sent
		}
		raw = raw[n:]
	}
	sent.lastByte = time.Now()
	c.mu.Lock()
	sent.whole = !c.ended
	c.mu.Unlock()
	c.log.add("client %s has written %s", c.name, sent.id)
	return sent
}
