package mixed

import (
	"math/rand/v2"
	"os"
	"sync"
	"syscall"
	"time"

	"indigochute.example/indigochute/internal/discovery"
	"indigochute.example/indigochute/internal/routing"
)

// maxProcessPause is the longest pause of the director's process by the trial.
const maxProcessPause = 260 * time.Millisecond

// Streams of the trial's random source. Nodes use their IDs as streams, and clients the streams from firstClientStream.
const (
	pauseStream       = 11
	conditionStream   = 12
	listStream        = 13
	firstClientStream = 1000
)

// pauseProcess pauses the director's process from time to time.
func (t *trial) pauseProcess(p *os.Process) {
	random := t.randomSource(pauseStream)
	for t.sleep(randomBetween(random, 200*time.Millisecond, 900*time.Millisecond)) && t.faultsDue() {
		from, length := time.Now(), randomBetween(random, 50*time.Millisecond, maxProcessPause)
		p.Signal(syscall.SIGSTOP)
		time.Sleep(length)
		p.Signal(syscall.SIGCONT)
		t.mu.Lock()
		t.pauses = append(t.pauses, interval{from, from.Add(length)}) // the machine causes any longer pause
		t.counts["process paused"]++
		t.mu.Unlock()
	}
}

// disturbNodes makes random nodes hanging, slow or failing for a while.
func (t *trial) disturbNodes(nodes []*node, running *sync.WaitGroup) {
	random := t.randomSource(conditionStream)
	for t.sleep(randomBetween(random, 200*time.Millisecond, 600*time.Millisecond)) && t.faultsDue() {
		n := nodes[random.IntN(len(nodes))]
		n.setCondition([]condition{hanging, slow, failing}[random.IntN(3)])
		t.count("node disturbed")
		length := randomBetween(random, 300*time.Millisecond, 1800*time.Millisecond)
		running.Go(func() {
			t.sleep(length)
			n.setCondition(healthy)
		})
	}
}

// listChanger changes the endpoint list: it makes nodes drain, removes, moves and restores them, and purges objects. From time to
// time it silences or moves the discovery service.
type listChanger struct {
	*trial
	random      *rand.Rand
	nodes       []*node
	service     *discoveryService
	director    *os.Process
	absentUntil map[*node]time.Time // return times of the nodes that drain or are gone
	silentUntil time.Time
}

const (
	maxAbsent        = 4               // nodes that drain or are gone at the same time
	stepsToSilence   = 25              // steps from one silence of the discovery service to the next
	stepsToWatchMove = 40              // steps from one move of the discovery service to the next
	silenceDuration  = 2 * time.Second // duration of a silence
)

// changeList changes the endpoint list until the load is over. Once faults are no longer due, it only reverts its changes.
func (t *trial) changeList(nodes []*node, service *discoveryService, director *os.Process) {
	c := &listChanger{trial: t, random: t.randomSource(listStream), nodes: nodes, service: service, director: director,
		absentUntil: map[*node]time.Time{}}
	for step := 1; t.sleep(randomBetween(c.random, 100*time.Millisecond, 300*time.Millisecond)); step++ {
		now := time.Now()
		c.restore(now)
		if !t.faultsDue() {
			continue
		}
		c.changeRandomEntry(now)
		if step%stepsToSilence == 0 {
			service.setSilent(true)
			c.silentUntil = now.Add(silenceDuration)
			t.count("discovery: silent")
		}
		if step%stepsToWatchMove == 0 && !c.moveWatch() {
			return
		}
	}
}

// restore lists nodes whose absence is over as ready again, and ends a silence that is over.
func (c *listChanger) restore(now time.Time) {
	for _, n := range c.nodes {
		if until, ok := c.absentUntil[n]; ok && (now.After(until) || !c.faultsDue()) {
			delete(c.absentUntil, n)
			n.setStartTime(now)
			c.move(n, "list: node back")
		}
	}
	if now.After(c.silentUntil) || !c.faultsDue() {
		c.service.setSilent(false)
	}
}

// changeRandomEntry purges an object, or moves, drains or removes a node.
func (c *listChanger) changeRandomEntry(now time.Time) {
	n := c.nodes[c.random.IntN(len(c.nodes))]
	_, isAbsent := c.absentUntil[n]
	switch draw := c.random.Float64(); {
	case draw < 0.3:
		object := 1 + c.random.Uint64N(objects)
		c.service.publish(discovery.Event{Purge: &discovery.Purge{Object: object, StampUnix: now.UnixMilli()}})
		c.count("list: purge")
	case isAbsent || len(c.absentUntil) >= maxAbsent:
	case draw < 0.5:
		c.move(n, "list: node moved")
	case draw < 0.75:
		c.remove(n, routing.Draining, now, "list: node draining")
	case draw < 0.95:
		c.remove(n, routing.Gone, now, "list: node gone")
	}
}

// move gives a node another address, publishes it there as ready, and counts the event.
func (c *listChanger) move(n *node, event string) {
	if err := n.move(); err != nil {
		c.Error(err)
	}
	c.service.publish(discovery.Event{Endpoints: []discovery.Endpoint{n.endpoint(routing.Ready)}})
	c.count(event)
}

// remove publishes a node as draining or gone for a while, and counts the event.
func (c *listChanger) remove(n *node, state routing.State, now time.Time, event string) {
	c.absentUntil[n] = now.Add(randomBetween(c.random, 300*time.Millisecond, 2*time.Second))
	c.service.publish(discovery.Event{Endpoints: []discovery.Endpoint{n.endpoint(state)}})
	c.count(event)
}

// moveWatch opens a second address of the discovery service, and makes the director reload a configuration with that address. It
// returns false if the service cannot listen.
func (c *listChanger) moveWatch() bool {
	listener, err := c.service.listen()
	if err != nil {
		c.Error(err)
		return false
	}
	c.Cleanup(func() { listener.Close() })
	c.configure(c.configuration(listener.Addr().String(), c.nodes))
	c.director.Signal(syscall.SIGHUP)
	c.count("discovery: moved")
	return true
}
