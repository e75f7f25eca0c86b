package director

import (
	"slices"
	"time"

	"indigochute.example/indigochute/internal/discovery"
	"indigochute.example/indigochute/internal/routing"
)

// This file applies the events of the journal service once each and in order, on whichever connection they arrive.

// handleEvent applies an event if it is the next one. It ignores an event of an earlier watch and an event that was applied
// before. It returns a discovery.Gap if the event reveals that others are missing. The connection then ends, and the next one
// starts from the last event applied. If the same gap appears again, the missing events are not available, and handleEvent
// accepts the gap, since applying later events is better than applying none. An empty frame has the number of the newest event:
// all events up to that number should have arrived before it.
func (d *Director) handleEvent(watchNumber int, event discovery.Event) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer d.recoverDefect("feed")
	if event.Number <= d.lastEvent || watchNumber != d.watchNumber {
		return nil
	}
	empty := event.Endpoints == nil && event.Purge == nil
	if event.Number > d.lastEvent+1 || empty {
		gap := discovery.Gap{Last: d.lastEvent, Next: event.Number, Empty: empty}
		if d.lastGap != gap {
			d.lastGap = gap
			return gap
		}
		if empty {
			return nil
		}
		d.log.WithError(gap).Warn("feed: missing events are unavailable, continuing after the gap")
	}
	d.lastEvent = event.Number
	d.applyEvent(event)
	return nil
}

// applyEvent passes an event on to the journal clock, routing and the pool. Called under the director's mutex.
func (d *Director) applyEvent(event discovery.Event) {
	now := d.clock.now()
	d.journal.updateOrigin(now, event)
	if event.Purge != nil {
		purgedAt := d.journal.since(now, event.Purge.StampUnix)
		d.router.HandlePurge(now, event.Purge.Group, event.Purge.Object, now-purgedAt)
	}
	if event.Endpoints == nil {
		return
	}
	all := event.Endpoints
	if gone := d.pool.superseded(event.Endpoints); len(gone) > 0 {
		all = slices.Concat(gone, event.Endpoints)
	}
	endpoints := make([]routing.Endpoint, len(all))
	starts := map[uint32]time.Duration{}
	for i, listed := range all {
		endpoints[i] = d.endpointOf(now, listed)
		if endpoints[i].StartKnown && listed.State != routing.Gone {
			starts[listed.ID] = endpoints[i].StartedAt
		}
		d.pool.updateEndpoint(listed)
	}
	d.journal.noteStarts(event, starts)
	d.router.UpdateEndpoints(now, endpoints, event.Complete)
}

// endpointOf converts an endpoint that discovery lists to the form that routing uses.
func (d *Director) endpointOf(now time.Duration, listed discovery.Endpoint) routing.Endpoint {
	endpoint := routing.Endpoint{
		Node:     listed.ID,
		State:    listed.State,
		Kind:     listed.Kind,
		Zone:     listed.Zone,
		Cell:     listed.Cell,
		Capacity: listed.Capacity,
	}
	if listed.StartedUnix != 0 {
		endpoint.StartKnown, endpoint.StartedAt = true, d.journal.startOf(now, listed.ID, listed.StartedUnix)
	}
	return endpoint
}
