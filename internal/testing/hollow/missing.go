package hollow

// This file compares the events of all directors and lists those that some directors lack.

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// TimeRange is a range of publishing times, in Unix nanoseconds. A bound of 0 is open.
type TimeRange struct {
	From  int64 `json:"from_ns"`
	Until int64 `json:"until_ns"` // exclusive
}

// contains reports whether an event that was published at a time is in the range.
func (r TimeRange) contains(published int64) bool {
	return published >= r.From && (r.Until == 0 || published < r.Until)
}

// Missing lists the events that some directors have and others lack. It distinguishes two kinds of keys: all directors should
// have all events of a complete key, and the newest event of any other key.
type Missing struct {
	Events        int            `json:"notes"`     // events of complete keys that any director accepted
	Incomplete    int            `json:"short"`     // the part of Events that some director lacks
	Pairs         int            `json:"pairs"`     // pairs of a director and one of the Events that it lacks
	Behind        int            `json:"behind"`    // pairs of a director and another key whose newest event it lacks
	Directors     int            `json:"directors"` // directors that lack anything
	List          []MissingEvent `json:"list"`      // the first of Pairs and Behind
	Digest        string         `json:"digest"`    // of all Events; equal for two hosts that accepted the same ones
	Unchecked     int            `json:"unchecked"` // accepted events that were not checked
	WithoutEvents []string       `json:"without"`   // the first directors that accepted no event at all
}

// MissingEvent is an event that a director lacks.
type MissingEvent struct {
	Director     string `json:"director"`
	Key          string `json:"key"`
	FencingToken uint64 `json:"fence"`
	Run          uint64 `json:"run"`
	PublishedAt  int64  `json:"published_ns"` // Unix nanoseconds; 0 if unknown
}

// eventComparison collects the missing events. Its methods are called under the checker's lock.
type eventComparison struct {
	checker   *Checker
	observers []*Observer        // in the order of names
	lacking   map[*Observer]bool // observers whose director lacks an event
	missing   Missing
}

// Missing compares the events that directors accepted, out of those published in a time range. It holds the checker's lock, so
// directors that accept an event wait for it.
func (c *Checker) Missing(published TimeRange) Missing {
	c.mu.Lock()
	defer c.mu.Unlock()
	byName := func(a, b *Observer) int { return cmp.Compare(a.name, b.name) }
	comparison := eventComparison{
		checker:   c,
		observers: slices.SortedFunc(maps.Values(c.observers), byName),
		lacking:   map[*Observer]bool{},
		missing:   Missing{Unchecked: c.unchecked, List: []MissingEvent{}, WithoutEvents: []string{}},
	}
	comparison.findMissing(published)
	for key, complete := range c.completeKeys {
		if !complete {
			comparison.findBehind(int32(key))
		}
	}
	comparison.findWithoutEvents()
	comparison.missing.Directors = len(comparison.lacking)
	return comparison.missing
}

// findMissing finds the events of complete keys that some directors lack.
func (c *eventComparison) findMissing(published TimeRange) {
	var digest uint64
	acceptedByAll := intersection(c.observers, len(c.checker.events))
	for i, event := range c.checker.events {
		if !c.checker.completeKeys[event.id.key] || !published.contains(event.published) {
			continue
		}
		index := int32(i)
		c.missing.Events++
		digest ^= c.checker.digestOf(event.id)
		if acceptedByAll.has(index) {
			continue
		}
		c.missing.Incomplete++
		for _, o := range c.observers {
			if !o.accepted.has(index) {
				c.missing.Pairs++
				c.addMissing(o, event.id, event.published)
			}
		}
	}
	c.missing.Digest = strconv.FormatUint(digest, 16)
}

// findBehind finds the directors that lack the newest event of a key.
func (c *eventComparison) findBehind(key int32) {
	var newest newestEvent
	for _, o := range c.observers {
		if own := o.newest[key]; own.newer(newest) {
			newest = own
		}
	}
	for _, o := range c.observers {
		if newest.newer(o.newest[key]) {
			c.missing.Behind++
			c.addMissing(o, eventID{key, newest.token, newest.run}, 0)
		}
	}
}

// findWithoutEvents lists the directors that accepted no event at all.
func (c *eventComparison) findWithoutEvents() {
	for _, o := range c.observers {
		if o.tally.Accepted == 0 && len(c.missing.WithoutEvents) < maxListed {
			c.missing.WithoutEvents = append(c.missing.WithoutEvents, o.name)
		}
	}
}

// addMissing records that a director lacks an event.
func (c *eventComparison) addMissing(o *Observer, id eventID, published int64) {
	c.lacking[o] = true
	if len(c.missing.List) < maxListed {
		c.missing.List = append(c.missing.List, MissingEvent{o.name, c.checker.names[id.key], id.token, id.run, published})
	}
}

// digestOf returns the digest of an event. The digest of a set is the XOR of those of its events, so it does not depend on
// their order.
func (c *Checker) digestOf(id eventID) uint64 {
	numbers := binary.BigEndian.AppendUint64(nil, id.token)
	numbers = binary.BigEndian.AppendUint64(numbers, id.run)
	hash := xxhash.New()
	hash.WriteString(c.names[id.key])
	hash.Write(numbers)
	return hash.Sum64()
}
