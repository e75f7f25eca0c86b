package director

import (
	"time"

	"indigochute.example/indigochute/internal/discovery"
)

// This file estimates the journal service's clock from the stamps of its events.

// journalClock converts the journal's stamps, which are Unix milliseconds of the journal's own clock, into times since the
// director's start. It does not use the wall clock of this host, which may be wrong or stepped at any time.
//
// If an event with the stamp s arrived t after the start, the journal's clock showed s - t or later at the start. The origin is
// the latest of these values, so it is never later than the true value. A stamped event may therefore seem younger than it is,
// but never older: after a purge more copies count as too old, and a node counts as started later. The origin only moves
// forward, whenever an event arrives with less delay than all earlier ones. Times computed earlier are not corrected. The
// journal's stamps are trusted: a stamp far in the future makes correctly stamped events seem old.
//
// The director's mutex guards it.
type journalClock struct {
	origin time.Duration // the director's start, as the time since 1970 by the journal's clock; 0: no stamp has arrived yet
	starts map[uint32]nodeStart
}

// nodeStart is the listed start of a node and the time computed for it. Routing interprets a different time as a restart, so
// the computed time must not change while the stamp stays the same.
type nodeStart struct {
	startedUnix int64 // Unix milliseconds by the journal's clock
	at          time.Duration
}

// maxStamp is the latest valid stamp, in Unix milliseconds: two hundred years after 1970. A later stamp, or one before 1970,
// is invalid, and the event or start that has it is dated to the current time.
const maxStamp = int64(200*365*24*time.Hour) / int64(time.Millisecond)

// newJournalClock returns a clock that has received no stamps yet.
func newJournalClock() *journalClock { return &journalClock{starts: map[uint32]nodeStart{}} }

// unixTime returns a stamp as the time since 1970. ok is false if the stamp is not a valid time.
func unixTime(stamp int64) (since1970 time.Duration, ok bool) {
	return time.Duration(stamp) * time.Millisecond, stamp > 0 && stamp <= maxStamp
}

// updateOrigin updates the origin from the stamps of an event that has just arrived.
func (c *journalClock) updateOrigin(now time.Duration, event discovery.Event) {
	if event.Purge != nil {
		c.updateOriginFromStamp(now, event.Purge.StampUnix)
	}
	for _, listed := range event.Endpoints {
		c.updateOriginFromStamp(now, listed.StartedUnix)
	}
}

// updateOriginFromStamp moves the origin forward if the stamp proves that it is too early.
func (c *journalClock) updateOriginFromStamp(now time.Duration, stamp int64) {
	if at, ok := unixTime(stamp); ok {
		c.origin = max(c.origin, at-now)
	}
}

// since converts a stamp to the time since the director's start. The result is negative for times before the start, and never
// later than now.
func (c *journalClock) since(now time.Duration, stamp int64) time.Duration {
	at, ok := unixTime(stamp)
	if !ok {
		return now
	}
	return min(now, at-c.origin)
}

// startOf converts the stamp of a node's start to the time since the director's start. For one node, equal stamps give equal
// times and a later stamp gives a later time. The result is never 0, which means no start to routing.
func (c *journalClock) startOf(now time.Duration, id uint32, startedUnix int64) time.Duration {
	at, listed := c.since(now, startedUnix), c.starts[id]
	notZero := time.Duration(1) // replaces a result of 0, and keeps the order relative to the listed start
	switch {
	case listed.startedUnix == 0: // no start of this node was listed before
	case startedUnix == listed.startedUnix:
		return listed.at
	case startedUnix > listed.startedUnix:
		at = max(at, listed.at+1)
	default:
		at = min(at, listed.at-1)
		notZero = -1
	}
	if at == 0 {
		return notZero
	}
	return at
}

// noteStarts records the starts of the nodes that an event lists, and removes those of nodes that are gone.
func (c *journalClock) noteStarts(event discovery.Event, starts map[uint32]time.Duration) {
	if event.Complete {
		clear(c.starts)
	}
	for _, listed := range event.Endpoints {
		if at, ok := starts[listed.ID]; ok {
			c.starts[listed.ID] = nodeStart{startedUnix: listed.StartedUnix, at: at}
		} else {
			delete(c.starts, listed.ID)
		}
	}
}
