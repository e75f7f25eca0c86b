// Package duty decides which director instance runs which periodic duty: no duty at two instances at once, whatever
// messages and clocks do within stated bounds, and none forgotten. It does no I/O, starts no goroutine and reads no
// clock: messages and times come in, orders go out.
//
// One instance at a time is the keeper: a majority has promised it to follow no other for a while. The keeper leases
// duties to instances that it hears of, never for longer than its own promises last. Every span is measured by the
// clock of whoever keeps to it, from before the message that it rests on was sent, and whoever waits for it to end waits
// longer by as much as two clocks may differ (Config.Drift). So a lease has ended at its holder before anybody else can
// get it; and a keeper's leases have ended before another keeper can be.
//
// Nothing is kept over a restart. An instance that starts may have promised something before that it does not know of:
// it promises nothing until such a promise would have ended.
package duty

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

// Duty is one periodic task.
type Duty struct {
	Name    string
	Period  time.Duration
	Timeout time.Duration // of one run, no more than the period
	CatchUp bool          // a run that nobody made is made as soon as somebody owns the duty; else at its next time
}

// Config of one instance. All instances of an installation have the same, but for Me.
type Config struct {
	Me     string
	All    []string      // every instance's name, Me among them
	Lease  time.Duration // of a keeper, and at most of a duty
	Beat   time.Duration // between renewals; a third of the lease at most
	Drift  float64       // clocks run at 1-Drift to 1+Drift of real time; below 0.5
	Duties []Duty
	Seed   uint64
	// Born is the wall clock's Unix millisecond at the start, from which terms count on: where a majority starts anew
	// with nothing kept, fencing numbers still rise if its wall clocks lie no further back than Mute lasts.
	Born uint64
}

// Check tells what is wrong with a configuration.
func (c *Config) Check() error {
	switch {
	case !slices.Contains(c.All, c.Me):
		return fmt.Errorf("instance %q is not among all instances %v", c.Me, c.All)
	case c.Lease <= 0 || c.Beat <= 0 || c.Beat > c.Lease/3:
		return fmt.Errorf("a lease of %v renewed each %v: above 0 and a third of it at most are expected", c.Lease, c.Beat)
	case c.Drift < 0 || c.Drift >= 0.5:
		return fmt.Errorf("a drift of %g: from 0 to below 0.5 is expected", c.Drift)
	}
	seen := map[string]bool{}
	for _, name := range c.All {
		if seen["i"+name] {
			return fmt.Errorf("two instances are named %q", name)
		}
		seen["i"+name] = true
	}
	for _, d := range c.Duties {
		switch {
		case seen["d"+d.Name]:
			return fmt.Errorf("two duties are named %q", d.Name)
		case d.Timeout <= 0 || d.Period < d.Timeout:
			return fmt.Errorf("duty %s: a period of %v under its time-out of %v", d.Name, d.Period, d.Timeout)
		}
		seen["d"+d.Name] = true
	}
	return nil
}

// Kind of a message.
type Kind uint8

const (
	Ask     Kind = iota // promise to follow me
	Promise             // I do, or not: then Term is the highest I know
	Hello               // to the keeper: I am here, and this is when my duties ran
	Grant               // from the keeper: these duties are yours for so long
	Release             // I stood in vain: what was promised me under this term is given back
)

// Message from one instance to another.
type Message struct {
	Kind     Kind
	From, To string
	Term     uint64
	Seq      uint64 // of an Ask or Hello; its answer repeats it
	Yes      bool
	For      time.Duration // Grant: from when the Hello was sent, by the keeper's clock
	Leases   []Leased
	Leaving  bool // Hello: give me nothing more
}

// Leased is one duty in a Grant or Hello.
type Leased struct {
	Duty  string
	Fence uint64        // rises with every change of owner
	Ran   bool          // it ran, as far as is known
	Age   time.Duration // since its last run began
}

// Order is one run to be made. It ends by Until, its time-out, and at once when Holds no longer tells its fencing number:
// from then on another may run it. Whoever makes the run asks Holds before each of its acts.
type Order struct {
	Duty  string
	Fence uint64
	Until time.Duration
}

// Node is one instance's part. Times are spans since its own start.
type Node struct {
	c       Config
	quorum  int
	started time.Duration
	counter uint64

	// as one who promises
	term     uint64 // highest known
	promised string // to whom
	gave     uint64 // under which term
	until    time.Duration
	mute     time.Duration // nothing is promised before

	// as keeper or one who would be
	standing bool
	mine     uint64 // term stood for
	sure     uint64 // term that a majority has promised: only from it may fencing numbers come
	asked    map[uint64]*round
	seq      uint64
	kept     time.Duration // keeper until then
	nextAsk  time.Duration
	table    map[string]*owned
	peers    map[string]*peer

	// as one who runs duties
	keeper    string
	heard     time.Duration // of a keeper last
	hellos    map[uint64]time.Duration
	nextHello time.Duration
	holds     map[string]*hold
	leaving   bool
}

type round struct {
	at  time.Duration
	yes map[string]bool
}

// owned is a duty in the keeper's table.
type owned struct {
	to    string
	fence uint64
	until time.Duration // by the keeper's clock its lease has ended then
	ran   bool
	at    time.Duration // when it last began
}

type peer struct {
	heard   time.Duration
	leaving bool
}

// hold is a duty that this instance owns.
type hold struct {
	fence   uint64
	until   time.Duration
	ran     bool
	at      time.Duration // when it last began
	running bool
}

// New makes an instance that starts now and knows nothing.
func New(c Config, now time.Duration) *Node {
	n := &Node{c: c, quorum: len(c.All)/2 + 1, started: now, asked: map[uint64]*round{}, table: map[string]*owned{}, peers: map[string]*peer{},
		hellos: map[uint64]time.Duration{}, holds: map[string]*hold{}}
	n.term = c.Born
	if len(c.All) > 1 {
		n.mute = now + n.longer(n.longer(c.Lease))
	}
	n.nextAsk = n.mute + n.someOf(c.Lease)
	return n
}

// longer is a span that, by any clock within the drift, lasts at least as long as a span does by any other.
func (n *Node) longer(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+n.c.Drift)/(1-n.c.Drift)) + 1
}

// shorter is a span that lasts no longer.
func (n *Node) shorter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - n.c.Drift) / (1 + n.c.Drift))
}

// someOf is a part of a span by chance.
func (n *Node) someOf(d time.Duration) time.Duration {
	n.counter++
	return time.Duration(float64(d) * unit(n.c.Seed, n.c.Me, n.counter))
}

func unit(seed uint64, name string, count uint64) float64 {
	return float64(hash(seed, name, count)>>11) / (1 << 53)
}

func hash(seed uint64, name string, count uint64) uint64 {
	h := fnv.New64a()
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], seed)
	binary.LittleEndian.PutUint64(b[8:], count)
	h.Write(b[:])
	h.Write([]byte(name))
	x := h.Sum64()
	x ^= x >> 32
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}

// Mute is how long after its start an instance promises nothing.
func (n *Node) Mute() time.Duration { return n.mute - n.started }

// Keeper tells whether this instance is the keeper now.
func (n *Node) Keeper(now time.Duration) bool { return n.standing && now < n.kept }

// Holds tells whether this instance owns a duty now, and under which fencing number.
func (n *Node) Holds(now time.Duration, duty string) (fence uint64, ok bool) {
	h := n.holds[duty]
	if h == nil || now >= h.until {
		return 0, false
	}
	return h.fence, true
}

// Leave has the instance take no more duties; those it owns go to others as their runs end.
func (n *Node) Leave() { n.leaving = true }

// Tick does what is due by time. It is to be called each tenth of a beat or so.
func (n *Node) Tick(now time.Duration) (out []Message) {
	if now >= n.nextAsk && now >= n.mute {
		out = append(out, n.stand(now)...)
	}
	if now >= n.nextHello && n.keeper != "" {
		out = append(out, n.hello(now)...)
	}
	return out
}

// stand asks for promises: the keeper to stay it, others where no keeper was heard of for longer than one may be.
func (n *Node) stand(now time.Duration) (out []Message) {
	if !n.Keeper(now) {
		if n.standing { // in vain, or not kept: it counts no promise any more, so they are given back
			n.standing, n.asked = false, map[uint64]*round{}
			n.nextAsk = now + n.c.Beat + n.someOf(n.c.Lease)
			for _, to := range n.c.All {
				out = append(out, n.route(now, Message{Kind: Release, From: n.c.Me, To: to, Term: n.mine})...)
			}
			return out
		}
		if now < n.heard+n.longer(n.c.Lease) && n.heard > 0 || now < n.until && n.promised != n.c.Me {
			n.nextAsk = now + n.c.Beat/2 + n.someOf(n.c.Beat)
			return nil
		}
		n.standing = true
		n.term++
		n.mine = n.term
		n.table = map[string]*owned{}
		n.asked = map[uint64]*round{}
	}
	n.seq++
	for seq, r := range n.asked { // what was not answered by now never counts
		if now-r.at > n.c.Lease {
			delete(n.asked, seq)
		}
	}
	n.asked[n.seq] = &round{at: now, yes: map[string]bool{}}
	for _, to := range n.c.All {
		out = append(out, n.route(now, Message{Kind: Ask, From: n.c.Me, To: to, Term: n.mine, Seq: n.seq})...)
	}
	if n.nextAsk = now + n.c.Beat; !n.Keeper(now) {
		n.nextAsk = now + n.c.Beat + n.someOf(n.c.Lease) // not all at once again
	}
	return out
}

// route sends a message, or takes it at once where it is to this instance itself.
func (n *Node) route(now time.Duration, m Message) []Message {
	if m.To == n.c.Me {
		return n.Receive(now, m)
	}
	return []Message{m}
}

// Receive takes a message. One from or to somebody unknown is passed over.
func (n *Node) Receive(now time.Duration, m Message) []Message {
	if m.To != n.c.Me || !slices.Contains(n.c.All, m.From) {
		return nil
	}
	switch m.Kind {
	case Ask:
		return n.ask(now, m)
	case Promise:
		n.promise(now, m)
	case Release: // not one that a later promise has overtaken
		if n.promised == m.From && n.gave == m.Term {
			n.promised, n.until = "", 0
		}
	case Hello:
		return n.met(now, m)
	case Grant:
		n.grant(now, m)
	}
	return nil
}

// ask promises to follow whoever asks, unless another was promised that and it has not ended.
func (n *Node) ask(now time.Duration, m Message) []Message {
	yes := now >= n.mute && (m.Term > n.term || m.Term == n.term && (n.promised == m.From || m.From == n.c.Me)) &&
		(n.promised == m.From || now >= n.until)
	if n.term = max(n.term, m.Term); yes {
		n.promised, n.gave, n.until = m.From, m.Term, max(n.until, now+n.longer(n.c.Lease))
		if n.keeper != m.From {
			n.keeper, n.nextHello = m.From, now
		}
		n.heard = now
		if m.From != n.c.Me {
			n.standing, n.asked = false, map[uint64]*round{}
		}
	}
	return n.route(now, Message{Kind: Promise, From: n.c.Me, To: m.From, Term: n.term, Seq: m.Seq, Yes: yes})
}

// promise counts a promise. The keeper's time counts from when it asked, not from when it was answered.
func (n *Node) promise(now time.Duration, m Message) {
	r := n.asked[m.Seq]
	if !m.Yes {
		if n.term = max(n.term, m.Term); n.Keeper(now) && n.mine < n.term { // somebody started anew knows a higher term
			n.term++
			n.mine = n.term
			n.asked = map[uint64]*round{}
		}
		return
	}
	if r == nil || !n.standing || m.Term != n.mine {
		return
	}
	r.yes[m.From] = true
	if len(r.yes) >= n.quorum {
		n.kept, n.sure = max(n.kept, r.at+n.c.Lease), n.mine
		if n.nextAsk > now+n.c.Beat {
			n.nextAsk = now + n.c.Beat
		}
	}
}

// hello tells the keeper that this instance is here, and when its duties ran.
func (n *Node) hello(now time.Duration) []Message {
	n.nextHello = now + n.c.Beat
	n.seq++
	for seq, at := range n.hellos {
		if now-at > n.c.Lease {
			delete(n.hellos, seq)
		}
	}
	n.hellos[n.seq] = now
	m := Message{Kind: Hello, From: n.c.Me, To: n.keeper, Term: n.term, Seq: n.seq, Leaving: n.leaving}
	for _, d := range n.c.Duties {
		if h := n.holds[d.Name]; h != nil && now < h.until {
			m.Leases = append(m.Leases, Leased{Duty: d.Name, Fence: h.fence, Ran: h.ran, Age: now - h.at})
		}
	}
	return n.route(now, m)
}

// met is the keeper's answer to a Hello: it leases duties, as far as its own promises reach.
func (n *Node) met(now time.Duration, m Message) []Message {
	if !n.Keeper(now) {
		return nil
	}
	p := n.peers[m.From]
	if p == nil {
		p = &peer{}
		n.peers[m.From] = p
	}
	p.heard, p.leaving = now, m.Leaving
	for _, l := range m.Leases {
		if o := n.table[l.Duty]; o != nil && o.to == m.From && o.fence == l.Fence && l.Ran {
			o.ran, o.at = true, now-l.Age
		}
	}
	left := n.kept - now
	g := Message{Kind: Grant, From: n.c.Me, To: m.From, Term: n.sure, Seq: m.Seq, For: left}
	want := n.share(now)
	for i, d := range n.c.Duties {
		o := n.table[d.Name]
		if o == nil {
			o = &owned{}
			n.table[d.Name] = o
		}
		free := now >= o.until
		switch {
		case o.to == m.From && !(want[i] != m.From && free): // goes on; one that is to go elsewhere is let run out
			if want[i] != m.From {
				continue
			}
		case free && want[i] == m.From:
			o.to = m.From
			o.fence = max(n.sure<<20, o.fence) + 1
		default:
			continue
		}
		o.until = max(o.until, now+left)
		g.Leases = append(g.Leases, Leased{Duty: d.Name, Fence: o.fence, Ran: o.ran, Age: now - o.at})
	}
	return n.route(now, g)
}

// share tells who should own each duty, in their order: of the instances heard of lately the one that a hash draws,
// so that few duties move as one comes or goes, but none has more than its part, rounded up.
func (n *Node) share(now time.Duration) []string {
	var live []string
	for _, name := range n.c.All {
		if p := n.peers[name]; p != nil && !p.leaving && now-p.heard < n.c.Lease {
			live = append(live, name)
		}
	}
	want := make([]string, len(n.c.Duties))
	if len(live) == 0 {
		return want
	}
	most := (len(want) + len(live) - 1) / len(live)
	count := map[string]int{}
	for i, d := range n.c.Duties {
		order := slices.Clone(live)
		slices.SortFunc(order, func(a, b string) int {
			return cmp.Compare(hash(0, d.Name+"\x00"+b, 0), hash(0, d.Name+"\x00"+a, 0))
		})
		for _, name := range order {
			if count[name] < most {
				want[i] = name
				count[name]++
				break
			}
		}
	}
	return want
}

// grant takes leases. They last from when the Hello was sent, by a span that ends before the keeper's does.
func (n *Node) grant(now time.Duration, m Message) {
	at, ok := n.hellos[m.Seq]
	if !ok || m.Term < n.term {
		return
	}
	n.heard = now
	until := at + n.shorter(m.For)
	for _, l := range m.Leases {
		h := n.holds[l.Duty]
		if h == nil || h.fence < l.Fence {
			h = &hold{fence: l.Fence, ran: l.Ran}
			if l.Ran {
				h.at = now - l.Age
			}
			n.holds[l.Duty] = h
		}
		if h.fence == l.Fence {
			h.until = max(h.until, until)
		}
	}
}

// Due orders the runs that are to begin now.
func (n *Node) Due(now time.Duration) (orders []Order) {
	for _, d := range n.c.Duties {
		h := n.holds[d.Name]
		if h == nil || now >= h.until || h.running || n.leaving && !h.ran {
			continue
		}
		if !h.ran && !d.CatchUp && h.at == 0 {
			h.ran, h.at = true, now // as if it had run: the next is a period away
			continue
		}
		if h.ran && now-h.at < d.Period {
			continue
		}
		h.ran, h.at, h.running = true, now, true
		orders = append(orders, Order{Duty: d.Name, Fence: h.fence, Until: now + d.Timeout})
	}
	return orders
}

// Ended tells that a run has ended, as it did or because its Until came.
func (n *Node) Ended(duty string, fence uint64) {
	if h := n.holds[duty]; h != nil && h.fence == fence {
		h.running = false
	}
}
