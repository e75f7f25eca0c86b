package mixed

import (
	"bufio"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"indigochute.example/indigochute/internal/discovery"
	"indigochute.example/indigochute/internal/resp"
	"indigochute.example/indigochute/internal/routing"
)

// attempt is a request as it arrived at a node.
type attempt struct {
	id                      string
	class                   string
	node                    string        // address of the node
	firstByteAt, lastByteAt time.Time     // arrival times of its first and its last byte
	timeout                 time.Duration // timeout that the director sent with it
	repeatsUnresolved       bool          // whether an earlier attempt at the request may have been executed
}

const (
	maxBodyBytes       = 240_000                // limit of the protocol
	largeBodyRate      = 0.03                   // fraction of answers with a body of up to maxBodyBytes
	maxSmallBodyBytes  = 4000                   // limit for the bodies of other answers
	maxServiceTime     = 5 * time.Millisecond   // before an answer that is not late
	maxLateServiceTime = 400 * time.Millisecond // before a late answer
	maxQueuedCommands  = 1000                   // commands of a connection that were read but not handled yet
)

// condition is the temporary condition of a node.
type condition uint8

const (
	healthy condition = iota
	hanging           // sends no answers
	slow              // answers late
	failing           // answers most requests with a fault
)

// node is a cache node whose behaviour is drawn at random, within what the protocol allows cache nodes.
type node struct {
	trial     *trial
	id        uint32
	mu        sync.Mutex
	condition condition
	listeners []net.Listener // one for each address that the node has had
	address   netip.AddrPort
	startedAt time.Time
	random    *rand.Rand
}

// newNode returns a node that listens at a new address.
func (t *trial) newNode(id uint32) (*node, error) {
	n := &node{trial: t, id: id, random: t.randomSource(uint64(id))}
	return n, n.move()
}

// move gives the node a new address. The node goes on serving the earlier addresses.
func (n *node) move() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if _, err := enableTimestamps(listener.(*net.TCPListener)); err != nil { // also covers bytes that arrive before the accept
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners, n.address = append(n.listeners, listener), netip.MustParseAddrPort(listener.Addr().String())
	go n.accept(listener)
	return nil
}

// close closes all listeners.
func (n *node) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		l.Close()
	}
}

// accept serves the connections to one address until the listener is closed.
func (n *node) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		c := &nodeConn{node: n, socket: conn.(*net.TCPConn)}
		go c.serve()
	}
}

// endpoint returns the node's entry in the endpoint list.
func (n *node) endpoint(state routing.State) discovery.Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	e := discovery.Endpoint{ID: n.id, Addr: n.address, State: state, Capacity: 1}
	if !n.startedAt.IsZero() {
		e.StartedUnix = n.startedAt.UnixMilli()
	}
	return e
}

// setCondition changes the node's condition.
func (n *node) setCondition(next condition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.condition = next
}

// setStartTime sets the start time in the node's entry of the endpoint list.
func (n *node) setStartTime(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.startedAt = at
}

// nodeConn is a connection of a director to a node.
type nodeConn struct {
	node    *node
	socket  *net.TCPConn
	writing sync.Mutex
}

// timedCommand is a command with the times at which its first and its last byte were received.
type timedCommand struct {
	resp.Command
	firstByteAt, lastByteAt time.Time
}

// serve reads commands until the connection ends. Its goroutine does nothing else, so that neither locks nor answers delay
// reads.
func (c *nodeConn) serve() {
	defer c.socket.Close()
	commands := make(chan *timedCommand, maxQueuedCommands)
	defer close(commands)
	go c.handle(commands)
	timestamps, err := enableTimestamps(c.socket)
	if err != nil {
		c.node.trial.Error(err)
		return
	}
	reader := bufio.NewReaderSize(timestamps, 64<<10)
	for {
		reader.Peek(1)
		firstByteAt := timestamps.receivedAt // when the kernel received the first byte
		command, err := resp.ReadCommand(reader)
		if err != nil {
			return
		}
		commands <- &timedCommand{command, firstByteAt, timestamps.receivedAt}
	}
}

// handle handles the commands that serve has read.
func (c *nodeConn) handle(commands <-chan *timedCommand) {
	for command := range commands {
		switch {
		case command.Cancel:
			c.node.trial.count("node: cancelled request")
		case command.HealthCheck:
			c.send(resp.AppendResponse(nil, &resp.Response{ID: command.ID, Status: resp.Pong}))
		default:
			c.node.trial.recordAttempt(command, c.socket.LocalAddr().String())
			c.react(command.ID)
		}
	}
}

// send writes to the director. The lock prevents answers of several goroutines from interleaving.
func (c *nodeConn) send(b []byte) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.socket.Write(b)
}

// reaction is a node's behaviour towards a request. The trial counts it under "node: " and its value.
type reaction string

const (
	hit               reaction = "hit"
	lateHit           reaction = "late hit"
	twoHits           reaction = "hit twice"
	notCached         reaction = "not cached"
	rejected          reaction = "rejected"
	fault             reaction = "fault"
	alreadyFinished   reaction = "already finished"
	noAnswer          reaction = "no answer"
	resetConnection   reaction = "reset"
	closeConnection   reaction = "closed"
	closeWithinAnswer reaction = "closed within an answer"
	incompleteAnswer  reaction = "incomplete answer"
	malformedAnswer   reaction = "malformed answer"
)

// reactions maps a random number from 0 to 1 to a reaction: that of the first element whose bound is above the number. A number
// above all bounds means a hit.
var reactions = []struct {
	below    float64
	reaction reaction
}{
	{0.02, noAnswer}, {0.08, lateHit}, {0.10, notCached}, {0.12, rejected}, {0.14, fault}, {0.15, alreadyFinished}, {0.16, resetConnection},
	{0.17, closeConnection}, {0.175, closeWithinAnswer}, {0.18, incompleteAnswer}, {0.185, malformedAnswer}, {0.20, twoHits},
}

// statuses holds the statuses of complete answers that are not hits. These answers have no body.
var statuses = map[reaction]resp.Status{
	notCached: resp.Miss, rejected: resp.Rejected, fault: resp.Failed, alreadyFinished: resp.AlreadyFinished,
}

// draw draws the reaction to a request, the delay before it, and the size of the answer's body.
func (n *node) draw() (drawn reaction, after time.Duration, size int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	number, size := n.random.Float64(), n.random.IntN(maxSmallBodyBytes)
	if n.random.Float64() < largeBodyRate {
		size = n.random.IntN(maxBodyBytes)
	}
	after, delay := randomUpTo(n.random, maxServiceTime), randomUpTo(n.random, maxLateServiceTime)
	drawn = drawReaction(n.condition, number)
	if drawn == lateHit {
		after = delay
	}
	return drawn, after, size
}

// drawReaction returns the reaction of a node in a condition for a random number from 0 to 1.
func drawReaction(current condition, number float64) reaction {
	drawn := hit
	for _, r := range reactions {
		if number < r.below {
			drawn = r.reaction
			break
		}
	}
	switch {
	case current == hanging:
		return noAnswer
	case current == slow && drawn != noAnswer:
		return lateHit
	case current == failing && number >= failingFrom:
		return fault
	}
	return drawn
}

// failingFrom is the random number below which a failing node reacts as a healthy one does.
const failingFrom = 0.12

// react draws a reaction to a request and performs it after its delay.
func (c *nodeConn) react(id string) {
	drawn, after, size := c.node.draw()
	c.node.trial.count("node: " + string(drawn))
	if drawn == noAnswer {
		return
	}
	answer := resp.Response{ID: id, Status: resp.Hit, Fill: routing.CacheHit, Fetched: time.Now().UnixMilli(), Body: make([]byte, size)}
	if status, ok := statuses[drawn]; ok {
		answer.Status, answer.Body = status, nil
	}
	time.AfterFunc(after, func() { c.perform(drawn, id, resp.AppendResponse(nil, &answer)) })
}

// perform performs a reaction. The answer is the complete answer to the request.
func (c *nodeConn) perform(drawn reaction, id string, answer []byte) {
	switch drawn {
	case resetConnection:
		c.socket.SetLinger(0)
		c.socket.Close()
	case closeConnection:
		c.socket.Close()
	case closeWithinAnswer:
		c.send(answer[:len(answer)/2])
		c.socket.Close()
	case incompleteAnswer:
		c.send(answer[:len(answer)/2])
	case malformedAnswer:
		c.send([]byte("*4\r\n$noise\r\n"))
	case twoHits:
		c.send(append(answer, answer...))
	case notCached, rejected, alreadyFinished:
		c.node.trial.recordNotExecuted(id)
		c.send(answer)
	default:
		c.send(answer)
	}
}
