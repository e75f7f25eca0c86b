package hollow

// This file holds the checker of a host. It stores all events that any director has accepted. Each event has an index, which
// represents the event in bitmaps.

import (
	"strings"
	"sync"
	"time"
)

// Bounds on the memory of a checker. An event past a bound is counted as unchecked.
const (
	maxEvents           = 1 << 20 // accepted by any director
	maxKeys             = 8192    // names of jobs
	maxIncarnations     = 1024    // of origins, for each director
	maxWindows          = 64
	maxListedViolations = 4  // of each director
	maxListed           = 64 // entries in each list of missing events, lags and directors without events
)

// Checker compares the events that each of many directors accepts with those that all should have. Every event must be
// accepted once, none after a newer one of its key, and all of them by all directors. The checker reads the events themselves
// and does not depend on how they are delivered. Its methods are safe for concurrent use.
type Checker struct {
	mu           sync.Mutex // guards all fields, and those of observers
	events       []checkedEvent
	indexes      map[eventID]int32 // into events
	keys         map[string]int32  // indexes into names, by name
	names        []string          // of the jobs, with their prefix
	completeKeys []bool            // by key: all its events are retained, so that all directors should have all of them
	observers    map[string]*Observer
	windows      []*window
	unchecked    int
}

// eventID identifies a trial event, or the health report of a run.
type eventID struct {
	key        int32 // index into Checker.names
	token, run uint64
}

// checkedEvent is an event that some director accepted.
type checkedEvent struct {
	id        eventID
	published int64 // Unix nanoseconds; 0 if unknown
}

// NewChecker returns a checker without events and with a first window.
func NewChecker() *Checker {
	c := &Checker{indexes: map[eventID]int32{}, keys: map[string]int32{}, observers: map[string]*Observer{}}
	c.BeginWindow("start", time.Now())
	return c
}

// Observer returns the observer of a director. It creates the observer at first use.
func (c *Checker) Observer(name string) *Observer {
	c.mu.Lock()
	defer c.mu.Unlock()
	o := c.observers[name]
	if o == nil {
		o = &Observer{checker: c, name: name, newest: map[int32]newestEvent{}, numbers: map[incarnation]uint64{}}
		c.observers[name] = o
	}
	return o
}

// Unchecked returns the number of events that were accepted but not checked, because a bound of the checker was reached.
func (c *Checker) Unchecked() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unchecked
}

// indexOf returns the index of an event, which is assigned at first use. It returns false if a bound is reached. The caller
// holds c.mu.
func (c *Checker) indexOf(info *eventInfo) (index int32, ok bool) {
	key, ok := c.keyOf(info)
	if !ok {
		return 0, false
	}
	id := eventID{key, info.token, info.run}
	if index, ok := c.indexes[id]; ok {
		return index, true
	}
	if len(c.events) >= maxEvents {
		return 0, false
	}
	index = int32(len(c.events))
	c.indexes[id] = index
	c.events = append(c.events, checkedEvent{id, info.published})
	return index, true
}

// keyOf returns the index of an event's key, which is assigned at first use. It returns false if there are maxKeys already. The
// caller holds c.mu.
func (c *Checker) keyOf(info *eventInfo) (key int32, ok bool) {
	if key, ok := c.keys[info.name]; ok {
		return key, true
	}
	if len(c.names) >= maxKeys {
		return 0, false
	}
	key = int32(len(c.names))
	name := strings.Clone(info.name) // the original would keep the complete message in memory
	c.keys[name] = key
	c.names = append(c.names, name)
	c.completeKeys = append(c.completeKeys, info.complete)
	return key, true
}
