package lease

import (
	"fmt"
	"hash/fnv"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// fault is a fault of one instance in one step of a steppedInstallation.
type fault struct {
	kind     faultKind
	instance int // index of the instance
}

// faultKind is the kind of a fault.
type faultKind int

const (
	noFault         faultKind = iota
	disconnected              // all messages from and to the instance are lost
	paused                    // the instance does nothing, and messages to it are delivered in the next step
	restarted                 // a new incarnation of the instance starts
	leaves                    // the instance begins its graceful shutdown
	messagesDelayed           // messages to the instance are delivered in the next step
	lastFaultKind   = messagesDelayed
)

const (
	exhaustiveStep = 300 * time.Millisecond
	exhaustiveDuty = "job"
)

// steppedInstallation is an installation with one job, simulated in steps. All messages sent in a step arrive within that step,
// unless a fault prevents it.
type steppedInstallation struct {
	configs   []Config
	instances []*Instance
	waiting   []Message // messages that arrive in the next step
	steps     int
	lastFence uint64
	lastOwner string // empty: the job had no owner yet
	violation string // description of the last violated rule; empty: none
}

// newSteppedInstallation returns an installation of instances named a, b and so on, before its first step.
func newSteppedInstallation(instances int) *steppedInstallation {
	installation := &steppedInstallation{}
	var names []string
	for i := range instances {
		names = append(names, string(rune('a'+i)))
	}
	for i, name := range names {
		config := Config{
			Name:           name,
			Members:        names,
			Lease:          3 * exhaustiveStep,
			Heartbeat:      exhaustiveStep,
			Seed:           uint64(i),
			StartUnixMilli: 100,
			Duties:         []Duty{{Name: exhaustiveDuty, Period: time.Second, Timeout: exhaustiveStep, CatchUp: true}},
		}
		installation.configs = append(installation.configs, config)
		installation.instances = append(installation.instances, New(config, 0))
	}
	return installation
}

// now returns the present time. The clocks of all instances agree.
func (installation *steppedInstallation) now() time.Duration {
	return time.Duration(installation.steps) * exhaustiveStep
}

// step simulates one step with a fault.
func (installation *steppedInstallation) step(fault fault) {
	installation.steps++
	now := installation.now()
	switch fault.kind {
	case restarted:
		installation.configs[fault.instance].StartUnixMilli += 100
		installation.instances[fault.instance] = New(installation.configs[fault.instance], now)
	case leaves:
		installation.instances[fault.instance].Leave()
	}
	queue := installation.waiting
	installation.waiting = nil
	for i, instance := range installation.instances {
		if fault.kind != paused || i != fault.instance {
			queue = append(queue, instance.Tick(now)...)
		}
	}
	for next := 0; next < len(queue); next++ { // responses are appended to the queue
		queue = append(queue, installation.deliver(now, fault, queue[next])...)
	}
	installation.check(now)
	for _, instance := range installation.instances {
		for _, order := range instance.DueRuns(now) {
			instance.RunEnded(order.Duty, order.Run)
		}
	}
}

// deliver passes a message to its receiver, unless the fault prevents that, and returns the responses.
func (installation *steppedInstallation) deliver(now time.Duration, fault fault, message Message) []Message {
	faulty := installation.configs[fault.instance].Name
	switch fault.kind {
	case disconnected:
		if message.To == faulty || message.From == faulty {
			return nil
		}
	case paused, messagesDelayed:
		if message.To == faulty {
			installation.waiting = append(installation.waiting, message)
			return nil
		}
	}
	receiver := int(message.To[0] - 'a')
	return installation.instances[receiver].Receive(now, message)
}

// check records a violation of the rules: two owners, or a new owner without a higher fencing token.
func (installation *steppedInstallation) check(now time.Duration) {
	owner := ""
	for i, instance := range installation.instances {
		fence, owns := instance.Holds(now, exhaustiveDuty)
		if !owns {
			continue
		}
		name := installation.configs[i].Name
		if owner != "" {
			installation.violation = fmt.Sprintf("%s and %s both own the job", owner, name)
		}
		owner = name
		if fence < installation.lastFence || fence == installation.lastFence && installation.lastOwner != name {
			installation.violation = fmt.Sprintf("%s owns the job under token %d, before that %s owned it under token %d",
				name, fence, installation.lastOwner, installation.lastFence)
		}
		installation.lastFence, installation.lastOwner = fence, name
	}
}

// owned reports whether any instance owns the job.
func (installation *steppedInstallation) owned() bool {
	return slices.ContainsFunc(installation.instances, func(instance *Instance) bool {
		_, owns := instance.Holds(installation.now(), exhaustiveDuty)
		return owns
	})
}

// countStaying returns the number of instances that are not leaving.
func (installation *steppedInstallation) countStaying() (count int) {
	for _, instance := range installation.instances {
		if !instance.leaving {
			count++
		}
	}
	return count
}

// writeState writes all values of a state, except for counters that do not affect decisions. It follows pointers, and writes maps
// in the order of their keys.
func writeState(state reflect.Value, write func(format string, args ...any)) {
	switch state.Kind() {
	case reflect.Pointer:
		if !state.IsNil() {
			writeState(state.Elem(), write)
		}
	case reflect.Struct:
		for i := range state.NumField() {
			if name := state.Type().Field(i).Name; name != "counts" && name != "draws" {
				writeState(state.Field(i), write)
			}
		}
	case reflect.Slice:
		for i := range state.Len() {
			writeState(state.Index(i), write)
		}
	case reflect.Map:
		keys := state.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
		for _, key := range keys {
			write("%v:", key)
			writeState(state.MapIndex(key), write)
		}
	default:
		write("%v,", state)
	}
}

// scheduleSearch runs every schedule of up to a given number of faults in an installation.
type scheduleSearch struct {
	t         *testing.T
	instances int             // number of instances
	runs      int             // number of schedules run
	states    map[uint64]bool // hashes of the states after the last fault, in the sampled runs
}

const (
	faultSteps       = 9  // steps with faults, which begin once the job has had an owner
	recoverySteps    = 30 // steps after those, without faults
	recoveryLimit    = 25 // recovery steps within which the job has an owner again
	stateSampleEvery = 16 // states are counted in one of this many runs
)

// runAll runs a schedule, and all schedules that extend it by up to furtherFaults faults after its last step.
func (search *scheduleSearch) runAll(schedule []fault, furtherFaults int) {
	search.t.Helper()
	search.run(schedule)
	if furtherFaults == 0 {
		return
	}
	for step := len(schedule); step < faultSteps; step++ {
		longer := append(slices.Clone(schedule), make([]fault, step-len(schedule)+1)...)
		for instance := range search.instances {
			for kind := disconnected; kind <= lastFaultKind; kind++ {
				longer[step] = fault{kind: kind, instance: instance}
				search.runAll(longer, furtherFaults-1)
			}
		}
	}
}

// run runs a schedule. It fails the test if a rule is violated, or if the job has no owner long after the last fault.
func (search *scheduleSearch) run(schedule []fault) {
	search.t.Helper()
	search.runs++
	installation := newSteppedInstallation(search.instances)
	for installation.lastOwner == "" {
		installation.step(fault{})
	}
	lastOwned := 0
	for i := range faultSteps + recoverySteps {
		if i < len(schedule) {
			installation.step(schedule[i])
		} else {
			installation.step(fault{})
		}
		if installation.violation != "" {
			search.t.Fatalf("%d instances, faults by step %v: %s", search.instances, schedule, installation.violation)
		}
		if i >= len(schedule)-1 && search.runs%stateSampleEvery == 0 {
			search.countState(installation)
		}
		if installation.owned() {
			lastOwned = i
		}
	}
	hasMajority := installation.countStaying() > search.instances/2
	if hasMajority && lastOwned < faultSteps+recoveryLimit {
		search.t.Fatalf("%d instances, faults by step %v: the job last had an owner in step %d, want one in step %d or later",
			search.instances, schedule, lastOwned, faultSteps+recoveryLimit)
	}
}

// countState records the present state of an installation.
func (search *scheduleSearch) countState(installation *steppedInstallation) {
	sum := fnv.New64a()
	writeState(reflect.ValueOf(installation.instances), func(format string, values ...any) { fmt.Fprintf(sum, format, values...) })
	search.states[sum.Sum64()] = true
}

// TestAllFaultSchedulesOfSmallInstallations runs every schedule of up to the number of faults in the flag faults, in installations of
// two and three instances. It checks that none violates the rules, and that the job has an owner again soon after the last fault.
func TestAllFaultSchedulesOfSmallInstallations(t *testing.T) {
	const minRuns = 1000
	for _, instances := range []int{2, 3} {
		search := &scheduleSearch{t: t, instances: instances, states: map[uint64]bool{}}
		search.runAll(nil, *faults)
		t.Logf("%d instances: %d schedules, %d states in one of every %d schedules", instances, search.runs, len(search.states), stateSampleEvery)
		if search.runs < minRuns {
			t.Errorf("%d instances: got %d schedules, want at least %d", instances, search.runs, minRuns)
		}
	}
}
