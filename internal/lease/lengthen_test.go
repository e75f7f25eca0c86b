package lease

import (
	"testing"
	"time"
)

const (
	longerLease       = 4 * simulatedLease     // to which tests lengthen simulatedLease
	longerQuietPeriod = 4 * longestQuietPeriod // real time that the quiet period takes with the longer lease and the slowest clock
)

// lengthenLease restarts an instance with longerLease and waits until its quiet period has ended. Then it lets the first instance lead,
// which is the first one with the longer lease.
func (sim *simulation) lengthenLease(name string) {
	sim.leases[name] = longerLease
	sim.leave(name)
	sim.stepFor(longerQuietPeriod)
	sim.leadBy(sim.names[0])
}

// leadBy lets any other leader leave. A leader hands over to the first instance that is available.
func (sim *simulation) leadBy(first string) {
	for _, name := range sim.names {
		if name != first && sim.leader() == sim.instances[name] {
			sim.leave(name)
		}
	}
}

// leave lets an instance leave and start again. It starts without a handover if that takes longer than its lease.
func (sim *simulation) leave(name string) {
	node := sim.instances[name]
	node.instance.Leave()
	sim.stepFor(simulatedLease)
	if sim.instances[name] == node {
		sim.start(name)
	}
}

// TestOneHolderWhileLeaseIsLengthened lengthens the lease by restarts in turn, in random schedules of partitions, pauses, kills and
// restarts. Guards against a leader that counts on the votes of others for longer than they last: each vote lasts for the lease of
// the voter, which may still be the shorter one. In the end every job must run again.
func TestOneHolderWhileLeaseIsLengthened(t *testing.T) {
	const (
		stepsBetween = 150              // steps with faults between two restarts, 3 s
		recoveryTime = 30 * time.Second // four quiet periods of the longer lease
	)
	for seed := range uint64(*schedules / 4) {
		sim := newSimulation(smallConfig(seed, 5))
		sim.stepFor(5 * time.Second)
		for _, name := range sim.names {
			sim.lengthenLease(name)
			sim.stepWithFaults(stepsBetween)
			sim.endFaults()
		}
		faultsEnded := sim.realTime
		sim.stepFor(recoveryTime)
		sim.failOnViolation(t, seed)
		for _, duty := range sim.duties {
			if sim.lastRun[duty.Name] < faultsEnded {
				t.Fatalf("seed %d: %s ran last at %v, want a run after the faults ended at %v", seed, duty.Name, sim.lastRun[duty.Name], faultsEnded)
			}
		}
	}
}

// TestOneHolderWithDifferentLeases gives instances different leases from the start. It lets the leadership go to the instance with the
// longest one, cuts the leader off, and adds random faults.
func TestOneHolderWithDifferentLeases(t *testing.T) {
	const (
		longestFactor = 4
		rounds        = 3
		stepsInRound  = 60
	)
	for seed := range uint64(*schedules / 4) {
		sim := newSimulation(smallConfig(seed, 5))
		sim.leases["n0"] = longestFactor * simulatedLease
		for _, name := range sim.names[1:] {
			sim.leases[name] = simulatedLease * time.Duration(1+sim.random.IntN(longestFactor))
		}
		for _, name := range sim.names {
			sim.start(name)
		}
		sim.stepFor(longerQuietPeriod)
		for range rounds {
			sim.leadBy("n0")
			for _, name := range sim.names {
				if sim.leader() == sim.instances[name] {
					sim.partition[name] = 1
				}
			}
			sim.stepFor(longerLease)
			sim.stepWithFaults(stepsInRound)
			sim.endFaults()
			sim.stepFor(longerQuietPeriod)
		}
		sim.failOnViolation(t, seed)
	}
}

// TestLeaderWithLongerLeaseIsCutOff cuts off a leader whose lease was lengthened while the others have the shorter one. Its leases must
// end before the others elect a leader and grant them again, and the others must do so soon.
func TestLeaderWithLongerLeaseIsCutOff(t *testing.T) {
	sim := newSimulation(simulationConfig{seed: 1, instances: 5, duties: 20, clockDrift: 0.01, assumedDrift: 0.01})
	sim.stepFor(5 * time.Second)
	sim.lengthenLease("n0")
	sim.stepFor(longerLease)
	if sim.leader() != sim.instances["n0"] || sim.spread(5) > 1 {
		t.Fatal("n0 does not lead, or instances have different shares of the jobs")
	}
	sim.partition["n0"] = 1
	cut := sim.realTime
	sim.stepFor(2 * longerLease)
	sim.failOnViolation(t, 1)
	for _, duty := range sim.duties {
		if sim.lastOwner[duty.Name] == "n0" || sim.lastRun[duty.Name] < cut {
			t.Errorf("%s was held last by %s and ran last at %v, want another holder and a run after %v",
				duty.Name, sim.lastOwner[duty.Name], sim.lastRun[duty.Name], cut)
		}
	}
}

// TestVotesCountAsLongAsTheyLast checks how long a leadership lasts, for votes of different durations: a majority of them must last at
// least as long.
func TestVotesCountAsLongAsTheyLast(t *testing.T) {
	const own = 8 * time.Second
	for _, test := range []struct {
		name  string
		votes []time.Duration // of the other instances, in the order of arrival; 0: not stated
		want  time.Duration
	}{
		{"equal leases", []time.Duration{own, own}, own},
		{"shorter ones", []time.Duration{time.Second, 2 * time.Second}, time.Second},
		{"one of a majority is shorter", []time.Duration{own, time.Second}, time.Second},
		{"a majority without the shorter one", []time.Duration{own, time.Second, own}, own},
		{"longer ones", []time.Duration{time.Hour, time.Hour}, own},
		{"not stated", []time.Duration{0, 0}, own},
	} {
		t.Run(test.name, func(t *testing.T) {
			members := []string{"a", "b", "c", "d", "e"}
			instance := New(Config{Name: "a", Members: members, Lease: own, Heartbeat: time.Second, StartUnixMilli: 1000}, 0)
			now := instance.QuietPeriod()
			var request Message
			for request.Term == 0 || request.Kind != VoteRequest {
				now += stepLength
				for _, message := range instance.Tick(now) {
					request = message
				}
			}
			for i, duration := range test.votes {
				instance.Receive(now, Message{Kind: Vote, From: members[1+i], To: "a", Term: request.Term, Sequence: request.Sequence,
					Granted: true, Duration: duration})
			}
			if got := instance.leaderUntil - now; !instance.IsLeader(now) || got != test.want {
				t.Errorf("leader %v for %v, want it to lead for %v", instance.IsLeader(now), got, test.want)
			}
			if got := instance.nextVoteRequest - now; got > test.want/minRenewalsPerLease {
				t.Errorf("requests votes again after %v, want at most a third of %v", got, test.want)
			}
		})
	}
}
