package simulation

// Machines: states, slow start, overload and failure.

import (
	"time"

	"indigochute.example/indigochute/internal/routing"
	"indigochute.example/indigochute/internal/topology"
)

const (
	slowStartSteps      = 40               // steps in which capacity grows to full
	minSlowStartStep    = time.Millisecond // shortest time between two steps
	recentWorkBuckets   = 10               // buckets of the window over which overload is measured
	minRecentWorkBucket = time.Millisecond // shortest time that a bucket covers
)

// machineState says whether a machine serves. Machines begin up. Kill takes a machine down, Restart starts it in slow
// start, and the end of slow start brings it up. Only World.setState changes a state.
type machineState uint8

const (
	machineUp machineState = iota
	machineInSlowStart
	machineDown
)

// machine is a cache, a parent or the origin.
type machine struct {
	topology.Machine
	state      machineState
	restarted  bool          // since the world began; a machine that never restarted is warm
	startedAt  time.Duration // time of the last restart; meaningless without one
	slowStart  topology.SlowStart
	recentWork routing.Ring // work requested within the overload window: core seconds of a cache, bytes of a parent
	failures   int          // number of times that it went down
	memory     *cacheMemory // nil: the origin, which has everything

	cacheServer // of a cache
	upstream    // of a parent or the origin
}

// upstream is the part of a parent or the origin that serves fills.
type upstream struct {
	outbound         *link
	linkRate         float64 // bytes a second of outbound outside slow start
	fetches          int     // fetches from the origin in flight
	maxFetches       int
	fetching         map[segment]*originFetch // in progress; of a parent
	fetchSeconds     float64                  // sum over fetches of their time in flight so far
	fetchesSettledAt time.Duration            // time up to which fetchSeconds counts
}

// newMachine makes a machine that is up, with an empty memory. It adds the outbound link of a parent or the origin to the
// network.
func (w *World) newMachine(listed topology.Machine) *machine {
	m := &machine{Machine: listed}
	switch m.Role {
	case topology.CacheRole:
		kind := &w.description.Kinds[m.Kind]
		m.slowStart = w.description.SlowStart
		m.memory = newCacheMemory(float64(kind.Memory))
		m.cacheServer = newCacheServer(kind)
	case topology.ParentRole:
		parent := &w.description.Parents[m.Kind]
		m.slowStart = w.description.ParentSlowStart
		m.memory = newCacheMemory(float64(parent.Memory))
		m.upstream = upstream{linkRate: float64(parent.Link), maxFetches: parent.Fetches, fetching: map[segment]*originFetch{}}
		m.outbound = w.network.addLink("link of "+m.Name, m.linkRate)
	case topology.OriginRole:
		origin := &w.description.Origin
		m.upstream = upstream{linkRate: float64(origin.Link), maxFetches: origin.Fetches}
		m.outbound = w.network.addLink("link of the origin", m.linkRate)
	}
	m.resetRecentWork()
	return m
}

// resetRecentWork empties the overload window.
func (m *machine) resetRecentWork() {
	bucket := max(minRecentWorkBucket, m.slowStart.Window.Duration()/recentWorkBuckets)
	m.recentWork = routing.NewRing(bucket, recentWorkBuckets)
}

// isUp reports whether a machine serves. A machine in slow start does.
func (m *machine) isUp() bool { return m.state != machineDown }

// setState changes the state of a machine. It counts failures, begins the time of a slow start, and notes the change for
// Changed; the end of slow start is no change there.
func (w *World) setState(m *machine, next machineState) {
	m.state = next
	switch next {
	case machineDown:
		m.failures++
		w.changed = append(w.changed, m.ID)
	case machineInSlowStart:
		m.restarted = true
		m.startedAt = w.now
		m.resetRecentWork()
		w.changed = append(w.changed, m.ID)
	}
}

// Up reports whether a machine serves, whether it has restarted since the world began, and the time of its last restart.
// An unknown machine is down.
func (w *World) Up(node uint32) (up, restarted bool, startedAt time.Duration) {
	m := w.machines[node]
	if m == nil {
		return false, false, 0
	}
	return m.isUp(), m.restarted, m.startedAt
}

// Kill takes a cache or parent down at once. Its open requests are lost and its memory is emptied. Kill ignores a machine
// that is down, the origin and an unknown machine.
func (w *World) Kill(node uint32) {
	m := w.machines[node]
	if m == nil || !m.isUp() || m.Role == topology.OriginRole {
		return
	}
	w.setState(m, machineDown)
	m.memory = newCacheMemory(m.memory.capacity)
	if m.Role == topology.ParentRole {
		w.failParent(m)
	} else {
		w.loseOpenRequests(m)
	}
}

// Restart starts a machine that is down, in slow start and with an empty memory. It ignores a machine that is up and an
// unknown machine.
func (w *World) Restart(node uint32) {
	m := w.machines[node]
	if m == nil || m.isUp() {
		return
	}
	w.setState(m, machineInSlowStart)
	w.stepSlowStart(m, m.startedAt)
}

// stepSlowStart sets the capacity of a machine in slow start to its current share, and schedules the next step until the
// machine is warm. The parameter startedAt is the restart that the steps belong to: they end if the machine has gone down
// or restarted since.
func (w *World) stepSlowStart(m *machine, startedAt time.Duration) {
	if !m.isUp() || m.startedAt != startedAt {
		return
	}
	share := w.capacityShare(m)
	if m.Role == topology.CacheRole {
		m.cores.setSpeed(w.now, share)
		w.scheduleCompletion(m)
	} else {
		w.network.setRate(w.now, m.outbound, m.linkRate*share)
	}
	if share == 1 {
		w.setState(m, machineUp)
		return
	}
	step := max(minSlowStartStep, m.slowStart.Ramp.Duration()/slowStartSteps)
	w.schedule(w.now+step, func() { w.stepSlowStart(m, startedAt) })
}

// capacityShare returns the share of its full capacity that a machine has now, 0 to 1. In slow start the share grows
// linearly from the floor. It depends on the time since the restart, not on the state, as the state changes only with the
// next step.
func (w *World) capacityShare(m *machine) float64 {
	ramp := m.slowStart.Ramp
	if !m.restarted || w.now-m.startedAt >= ramp.Duration() {
		return 1
	}
	floor := float64(m.slowStart.Floor)
	elapsed := w.now - m.startedAt
	return floor + (1-floor)*elapsed.Seconds()/ramp.Seconds()
}

// overloaded reports whether the work requested of a machine in slow start within the window exceeds a multiple of what
// it can do. It is false during the first window after the restart. The parameter capacity is the work that the machine
// does in a second when warm, in the unit of recentWork.
func (w *World) overloaded(m *machine, capacity float64) bool {
	limits := &m.slowStart
	if limits.OverloadMultiple == 0 || limits.Window == 0 {
		return false
	}
	share := w.capacityShare(m)
	if share == 1 || w.now-m.startedAt < limits.Window.Duration() {
		return false
	}
	bearable := limits.OverloadMultiple * share * capacity * limits.Window.Seconds()
	return m.recentWork.Sum(w.now) > bearable
}

// failByOverload takes a machine down and schedules its restart after the down time of its slow start settings.
func (w *World) failByOverload(m *machine) {
	w.Kill(m.ID)
	w.schedule(w.now+m.slowStart.DownTime.Duration(), func() { w.Restart(m.ID) })
}

// Insert puts a copy into the memory of a cache or parent that is up, as if the origin had sent it at the time born.
func (w *World) Insert(node uint32, object uint64, part uint32, bytes int, rank uint8, born time.Duration) {
	if m := w.machines[node]; m != nil && m.isUp() && m.memory != nil {
		m.memory.put(segment{object, part}, float64(bytes), rank, born)
	}
}

// LimitLink multiplies the link rate and the maximum number of fetches of a parent or the origin by a factor. The factor
// is less than 1 if machines outside this world use the rest, and more than 1 to undo that. At least one fetch at a time
// remains possible.
func (w *World) LimitLink(node uint32, factor float64) {
	m := w.machines[node]
	if m == nil || m.outbound == nil {
		return
	}
	m.linkRate *= factor
	m.maxFetches = max(1, int(float64(m.maxFetches)*factor))
	w.network.setRate(w.now, m.outbound, m.linkRate)
}
