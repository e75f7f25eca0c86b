package lease

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestRandomFaultSchedules runs schedules of loss, delay, duplication, partitions, pauses, kills and restarts, with clocks as far
// apart as Config.Drift allows. It checks that no job has two lease holders, that fencing tokens rise, and that every job runs
// again after the last fault.
func TestRandomFaultSchedules(t *testing.T) {
	const recoverySteps = 450 // 9 s
	seeds := []uint64{28673}  // the schedule of this seed once failed
	for seed := range uint64(*schedules) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		sim := newSimulation(smallConfig(seed, 5))
		sim.stepWithFaults(scheduleSteps)
		sim.endFaults()
		faultsEnded := sim.realTime
		sim.stepTimes(recoverySteps)
		sim.failOnViolation(t, seed)
		if shares := sim.shares(); len(shares) != len(sim.names) {
			t.Fatalf("seed %d: long after the last fault got shares %v, want one for each of %d instances", seed, shares, len(sim.names))
		}
		for _, duty := range sim.duties {
			lastRun := sim.lastRun[duty.Name]
			longestWait := 2*duty.Period + time.Second
			if lastRun < faultsEnded || sim.realTime-lastRun > longestWait {
				t.Fatalf("seed %d: the last run of %s began at %v, want after the faults ended at %v and within %v of %v",
					seed, duty.Name, lastRun, faultsEnded, longestWait, sim.realTime)
			}
		}
	}
}

// TestWallClocksStepped restarts instances with wall clocks an hour behind, an hour ahead and at the same millisecond as before. It
// checks that no job has two lease holders, that fencing tokens still rise, and that each instance has leases soon after the last
// restart.
func TestWallClocksStepped(t *testing.T) {
	const restartLimit = 6 * time.Second // a quiet period and some elections
	ahead, behind, same := 0, 0, 0
	for seed := range uint64(*schedules) {
		sim := newSimulation(smallConfig(seed, 5))
		sim.clocksStepped = true
		for _, name := range sim.names {
			sim.start(name)
		}
		sim.settleThenStep(1500)
		ahead, behind, same = ahead+sim.startsAhead, behind+sim.startsBehind, same+sim.startsSame
		sim.failOnViolation(t, seed)
		sim.reconnect()
		sim.endFaults()
		sim.stepFor(restartLimit)
		if shares := sim.shares(); len(shares) != len(sim.names) {
			t.Fatalf("seed %d: %v after the last fault got shares %v, want one for each of %d instances",
				seed, restartLimit, shares, len(sim.names))
		}
		sim.failOnViolation(t, seed)
	}
	if min(ahead, behind, same) < *schedules {
		t.Errorf("got %d starts an hour ahead, %d an hour behind and %d in the same millisecond, want %d of each",
			ahead, behind, same, *schedules)
	}
}

// TestReceiveIgnoresTermsAboveMaximum sends an instance messages of each kind with terms at which fencing tokens overflow. The
// instance keeps its term. It adopts the highest term at which tokens do not overflow.
func TestReceiveIgnoresTermsAboveMaximum(t *testing.T) {
	const startTerm = 1000
	for _, test := range []struct {
		name     string
		term     uint64
		wantTerm uint64
	}{
		{name: "highest number", term: math.MaxUint64, wantTerm: startTerm},
		{name: "tokens overflow", term: maxTerm + 1, wantTerm: startTerm},
		{name: "highest term", term: maxTerm, wantTerm: maxTerm},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, kind := range []Kind{VoteRequest, Vote, VoteRelease, Heartbeat, LeaseGrant} {
				instance := New(Config{
					Name:           "a",
					Members:        []string{"a", "b", "c"},
					Lease:          3 * time.Second,
					Heartbeat:      time.Second,
					StartUnixMilli: startTerm,
				}, 0)
				instance.Receive(0, Message{Kind: kind, From: "b", To: "a", Term: test.term})
				got, want := instance.highestTerm, test.wantTerm
				if kind != VoteRequest && kind != Vote { // an instance adopts terms from these two kinds only
					want = startTerm
				}
				if got != want {
					t.Errorf("message of kind %d with term %d: got term %d, want %d", kind, test.term, got, want)
				}
			}
		})
	}
}

// TestSequenceNumbersDifferBetweenIncarnations starts incarnations in the same millisecond of the wall clock, and checks that no two
// of them send requests with the same sequence number. Otherwise one could accept a response to a request of an earlier one.
func TestSequenceNumbersDifferBetweenIncarnations(t *testing.T) {
	const minRequests = 4 // in 10 s
	earlier := map[uint64]bool{}
	for incarnation := range uint64(3) {
		instance := New(Config{
			Name:           "a",
			Members:        []string{"a", "b", "c"},
			Lease:          simulatedLease,
			Heartbeat:      simulatedHeartbeat,
			Seed:           1 + incarnation,
			StartUnixMilli: 1e12,
		}, 0)
		sequences := map[uint64]bool{}
		for now := time.Duration(0); now < 10*time.Second; now += stepLength {
			for _, message := range instance.Tick(now) {
				if message.Kind == VoteRequest || message.Kind == Heartbeat {
					sequences[message.Sequence] = true
				}
			}
		}
		if len(sequences) < minRequests {
			t.Errorf("got %d requests in 10 s, want at least %d", len(sequences), minRequests)
		}
		for sequence := range sequences {
			if earlier[sequence] {
				t.Errorf("incarnation %d sent request %d, want a number that no earlier incarnation used", incarnation, sequence)
			}
			earlier[sequence] = true
		}
	}
}

// TestSimulationFindsInjectedBugs checks that the simulation finds bugs that are injected into the code under test.
func TestSimulationFindsInjectedBugs(t *testing.T) {
	const (
		twoHolders     = "is held by"
		fenceNotRising = " after "
	)
	for _, bug := range []struct {
		name               string
		wantViolation      string // part of its description
		clockDrift         float64
		assumedDrift       float64
		atStart, afterStep func(*simulatedInstance)
	}{
		{
			name:          "no drift margin",
			wantViolation: twoHolders,
			clockDrift:    0.3,
		},
		{
			name:          "no quiet period",
			wantViolation: twoHolders,
			clockDrift:    0.1,
			assumedDrift:  0.1,
			atStart:       func(node *simulatedInstance) { node.instance.quietUntil, node.instance.nextVoteRequest = 0, 0 },
		},
		{
			name:          "fencing tokens of a term without a majority",
			wantViolation: fenceNotRising,
			clockDrift:    0.1,
			assumedDrift:  0.1,
			afterStep: func(node *simulatedInstance) {
				if node.instance.leaderTerm != 0 {
					node.instance.leaderTerm = node.instance.candidateTerm
				}
			},
		},
		{
			name:          "leases of a leader that left are lost",
			wantViolation: twoHolders,
			clockDrift:    0.1,
			assumedDrift:  0.1,
			afterStep: func(node *simulatedInstance) {
				if node.instance.inheritedTable != nil {
					clear(node.instance.inheritedTable.leases)
				}
			},
		},
	} {
		t.Run(bug.name, func(t *testing.T) {
			const limit = 8000
			isWanted := func(violation string) bool { return strings.Contains(violation, bug.wantViolation) }
			for seed := range uint64(limit) {
				config := smallConfig(seed, 5)
				config.clockDrift, config.assumedDrift = bug.clockDrift, bug.assumedDrift
				sim := newSimulation(config)
				sim.atStart, sim.afterStep = bug.atStart, bug.afterStep
				sim.stepWithFaults(scheduleSteps)
				if slices.ContainsFunc(sim.violations, isWanted) {
					t.Logf("found in schedule %d", seed+1)
					return
				}
			}
			t.Errorf("got no violation %q in %d schedules, want one", bug.wantViolation, limit)
		})
	}
}

// TestTakeoverAfterInstanceFailure stops one of three instances, and checks that its jobs run elsewhere within three seconds. Then it
// stops a second one, and checks that no job runs any more, as one instance of three is not a majority.
func TestTakeoverAfterInstanceFailure(t *testing.T) {
	sim := newSimulation(simulationConfig{seed: 1, instances: 3, duties: 12, clockDrift: 0.02, assumedDrift: 0.02})
	sim.stepFor(8 * time.Second)
	shares := map[string]int{}
	for _, duty := range sim.duties {
		shares[sim.lastOwner[duty.Name]]++
	}
	if len(shares) != 3 || shares["n0"] > 5 || shares["n1"] > 5 || shares["n2"] > 5 {
		t.Errorf("got shares %v, want at most 5 of 12 jobs for each of three instances", shares)
	}

	failed := sim.realTime
	sim.instances["n0"].deadUntil = time.Hour
	sim.stepFor(3 * time.Second)
	for _, duty := range sim.duties {
		if sim.lastRun[duty.Name] <= failed || sim.lastOwner[duty.Name] == "n0" {
			t.Errorf("%s ran last at %v at %s, want a run elsewhere after n0 failed at %v",
				duty.Name, sim.lastRun[duty.Name], sim.lastOwner[duty.Name], failed)
		}
	}

	sim.instances["n1"].deadUntil = time.Hour
	sim.stepFor(4 * time.Second)
	stopped := sim.realTime
	sim.stepFor(4 * time.Second)
	for _, duty := range sim.duties {
		if lastRun := sim.lastRun[duty.Name]; lastRun > stopped {
			t.Errorf("%s ran at %v with one of three instances alive, want no run after %v", duty.Name, lastRun, stopped)
		}
	}
	if len(sim.violations) > 0 {
		t.Errorf("rules violated: %q", sim.violations)
	}
}

func TestSingleInstanceRunsAllJobs(t *testing.T) {
	sim := newSimulation(simulationConfig{seed: 1, instances: 1, duties: 4})
	sim.stepFor(2 * time.Second)
	for _, duty := range sim.duties {
		if owner := sim.lastOwner[duty.Name]; owner != "n0" {
			t.Errorf("%s: got owner %q, want n0", duty.Name, owner)
		}
		if sim.lastRun[duty.Name] == 0 {
			t.Errorf("%s: never ran", duty.Name)
		}
	}
}
