package lease

import (
	"cmp"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var (
	schedules = flag.Int("schedules", 400, "number of random schedules of loss, partitions, pauses, kills and graceful restarts")
	faults    = flag.Int("faults", 2, "maximum number of faults in a schedule of a small installation, for which all schedules are run")
)

// simulation is an installation whose instances have their own clocks, on a network that delays, loses and duplicates messages and
// may be partitioned. After each step it checks that no job has two lease holders and that fencing tokens rise.
type simulation struct {
	random        *rand.Rand
	realTime      time.Duration
	names         []string
	duties        []Duty
	instances     map[string]*simulatedInstance
	clockDrift    float64                  // actual drift of the clocks of instances
	assumedDrift  float64                  // Config.Drift
	faultInterval int                      // mean number of steps between two faults
	leases        map[string]time.Duration // Config.Lease of instances that start with another one than simulatedLease

	// Network.
	inTransit []delivery
	partition map[string]int // by instance: its side of the partition
	oneWay    [2]string      // messages from the first to the second instance are lost
	separated [2]string      // messages between these two instances are lost in both directions
	loss      float64        // probability that a message is lost

	// Observations.
	lastOwner       map[string]string        // by job
	lastFence       map[string]uint64        // by job
	lastRun         map[string]time.Duration // by job: real time
	violations      []string                 // descriptions of violated rules
	messages, bytes int                      // numbers of messages and bytes sent
	record          io.Writer                // receives the bytes of every message sent; nil: none

	// If clocksStepped is set, the wall clock of an instance may be stepped before each start. The other fields count the starts
	// with a clock ahead, behind and at the same millisecond as at the start before.
	clocksStepped                         bool
	startsAhead, startsBehind, startsSame int

	// Functions that inject a bug into the code under test; nil: none.
	atStart, afterStep func(*simulatedInstance)
}

// simulatedInstance is one incarnation of an instance.
type simulatedInstance struct {
	instance       *Instance
	activeRuns     []RunOrder
	inbox          []Message
	clockRate      float64       // of its clock, relative to real time
	clockOffset    time.Duration // of its clock at real time 0
	startedAt      time.Duration // real time
	pausedUntil    time.Duration // real time
	deadUntil      time.Duration // real time
	restarts       bool          // a new incarnation starts at deadUntil
	initialized    bool          // simulation.atStart has been called
	startUnixMilli uint64        // wall clock at its start
}

// delivery is a message in transit.
type delivery struct {
	arrivesAt time.Duration // real time
	message   Message
}

const (
	stepLength         = 20 * time.Millisecond
	longestDelay       = 150 // milliseconds; upper bound of the time that a message takes
	simulatedLease     = 1200 * time.Millisecond
	simulatedHeartbeat = 250 * time.Millisecond
	longestQuietPeriod = 2100 * time.Millisecond // real time that the quiet period takes with the slowest clock
	scheduleSteps      = 600                     // steps with faults in one schedule
)

// simulationConfig describes a simulated installation.
type simulationConfig struct {
	seed         uint64 // of all random decisions
	instances    int
	duties       int
	clockDrift   float64 // actual drift of the clocks
	assumedDrift float64 // Config.Drift
}

// smallConfig returns an installation of three or five instances whose clocks are as far apart as Config.Drift allows.
func smallConfig(seed uint64, duties int) simulationConfig {
	return simulationConfig{seed: seed, instances: 3 + 2*int(seed%2), duties: duties, clockDrift: 0.1, assumedDrift: 0.1}
}

// newSimulation returns an installation whose instances start now.
func newSimulation(config simulationConfig) *simulation {
	sim := &simulation{
		random:        rand.New(rand.NewPCG(config.seed, 7)),
		instances:     map[string]*simulatedInstance{},
		leases:        map[string]time.Duration{},
		partition:     map[string]int{},
		clockDrift:    config.clockDrift,
		assumedDrift:  config.assumedDrift,
		lastOwner:     map[string]string{},
		lastFence:     map[string]uint64{},
		lastRun:       map[string]time.Duration{},
		faultInterval: 20 + int(config.seed*7%60),
	}
	for i := range config.instances {
		sim.names = append(sim.names, fmt.Sprintf("n%d", i))
	}
	for i := range config.duties {
		sim.duties = append(sim.duties, Duty{
			Name:    fmt.Sprintf("d%d", i),
			Period:  700 * time.Millisecond,
			Timeout: 300 * time.Millisecond,
			CatchUp: i%2 == 0,
		})
	}
	for _, name := range sim.names {
		sim.start(name)
	}
	return sim
}

// newCalmSimulation returns an installation with small drift and with jobs of realistic periods.
func newCalmSimulation(instances, duties int) *simulation {
	sim := newSimulation(simulationConfig{seed: 3, instances: instances, duties: duties, clockDrift: 0.01, assumedDrift: 0.02})
	for i := range sim.duties {
		sim.duties[i].Period, sim.duties[i].Timeout = 10*time.Second, time.Second
	}
	sim.instances = map[string]*simulatedInstance{}
	for _, name := range sim.names {
		sim.start(name)
	}
	return sim
}

// start begins a new incarnation of an instance.
func (sim *simulation) start(name string) {
	node := &simulatedInstance{
		clockRate:   1 + sim.clockDrift*float64(1-2*sim.random.IntN(2)),
		clockOffset: time.Duration(sim.random.IntN(1e9)),
		startedAt:   sim.realTime,
	}
	before := sim.instances[name]
	sim.instances[name] = node
	late := sim.random.IntN(500)
	if sim.faultInterval%2 == 0 { // so that some instances start in the same millisecond
		late %= 2
	}
	node.startUnixMilli = 1e6 + uint64(sim.realTime.Milliseconds()) + uint64(late)
	if sim.clocksStepped {
		node.startUnixMilli = sim.stepWallClock(node.startUnixMilli, before)
	}
	node.instance = New(Config{
		Name:           name,
		Members:        sim.names,
		Lease:          cmp.Or(sim.leases[name], simulatedLease),
		Heartbeat:      simulatedHeartbeat,
		Drift:          sim.assumedDrift,
		Duties:         sim.duties,
		Seed:           sim.random.Uint64(),
		StartUnixMilli: node.startUnixMilli,
	}, node.clock(sim.realTime))
}

// stepWallClock returns the wall clock at a start, in milliseconds: correct, an hour behind or ahead, or the same as at the start
// of the previous incarnation, if there is one.
func (sim *simulation) stepWallClock(correct uint64, before *simulatedInstance) uint64 {
	hour := uint64(time.Hour.Milliseconds())
	correct += 10 * hour // so that a clock an hour behind is not below 0
	switch sim.random.IntN(4) {
	case 0:
		sim.startsBehind++
		return correct - hour
	case 1:
		sim.startsAhead++
		return correct + hour
	case 2:
		if before != nil {
			sim.startsSame++
			return before.startUnixMilli
		}
	}
	return correct
}

// clock returns the time by the clock of an instance.
func (node *simulatedInstance) clock(realTime time.Duration) time.Duration {
	return node.clockOffset + time.Duration(float64(realTime)*node.clockRate)
}

// step advances real time by one step and checks the rules.
func (sim *simulation) step() {
	sim.realTime += stepLength
	sim.deliver()
	for _, name := range sim.names {
		if node := sim.instances[name]; node.deadUntil <= sim.realTime && node.pausedUntil <= sim.realTime {
			sim.stepInstance(name)
		}
	}
	sim.check()
}

// deliver moves messages that have arrived into the inboxes. Messages to dead instances are lost.
func (sim *simulation) deliver() {
	var later []delivery
	for _, each := range sim.inTransit {
		if each.arrivesAt > sim.realTime {
			later = append(later, each)
			continue
		}
		if receiver := sim.instances[each.message.To]; receiver.deadUntil <= sim.realTime {
			receiver.inbox = append(receiver.inbox, each.message)
		}
	}
	sim.inTransit = later
}

// stepInstance lets an instance handle its messages and perform the actions that are due.
func (sim *simulation) stepInstance(name string) {
	if sim.instances[name].restarts {
		sim.start(name)
	}
	node := sim.instances[name]
	if sim.atStart != nil && !node.initialized {
		node.initialized = true
		sim.atStart(node)
	}
	now := node.clock(sim.realTime)
	for _, message := range node.inbox {
		sim.send(node.instance.Receive(now, message))
	}
	node.inbox = nil
	sim.send(node.instance.Tick(now))
	sim.run(node, now)
	if node.instance.HasLeft(now) { // it restarts after a random time
		sim.start(name)
		sim.instances[name].deadUntil = sim.realTime + sim.randomMilliseconds(2000)
	}
	if sim.afterStep != nil {
		sim.afterStep(node)
	}
}

// run begins runs that are due. It ends runs that may no longer act, and others at random.
func (sim *simulation) run(node *simulatedInstance, now time.Duration) {
	for _, order := range node.instance.DueRuns(now) {
		sim.lastRun[order.Duty] = sim.realTime
		node.activeRuns = append(node.activeRuns, order)
	}
	node.activeRuns = slices.DeleteFunc(node.activeRuns, func(order RunOrder) bool {
		_, mayAct := node.instance.MayAct(now, order.Duty, order.Run)
		ends := !mayAct || sim.random.IntN(4) == 0
		if ends {
			node.instance.RunEnded(order.Duty, order.Run)
		}
		return ends
	})
}

// send sends messages over the network, after encoding and decoding them. One in ten is duplicated.
func (sim *simulation) send(list []Message) {
	for _, message := range list {
		raw := Append(nil, &message)
		if sim.record != nil {
			sim.record.Write(recordedForm(message))
		}
		sim.messages++
		sim.bytes += len(raw)
		decoded, err := Parse(raw)
		if err != nil {
			panic(err)
		}
		decoded.From, decoded.To = message.From, message.To
		if !sim.connected(message.From, message.To) || sim.random.Float64() < sim.loss {
			continue
		}
		for range 1 + sim.random.IntN(10)/9 {
			sim.inTransit = append(sim.inTransit, delivery{sim.realTime + sim.randomMilliseconds(longestDelay), decoded})
		}
	}
}

// recordedForm returns a message in the form in which recordedDecisions was recorded: at that time votes did not state their
// duration. It panics if a vote states another duration than the lease of all instances.
func recordedForm(message Message) []byte {
	if message.Kind == Vote && message.Granted {
		if message.Duration != simulatedLease {
			panic(fmt.Sprintf("a vote states a duration of %v, want %v", message.Duration, simulatedLease))
		}
		message.Duration = 0
	}
	return Append(nil, &message)
}

// connected reports whether messages from one instance can reach another.
func (sim *simulation) connected(from, to string) bool {
	return sim.partition[from] == sim.partition[to] && sim.oneWay != [2]string{from, to} &&
		sim.separated != [2]string{from, to} && sim.separated != [2]string{to, from}
}

// randomMilliseconds returns a random time below the given number of milliseconds.
func (sim *simulation) randomMilliseconds(below int) time.Duration {
	return time.Duration(sim.random.IntN(below)) * time.Millisecond
}

// check records violations of the rules: a job with two lease holders, a fencing token that is lower than before, or a new owner
// without a higher token.
func (sim *simulation) check() {
	for _, duty := range sim.duties {
		holder := ""
		for _, name := range sim.names {
			node := sim.instances[name]
			if node.deadUntil > sim.realTime {
				continue
			}
			fence, ok := node.instance.Holds(node.clock(sim.realTime), duty.Name)
			if !ok {
				continue
			}
			if holder != "" {
				sim.violations = append(sim.violations, fmt.Sprintf("%v: %s is held by %s and %s", sim.realTime, duty.Name, holder, name))
			}
			holder = name
			if before := sim.lastFence[duty.Name]; fence < before || fence == before && sim.lastOwner[duty.Name] != name {
				sim.violations = append(sim.violations, fmt.Sprintf("%v: %s went to %s under token %d after token %d",
					sim.realTime, duty.Name, name, fence, before))
			}
			sim.lastOwner[duty.Name], sim.lastFence[duty.Name] = name, fence
		}
	}
}

// stepTimes simulates a number of steps without new faults.
func (sim *simulation) stepTimes(steps int) {
	for range steps {
		sim.step()
	}
}

// stepFor simulates a period of real time without new faults.
func (sim *simulation) stepFor(length time.Duration) { sim.stepTimes(int(length / stepLength)) }

// stepWithFaults simulates a number of steps with random faults.
func (sim *simulation) stepWithFaults(steps int) {
	for range steps {
		if sim.random.IntN(sim.faultInterval) == 0 {
			sim.injectFault()
		}
		sim.step()
	}
}

// injectFault injects a random fault.
func (sim *simulation) injectFault() {
	name := sim.names[sim.random.IntN(len(sim.names))]
	node := sim.instances[name]
	switch sim.random.IntN(9) {
	case 0: // partitioned
		for _, each := range sim.names {
			sim.partition[each] = sim.random.IntN(2)
		}
	case 1: // network repaired
		clear(sim.partition)
		sim.oneWay, sim.loss = [2]string{}, 0
	case 2: // messages lost in one direction
		sim.oneWay = [2]string{name, sim.names[sim.random.IntN(len(sim.names))]}
	case 3: // messages lost at random
		sim.loss = 0.3 * sim.random.Float64()
	case 4, 5: // paused
		node.pausedUntil = sim.realTime + sim.randomMilliseconds(4000)
	case 6: // killed, and restarted later
		sim.start(name)
		sim.instances[name].deadUntil = sim.realTime + sim.randomMilliseconds(3000)
	case 7: // restarted at once
		sim.start(name)
	case 8: // leaves
		if node.deadUntil <= sim.realTime {
			node.instance.Leave()
		}
	}
}

// endFaults ends all faults and restarts instances that were leaving.
func (sim *simulation) endFaults() {
	clear(sim.partition)
	sim.oneWay, sim.loss = [2]string{}, 0
	for _, name := range sim.names {
		node := sim.instances[name]
		node.pausedUntil, node.deadUntil = 0, 0
		if node.instance.leaving {
			sim.start(name)
		}
	}
}

// settled reports whether every instance has been up for longer than its quiet period, in which it requests the highest term from
// the others.
func (sim *simulation) settled() bool {
	for _, name := range sim.names {
		if node := sim.instances[name]; sim.realTime < max(node.startedAt, node.deadUntil)+longestQuietPeriod {
			return false
		}
	}
	return true
}

// reconnect ends partitions, separations, loss and pauses.
func (sim *simulation) reconnect() {
	clear(sim.partition)
	sim.oneWay, sim.separated, sim.loss = [2]string{}, [2]string{}, 0
	for _, node := range sim.instances {
		node.pausedUntil = 0
	}
}

// settleThenStep waits until all instances are settled. Then it simulates a number of steps in which instances restart with stepped
// wall clocks.
func (sim *simulation) settleThenStep(steps int) {
	for !sim.settled() {
		sim.step()
	}
	for range steps {
		if sim.random.IntN(1+sim.faultInterval/4) == 0 {
			sim.injectFaultWithSteppedClock()
		}
		sim.step()
	}
}

// injectFaultWithSteppedClock injects a fault that the package must tolerate while wall clocks are stepped. Nothing is stored across
// a restart, so fencing tokens are certain to rise only if an instance that starts reaches each of the others in its quiet period.
// Therefore only one instance restarts at a time, and no instance is isolated or paused until all are settled. Two other instances
// may be separated from each other during the restart.
func (sim *simulation) injectFaultWithSteppedClock() {
	if !sim.settled() {
		return
	}
	order := sim.random.Perm(len(sim.names))
	name, second, third := sim.names[order[0]], sim.names[order[1]], sim.names[order[2]]
	switch sim.random.IntN(4) {
	case 0, 1: // restarted at once or later
		sim.reconnect()
		node := sim.instances[name]
		node.restarts = true
		node.deadUntil = sim.realTime + time.Duration(sim.random.IntN(2)*sim.random.IntN(3000))*time.Millisecond
		if sim.random.IntN(2) == 0 {
			sim.separated = [2]string{second, third}
		}
	case 2: // isolated; if two instances are separated, the first of them is isolated
		if sim.separated[0] != "" {
			name = sim.separated[0]
		}
		sim.partition[name] = 1
		sim.loss = 0.3 * sim.random.Float64()
	case 3: // paused
		sim.reconnect()
		sim.instances[name].pausedUntil = sim.realTime + sim.randomMilliseconds(8000)
	}
}

// waitFor simulates steps until a condition holds, and returns how long that took in real time of the simulation. It fails the test
// if that takes longer than limit, or if a rule is violated.
func (sim *simulation) waitFor(t *testing.T, limit time.Duration, condition string, holds func() bool) time.Duration {
	t.Helper()
	began := sim.realTime
	for !holds() {
		if sim.step(); sim.realTime-began > limit {
			t.Fatalf("%s: not within %v", condition, limit)
		}
	}
	if len(sim.violations) > 0 {
		t.Fatal(sim.violations[0])
	}
	return sim.realTime - began
}

// failOnViolation fails the test if a rule was violated.
func (sim *simulation) failOnViolation(t *testing.T, seed uint64) {
	t.Helper()
	if len(sim.violations) > 0 {
		t.Fatalf("seed %d: rules violated: %q", seed, sim.violations[:min(3, len(sim.violations))])
	}
}

// owners returns the present lease holder of each job that has one.
func (sim *simulation) owners() map[string]string {
	owners := map[string]string{}
	for _, name := range sim.names {
		node := sim.instances[name]
		if node.deadUntil > sim.realTime {
			continue
		}
		for _, held := range node.instance.sortedLeases {
			if node.clock(sim.realTime) < held.expires {
				owners[held.duty] = name
			}
		}
	}
	return owners
}

// shares simulates one second and returns how many leases each instance had, summed over the steps. A single step would not do, as
// with clocks far apart a lease may expire for a moment before it is renewed.
func (sim *simulation) shares() map[string]int {
	shares := map[string]int{}
	for range time.Second / stepLength {
		for _, owner := range sim.owners() {
			shares[owner]++
		}
		sim.step()
	}
	return shares
}

// leader returns the present leader, or nil if there is none.
func (sim *simulation) leader() *simulatedInstance {
	for _, name := range sim.names {
		if node := sim.instances[name]; node.deadUntil <= sim.realTime && node.instance.IsLeader(node.clock(sim.realTime)) {
			return node
		}
	}
	return nil
}

// spread returns the difference between the largest and the smallest number of leases of an instance. The smallest number is 0 if
// fewer than the given number of instances have any.
func (sim *simulation) spread(instances int) int {
	shares := map[string]int{}
	for _, owner := range sim.owners() {
		shares[owner]++
	}
	smallest, largest := len(sim.duties), 0
	for _, share := range shares {
		smallest, largest = min(smallest, share), max(largest, share)
	}
	if len(shares) < instances {
		return largest
	}
	return largest - smallest
}
