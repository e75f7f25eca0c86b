package emulator

// This file checks the rules of the protocol from outside: the requests that machines receive, and the responses that
// clients receive.

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/routing"
	"indigochute.example/indigochute/internal/simulation"
)

const (
	maxViolations = 50          // listed; further ones are only counted
	drainGrace    = time.Second // from the announcement of a drain until directors must send nothing more
	// tolerance is added to every deadline that is checked, for the time that sockets and the machine take.
	tolerance = 50 * time.Millisecond
)

// ruleChecker collects violations of the rules. It is safe for concurrent use.
type ruleChecker struct {
	fleet *Fleet

	mu           sync.Mutex // guards the fields below
	violations   []string
	unlisted     int                  // violations past maxViolations
	unresolved   map[string]int       // attempts that may have been executed, by ID of a non-idempotent request
	drainedSince map[uint32]time.Time // time of the announcement, by machine
	purgedSince  map[uint64]time.Time // time of the announcement, by object
}

func newRuleChecker(fleet *Fleet) *ruleChecker {
	return &ruleChecker{
		fleet:        fleet,
		unresolved:   map[string]int{},
		drainedSince: map[uint32]time.Time{},
		purgedSince:  map[uint64]time.Time{},
	}
}

// violated records a violation.
func (r *ruleChecker) violated(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.violations) >= maxViolations {
		r.unlisted++
		return
	}
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// list returns the violations so far, followed by the number of those that are not listed, if any.
func (r *ruleChecker) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := append([]string{}, r.violations...)
	if r.unlisted > 0 {
		list = append(list, fmt.Sprintf("and %d more", r.unlisted))
	}
	return list
}

// attemptReceived checks an attempt that reached a machine. The source is the machine that a miss is filled from, 0 for
// none. Rule 2: a non-idempotent request must not be forwarded while an earlier attempt may have been executed. Rule 3:
// once the grace of a drain has passed, nothing is forwarded to the machine or filled from it.
func (r *ruleChecker) attemptReceived(machine, source uint32, requestID string, class int) {
	if r.isNonIdempotent(class) && r.addUnresolved(requestID) > 1 {
		r.violated("rule 2: non-replayable req %s was sent again though it may have run", requestID)
	}
	if drained, ok := r.findDrained(machine, source); ok {
		r.violated("rule 3: %s was asked or named as a source past the grace of its drain", r.fleet.servers[drained].machine.Name)
	}
}

// isNonIdempotent reports whether requests of the class must not be executed twice.
func (r *ruleChecker) isNonIdempotent(class int) bool {
	return r.fleet.description.Classes[class].RoutingEffect() == routing.NonIdempotent
}

// addUnresolved adds an attempt at a request. It returns how many attempts may have been executed, this one included.
func (r *ruleChecker) addUnresolved(requestID string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresolved[requestID]++
	return r.unresolved[requestID]
}

// findDrained returns the last of the machines whose drain was announced longer than the grace ago, or false if there is
// none.
func (r *ruleChecker) findDrained(machines ...uint32) (uint32, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range slices.Backward(machines) {
		if since, ok := r.drainedSince[id]; ok && time.Since(since) > drainGrace+tolerance {
			return id, true
		}
	}
	return 0, false
}

// attemptEnded records how an attempt ended. One that ended as a miss or a rejection was certainly not executed.
func (r *ruleChecker) attemptEnded(request *pendingRequest, status simulation.Status) {
	if !r.isNonIdempotent(request.class) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if status == simulation.Missing || status == simulation.Rejected {
		r.unresolved[request.requestID]--
	}
}

// drainAnnounced records that a machine is draining from now on.
func (r *ruleChecker) drainAnnounced(machine uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drainedSince[machine] = time.Now()
}

// purgeAnnounced records that copies of an object from before now are invalid.
func (r *ruleChecker) purgeAnnounced(object uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.purgedSince[object] = time.Now()
}

// checkBody checks a body that a client received. Rule 1: it is the complete body of the requested part. Rule 5: once the
// grace of a purge has passed, no copy from before the purge is served.
func (r *ruleChecker) checkBody(class int, object uint64, part uint32, body []byte) {
	if size := r.fleet.options.BodySize(class, object, part); len(body) != size {
		r.violated("rule 1: object %016x part %d: %d bytes of %d", object, part, len(body), size)
		return
	}
	header, ok := parseBody(body)
	if !ok {
		return
	}
	if header.object != object || header.part != part {
		r.violated("rule 1: object %016x part %d was answered with %016x part %d", object, part, header.object, header.part)
	}
	if !r.fleet.description.Classes[class].Write {
		r.checkPurge(object, time.UnixMilli(header.fetched))
	}
}

// checkPurge checks rule 5 for a copy that the origin sent at the given time.
func (r *ruleChecker) checkPurge(object uint64, fetched time.Time) {
	r.mu.Lock()
	purged, ok := r.purgedSince[object]
	r.mu.Unlock()
	grace := r.fleet.description.Directors.PurgeGrace.Duration()
	if ok && time.Since(purged) > grace+tolerance && fetched.Before(purged) {
		r.violated("rule 5: object %016x was answered with a copy from %v before its purge, %v after it", object,
			purged.Sub(fetched), time.Since(purged))
	}
}
