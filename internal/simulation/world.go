// Package simulation models the machines of a topology as a discrete-event simulation: caches with cores, slots, a queue
// and memory, parents, the origin, and links that transfers share fairly. Machines fail and restart in slow start. During
// slow start they also fail by overload.
//
// The package opens no sockets and reads no clock. Callers pass the time, which never goes back, and events run in the order
// of their times. Both the emulator (internal/testing/emulator), which serves on sockets, and the simulated runs of
// internal/capacity use the package, each with its own clock. A topology therefore behaves the same in both.
//
// A World is not safe for concurrent use.
package simulation

import (
	"time"

	"indigochute.example/indigochute/internal/topology"
)

// event is a function that runs at a time of the world. The key of the queued item is that time. Events with equal times run
// in the order in which they were scheduled.
type event = queued[time.Duration]

// World is the state of all machines of a topology at the current time of the simulation, which Advance moves forward.
type World struct {
	description  *topology.Topology
	now          time.Duration
	events       priorityQueue[time.Duration]
	lastSequence uint64              // sequence number of the last event scheduled
	machines     map[uint32]*machine // by id
	machineList  []*machine          // in the order of topology.Topology.Machines, which has the origin last
	network      network
	zoneLinks    []*link // by zone
	transferEnd  *event  // completion of the next transfer; nil: none scheduled

	responses         []Response // since the last Advance
	previousResponses []Response // returned by the last Advance; the next one reuses its memory
	changed           []uint32   // ids of the machines that went down or restarted since the last Changed
}

// New returns a world at time 0 with the machines of a topology, all of them up and with empty memories. The world refers to
// the description, which must not change afterwards.
func New(description *topology.Topology) *World {
	w := &World{description: description, machines: map[uint32]*machine{}}
	for _, zone := range description.Zones {
		w.zoneLinks = append(w.zoneLinks, w.network.addLink("link of "+zone.Name, float64(zone.Link)))
	}
	for _, spec := range description.Machines() {
		m := w.newMachine(spec)
		w.machines[m.ID] = m
		w.machineList = append(w.machineList, m)
	}
	return w
}

// origin returns the origin. Every topology has one.
func (w *World) origin() *machine { return w.machineList[len(w.machineList)-1] }

// schedule schedules do for the time at, or for the current time if at has passed.
func (w *World) schedule(at time.Duration, do func()) *event {
	w.lastSequence++
	newEvent := &event{key: max(at, w.now), sequence: w.lastSequence, run: do}
	w.events.insert(newEvent)
	return newEvent
}

// NextEvent returns the time of the next event. Until then the world changes only by calls of its other methods. NextEvent
// returns false if no event is scheduled.
func (w *World) NextEvent() (time.Duration, bool) {
	w.scheduleTransferEnd()
	if len(w.events) == 0 {
		return 0, false
	}
	return w.events.first().key, true
}

// scheduleTransferEnd reschedules the completion of the next transfer if rates are stale. NextEvent calls it, so that it runs
// once after all changes at the same time: the allocation of rates is expensive.
func (w *World) scheduleTransferEnd() {
	if !w.network.ratesStale {
		return
	}
	w.events.remove(w.transferEnd)
	w.transferEnd = nil
	if at, ok := w.network.nextCompletion(); ok {
		w.transferEnd = w.schedule(at, w.endTransfers)
	}
}

// endTransfers ends the transfers that are complete and calls their done functions.
func (w *World) endTransfers() {
	w.transferEnd = nil
	w.network.ratesStale = true
	for _, transfer := range w.network.takeComplete(w.now) {
		transfer.done()
	}
}

// Advance runs all events up to the time now and returns the responses since the last call, in the order in which they were
// sent. The slice is valid until the next call. If now is in the past, no event runs.
func (w *World) Advance(now time.Duration) []Response {
	for {
		at, ok := w.NextEvent()
		if !ok || at > now {
			break
		}
		w.now = max(w.now, at)
		w.events.takeFirst().run()
	}
	w.now = max(w.now, now)
	responses := w.responses
	w.responses, w.previousResponses = w.previousResponses[:0], responses
	return responses
}

// Changed returns the ids of the machines that went down or restarted since the last call, in the order of these changes.
// Callers notify directors of the changes.
func (w *World) Changed() []uint32 {
	changed := w.changed
	w.changed = nil
	return changed
}
