package director

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"

	"indigochute.example/indigochute/resp"
)

const (
	sendTime     = 2 * time.Second        // that a node may take to take one req
	stuckAfter   = 200 * time.Millisecond // amid a message: nothing more is sent that way
	answerTime   = 15 * time.Second       // that one answer may take once it has begun
	staleAfter   = 300 * time.Millisecond // an order not written by then is void: list and purges may have changed
	mostOnRecord = 1024                   // reqs, open or given up, that a connection remembers
)

// conn is one connection to a node; it carries many reqs. All but nc's reading and writing belongs to the lock
// of nodes.
type conn struct {
	s       *nodes
	n       *node
	nc      net.Conn // nil until it is up
	open    map[string]*dispatch
	live    int  // of those, not given up
	retired bool // takes no more reqs, closes when the last has ended
	ended   bool
	out     []item
	wake    chan struct{}
	used    time.Duration // when a req on it ended last
	heard   time.Duration // when an answer came last
	writing time.Duration // since when something is being written; 0: nothing is
	reading time.Duration // since when an answer is coming in; 0: none is
}

// item is what waits to be written: a dispatch, or that it is given up.
type item struct {
	x    *dispatch
	drop bool
	why  Ending
}

func (c *conn) add(x *dispatch) {
	x.conn = c
	c.open[x.ask.ID] = x
	c.live++
	c.push(item{x: x})
	if len(c.open) >= mostOnRecord {
		c.retired = true
	}
}

func (c *conn) push(i item) {
	c.out = append(c.out, i)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// drop gives a dispatch up. Its id stays on record, as an answer may be under way.
func (c *conn) drop(x *dispatch, why Ending) {
	if !x.begun {
		delete(c.open, x.ask.ID)
		x.finish(why)
		c.less()
		return
	}
	if slices.ContainsFunc(c.out, func(i item) bool { return i.x == x && i.drop }) {
		return
	}
	now := c.s.clock.now()
	if c.writing > 0 && now-c.writing > stuckAfter { // the node takes nothing, nor will it hear of this
		c.end(Stalled, nil)
		return
	}
	c.push(item{x, true, why})
	// Silent since then: the machine may be cut off, which the connection will never tell.
	if now-max(x.wrote, c.heard) > c.s.conf.DialTimeout {
		c.retired = true
	}
}

// less notes that a req on the connection has ended.
func (c *conn) less() {
	c.live--
	c.used = c.s.clock.now()
	if c.retired {
		c.retire()
	}
}

// retire lets the connection take no more reqs; it ends with the last.
func (c *conn) retire() {
	c.retired = true
	if c.live == 0 {
		c.end(Stopped, nil)
	}
}

// run dials, then serves the connection until it ends.
func (c *conn) run(addr netip.AddrPort) {
	nc, err := c.s.dialer.Dial("tcp", addr.String())
	if err != nil {
		c.stop(NeverConnected, err)
		return
	}
	if !c.up(nc) {
		nc.Close()
		return
	}
	go c.read(nc)
	c.write(nc)
}

// up notes that the connection is up, unless it was given up meanwhile.
func (c *conn) up(nc net.Conn) bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if !c.ended {
		c.nc, c.used, c.heard = nc, c.s.clock.now(), c.s.clock.now()
	}
	return !c.ended
}

// write sends what waits until the connection ends.
func (c *conn) write(nc net.Conn) {
	for range c.wake {
		for {
			b, x := c.next()
			if b == nil {
				break
			}
			nc.SetWriteDeadline(time.Now().Add(sendTime))
			if _, err := nc.Write(b); err != nil {
				c.stop(endingOf(err), err)
				return
			}
			c.written(x)
		}
		if c.over() {
			return
		}
	}
}

func (c *conn) over() bool {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	return c.ended
}

// next takes what is to be written next. Of what was given up before it was written, nothing is.
func (c *conn) next() ([]byte, item) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	for len(c.out) > 0 && !c.ended {
		i := c.out[0]
		c.out = slices.Delete(c.out, 0, 1)
		if i.x.over {
			continue
		}
		if !i.drop && c.s.clock.now()-i.x.at > staleAfter {
			delete(c.open, i.x.ask.ID)
			i.x.finish(NeverConnected)
			c.less()
			continue
		}
		c.writing = c.s.clock.now()
		if i.drop {
			return resp.AppendDrop(nil, i.x.ask.ID), i
		}
		i.x.begun = true
		return resp.AppendAsk(nil, &i.x.ask), i
	}
	return nil, item{}
}

// written notes that an item has left whole.
func (c *conn) written(i item) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.writing = 0
	switch {
	case !i.drop:
		i.x.wrote = c.s.clock.now()
	case !i.x.over:
		i.x.finish(i.why)
		c.less()
	}
}

// read takes the node's answers until the connection ends.
func (c *conn) read(nc net.Conn) {
	in := bufio.NewReaderSize(nc, 16<<10)
	for {
		in.Peek(1) // between answers it may be silent for as long as it likes
		c.begin()
		nc.SetReadDeadline(time.Now().Add(answerTime))
		a, err := resp.Read(in)
		nc.SetReadDeadline(time.Time{})
		if err != nil {
			c.stop(endingOf(err), err)
			return
		}
		if err := c.answer(a); err != nil {
			c.stop(Unreadable, err)
			return
		}
	}
}

// begin notes that an answer has begun to come.
func (c *conn) begin() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.reading = c.s.clock.now()
}

// stuck tells whether the node has left off amid a message, so that others would wait behind it.
func (c *conn) stuck(now time.Duration) bool {
	return c.writing > 0 && now-c.writing > stuckAfter || c.reading > 0 && now-c.reading > stuckAfter
}

// answer ends the dispatch that an answer is to. One to a dispatch given up is dropped in silence.
func (c *conn) answer(a resp.Answer) error {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.heard, c.reading = c.s.clock.now(), 0
	x := c.open[a.ID]
	if x == nil || a.Word == resp.Pong {
		return fmt.Errorf("an answer to %q, which is not open", a.ID)
	}
	delete(c.open, a.ID)
	if x.over {
		return nil
	}
	e := answered(a.Word)
	switch {
	case e == AnsweredSame && x.ask.Have == "": // there is no copy that could be the same
		e = AnsweredFault
	case !x.r.hold(len(a.Body)):
		e, a.Body = NoMemory, nil
	}
	at := c.s.clock.arrived()
	x.answer, x.held = a, x.at <= at && at < c.heard
	x.finish(e)
	c.less()
	return nil
}

func (c *conn) stop(e Ending, err error) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.end(e, err)
}

// end ends the connection and all that is open on it.
func (c *conn) end(e Ending, err error) {
	if c.ended {
		return
	}
	c.ended, c.retired = true, true
	if c.nc != nil {
		c.nc.Close()
	}
	c.s.left++
	c.n.conns = slices.DeleteFunc(c.n.conns, func(o *conn) bool { return o == c })
	for _, i := range c.out { // given up, and closing tells the node so
		if i.drop {
			i.x.finish(i.why)
		}
	}
	for _, x := range c.open {
		switch {
		case !x.begun:
			x.finish(NeverConnected)
		case x.wrote == 0:
			x.finish(SentInPart)
		default:
			x.finish(Lost)
		}
	}
	select {
	case c.wake <- struct{}{}: // its writer ends
	default:
	}
	c.s.note.connection("connection to "+c.n.addr.String(), e, err, c.live)
}
