package changefeed

import (
	"fmt"
	"slices"
	"time"
)

// mayBeMissed reports whether an event may be missed because it was superseded or has expired.
func (sim *simulation) mayBeMissed(published *publishedEvent) bool {
	return published.superseded || sim.now >= published.publishedAt+published.lifetime-maxHops*time.Microsecond
}

// isStillHeld reports whether any control machine that stored an event has not restarted since then.
func (sim *simulation) isStillHeld(published *publishedEvent) bool {
	return slices.ContainsFunc(published.holders, func(holder holder) bool {
		return sim.controls[holder.machine].incarnation == holder.incarnation
	})
}

// checkSkipped checks that a skipped event may be missed, or was reported as lost. The events up to the number lost were reported as
// lost to the receiver.
func (sim *simulation) checkSkipped(receiver string, published *publishedEvent, lost uint64) {
	sim.skipped++
	if sim.mayBeMissed(published) {
		return
	}
	sim.losses++
	if published.number > lost {
		sim.fail("%s skipped %v:%d", receiver, published.id, published.number)
	}
}

// checkAccepted checks an accepted event against the record. Its age must be the time since publication, without the time in transit,
// and must be below its lifetime. Its other fields must be those that were published.
func (sim *simulation) checkAccepted(receiver string, published *publishedEvent, event *Event, transit time.Duration) {
	if event.Age >= event.Lifetime {
		sim.fail("%s accepted %v:%d after its lifetime", receiver, published.id, published.number)
	}
	if deviation := event.Age + transit - (sim.now - published.publishedAt); deviation < 0 || deviation > maxHops*time.Microsecond {
		sim.fail("%s accepted %v:%d with an age that is wrong by %v", receiver, published.id, published.number, deviation)
	}
	if deviation := published.lifetime - event.Lifetime; deviation < 0 || deviation > maxHops*time.Microsecond {
		sim.fail("%s accepted %v:%d with a lifetime that is wrong by %v", receiver, published.id, published.number, deviation)
	}
	if event.Key != published.key || event.Fence != published.fence || string(event.Payload) != fmt.Sprint(published.payload) {
		sim.fail("%s accepted %v:%d with the key %q, fencing number or payload %q of another event",
			receiver, published.id, published.number, event.Key, event.Payload)
	}
}

// check checks that no position is ahead of the published events, and that no node exceeds its limit of entries.
func (sim *simulation) check() {
	for _, control := range sim.controls {
		for _, position := range control.node.Vector() {
			if position.Number > uint64(len(sim.published[epochIDOf(position)])) {
				sim.fail("%s is at %v, ahead of the published events", control.name, position)
			}
		}
		if sim.maxEntries > 0 && control.node.store.entries > sim.maxEntries {
			sim.fail("%s stores %d events, the limit is %d", control.name, control.node.store.entries, sim.maxEntries)
		}
	}
	for i, follower := range sim.directors {
		for origin, epochs := range follower.reader.ledger {
			for _, position := range epochs.positions {
				if position.number > uint64(len(sim.published[epochID{origin, position.epoch}])) {
					sim.fail("d%d is at %s %d:%d, ahead of the published events", i, origin, position.epoch, position.number)
				}
			}
		}
	}
}

// lagging describes the control machines and directors that have not reached the highest positions of all control machines.
func (sim *simulation) lagging() (list []string) {
	heads := map[epochID]uint64{}
	var ids []epochID
	for _, control := range sim.controls {
		if !control.settled {
			list = append(list, control.name+" has not settled")
		}
		for _, position := range control.node.Vector() {
			if _, known := heads[epochIDOf(position)]; !known {
				ids = append(ids, epochIDOf(position))
			}
			heads[epochIDOf(position)] = max(heads[epochIDOf(position)], position.Number)
		}
		if own := (epochID{control.name, control.epoch}); heads[own] < uint64(len(sim.published[own])) {
			list = append(list, fmt.Sprintf("%s has not reached its own last event", control.name))
		}
	}
	for _, id := range ids {
		for _, control := range sim.controls {
			if at := control.node.position(id.origin, id.epoch); at < heads[id] {
				list = append(list, fmt.Sprintf("%s at %v:%d of %d", control.name, id, at, heads[id]))
			}
		}
		for i, follower := range sim.directors {
			if at, _ := follower.reader.ledger.position(id.origin, id.epoch); at < heads[id] {
				list = append(list, fmt.Sprintf("d%d at %v:%d of %d", i, id, at, heads[id]))
			}
		}
	}
	return list
}

// checkComplete checks each event that was not superseded, has not expired and is still held by a control machine. Every control
// machine must store it, and every director must have accepted it in its present incarnation.
func (sim *simulation) checkComplete() {
	for _, published := range sim.events {
		if sim.mayBeMissed(published) || !sim.isStillHeld(published) {
			continue
		}
		sim.expected++
		for _, control := range sim.controls {
			if _, accepted := control.transit[published]; !accepted && published.number > control.lost[published.id] {
				sim.fail("%s lacks %v:%d", control.name, published.id, published.number)
			}
			newest := control.node.store.origins[published.id.origin].newest[published.key]
			isStored := newest != nil && newest.number == published.number && newest.log.epoch == published.id.epoch
			if sim.maxEntries == 0 && !isStored {
				sim.fail("%s does not store %v:%d", control.name, published.id, published.number)
			}
		}
		for i, follower := range sim.directors {
			if !follower.accepted[published.index] && published.number > follower.lost[published.id] {
				sim.fail("d%d lacks %v:%d", i, published.id, published.number)
			}
		}
	}
}
