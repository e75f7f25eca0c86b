package routing

// Freshness: how old a served copy may be, and the priority with which a cache retains it.
//
// It decides the maximum age and the cache priority of each attempt. It applies to every attempt and on every purge. It guards
// against answers that predate a purge, and against objects requested only once that evict copies at their home.

import (
	"maps"
	"math"
	"time"
)

// purgeMargin is added to Settings.PurgeRetention to get the time for which a purge is remembered.
const purgeMargin = time.Second

// longAgo is the time of a purge that never happened, before any time of a real one.
const longAgo = time.Duration(math.MinInt64 / 2)

// purgeTable holds the time of the latest purge of each object and each group. The time of a purge before the director's start
// is negative.
type purgeTable struct {
	objectPurges    map[uint64]time.Duration
	groupPurges     map[uint32]time.Duration
	lastOfAllGroups time.Duration // the latest purge of any group, or longAgo
}

// newPurgeTable returns a table without purges.
func newPurgeTable() purgeTable {
	return purgeTable{
		objectPurges:    map[uint64]time.Duration{},
		groupPurges:     map[uint32]time.Duration{},
		lastOfAllGroups: longAgo,
	}
}

// HandlePurge records a purge: copies from before now-ago must not be served. Object 0 stands for all objects of the group.
func (d *Director) HandlePurge(now time.Duration, group uint32, object uint64, ago time.Duration) {
	if object == 0 {
		recordNewest(d.groupPurges, group, now-ago)
		d.lastOfAllGroups = max(d.lastOfAllGroups, now-ago)
	} else {
		recordNewest(d.objectPurges, object, now-ago)
	}
}

// recordNewest stores the time of a purge unless a later one is stored for the key.
func recordNewest[Key comparable](purges map[Key]time.Duration, key Key, at time.Duration) {
	if last, ok := purges[key]; !ok || at > last {
		purges[key] = at
	}
}

// lastPurge returns the time of the latest purge that applies to a request: of its object, or of the group that the request itself
// names. What other requests named for the object does not matter. If the request names no group, a purge of any group applies.
// lastPurge returns longAgo if there is none.
func (purges *purgeTable) lastPurge(request *openRequest) time.Duration {
	newest := longAgo
	if at, ok := purges.objectPurges[request.object.id]; ok {
		newest = at
	}
	if request.anyGroup {
		return max(newest, purges.lastOfAllGroups)
	}
	if at, ok := purges.groupPurges[request.group]; ok {
		newest = max(newest, at)
	}
	return newest
}

// expire drops purges from before a time, because the caches no longer hold any copy that they apply to.
func (purges *purgeTable) expire(before time.Duration) {
	maps.DeleteFunc(purges.objectPurges, func(_ uint64, at time.Duration) bool { return at < before })
	maps.DeleteFunc(purges.groupPurges, func(_ uint32, at time.Duration) bool { return at < before })
}

// expireObjects drops idle objects and documents, and the purges that every cache has carried out.
func (d *Director) expireObjects(now time.Duration) {
	d.objectStore.expire(now)
	d.purgeTable.expire(now - d.settings.purgeRetention - purgeMargin)
}

// maxAge returns the maximum age of a served copy, or 0 for FreshFor of the class. After a purge it is the time since the
// purge, but at least 1 µs, because 0 would not limit the age. An attempt for a cached copy only and a retry accept a copy
// within its stale grace, because the alternative is no answer.
func (d *Director) maxAge(now time.Duration, request *openRequest, cachedOnly bool) time.Duration {
	limit := request.class.FreshFor
	if limit > 0 && (cachedOnly || request.mayHaveBeenSent()) {
		limit += request.class.StaleGrace
	}
	purgedAt := d.lastPurge(request)
	if purgedAt <= -d.settings.purgeRetention {
		return limit // no purge, or one that the caches have already carried out
	}
	sincePurge := max(now-purgedAt, time.Microsecond)
	if limit == 0 {
		return sincePurge
	}
	return min(limit, sincePurge)
}

// Cache priorities of an attempt.
const (
	priorityNone = 0 // do not store the answer
	priorityLow  = 1 // evicted first: an object requested only once, or an additional copy outside the home
	priorityHome = 2 // the copy at the home, or the only copy
)

// cachePriority returns the priority with which the cache stores the answer. Neither objects requested only once nor additional
// copies may evict the copies of a home.
func (d *Director) cachePriority(now time.Duration, request *openRequest, target *endpoint, order []*endpoint) uint8 {
	if request.class.Write || target.role != cacheNode {
		return priorityNone
	}
	requestedOnce := request.object.requests < 2
	if requestedOnce || target != order[0] && d.cachedElsewhere(now, request, target) {
		return priorityLow
	}
	return priorityHome
}
