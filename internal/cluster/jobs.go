package cluster

// Runs of periodic jobs: their start, end, expiry and failure.

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"slices"
	"time"

	"indigochute.example/indigochute/internal/clusterconfig"
	"indigochute.example/indigochute/internal/lease"
)

// maxHungRuns is the maximum number of runs of one job whose goroutines have not returned. A run above the limit fails at once, so
// that goroutines do not accumulate while runs hang past their deadlines.
const maxHungRuns = 4

// Reasons why a run failed. Result has their texts.
var (
	errLeaseLost       = errors.New("lease lost during the run")
	errRunTimeout      = errors.New("run exceeded its timeout")
	errTooManyHungRuns = fmt.Errorf("%d earlier runs have not returned", maxHungRuns)
)

// panicError is the error of a run that panicked.
type panicError struct {
	value any // passed to panic
}

func (e *panicError) Error() string { return fmt.Sprintf("panic: %v", e.value) }

// job is the state of a periodic job at this instance. The lock of the member guards it.
type job struct {
	runs     []*run // runs whose goroutine has not returned
	last     Result // result of the run that ended last
	finished int    // number of runs that ended, including failed ones
	failed   int    // number of runs that failed
}

// Result is the result of a run. The JSON keys must not change.
type Result struct {
	Fence     uint64        `json:"fence"`    // fencing token of the run
	StartedAt time.Duration `json:"began_ns"` // by the instance's clock for leases
	Duration  time.Duration `json:"took_ns"`
	Error     string        `json:"error"` // empty if the run succeeded
}

// run is one run of a job.
type run struct {
	order     lease.RunOrder
	startedAt time.Duration // by the instance's clock for leases
	cancel    context.CancelCauseFunc
	ended     bool // the result is recorded; the goroutine may still hang, but may no longer act
}

// beginRun begins a run. A run that may not begin is recorded as failed with errTooManyHungRuns, also if the job was removed or the
// member is closing. The caller must hold the lock.
//
// Each run has its own goroutine, and the job lists the runs whose goroutine has not returned. A run is canceled at its deadline,
// when its lease is lost and by Close. None of these waits for the goroutine, as a run that hangs must not delay the others.
func (m *Member) beginRun(now time.Duration, order lease.RunOrder) {
	j, duty := m.jobs[order.Duty], m.dutyByName(order.Duty)
	if j == nil {
		j = &job{}
		m.jobs[order.Duty] = j
	}
	if duty == nil || m.closing || len(j.runs) >= maxHungRuns {
		m.endRun(now, j, &run{order: order, startedAt: now}, errTooManyHungRuns)
		return
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	r := &run{order: order, startedAt: now, cancel: cancel}
	j.runs = append(j.runs, r)
	dutyCopy := *duty // a copy, as the file may be replaced during the run
	go func() {
		err := m.perform(ctx, r, dutyCopy)
		cancel(nil)
		m.runReturned(j, r, err)
	}()
}

// runReturned records that the goroutine of a run has returned. It also records the result, unless the run has already ended.
func (m *Member) runReturned(j *job, r *run, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	j.runs = slices.DeleteFunc(j.runs, func(other *run) bool { return other == r })
	if !r.ended {
		m.endRun(m.now(), j, r, err)
	}
}

// endRun records the result of a run. It must be called once per run. The caller must hold the lock.
func (m *Member) endRun(now time.Duration, j *job, r *run, err error) {
	r.ended = true
	j.last = Result{Fence: r.order.Fence, StartedAt: r.startedAt, Duration: now - r.startedAt}
	j.finished++
	if err != nil {
		j.failed++
		j.last.Error = err.Error()
		m.log.WithError(err).WithField("duty", r.order.Duty).Warn("job run failed")
	}
	m.lease.RunEnded(r.order.Duty, r.order.Run)
}

// endExpiredRuns cancels and ends the runs of a job that may no longer act, as the lease was lost or the deadline has passed. The
// caller must hold the lock.
func (m *Member) endExpiredRuns(now time.Duration, j *job) {
	for _, r := range j.runs {
		if r.ended {
			continue
		}
		if _, ok := m.lease.MayAct(now, r.order.Duty, r.order.Run); ok {
			continue
		}
		err := errLeaseLost
		if now >= r.order.Deadline {
			err = errRunTimeout
		}
		r.cancel(err)
		m.endRun(now, j, r, err)
	}
}

// cancelRuns cancels all runs of the job. The caller must hold the lock.
func (j *job) cancelRuns() {
	for _, r := range j.runs {
		r.cancel(errLeaseLost)
	}
}

// mayAct returns the fencing token that the actions of a run must carry, or errLeaseLost if the run may no longer act.
func (m *Member) mayAct(r *run) (fence uint64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.ended || m.closing {
		return 0, errLeaseLost
	}
	fence, ok := m.lease.MayAct(m.now(), r.order.Duty, r.order.Run)
	if !ok {
		return 0, errLeaseLost
	}
	return fence, nil
}

// perform performs a run according to the kind of its job. If the run panics the error is a *panicError.
func (m *Member) perform(ctx context.Context, r *run, duty clusterconfig.Duty) (err error) {
	defer m.recoverPanic(duty.Name, &err)
	switch duty.Kind {
	case clusterconfig.KindHealthCheck:
		return m.runHealthCheck(ctx, r, duty)
	case clusterconfig.KindEvent:
		return m.publishTestEvent(r, duty)
	}
	return m.runCall(ctx, r, duty)
}

// recoverPanic turns a panic into a *panicError and logs it with its stack. It must be called by a defer statement.
func (m *Member) recoverPanic(duty string, err *error) {
	if value := recover(); value != nil {
		m.log.WithField("panic", value).Errorf("panic in a run of duty %s: %s", duty, debug.Stack())
		*err = &panicError{value}
	}
}
