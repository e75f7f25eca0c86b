package director

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"indigochute.example/indigochute/msgpack"
)

const (
	firstTime   = 2 * time.Second      // from connecting until a whole message has come
	clientIdle  = 6 * time.Second      // without an open req; clients close theirs sooner
	messageTime = 2 * time.Second      // that one message may take once it has begun
	lingerTime  = time.Second          // for an error to arrive before its connection is closed
	writeTime   = 10 * time.Second     // that one answer may take to leave; after that the client is gone
	openEach    = 40                   // reqs of one client: some more than it may have open, as answers are under way
	tasksEach   = 64                   // their tasks, as ended ones linger
	unfitFree   = 4                    // messages in a row that are of no use to anybody; then each costs the client
	unfitPause  = 5 * time.Millisecond // more before the next is read,
	unfitMost   = 40                   // up to so many times as much
)

var errAgain = errors.New("a message id is used again while it is open")

// client is one connection of a client.
type client struct {
	d     *Director
	nc    net.Conn
	tasks chan struct{} // a place for each req's task

	mu     sync.Mutex
	open   map[uint32]*req // by message id; until the answer is written
	asked  bool            // a whole message has come
	heard  time.Duration   // when one came or was answered last, or the connection
	shut   bool
	closes *time.Timer // set once no more is answered

	writing sync.Mutex
	bodies  atomic.Int64 // bytes held for it
	proved  atomic.Bool  // a req of its was done
	unfit   atomic.Int32 // messages since then that could not be used or were over a bound
}

func newClient(d *Director, nc net.Conn) *client {
	return &client{d: d, nc: nc, tasks: make(chan struct{}, tasksEach), open: map[uint32]*req{},
		heard: d.clock.now()}
}

// read takes the connection's messages until it ends, then tells the reqs open on it that their client left.
func (c *client) read() {
	buffered := bufio.NewReaderSize(c.nc, 4<<10)
	in := msgpack.NewReader(buffered)
	c.nc.SetReadDeadline(time.Now().Add(firstTime))
	for first := true; ; first = false {
		if !first {
			c.nc.SetReadDeadline(time.Now().Add(clientIdle))
			if _, err := buffered.Peek(1); errors.Is(err, os.ErrDeadlineExceeded) {
				if _, _, idle := c.silence(); !idle {
					continue
				}
				c.close(Stopped, nil)
				return
			}
			c.nc.SetReadDeadline(time.Now().Add(messageTime))
		}
		if n := c.unfit.Load(); n > unfitFree { // it may write at full speed what costs us more than it
			time.Sleep(time.Duration(min(n, unfitMost)) * unfitPause)
		}
		m, err := in.Read()
		if err != nil {
			if m.Numbered && endingOf(err) == Unreadable {
				c.refuse(m.ID, err)
			}
			c.close(endingOf(err), err)
			return
		}
		came := c.d.clock.arrived()
		c.mu.Lock()
		c.asked, c.heard = true, came
		c.mu.Unlock()
		switch m.Kind {
		case msgpack.Call:
			if err := c.call(newReq(c.d, c, m, came)); err != nil {
				c.close(Unreadable, err)
				return
			}
		case msgpack.Alive:
			c.write(msgpack.Ready(m.ID, !c.d.leaving.Load()))
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

// call starts a req's task, or denies the req at once where there are too many.
func (c *client) call(r *req) error {
	open, ok := c.take(r)
	if !ok {
		return errAgain // two answers under one id would be ambiguous
	}
	if open > openEach {
		r.turnAway()
		return nil
	}
	select {
	case c.tasks <- struct{}{}:
		go func() {
			r.live()
			<-c.tasks
		}()
	default:
		r.turnAway()
	}
	return nil
}

// take puts a req on record unless its message id is in use, and tells how many are open with it.
func (c *client) take(r *req) (open int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[r.msg.ID] != nil {
		return 0, false
	}
	c.open[r.msg.ID] = r
	return len(c.open), true
}

// release forgets a req that has its answer.
func (c *client) release(r *req) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[r.msg.ID] == r {
		delete(c.open, r.msg.ID)
		c.heard = c.d.clock.now()
	}
}

// silence tells since when nothing was heard of a client, whether it ever asked anything, and whether nothing is
// open on its connection.
func (c *client) silence() (heard time.Duration, asked, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard, c.asked, len(c.open) == 0
}

// unread tells whether bytes have come that were not read yet.
func (c *client) unread() (some bool) {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		some = err == nil && n > 0
	})
	return some
}

// close ends the connection; the reqs open on it have lost their client.
func (c *client) close(e Ending, err error) {
	c.nc.Close()
	if left, first := c.abandon(); first {
		c.d.clients.leave(c)
		c.d.clientNote.connection("client connection", e, err, left)
	}
}

// abandon tells the reqs open on the connection that their client has left.
func (c *client) abandon() (left int, first bool) {
	c.mu.Lock()
	first = !c.shut
	c.shut = true
	open := c.open
	c.open = map[uint32]*req{}
	c.mu.Unlock()
	for _, r := range open {
		r.leave()
	}
	return len(open), first
}

// refuse answers a message that cannot be read on from. What else the client still writes is not read, whatever its
// size, but the connection is kept for a while: closing over bytes that are not read may take the answer back.
func (c *client) refuse(id uint32, why error) {
	c.write(msgpack.Aborted(id, why.Error()))
	c.sayNoMore()
	time.Sleep(lingerTime)
}

// sayNoMore lets the other side see the end of the stream while the connection stays.
func (c *client) sayNoMore() {
	if half, ok := c.nc.(*net.TCPConn); ok {
		half.CloseWrite()
	}
}

// write sends one answer whole.
func (c *client) write(parts ...[]byte) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.nc.SetWriteDeadline(time.Now().Add(writeTime))
	buffers := net.Buffers(parts)
	if _, err := buffers.WriteTo(c.nc); err != nil {
		c.close(endingOf(err), err)
	}
}

// finish tells a client that has all its answers that no more will come, and gives it time to close: closing
// over bytes that are not read would take back answers that are under way.
func (c *client) finish(within time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closes != nil || len(c.open) > 0 {
		return
	}
	c.closes = time.AfterFunc(within, func() { c.close(Stopped, nil) })
	c.sayNoMore()
}
