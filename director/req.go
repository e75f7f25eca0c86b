package director

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"indigochute.example/indigochute/control"
	"indigochute.example/indigochute/feed"
	"indigochute.example/indigochute/msgpack"
	"indigochute.example/indigochute/resp"
)

// req is one req of a client. Its task is live; all that is not said to belong to a lock belongs to that.
type req struct {
	d        *Director
	from     *client
	msg      msgpack.Message
	came     time.Duration
	deadline time.Duration
	id       uint32 // the module's

	todo  chan func()    // what the module orders, in its order
	ends  chan *dispatch // dispatches that ended
	left  chan struct{}  // closed when the client has gone
	leave func()         // closes it

	owed    bool   // the final answer; belongs to the director's lock
	settled string // how: done, denied, aborted or left; "" while the final answer is due
	sent    []*dispatch
	open    int          // of those
	held    atomic.Int64 // bytes of bodies
}

func newReq(d *Director, c *client, m msgpack.Message, came time.Duration) *req {
	most := d.conf.Settings.MaxDispatches
	r := &req{d: d, from: c, msg: m, came: came, deadline: came + m.Timeout,
		todo: make(chan func(), 4*most+4), // each dispatch is ordered once and withdrawn twice at most
		ends: make(chan *dispatch, most+1), left: make(chan struct{})}
	r.leave = sync.OnceFunc(func() { close(r.left) })
	return r
}

// live is the life of a req: read it, ask the module, follow its orders, pass on the answer.
func (r *req) live() {
	defer r.end()
	ask, err := r.ask()
	if err != nil {
		r.abort(err.Error())
		return
	}
	if !r.enter(ask) {
		r.deny(0) // nothing of it was sent
		return
	}
	expired := time.NewTimer(r.deadline - r.d.clock.now())
	defer expired.Stop()
	left := r.left
	for r.settled == "" || r.open > 0 {
		select {
		case order := <-r.todo: // dispatch, withdraw, deny or abort
			order()
		case x := <-r.ends:
			r.open--
			if won := r.tell(x); won {
				r.done(x)
			}
		case <-left:
			left = nil
			r.settle("left", func() {})
			r.tellLeft()
		case <-expired.C: // whatever the nodes do
			for n := range r.sent {
				r.withdraw(n, Expired)
			}
		}
	}
}

// ask reads the fields that decisions need. What goes on to nodes must be fit to stand in their fields.
func (r *req) ask() (a control.Ask, err error) {
	vhost, ok := r.d.vhosts[r.msg.Vhost]
	if !ok {
		return a, fmt.Errorf("unknown vhost %q", r.msg.Vhost)
	}
	a.Vhost = vhost
	if a.Obj, err = strconv.ParseUint(r.msg.Obj, 16, 64); err != nil {
		return a, fmt.Errorf("%q is no object", r.msg.Obj)
	}
	part, err := strconv.ParseUint(r.msg.Part, 10, 32)
	if err != nil && r.msg.Part != "" {
		return a, fmt.Errorf("%q is no part", r.msg.Part)
	}
	group, err := strconv.ParseUint(r.msg.Group, 10, 32)
	if err != nil && r.msg.Group != "" {
		return a, fmt.Errorf("%q is no group", r.msg.Group)
	}
	if r.msg.Timeout <= 0 {
		return a, errors.New("no client timeout, or none above 0")
	}
	if r.msg.Req == "" || !plain(r.msg.Req) || !plain(r.msg.Idem) || !plain(r.msg.Have) {
		return a, errors.New("id missing, or id, mark or tag not plain")
	}
	a.Part, a.Group, a.Deadline = uint32(part), uint32(group), r.deadline
	return a, nil
}

// plain tells whether a text can stand among a node's fields as it is.
func plain(s string) bool {
	if len(s) > 64 {
		return false
	}
	for _, b := range []byte(s) {
		if b <= ' ' || b == ',' || b == '=' || b >= 0x7f {
			return false
		}
	}
	return true
}

// enter hands the req to the module, unless too much is held.
func (r *req) enter(a control.Ask) bool {
	if r.from.bodies.Load() > r.d.bounds.clientBodies/2 || !r.hold(len(r.msg.Body)) {
		return false // the answer could hardly be held
	}
	d := r.d
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.reqs) >= d.bounds.reqs {
		return false
	}
	for d.lastID++; d.reqs[d.lastID] != nil; d.lastID++ { // the count has come round
	}
	r.id, a.ID, r.owed = d.lastID, d.lastID, true
	d.reqs[r.id] = r
	d.dir.Req(d.clock.now(), a)
	return true
}

// hold counts a body that the req holds until its end, unless all bodies together, or its client's, are over
// their bound.
func (r *req) hold(size int) bool {
	r.count(int64(size))
	if r.d.bodies.Load() > r.d.bounds.bodies || r.from.bodies.Load() > r.d.bounds.clientBodies {
		r.count(-int64(size))
		return false
	}
	return true
}

func (r *req) count(size int64) {
	r.held.Add(size)
	r.from.bodies.Add(size)
	r.d.bodies.Add(size)
}

// dispatch sends the req to a node.
func (r *req) dispatch(o control.Order) {
	now := r.d.clock.now()
	x := &dispatch{r: r, number: len(r.sent), at: now, ask: resp.Ask{ID: r.msg.Req, Vhost: r.msg.Vhost,
		Obj: r.msg.Obj, Part: r.msg.Part, Idem: r.msg.Idem, Have: r.msg.Have, Order: o, Body: r.msg.Body,
		Wait: r.deadline - now}}
	if o.Timeout > 0 {
		x.ask.Wait = min(x.ask.Wait, o.Timeout)
	}
	if o.Source != o.Node {
		x.ask.Source = feed.FormatID(o.Source)
	}
	r.sent = append(r.sent, x)
	r.open++
	if r.settled != "" || x.ask.Wait <= 0 {
		x.finish(NeverSent)
		return
	}
	r.d.nodes.send(o.Node, x)
}

// sentOver tells whether a dispatch of the req went over a connection.
func (r *req) sentOver(c *conn) bool {
	return slices.ContainsFunc(r.sent, func(x *dispatch) bool { return x.conn == c })
}

// withdraw gives a dispatch up, unless it has ended.
func (r *req) withdraw(number int, why Ending) {
	if number < len(r.sent) {
		r.sent[number].withdraw(why)
	}
}

// tell reports the end of a dispatch. It tells whether that is the answer: the first good one that comes
// before the module gave the req up.
func (r *req) tell(x *dispatch) (won bool) {
	d := r.d
	d.mu.Lock()
	defer d.mu.Unlock()
	o := control.Outcome{Dispatch: x.number, Ending: x.ending.outcome(), Took: x.took, Waited: x.answer.Waited,
		Fill: x.answer.Fill, Final: !r.owed, Held: x.held}
	if o.Ending == control.Done && r.owed {
		r.owed, won, o.Final = false, true, true
	}
	d.dir.Outcome(d.clock.now(), r.id, o)
	return won
}

func (r *req) tellLeft() {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	if r.owed {
		r.owed = false
		r.d.dir.Left(r.d.clock.now(), r.id)
	}
}

func (r *req) done(x *dispatch) {
	r.settle("done", func() {
		r.from.write(msgpack.Done(r.msg.ID, x.answer.Body, x.ending == AnsweredSame))
	})
}

func (r *req) deny(comeBack time.Duration) {
	r.settle("denied", func() { r.from.write(msgpack.Denied(r.msg.ID, comeBack)) })
}

func (r *req) abort(why string) {
	r.settle("aborted", func() { r.from.write(msgpack.Aborted(r.msg.ID, why)) })
}

// settle gives the one final answer, unless the client has gone.
func (r *req) settle(how string, answer func()) {
	if r.settled != "" {
		return
	}
	r.settled = how
	select {
	case <-r.left:
	default:
		answer()
	}
	r.from.release(r)
}

// end forgets the req. A panic in its task is a defect; it costs this req alone.
func (r *req) end() {
	if fault := recover(); fault != nil {
		r.d.panicked("req", fault)
		r.tellLeft()
		r.abort("defect")
		for n := range r.sent {
			r.withdraw(n, Withdrawn)
		}
	}
	r.from.release(r)
	r.count(-r.held.Load())
	if r.d.log.Logger.IsLevelEnabled(logrus.DebugLevel) {
		r.d.log.WithFields(logrus.Fields{"req": r.msg.Req, "vhost": r.msg.Vhost, "dispatches": len(r.sent),
			"took": r.d.clock.now() - r.came}).Debug(r.settled)
	}
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	delete(r.d.reqs, r.id)
}
