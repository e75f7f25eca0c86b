package hollow

// This file parses the identity and the publishing time of trial events and health reports.

import (
	"encoding/binary"
	"strconv"
	"strings"

	"indigochute.example/indigochute/internal/changefeed"
	"indigochute.example/indigochute/internal/lease"
)

// Prefixes of keys.
const (
	trialPrefix  = "note/"
	healthPrefix = "news/"
)

// Offsets in the payload of a trial event, which begins with three big-endian numbers of 8 bytes. The rest is padding.
const (
	publishedOffset  = 0 // Unix nanoseconds
	runOffset        = 8
	tokenOffset      = 16
	trialHeaderBytes = 24
)

// eventInfo identifies an event.
type eventInfo struct {
	name       string // prefix and name of its job
	complete   bool   // every event of the job is retained, not only the newest
	token, run uint64
	published  int64 // Unix nanoseconds; 0 if unknown
}

// readEvent parses an event. It returns false unless key and payload are those of a trial event or a health report. The key of
// a trial event ends with its fencing token and run if every event of its job is retained.
func readEvent(event *changefeed.Event) (info eventInfo, ok bool) {
	if strings.HasPrefix(event.Key, healthPrefix) {
		report, err := lease.ParseHealthReport(event.Payload)
		info = eventInfo{name: event.Key, token: report.Fence, run: report.Run}
		return info, err == nil && healthPrefix+report.Duty == event.Key
	}
	if !strings.HasPrefix(event.Key, trialPrefix) || len(event.Payload) < trialHeaderBytes {
		return info, false
	}
	info = eventInfo{
		name:      event.Key,
		published: int64(binary.BigEndian.Uint64(event.Payload[publishedOffset:])),
		run:       binary.BigEndian.Uint64(event.Payload[runOffset:]),
		token:     binary.BigEndian.Uint64(event.Payload[tokenOffset:]),
	}
	rest, run, hasRun := cutNumber(event.Key)
	name, token, hasToken := cutNumber(rest)
	if !hasRun || !hasToken {
		return info, true
	}
	info.name, info.complete = name, true
	return info, token == info.token && run == info.run && len(name) > len(trialPrefix)
}

// cutNumber splits a key at its last slash, after which there is a number. It returns false if there is none.
func cutNumber(key string) (rest string, number uint64, ok bool) {
	at := strings.LastIndexByte(key, '/')
	if at < 0 {
		return key, 0, false
	}
	number, err := strconv.ParseUint(key[at+1:], 10, 64)
	return key[:at], number, err == nil
}
