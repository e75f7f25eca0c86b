package changefeed

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

var (
	schedules = flag.Int("schedules", 80, "number of random schedules of loss, partitions, restarts and moves in small installations")
	directors = flag.Int("directors", 580, "number of directors in the large installation")
	steps     = flag.Int("steps", 300, "number of steps with faults in the large installation, of 50 ms each")
)

const (
	step            = 50 * time.Millisecond
	compareInterval = 500 * time.Millisecond
	maxHops         = 50              // maximum number of hops of an event; each rounds its age up by less than a microsecond
	forgedNumber    = uint64(1) << 40 // event number that no origin reaches

	maxRecoverySteps = 100 // steps after the faults in which all must catch up: 10 comparisons of positions
)

// acceptsGaps enables injectGapBug. Only TestSimulationFindsGapTakenAsRead sets it.
var acceptsGaps bool

// injectGapBug injects a bug if acceptsGaps is set: readers and control machines accept an event after a gap. It sets Prev of an event
// to 0 just before the event is read. So the event is accepted at any position below its number, as if the reader ignored Prev.
func injectGapBug(event *Event) {
	if acceptsGaps {
		event.Prev = 0
	}
}

// simulation is an installation of control machines and of the directors that follow them. Its network delays, loses, duplicates
// and reorders messages and is partitioned. It records what is published, and checks what control machines and directors accept
// against that record.
type simulation struct {
	random          *rand.Rand
	now             time.Duration // simulated real time
	regions         int
	controls        []*machine
	directors       []*director
	inFlight        []delivery
	partition       []int   // side of the network partition, by region
	loss            float64 // probability that a message is lost
	faultInterval   int     // mean number of steps between two faults
	publishInterval int     // mean number of steps between two events of a control machine
	maxEntries      int     // maximum number of entries of a control machine; 0 means the default
	codecInterval   int     // events are encoded and decoded for one director out of this many

	// Record of what was published.
	published map[epochID][]*publishedEvent // by number, from 1
	newest    map[[2]string]*publishedEvent // newest event by origin and key
	fenced    map[string][]*publishedEvent  // events with a fencing number by key
	fence     uint64                        // last fencing number
	events    []*publishedEvent             // all events

	violations []string // descriptions of violated rules

	// If clocksStepped is set, wall clocks are stepped between incarnations. The counters are of incarnations that began with a
	// wall clock an hour ahead or behind, or in the same epoch as the previous incarnation.
	clocksStepped                          bool
	clocksAhead, clocksBehind, clocksEqual int

	// Counters that show which conditions a schedule has exercised.
	skipped      int // events that were skipped
	losses       int // skipped events that were evicted
	restarts     int // restarts of control machines
	moves        int // times that a director began to follow a control machine
	gaps         int // gaps that directors encountered
	forgedClaims int // claims of events that no machine has
	expected     int // events that all must have at the end
	superseded   int // events that were superseded by a fencing number
	renewed      int // epochs begun because an earlier incarnation was reported after the node settled
}

// publishedEvent is an event as it was published.
type publishedEvent struct {
	index       int // in simulation.events
	payload     int // its index, or the index of the original event if it was published again
	id          epochID
	number      uint64
	key         string
	fence       uint64
	publishedAt time.Duration
	lifetime    time.Duration
	holders     []holder // incarnations of control machines that have stored it
	superseded  bool     // superseded
}

// holder is one incarnation of a control machine, by its index in simulation.controls.
type holder struct{ machine, incarnation int }

// machine is one control machine.
type machine struct {
	name        string
	region      int
	node        *Node
	incarnation int
	epoch       uint64
	clockOffset time.Duration                     // difference of its clock from real time
	deadUntil   time.Duration                     // real time before which it does not run
	transit     map[*publishedEvent]time.Duration // total time in transit of each stored event, which its age does not include
	lost        map[epochID]uint64                // number up to which events were reported as lost
	fences      map[string]uint64                 // fencing number that it uses, by key; a later lease holder may exist
	startedAt   time.Duration                     // real time of the start of this incarnation
	unsettled   []*publishedEvent                 // events published before it settled, which have not been sent to any machine
	settled     bool
}

const (
	learnPeriod = 3 * compareInterval
	hourMillis  = uint64(time.Hour / time.Millisecond)
)

// steppedEpoch returns an epoch from a wall clock that was stepped at random: correct, an hour behind or ahead, or equal to that at the
// start of the previous incarnation.
func (sim *simulation) steppedEpoch(control *machine) uint64 {
	correct := 10*hourMillis + uint64(sim.now/time.Millisecond)
	switch sim.random.IntN(4) {
	case 0:
		sim.clocksBehind++
		return correct - hourMillis
	case 1:
		sim.clocksAhead++
		return correct + hourMillis
	case 2:
		if control.epoch > 0 {
			sim.clocksEqual++
			return control.epoch
		}
	}
	return correct
}

// allSettled reports whether all control machines run and have settled.
func (sim *simulation) allSettled() bool {
	return !slices.ContainsFunc(sim.controls, func(control *machine) bool { return !sim.alive(control) || !control.settled })
}

// observeEpoch records a change of a control machine's epoch, and once the machine has settled, the events that it published before.
func (sim *simulation) observeEpoch(control *machine) {
	before := control.epoch
	control.epoch = control.node.Epoch()
	if control.settled && control.epoch != before { // only a director reported an earlier incarnation
		sim.recordRenewal(control, epochID{control.name, before})
		return
	}
	if control.settled || !control.node.Settled() {
		return
	}
	control.settled = true
	id := epochID{control.name, control.epoch}
	if len(sim.published[id]) > 0 {
		sim.fail("%s publishes in epoch %d, as an earlier incarnation did", control.name, control.epoch)
	}
	for i, published := range control.unsettled {
		published.id, published.number = id, uint64(i+1)
	}
	sim.published[id], control.unsettled = control.unsettled, nil
}

// recordRenewal records the events that a control machine published again in a higher epoch.
func (sim *simulation) recordRenewal(control *machine, before epochID) {
	id := epochID{control.name, control.epoch}
	if len(sim.published[id]) > 0 {
		sim.fail("%s publishes in epoch %d, as an earlier incarnation did", control.name, control.epoch)
	}
	sim.renewed++
	for _, entry := range control.node.store.own.entries {
		index := slices.IndexFunc(sim.published[before], func(published *publishedEvent) bool {
			return fmt.Sprint(published.payload) == string(entry.payload)
		})
		if index < 0 || entry.removed {
			sim.fail("%s published %q again, which it had not published", control.name, entry.payload)
			return
		}
		published := sim.published[before][index]
		renewed := &publishedEvent{
			index:       len(sim.events),
			payload:     published.payload,
			id:          id,
			number:      entry.number,
			key:         published.key,
			fence:       published.fence,
			publishedAt: published.publishedAt,
			lifetime:    published.lifetime,
			superseded:  published.superseded,
		}
		published.superseded = true
		sim.events = append(sim.events, renewed)
		sim.published[id] = append(sim.published[id], renewed)
		sim.newest[[2]string{control.name, published.key}] = renewed
		if renewed.fence > 0 {
			sim.fenced[renewed.key] = append(sim.fenced[renewed.key], renewed)
		}
		sim.recordHolder(control, renewed, 0)
	}
}

// clock returns the time by the clock of the machine.
func (control *machine) clock(realTime time.Duration) time.Duration {
	return realTime + control.clockOffset
}

// director is a simulated director. It subscribes at one control machine at a time.
type director struct {
	region             int
	reader             *Reader
	machine            *machine // control machine that it subscribes at, or nil
	machineIncarnation int      // incarnation of that machine at the time of the subscription
	cursor             *Cursor
	inFlight           []batch
	linkBreaksAt       time.Duration      // when its link breaks; 0 if it does not
	writeInterval      int                // mean number of steps between two batches of events to it
	maxBytes           int                // maximum number of bytes that are sent to it at a time
	accepted           map[int]bool       // by index of the event
	last               map[epochID]uint64 // number of the last accepted event
	lost               map[epochID]uint64 // number up to which events were reported as lost
	fences             map[string]uint64  // highest accepted fencing number by key
}

// batch is a group of events that are sent to a director together.
type batch struct {
	arrivesAt time.Duration
	events    []carriedEvent
}

// carriedEvent is an event in transit, with its total time in transit, which its age does not include.
type carriedEvent struct {
	Event
	transit time.Duration
}

// delivery is a message in transit to a control machine.
type delivery struct {
	arrivesAt, sentAt time.Duration
	message           Message
	transit           []time.Duration // by event: time in transit before the message was sent
}

// newSimulation returns an installation at time 0. All random choices are determined by the seed.
func newSimulation(seed uint64, controls, directors, regions int) *simulation {
	sim := &simulation{
		random:          rand.New(rand.NewPCG(seed, 11)),
		regions:         regions,
		partition:       make([]int, regions),
		faultInterval:   10 + int(seed*7%30),
		publishInterval: 4,
		codecInterval:   1,
		published:       map[epochID][]*publishedEvent{},
		newest:          map[[2]string]*publishedEvent{},
		fenced:          map[string][]*publishedEvent{},
	}
	for i := range controls {
		sim.controls = append(sim.controls, &machine{name: fmt.Sprintf("c%d", i), region: i % regions})
	}
	for _, control := range sim.controls {
		sim.start(control)
	}
	for i := range directors {
		sim.directors = append(sim.directors, &director{region: i % regions, writeInterval: 1 + i%3, maxBytes: 200 << (i % 8)})
		sim.reset(sim.directors[i])
	}
	return sim
}

// names returns the names of all control machines.
func (sim *simulation) names() (list []string) {
	for _, control := range sim.controls {
		list = append(list, control.name)
	}
	return list
}

// start begins another incarnation of a control machine.
func (sim *simulation) start(control *machine) {
	control.incarnation++
	control.epoch += 1 + uint64(sim.random.IntN(3))
	control.clockOffset = time.Duration(sim.random.IntN(1e9))
	control.transit = map[*publishedEvent]time.Duration{}
	control.lost = map[epochID]uint64{}
	control.fences = map[string]uint64{}
	control.startedAt, control.settled = sim.now, true
	config := Config{
		Name:            control.name,
		Origins:         sim.names(),
		CompareInterval: compareInterval,
		MaxEntries:      sim.maxEntries,
	}
	if sim.clocksStepped {
		for _, published := range control.unsettled { // the incarnation ended before it sent these events
			published.superseded = true
		}
		control.unsettled, control.settled = nil, false
		control.epoch = sim.steppedEpoch(control)
		config.LearnPeriod = learnPeriod
	}
	config.Epoch = control.epoch
	if err := config.Check(); err != nil {
		panic(err)
	}
	control.node = New(config)
}

// reset begins another incarnation of a director.
func (sim *simulation) reset(follower *director) {
	follower.reader = NewReader(sim.names())
	follower.accepted = map[int]bool{}
	follower.last = map[epochID]uint64{}
	follower.lost = map[epochID]uint64{}
	follower.fences = map[string]uint64{}
	follower.disconnect()
}

// disconnect ends the link of a director. Events in transit to the director are lost.
func (follower *director) disconnect() {
	follower.machine, follower.cursor, follower.inFlight, follower.linkBreaksAt = nil, nil, nil, 0
}

// alive reports whether a control machine runs.
func (sim *simulation) alive(control *machine) bool { return control.deadUntil <= sim.now }

// fail records a violation.
func (sim *simulation) fail(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%v: ", sim.now)+fmt.Sprintf(format, args...))
}

// event returns the record of an event, or nil if no such event was published.
func (sim *simulation) event(id epochID, number uint64) *publishedEvent {
	if list := sim.published[id]; number > 0 && number <= uint64(len(list)) {
		return list[number-1]
	}
	return nil
}

// machine returns the control machine with a name.
func (sim *simulation) machine(name string) *machine {
	return sim.controls[slices.IndexFunc(sim.controls, func(control *machine) bool { return control.name == name })]
}

// step simulates one step of time and checks the rules. If quiet is set, no machine publishes.
func (sim *simulation) step(quiet bool) {
	sim.now += step
	for _, control := range sim.controls {
		if sim.alive(control) && !quiet && sim.random.IntN(sim.publishInterval) == 0 {
			sim.publish(control)
		}
	}
	sim.deliverArrivals()
	for _, control := range sim.controls {
		if !sim.alive(control) {
			continue
		}
		out := control.node.Tick(control.clock(sim.now))
		sim.observeEpoch(control)
		sim.send(control, out)
	}
	for i, follower := range sim.directors {
		sim.stepDirector(i, follower)
	}
	sim.check()
}

// deliverArrivals delivers the messages that have arrived. Messages to control machines that do not run are lost.
func (sim *simulation) deliverArrivals() {
	inFlight := sim.inFlight
	sim.inFlight = nil
	for i := range inFlight {
		arrival := &inFlight[i]
		if arrival.arrivesAt > sim.now {
			sim.inFlight = append(sim.inFlight, *arrival)
			continue
		}
		if control := sim.machine(arrival.message.To); sim.alive(control) {
			sim.deliver(arrival, control)
		}
	}
}

// stepDirector simulates one step of a director: it connects if necessary, reads events that have arrived, and is sent further ones.
func (sim *simulation) stepDirector(i int, follower *director) {
	if follower.machine != nil && sim.isLinkBroken(follower) {
		follower.disconnect()
	}
	if follower.machine == nil {
		sim.follow(follower)
	}
	sim.read(i, follower)
	if follower.machine != nil && sim.random.IntN(follower.writeInterval) == 0 {
		sim.write(i, follower)
	}
}

// isLinkBroken reports whether the link of a director to its control machine has to end.
func (sim *simulation) isLinkBroken(follower *director) bool {
	control := follower.machine
	isRestarted := control.incarnation != follower.machineIncarnation
	isCutOff := sim.partition[control.region] != sim.partition[follower.region]
	isDue := follower.linkBreaksAt > 0 && follower.linkBreaksAt <= sim.now
	return !sim.alive(control) || isRestarted || isCutOff || isDue
}

// injectFault injects a random fault.
func (sim *simulation) injectFault() {
	control := sim.controls[sim.random.IntN(len(sim.controls))]
	if sim.clocksStepped && !sim.allSettled() { // only one machine restarts at a time, so that the others can report its earlier epochs to it
		return
	}
	switch sim.random.IntN(8) {
	case 0, 1: // regions are partitioned
		for i := range sim.partition {
			sim.partition[i] = sim.random.IntN(2)
		}
	case 2: // the network is repaired
		clear(sim.partition)
		sim.loss = 0
	case 3: // messages are lost at random
		sim.loss = 0.3 * sim.random.Float64()
	case 4: // a control machine restarts with an empty log, at once or later
		if sim.clocksStepped {
			clear(sim.partition)
			sim.loss = 0
		}
		if control.incarnation < logEpochs-2 { // with more incarnations the log of the oldest epoch would be evicted
			sim.start(control)
			control.deadUntil = sim.now + time.Duration(sim.random.IntN(2)*sim.random.IntN(3000))*time.Millisecond
			sim.restarts++
		}
	case 5: // some directors restart
		for range 1 + len(sim.directors)/20 {
			sim.reset(sim.directors[sim.random.IntN(len(sim.directors))])
		}
	case 6: // some directors move
		for range 1 + len(sim.directors)/10 {
			sim.follow(sim.directors[sim.random.IntN(len(sim.directors))])
		}
	case 7: // a control machine reports forged positions or events
		sim.forgeClaims(control)
	}
}

// forgeClaims sends each other machine, in the name of a control machine, a position or an event that no machine can have.
func (sim *simulation) forgeClaims(control *machine) {
	sim.forgedClaims++
	origin := sim.controls[sim.random.IntN(len(sim.controls))]
	for _, other := range sim.controls {
		if other == control {
			continue
		}
		message := Message{Kind: Positions, From: control.name, To: other.name, Vector: Vector{{origin.name, origin.epoch, forgedNumber}}}
		if sim.random.IntN(2) == 0 {
			message.Kind, message.Vector = Events, nil
			message.Events = []Event{{
				Origin:   origin.name,
				Epoch:    origin.epoch,
				Number:   forgedNumber,
				Prev:     forgedNumber - 1,
				Key:      "forged",
				Lifetime: time.Hour,
			}}
		}
		sim.send(control, []Message{message})
	}
}

// run simulates a number of steps with faults. Then it ends all faults, and checks that all machines and directors catch up. It stops
// at the first violation.
func (sim *simulation) run(steps int) {
	for range steps {
		if sim.random.IntN(sim.faultInterval) == 0 {
			sim.injectFault()
		}
		sim.step(false)
		if len(sim.violations) > 0 {
			return
		}
	}
	clear(sim.partition)
	sim.loss = 0
	for _, control := range sim.controls {
		control.deadUntil = 0
	}
	for _, follower := range sim.directors {
		follower.writeInterval, follower.maxBytes = 1, max(follower.maxBytes, 4000)
	}
	for range maxRecoverySteps {
		sim.step(true)
		if len(sim.violations) > 0 {
			return
		}
		if sim.now%compareInterval == 0 && len(sim.lagging()) == 0 {
			sim.checkComplete()
			return
		}
	}
	sim.fail("not all have caught up after %v: %v", maxRecoverySteps*step, sim.lagging())
}
