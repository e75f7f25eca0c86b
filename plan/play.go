package plan

import (
	"fmt"
	"slices"
	"time"

	"indigochute.example/indigochute/control"
	"indigochute.example/indigochute/fleet"
	"indigochute.example/indigochute/model"
)

// Blow is what befalls a fleet at the begin of the span that counts.
type Blow struct {
	Cold  []uint32 // machines that start again together, cold and empty
	Gone  []uint32 // machines that are gone for good
	Zones []int    // zones whose directors are gone too
	Stay  bool     // the clients of those zones are gone as well; else others serve them
}

// None tells whether nothing befalls it.
func (b *Blow) None() bool { return len(b.Cold)+len(b.Gone)+len(b.Zones) == 0 }

// Setup is one play.
type Setup struct {
	Factor     float64 // times the demand's load
	Seed       uint64
	Warm, Span time.Duration // what comes before counts for nothing; how long counts
	Blow       Blow
	Others     []float64 // by place among the fleet's machines: what zones that are not played take of its link as captured
}

// Tally counts reqs by how they ended. All but Retries count a req once, however often its client asked.
type Tally struct {
	Asked   int `json:"asked"`
	Met     int `json:"met"` // answered in their aim
	Late    int `json:"late"`
	Denied  int `json:"denied"`
	Failed  int `json:"failed"`
	Retries int `json:"retries"`
}

// Share is the part of the reqs answered in their aim; 1 where there are none.
func (t Tally) Share() float64 {
	if t.Asked == 0 {
		return 1
	}
	return float64(t.Met) / float64(t.Asked)
}

func (t *Tally) add(o Tally) {
	t.Asked, t.Met, t.Late = t.Asked+o.Asked, t.Met+o.Met, t.Late+o.Late
	t.Denied, t.Failed, t.Retries = t.Denied+o.Denied, t.Failed+o.Failed, t.Retries+o.Retries
}

// Result is what a play came to. Reqs count by when they were meant to come.
type Result struct {
	Factor float64
	Rate   float64 // reqs a second offered
	Vhosts []Tally
	Slots  []Tally // of all vhosts over time, each SlotSpan long
	Uses   []model.Use
	Falls  int // machines that died or fell over
	Fills  int
	Span   time.Duration
}

// SlotSpan is the width of Result.Slots.
const SlotSpan = 500 * time.Millisecond

// Share is the part of a vhost's reqs that met their aim; below zero, of all.
func (r *Result) Share(vhost int) float64 { return r.Tally(vhost).Share() }

// Tally is a vhost's; below zero, that of all.
func (r *Result) Tally(vhost int) (t Tally) {
	for i, v := range r.Vhosts {
		if vhost < 0 || i == vhost {
			t.add(v)
		}
	}
	return t
}

// Count adds the end of a req to a result: meant and ended are since the begin of the span that counts.
func (r *Result) Count(f *fleet.Fleet, q *Req, meant, ended time.Duration, how Ended, retries int) {
	if meant < 0 || meant >= r.Span {
		return
	}
	t := Tally{Asked: 1, Retries: retries}
	switch {
	case how == WasDenied:
		t.Denied = 1
	case how == HasFailed:
		t.Failed = 1
	case ended-meant <= f.AimOf(int(q.Vhost), int(q.Bytes)):
		t.Met = 1
	default:
		t.Late = 1
	}
	r.Vhosts[q.Vhost].add(t)
	for len(r.Slots) <= int(meant/SlotSpan) {
		r.Slots = append(r.Slots, Tally{})
	}
	r.Slots[meant/SlotSpan].add(t)
}

// Ended is how a req of a client ended at last.
type Ended uint8

const (
	WasServed Ended = iota
	WasDenied
	HasFailed
)

// Copy is one that a machine holds when a play begins.
type Copy struct {
	Node  uint32
	Obj   uint64
	Part  uint32
	Bytes int
	Rank  uint8
	Born  time.Duration // since the begin of the play, so below zero
}

// Primed are the copies that machines hold at the begin of a play, after reqs that came before it: at the homes, and
// at the parents that directors ask first.
func Primed(f *fleet.Fleet, before []Req) (copies []Copy) {
	zones := newHomes(f)
	type zoned struct {
		partKey
		zone int
	}
	born := map[zoned]time.Duration{}
	for i := range before {
		r := &before[i]
		v := &f.Vhosts[r.Vhost]
		if v.Write {
			continue
		}
		z := f.Serving(int(r.Zone), nil)
		k := zoned{partKey{r.Obj, r.Part}, z}
		rank, at := uint8(1), r.At
		if first, again := born[k]; again {
			rank = 2
			if v.Fresh == 0 || r.At-first <= v.Fresh.D() { // it was filled then and not since
				at = first
			}
		}
		born[k] = at
		if home := zones.home(z, r); home != 0 {
			copies = append(copies, Copy{home, r.Obj, r.Part, int(r.Bytes), rank, at})
		}
		if p := zones.parent(z, r); p != 0 {
			copies = append(copies, Copy{p, r.Obj, r.Part, int(r.Bytes), 2, at})
		}
	}
	return copies
}

type partKey struct {
	obj  uint64
	part uint32
}

// Play lets the directors of a fleet decide on its demand, with model's machines behind them.
func Play(f *fleet.Fleet, d *Demand, s Setup) (*Result, error) {
	prime, reqs, warm, span, err := d.Window(s.Factor, s.Warm, s.Span)
	if err != nil {
		return nil, err
	}
	p := &play{f: f, machines: f.Machines(), s: s, w: model.New(f), reqs: reqs, warm: warm, asks: map[uint64]*sent{},
		r: &Result{Factor: s.Factor, Vhosts: make([]Tally, len(f.Vhosts)), Span: span}}
	p.r.Rate = float64(len(reqs)) / (warm + span).Seconds()
	for i, m := range f.Machines() {
		if i < len(s.Others) && s.Others[i] > 0 {
			p.w.Narrow(m.ID, max(LeastLeft, 1-s.Others[i]*s.Factor))
		}
	}
	asks := make([]bool, len(f.Zones)) // zones that nobody asks need no directors
	for i := range reqs {
		if z := f.Serving(int(reqs[i].Zone), nil); z >= 0 {
			asks[z] = true
		}
		if z := f.Serving(int(reqs[i].Zone), func(z int) bool { return slices.Contains(s.Blow.Zones, z) }); z >= 0 {
			asks[z] = true
		}
	}
	for _, c := range Primed(f, prime) {
		p.w.Prime(c.Node, c.Obj, c.Part, c.Bytes, c.Rank, c.Born)
	}
	me := 0
	for z, zone := range f.Zones {
		var here []*instance
		for range zone.Directors {
			if !asks[z] {
				break
			}
			i := &instance{p: p, zone: z, open: map[uint32]*asked{}}
			i.d = control.Start(f.Settings(z, me, s.Seed+uint64(me)*0x9e3779b97f4a7c15), i)
			i.d.List(0, p.list(nil, z), true)
			here = append(here, i)
			p.all = append(p.all, i)
			me++
		}
		p.zones = append(p.zones, here)
	}
	p.run(warm + span)
	return p.r, nil
}

// play is one under way.
type play struct {
	f        *fleet.Fleet
	machines []fleet.Machine
	s        Setup
	w        *model.World
	reqs     []Req
	next     int // of reqs
	warm     time.Duration
	now      time.Duration
	dues     heap[due]
	zones    [][]*instance
	all      []*instance
	asks     map[uint64]*sent
	lost     []bool // zones
	last     uint64
	count    uint64
	r        *Result
	look     model.Look
}

// due is something to be done at a time.
type due struct {
	at    time.Duration
	order uint64
	i     *instance // a timer of its
	token uint32
	do    func()
}

func (a due) before(b due) bool { return a.at < b.at || a.at == b.at && a.order < b.order }

// instance is one director.
type instance struct {
	p    *play
	zone int
	d    *control.Director
	open map[uint32]*asked
	last uint32
	gone bool
}

// asked is a req at a director; sent is a dispatch of it.
type asked struct {
	q       *Req
	retries int
	owed    bool
	out     []*sent
}

type sent struct {
	i       *instance
	id      uint32
	number  int
	node    uint32
	ask     uint64
	at      time.Duration
	sending time.Duration // of its bytes alone
	over    bool
}

func (p *play) later(wait time.Duration, do func()) {
	p.count++
	p.dues.push(due{at: p.now + max(0, wait), order: p.count, do: do})
}

// LeastLeft is the least that stays of a link, however much zones that are not played take.
const LeastLeft = 0.02

const settles = 5 * time.Second // after the last req, for what is open to end

// run plays until all reqs have come and what they began has ended.
func (p *play) run(until time.Duration) {
	p.later(p.warm, p.blow)
	for end := until + settles; ; {
		at := end
		kind := 0
		if p.next < len(p.reqs) && p.reqs[p.next].At < at {
			at, kind = p.reqs[p.next].At, 1
		}
		if d, ok := p.dues.top(); ok && d.at < at {
			at, kind = d.at, 2
		}
		if w, ok := p.w.Next(); ok && w <= at {
			at, kind = w, 3
		}
		if kind == 0 || at >= until && p.r.Uses == nil {
			if p.r.Uses == nil {
				p.advance(until)
				p.r.Uses = p.w.Uses(p.look)
			}
			if kind == 0 {
				break
			}
		}
		p.advance(at)
		switch kind {
		case 1:
			q := &p.reqs[p.next]
			p.next++
			p.come(q, 0)
		case 2:
			switch d := p.dues.pop(); {
			case d.do != nil:
				d.do()
			case !d.i.gone:
				d.i.d.Timer(p.now, d.token)
			}
		}
	}
	p.r.Falls = p.w.Falls() - len(p.s.Blow.Cold) - len(p.s.Blow.Gone)
	for _, i := range p.all { // what never ended
		for _, a := range i.open {
			if a.owed {
				p.end(a, HasFailed)
			}
		}
	}
}

// advance lets the machines work, and hands their answers over.
func (p *play) advance(to time.Duration) {
	answers := p.w.Advance(to)
	p.now = to
	for _, a := range answers {
		x := p.asks[a.ID]
		if x == nil || x.over {
			continue
		}
		delete(p.asks, a.ID)
		o := control.Outcome{Dispatch: x.number, Took: p.now - x.at, Waited: a.Waited, Fill: a.Fill}
		switch a.Word {
		case model.Done:
			o.Ending, o.Sending = control.Done, x.sending
		case model.None:
			o.Ending = control.Miss
		case model.Full:
			o.Ending = control.Full
		case model.Failed:
			o.Ending = control.Failed
		case model.Lost:
			o.Ending = control.Reset
		}
		if (a.Fill == control.Filled || a.Fill == control.FilledByOrigin) && p.now >= p.warm {
			p.r.Fills++
		}
		x.over = true
		x.i.tell(x, o)
	}
	if changed := p.w.Changed(); len(changed) > 0 {
		p.news(changed)
	}
}

// news tells all directors of machines that changed, once they can know.
func (p *play) news(ids []uint32) {
	p.later(p.f.News.D(), func() {
		lists := map[int][]control.Listed{}
		for _, i := range p.all {
			if lists[i.zone] == nil {
				lists[i.zone] = p.list(ids, i.zone)
			}
			if !i.gone && len(lists[i.zone]) > 0 {
				i.d.List(p.now, lists[i.zone], false)
			}
		}
	})
}

// list is the machines as directors of a zone hear of them now; only those named, or all. Other zones' caches, which
// they never choose, are left out: a director of one zone in a hundred would keep records of all.
func (p *play) list(ids []uint32, zone int) (list []control.Listed) {
	want := map[uint32]bool{}
	for _, id := range ids {
		want[id] = true
	}
	for _, m := range p.machines {
		if ids != nil && !want[m.ID] || m.Role == fleet.Cache && m.Zone != zone {
			continue
		}
		l := control.Listed{Node: m.ID, State: control.Ready, Kind: m.KindOf(), Zone: m.Zone}
		up, booted, boot := p.w.Up(m.ID)
		if !up {
			l.State = control.Gone
		}
		l.Booted, l.Boot = booted, boot
		list = append(list, l)
	}
	return list
}

// blow begins the span that counts.
func (p *play) blow() {
	p.lost = make([]bool, len(p.f.Zones))
	b := &p.s.Blow
	for _, id := range b.Gone {
		p.w.Kill(id)
	}
	for _, id := range b.Cold {
		p.w.Kill(id)
		p.w.Boot(id)
	}
	for _, z := range b.Zones {
		p.lost[z] = true
		for _, i := range p.zones[z] {
			i.gone = true
			for _, a := range i.open {
				if a.owed {
					a.owed = false
					p.end(a, HasFailed)
				}
			}
		}
	}
	p.look = p.w.Look()
	if changed := p.w.Changed(); len(changed) > 0 {
		p.news(changed)
	}
}

// come brings a req to a director.
func (p *play) come(q *Req, retries int) {
	lost := func(z int) bool { return p.lost != nil && p.lost[z] }
	if p.s.Blow.Stay && lost(int(q.Zone)) {
		return
	}
	z := p.f.Serving(int(q.Zone), lost)
	if z < 0 {
		p.end(&asked{q: q, retries: retries}, HasFailed)
		return
	}
	p.count++
	here := p.zones[z]
	i := here[control.Hash(p.s.Seed, uint64(q.At), q.Obj, p.count)%uint64(len(here))]
	i.last++
	i.open[i.last] = &asked{q: q, retries: retries, owed: true}
	v := p.f.Vhosts[q.Vhost]
	i.d.Req(p.now, control.Ask{ID: i.last, Obj: q.Obj, Part: q.Part, Group: q.Group, Vhost: int(q.Vhost),
		Deadline: p.now + v.Timeout.D()})
}

// end counts a req that its client asks no more.
func (p *play) end(a *asked, how Ended) {
	p.r.Count(p.f, a.q, a.q.At-p.warm, p.now-p.warm, how, a.retries)
}

// What follows is control.Front.

func (i *instance) Dispatch(id uint32, o control.Order) {
	p, a := i.p, i.open[id]
	p.last++
	x := &sent{i: i, id: id, number: len(a.out), node: o.Node, ask: p.last, at: p.now,
		sending: time.Duration(float64(a.q.Bytes) / float64(p.f.Flow) * float64(time.Second))}
	a.out = append(a.out, x)
	if up, _, _ := p.w.Up(o.Node); !up {
		p.later(0, func() { i.ended(x, control.Outcome{Dispatch: x.number, Ending: control.NoConnect}) })
		return
	}
	p.asks[x.ask] = x
	ask := model.Ask{ID: x.ask, Vhost: int(a.q.Vhost), Obj: a.q.Obj, Part: a.q.Part, Bytes: int(a.q.Bytes), Rank: o.Rank, Age: o.Age,
		HeldOnly: o.HeldOnly, Renew: o.Renew}
	if o.Source != o.Node {
		ask.Source = o.Source
	}
	p.w.Ask(o.Node, ask)
}

// Probe does nothing: the model of a fleet knows no probes, and its settings allow none.
func (i *instance) Probe(uint32) {}

func (i *instance) Cancel(id uint32, number int) {
	a := i.open[id]
	if a == nil || number >= len(a.out) || a.out[number].over {
		return
	}
	x := a.out[number]
	i.p.w.Drop(x.node, x.ask)
	delete(i.p.asks, x.ask)
	i.p.later(0, func() {
		i.ended(x, control.Outcome{Dispatch: x.number, Ending: control.Cancelled, Took: i.p.now - x.at})
	})
}

// ended tells of a dispatch that ended here.
func (i *instance) ended(x *sent, o control.Outcome) {
	if !x.over {
		x.over = true
		i.tell(x, o)
	}
}

// tell hands an outcome to the module. The first good one of a req is its answer.
func (i *instance) tell(x *sent, o control.Outcome) {
	a := i.open[x.id]
	if i.gone || a == nil {
		return
	}
	o.Final = !a.owed
	if o.Ending == control.Done && a.owed {
		a.owed, o.Final = false, true
		i.p.end(a, WasServed)
	}
	i.d.Outcome(i.p.now, x.id, o)
	i.forget(x.id, a)
}

func (i *instance) forget(id uint32, a *asked) {
	if a.owed {
		return
	}
	for _, x := range a.out {
		if !x.over {
			return
		}
	}
	delete(i.open, id)
}

func (i *instance) Deny(id uint32, comeBack time.Duration) {
	a := i.open[id]
	a.owed = false
	p := i.p
	defer i.forget(id, a)
	wait := comeBack
	if wait == 0 {
		wait = p.f.Clients.After.D()
	}
	if a.retries >= p.f.Clients.Retries || p.now+wait-a.q.At >= p.f.Vhosts[a.q.Vhost].Timeout.D() {
		p.end(a, WasDenied)
		return
	}
	p.later(wait, func() { p.come(a.q, a.retries+1) })
}

func (i *instance) Abort(id uint32) {
	a := i.open[id]
	a.owed = false
	i.p.end(a, HasFailed)
	i.forget(id, a)
}

func (i *instance) After(wait time.Duration, token uint32) {
	i.p.count++
	i.p.dues.push(due{at: i.p.now + max(0, wait), order: i.p.count, i: i, token: token})
}

func (u Ended) String() string { return [...]string{"served", "denied", "failed"}[u] }

var _ fmt.Stringer = Ended(0)
