package director

import (
	"time"

	"indigochute.example/indigochute/internal/routing"
)

const (
	unresolvedIDTime = 10 * time.Second // longer than any request whose execution may still go on
	maxUnresolvedIDs = 1024
)

// unresolvedIDs holds the ids of requests that a node may have executed, that must not be executed twice, and whose client left before
// its answer. If such an id comes again, nothing shows whether the first one was executed. The director's mutex guards it.
type unresolvedIDs struct {
	until map[string]time.Duration // by id, in time since the director's start
	order []string                 // the keys of until, the oldest first
}

// newUnresolvedIDs returns an empty set.
func newUnresolvedIDs() unresolvedIDs { return unresolvedIDs{until: map[string]time.Duration{}} }

// add adds an id for unresolvedIDTime. Over maxUnresolvedIDs the oldest one is dropped.
func (u *unresolvedIDs) add(now time.Duration, id string) {
	u.expire(now)
	if _, known := u.until[id]; known {
		return
	}
	if len(u.order) >= maxUnresolvedIDs {
		u.dropOldest()
	}
	u.until[id] = now + unresolvedIDTime
	u.order = append(u.order, id)
}

// contains returns whether an id is in the set.
func (u *unresolvedIDs) contains(now time.Duration, id string) bool {
	until, known := u.until[id]
	return known && now < until
}

// expire drops the ids whose time has passed.
func (u *unresolvedIDs) expire(now time.Duration) {
	for len(u.order) > 0 && u.until[u.order[0]] <= now {
		u.dropOldest()
	}
}

// dropOldest drops the id that was added first.
func (u *unresolvedIDs) dropOldest() {
	delete(u.until, u.order[0])
	u.order = u.order[1:]
}

// isUnresolved returns whether a node may have executed the request, it must not be executed twice, and its client has left.
func (r *request) isUnresolved() bool {
	if r.state != requestClientGone || r.director.config.Settings.Classes[r.routed.Class].Effect == routing.Idempotent {
		return false
	}
	for _, attempt := range r.attempts {
		if !attempt.ending.result().NeverExecuted() {
			return true
		}
	}
	return false
}
