package simulation

// Machines: states, slow start, overload and failures.

import (
	"time"

	"indigochute.example/indigochute/internal/routing"
	"indigochute.example/indigochute/internal/topology"
)

const (
	slowStartSteps      = 40               // number of steps in which the capacity grows to its full value
	minSlowStartStep    = time.Millisecond // shortest time between two steps
	recentWorkBuckets   = 10               // number of buckets of the window over which overload is measured
	minRecentWorkBucket = time.Millisecond // shortest time span of a bucket
)

// machineState is the state of a machine. A machine is up when the world begins. World.Kill takes it down, World.Restart puts
// it into slow start, and it is up again at the end of slow start. Only World.setState changes the state.
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
	restarted  bool          // the machine has restarted since the world began; until then it is warm
	startedAt  time.Duration // time of the last restart; valid if restarted
	slowStart  topology.SlowStart
	recentWork routing.Ring // work requested within the overload window: core seconds of a cache, bytes of a parent
	failures   int          // number of times that the machine went down
	memory     *cacheMemory // nil for the origin, which has every object

	cacheServer // for a cache
	upstream    // for a parent or the origin
}

// upstream is the part of a parent or the origin that serves fills.
type upstream struct {
	outbound         *link
	linkRate         float64 // bytes a second of outbound outside slow start
	fetches          int     // number of fetches from the origin in flight
	maxFetches       int
	fetching         map[segment]*originFetch // fetches in progress of a parent; nil for the origin
	fetchSeconds     float64                  // total time in flight of all fetches so far
	fetchesSettledAt time.Duration            // time up to which fetchSeconds is counted
}

// newMachine returns a machine that is up and has an empty memory. For a parent or the origin it adds the outbound link to
// the network.
func (w *World) newMachine(spec topology.Machine) *machine {
	m := &machine{Machine: spec}
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

// isUp reports whether a machine serves requests or fills. A machine in slow start does.
func (m *machine) isUp() bool { return m.state != machineDown }

// setState changes the state of a machine. It counts failures, sets the start time of a slow start, and adds the machine to
// the list that Changed returns, except at the end of slow start.
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

// Up reports whether a machine is up (also in slow start), whether it has restarted since the world began, and the time of
// its last restart. An unknown machine is down.
func (w *World) Up(node uint32) (up, restarted bool, startedAt time.Duration) {
	m := w.machines[node]
	if m == nil {
		return false, false, 0
	}
	return m.isUp(), m.restarted, m.startedAt
}

// Kill takes a cache or parent down at once. Its memory is emptied. The open requests of a cache are lost, and the fills from
// a parent fail. Kill ignores a machine that is down, the origin and an unknown machine.
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

// Restart starts a machine that is down. The machine begins in slow start, with an empty memory. Restart ignores a machine
// that is up and an unknown machine.
func (w *World) Restart(node uint32) {
	m := w.machines[node]
	if m == nil || m.isUp() {
		return
	}
	w.setState(m, machineInSlowStart)
	w.stepSlowStart(m, m.startedAt)
}

// stepSlowStart sets the capacity of a machine in slow start to its current share, and schedules the next step until the
// machine is warm. The parameter startedAt identifies the restart to which the step belongs. If the machine has gone down or
// restarted since then, stepSlowStart does nothing.
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
// linearly from the floor. It is computed from the time since the restart and not from the state, because the state changes
// only with the next step.
func (w *World) capacityShare(m *machine) float64 {
	ramp := m.slowStart.Ramp
	if !m.restarted || w.now-m.startedAt >= ramp.Duration() {
		return 1
	}
	floor := float64(m.slowStart.Floor)
	elapsed := w.now - m.startedAt
	return floor + (1-floor)*elapsed.Seconds()/ramp.Seconds()
}

// overloaded reports whether the work requested within the window from a machine in slow start exceeds OverloadMultiple times
// the work that the machine can do in that time. It returns false during the first window after the restart. The parameter
// capacity is the work that the warm machine does in a second, in the unit of recentWork.
func (w *World) overloaded(m *machine, capacity float64) bool {
	limits := &m.slowStart
	if limits.OverloadMultiple == 0 || limits.Window == 0 {
		return false
	}
	share := w.capacityShare(m)
	if share == 1 || w.now-m.startedAt < limits.Window.Duration() {
		return false
	}
	maxWork := limits.OverloadMultiple * share * capacity * limits.Window.Seconds()
	return m.recentWork.Sum(w.now) > maxWork
}

// failByOverload takes a machine down and schedules its restart after the DownTime of its slow start settings.
func (w *World) failByOverload(m *machine) {
	w.Kill(m.ID)
	w.schedule(w.now+m.slowStart.DownTime.Duration(), func() { w.Restart(m.ID) })
}

// Insert adds a copy to the memory of a cache or parent that is up, as if the origin had sent the copy at the time born.
func (w *World) Insert(node uint32, object uint64, part uint32, bytes int, rank uint8, born time.Duration) {
	if m := w.machines[node]; m != nil && m.isUp() && m.memory != nil {
		m.memory.put(segment{object, part}, float64(bytes), rank, born)
	}
}

// LimitLink multiplies the link rate and the maximum number of fetches of a parent or the origin by a factor. A factor less
// than 1 leaves the rest to machines outside this world, and a factor greater than 1 undoes that. The maximum number of
// fetches remains at least 1.
func (w *World) LimitLink(node uint32, factor float64) {
	m := w.machines[node]
	if m == nil || m.outbound == nil {
		return
	}
	m.linkRate *= factor
	m.maxFetches = max(1, int(float64(m.maxFetches)*factor))
	w.network.setRate(w.now, m.outbound, m.linkRate)
}
