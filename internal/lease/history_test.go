package lease

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// ownershipChange records that an instance got or lost the lease of a job.
type ownershipChange struct {
	acquired bool
	owner    string
	fence    uint64
}

// ownership is the model of a lock with fencing tokens. The history of each job must be a history of such a lock. The state of the
// model is the last change. The last owner may acquire the lock again under the same token, as happens if a renewal arrives after
// the lease has expired.
var ownership = porcupine.Model{
	Init: func() any { return ownershipChange{} },
	Step: func(state, input, _ any) (bool, any) {
		last, next := state.(ownershipChange), input.(ownershipChange)
		if next.acquired {
			newer := next.fence > last.fence || next.fence == last.fence && next.owner == last.owner
			return !last.acquired && newer, next
		}
		return last.acquired && last.owner == next.owner, ownershipChange{owner: last.owner, fence: last.fence}
	},
	Equal: func(a, b any) bool { return a == b },
}

// history simulates steps with faults, and returns the changes of ownership of one job. Each change has the interval of the step in
// which it was observed.
func history(sim *simulation, duty string) (operations []porcupine.Operation) {
	fences := map[string]uint64{} // by instance; 0: it does not own the job
	for range scheduleSteps {
		began := sim.realTime
		sim.stepWithFaults(1)
		for i, name := range sim.names {
			node := sim.instances[name]
			fence, owns := node.instance.Holds(node.clock(sim.realTime), duty)
			owns = owns && node.deadUntil <= sim.realTime
			add := func(change ownershipChange) {
				operations = append(operations, porcupine.Operation{ClientId: i, Input: change, Call: int64(began), Return: int64(sim.realTime)})
			}
			if fences[name] != 0 && (!owns || fence != fences[name]) {
				add(ownershipChange{owner: name})
				fences[name] = 0
			}
			if owns && fences[name] == 0 {
				add(ownershipChange{acquired: true, owner: name, fence: fence})
				fences[name] = fence
			}
		}
	}
	return operations
}

// TestOwnershipIsLinearizable checks the owners of a job, as observed from outside, against the model of a lock with fencing
// tokens. It also runs clocks that drift by more than Config.Drift: the check must then fail, which shows that it detects faults.
func TestOwnershipIsLinearizable(t *testing.T) {
	const (
		checkTimeout = 5 * time.Second
		minChanges   = 300
	)
	changes := 0
	for seed := range uint64(150) {
		operations := history(newSimulation(smallConfig(seed, 3)), "d1")
		changes += len(operations)
		if porcupine.CheckOperationsTimeout(ownership, operations, checkTimeout) != porcupine.Ok {
			t.Fatalf("seed %d: %d changes are not a history of a lock", seed, len(operations))
		}
	}
	if changes < minChanges {
		t.Errorf("got %d changes of ownership, want at least %d", changes, minChanges)
	}
	for seed := range uint64(400) {
		config := simulationConfig{seed: seed, instances: 3, duties: 3, clockDrift: 0.3, assumedDrift: 0}
		operations := history(newSimulation(config), "d1")
		if porcupine.CheckOperationsTimeout(ownership, operations, checkTimeout) == porcupine.Illegal {
			return
		}
	}
	t.Error("clocks that drift by 30% with Config.Drift 0: got 400 histories that are those of a lock, want at least one that is not")
}
