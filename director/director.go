// Package director serves clients on sockets, by the decisions of the control package. One lock owns the
// module; under it nothing blocks. Each connection has a goroutine that reads it, each req one that lives
// through it.
package director

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/config"
	"indigochute.example/indigochute/control"
)

// Director is one real director.
type Director struct {
	conf   *config.Config
	log    *logrus.Entry
	vhosts map[string]int
	nodes  *nodes
	bounds bounds
	clock  *clock

	clients sync.Map // *client, those connected

	mu     sync.Mutex // owns all below, and the timers
	dir    *control.Director
	reqs   map[uint32]*req
	lastID uint32
	last   uint64 // number of the last event of the feed
}

// New makes a director that knows what its configuration tells.
func New(conf *config.Config, log *logrus.Entry) *Director {
	d := &Director{conf: conf, log: log, vhosts: map[string]int{}, bounds: split(conf), clock: newClock(),
		reqs: map[uint32]*req{}}
	for i, name := range conf.Vhosts {
		d.vhosts[name] = i
	}
	d.nodes = newNodes(conf, d.bounds.nodeSockets, d.clock, log)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dir = control.Start(conf.Settings, d)
	for _, e := range conf.Known {
		d.apply(e)
	}
	d.last = conf.Last
	return d
}

// What follows is control.Front: called by the module under the lock, it hands over to the req's task.

func (d *Director) Dispatch(id uint32, o control.Order) {
	r := d.reqs[id]
	r.todo <- func() { r.dispatch(o) }
}

func (d *Director) Cancel(id uint32, number int) {
	r := d.reqs[id]
	r.todo <- func() { r.withdraw(number, Withdrawn) }
}

func (d *Director) Deny(id uint32, comeBack time.Duration) {
	if r := d.reqs[id]; r.owed {
		r.owed = false
		r.todo <- func() { r.deny(comeBack) }
	}
}

func (d *Director) Abort(id uint32) {
	if r := d.reqs[id]; r.owed {
		r.owed = false
		r.todo <- func() { r.abort("given up") }
	}
}

func (d *Director) After(wait time.Duration, token uint32) { d.clock.after(wait, token) }
