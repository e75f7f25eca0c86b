package director

import (
	"bufio"
	"net"
	"sync"
	"time"

	"indigochute.example/indigochute/msgpack"
)

// writeWithin is how long one answer may take to leave; a client that takes longer is gone.
const writeWithin = 10 * time.Second

// client is one connection of a client.
type client struct {
	d  *Director
	nc net.Conn

	mu   sync.Mutex
	open map[uint32]*req // by message id
	shut bool

	writing sync.Mutex
}

// read takes the connection's messages until it ends, then tells the reqs open on it that their client left.
func (c *client) read() {
	in := msgpack.NewReader(bufio.NewReaderSize(c.nc, 4<<10))
	for {
		m, err := in.Read()
		if err != nil {
			c.close(ofRead(err), err)
			return
		}
		came := c.d.clock.now()
		switch m.Kind {
		case msgpack.Call:
			r := newReq(c.d, c, m, came)
			if !c.take(r) {
				c.close(Unreadable, errAgain)
				return
			}
			go r.live()
		case msgpack.Alive:
			go c.write(msgpack.Ready(m.ID, true))
		case msgpack.Cancel:
			c.mu.Lock()
			r := c.open[m.ID]
			c.mu.Unlock()
			if r != nil {
				r.leave()
			}
		}
	}
}

// take notes an open req; a message id that is open already makes the client's answers ambiguous.
func (c *client) take(r *req) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[r.msg.ID] != nil {
		return false
	}
	c.open[r.msg.ID] = r
	return true
}

// release forgets a req that has had its answer.
func (c *client) release(r *req) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[r.msg.ID] == r {
		delete(c.open, r.msg.ID)
	}
}

func (c *client) close(e Ending, err error) {
	c.mu.Lock()
	first := !c.shut
	c.shut = true
	left := c.open
	c.open = map[uint32]*req{}
	c.mu.Unlock()
	c.nc.Close()
	for _, r := range left {
		r.leave()
	}
	if first && (e == Unreadable || e == Stalled) {
		c.d.log.WithError(err).WithField("ending", e).Warn("client connection")
	}
}

// write sends one answer whole.
func (c *client) write(parts ...[]byte) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.nc.SetWriteDeadline(time.Now().Add(writeWithin))
	buffers := net.Buffers(parts)
	if _, err := buffers.WriteTo(c.nc); err != nil {
		e := ofRead(err)
		if broken, ok := err.(net.Error); ok && broken.Timeout() {
			e = Stalled
		}
		c.close(e, err)
	}
}
