package main

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// copyTime returns the Unix millisecond at which the origin gave out the copy of an answer, as its body states it.
func copyTime(body string) int64 {
	_, rest, _ := strings.Cut(body, "t0=")
	number, _, _ := strings.Cut(rest, " ")
	at, _ := strconv.ParseInt(number, 10, 64)
	return at
}

// foreignGroup plays a client whose group of an object is no number, then a purge of the group of that object.
func foreignGroup(s *stage) (verdict, error) {
	const (
		class      = "repair-clip"
		group      = 17
		objects    = 5
		deadline   = 6 * time.Second
		grace      = time.Second + 50*time.Millisecond // of the settings, and of the rules on sockets
		settles    = 6 * time.Second
		askedEvery = 300 * time.Millisecond
	)
	deployment := site{
		classes: []classSettings{
			{name: class, idempotency: "read_like", group: "all", aim: 500000, deadline: 6000000, window: 3000000, inParts: true},
			{name: "manual-page", idempotency: "read_like", group: "all", aim: 250000, deadline: 2500000, window: 3000000,
				fresh: 12000000, grace: 10000000},
			{name: "job-log", idempotency: "idempotency_key", group: "all", aim: 600000, deadline: 3000000, window: 3000000, write: true},
		},
		noteLevel: "all", drainGrace: 1000000, purgeGrace: 1000000, sendCap: 8, memoryMB: 64,
	}
	var result verdict
	if err := s.open(deployment, 0); err != nil {
		return result, err
	}
	name := func(object int) string { return fmt.Sprintf("%016x", 0x7f3a00+object) }
	if s.opts.trouble {
		stranger, err := s.connect("stranger")
		if err != nil {
			return result, err
		}
		for object := range objects {
			stranger.request(class, map[string]string{"i": s.newID(), "o": name(object), "n": "0", "shard": ""}, deadline)
		}
		stranger.end()
	}
	reader, err := s.connect("reader")
	if err != nil {
		return result, err
	}
	read := func(object int) answer {
		fields := map[string]string{"i": s.newID(), "o": name(object), "n": "0", "shard": fmt.Sprint(group)}
		return reader.request(class, fields, deadline)
	}
	for range 2 {
		for object := range objects {
			if got := read(object); got.kind != "served" {
				return result, errors.New("a request before the purge was not served")
			}
		}
	}
	time.Sleep(100 * time.Millisecond)
	stamp, told := s.journal.purgeGroup(group)
	for time.Since(told) < settles-time.Second {
		time.Sleep(askedEvery)
		for object := range objects {
			sent := time.Now()
			got := read(object)
			if from := copyTime(got.body); got.kind == "served" && from < stamp && sent.After(told.Add(grace)) {
				result.broken("object %s, sent %d ms after the purge was told, is answered from a copy %d ms older than the purge",
					name(object), sent.Sub(told).Milliseconds(), stamp-from)
			}
		}
	}
	return result, nil
}
