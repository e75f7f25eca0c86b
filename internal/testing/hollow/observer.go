package hollow

// This file checks the events that one director accepts, in the order in which it accepts them.

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"indigochute.example/indigochute/internal/changefeed"
)

// Tally counts the events that directors accepted, and those of them that should not have been accepted.
type Tally struct {
	Accepted           int `json:"taken"`
	Duplicates         int `json:"doubled"`    // accepted before
	Stale              int `json:"stale"`      // accepted after a newer event of the same key
	StaleAcrossOrigins int `json:"crossed"`    // the part of Stale for which the newer event came from another origin
	OutOfOrder         int `json:"disordered"` // numbered no higher than an event accepted before of the same origin and epoch
	Unreadable         int `json:"unread"`     // neither a trial event nor a health report
}

// add adds the counts of another tally.
func (t *Tally) add(other Tally) {
	t.Accepted += other.Accepted
	t.Duplicates += other.Duplicates
	t.Stale += other.Stale
	t.StaleAcrossOrigins += other.StaleAcrossOrigins
	t.OutOfOrder += other.OutOfOrder
	t.Unreadable += other.Unreadable
}

// violations returns how many events should not have been accepted.
func (t *Tally) violations() int { return t.Duplicates + t.Stale + t.OutOfOrder + t.Unreadable }

// Observer checks the events that one director accepts. Its checker's lock guards all fields.
type Observer struct {
	checker    *Checker
	name       string
	accepted   bitmap                 // of events, by index
	newest     map[int32]newestEvent  // by key, for keys of which only the newest event is retained
	numbers    map[incarnation]uint64 // highest number accepted, by incarnation of an origin
	tally      Tally
	violations []string // the first maxListedViolations
}

// newestEvent is the newest event of a key that a director has accepted.
type newestEvent struct {
	token, run uint64
	origin     string
}

// newer reports whether the event is newer than another of the same key: it has a higher fencing token, or the same fencing
// token and a higher run.
func (e newestEvent) newer(other newestEvent) bool {
	if e.token != other.token {
		return e.token > other.token
	}
	return e.run > other.run
}

// Accept checks an event that the director accepts at the given time.
func (o *Observer) Accept(event *changefeed.Event, now time.Time) {
	info, readable := readEvent(event)
	o.checker.mu.Lock()
	defer o.checker.mu.Unlock()
	o.tally.Accepted++
	o.checkOrder(event)
	if !readable {
		o.tally.Unreadable++
		o.addViolation("unreadable: number %d of %s/%d, key %q, %d bytes", event.Number, event.Origin, event.Epoch, event.Key,
			len(event.Payload))
		return
	}
	if info.published != 0 {
		windows := o.checker.windows
		windows[len(windows)-1].add(now, info.published)
	}
	index, ok := o.checker.indexOf(&info)
	if !ok {
		o.checker.unchecked++
		return
	}
	if o.accepted.has(index) {
		o.tally.Duplicates++
		o.addViolation("duplicate: number %d of %s/%d, key %q, run %d with fencing token %d", event.Number, event.Origin,
			event.Epoch, event.Key, info.run, info.token)
		return
	}
	o.accepted.set(index)
	if !info.complete {
		o.checkNewest(event, &info, o.checker.events[index].id.key)
	}
}

// checkOrder checks that the number of an event is higher than all earlier ones of the same incarnation of its origin. The
// caller holds the checker's lock.
func (o *Observer) checkOrder(event *changefeed.Event) {
	source := incarnation{event.Origin, event.Epoch}
	last, known := o.numbers[source]
	switch {
	case known && event.Number <= last:
		o.tally.OutOfOrder++
		o.addViolation("out of order: number %d of %s/%d after %d", event.Number, event.Origin, event.Epoch, last)
		return
	case !known && len(o.numbers) >= maxIncarnations:
		o.checker.unchecked++
		return
	case !known:
		source.origin = strings.Clone(source.origin) // the original would keep the complete message in memory
	}
	o.numbers[source] = event.Number
}

// checkNewest checks that an event is not older than those accepted before. The key is one of which only the newest event is
// retained. The caller holds the checker's lock.
func (o *Observer) checkNewest(event *changefeed.Event, info *eventInfo, key int32) {
	current := newestEvent{info.token, info.run, event.Origin}
	if last, known := o.newest[key]; known && last.newer(current) {
		o.tally.Stale++
		if last.origin != event.Origin {
			o.tally.StaleAcrossOrigins++
		}
		o.addViolation("stale: key %q, run %d with fencing token %d of %s after run %d with fencing token %d of %s", event.Key, info.run,
			info.token, event.Origin, last.run, last.token, last.origin)
		return
	}
	o.newest[key] = current
}

// addViolation lists a violation, unless maxListedViolations are listed already. The caller holds the checker's lock.
func (o *Observer) addViolation(format string, args ...any) {
	if len(o.violations) < maxListedViolations {
		o.violations = append(o.violations, fmt.Sprintf(format, args...))
	}
}

// Tally returns the counts of the director, and its first violations.
func (o *Observer) Tally() (Tally, []string) {
	o.checker.mu.Lock()
	defer o.checker.mu.Unlock()
	return o.tally, slices.Clone(o.violations)
}
