package lease

import "time"

// RunOrder is a run of a job that the caller must begin. The run must call MayAct before each of its actions: once that returns
// false, another instance may run the job.
type RunOrder struct {
	Duty     string
	Run      uint64        // number of the run at this instance, from 1
	Fence    uint64        // fencing token under which the run begins
	Deadline time.Duration // time by which the run must have ended, by the clock of the instance
}

// runHistory is the last known run of a job, at whichever instance it ran.
type runHistory struct {
	hasRun  bool          // whether a run is known
	lastRun time.Duration // when the last known run began
}

// merge updates the history from the record of another instance, and reports whether the record has a later run.
func (history *runHistory) merge(now time.Duration, record LeaseRecord) bool {
	began := now - record.SinceRun
	isLater := record.HasRun && (!history.hasRun || began > history.lastRun)
	if isLater {
		history.hasRun, history.lastRun = true, began
	}
	return isLater
}

// MayAct reports whether a run may still act: its lease has not expired, its deadline has not passed, and it has neither ended nor
// been followed by a later run. It returns the fencing token that the actions must carry.
func (n *Instance) MayAct(now time.Duration, duty string, run uint64) (fence uint64, ok bool) {
	held := n.leases[duty]
	if held == nil || !held.valid(now) {
		return 0, false
	}
	if held.activeRun != run || now >= held.activeRunEnds {
		return 0, false
	}
	return held.fence, true
}

// DueRuns returns the runs that must begin now, sorted by job. A leaving instance begins none.
func (n *Instance) DueRuns(now time.Duration) (orders []RunOrder) {
	if now < n.nextRun || n.leaving {
		return nil
	}
	n.nextRun = now + n.config.Lease
	for _, held := range n.sortedLeases {
		duty := n.duties[held.duty]
		if !held.mayBeginRun(now, duty) {
			if held.activeRun != 0 {
				n.nextRun = min(n.nextRun, held.activeRunEnds)
			}
			continue
		}
		if now >= held.nextRun {
			orders = append(orders, n.beginRun(now, held, duty))
		}
		n.nextRun = min(n.nextRun, held.nextRun)
	}
	return orders
}

// mayBeginRun reports whether a run may begin once it is due: the job is configured, its lease is valid and not being returned, and
// no run is in progress.
func (held *heldLease) mayBeginRun(now time.Duration, duty *Duty) bool {
	return duty != nil && !held.returning && held.valid(now) && !held.running(now)
}

// beginRun begins a run and schedules the next one. It makes a heartbeat due at once, which reports the run. So if this instance
// fails, the next lease holder does not repeat the run.
func (n *Instance) beginRun(now time.Duration, held *heldLease, duty *Duty) RunOrder {
	n.runCount++
	held.hasRun, held.lastRun, held.runUnreported = true, now, true
	held.activeRun, held.activeRunEnds = n.runCount, now+duty.Timeout
	n.schedule(now, held, duty)
	n.nextHeartbeat = min(n.nextHeartbeat, now)
	return RunOrder{Duty: held.duty, Run: n.runCount, Fence: held.fence, Deadline: held.activeRunEnds}
}

// RunEnded records that a run has ended, by itself or at its deadline.
func (n *Instance) RunEnded(duty string, run uint64) {
	if held := n.leases[duty]; held != nil && held.activeRun == run {
		held.activeRun, n.nextRun = 0, 0
	}
}

// schedule sets the time at which the next run of a job is due.
func (n *Instance) schedule(now time.Duration, held *heldLease, duty *Duty) {
	switch {
	case held.hasRun:
		held.nextRun = held.lastRun + duty.Period + n.randomPart(duty.Jitter)
	case duty.CatchUp:
		held.nextRun = now
	default: // the first run is due one period from now, as if a run had begun now
		held.hasRun, held.lastRun, held.runUnreported = true, now, true
		held.nextRun = now + duty.Period
	}
	if !duty.CatchUp && held.nextRun < now { // missed runs are skipped: the due time advances by whole periods
		held.nextRun = now + duty.Period - (now-held.nextRun)%duty.Period
	}
}
