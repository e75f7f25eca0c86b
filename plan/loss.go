package plan

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"indigochute.example/indigochute/control"
	"indigochute.example/indigochute/fleet"
)

// Hurt is what a loss does to a goal.
type Hurt struct {
	What     string    `json:"what"`
	Factor   float64   `json:"factor"` // of load at which it was looked at
	Met      bool      `json:"met"`    // the goal holds there, counted over the span after the loss
	Share    float64   `json:"share"`
	Break    *Break    `json:"break"` // the load at which it does not
	Machines []string  `json:"machines,omitempty"`
	Choice   *Choice   `json:"choice,omitempty"`
	Depth    float64   `json:"depth"`       // least share of any half second
	Length   float64   `json:"length_s"`    // until the goal's share is reached again and kept
	Extra    float64   `json:"extra_fills"` // times the fills without the loss
	Jam      bool      `json:"jam"`         // retries keep the shortfall from ending: without them it ends
	Falls    int       `json:"falls"`
	Cause    *Cause    `json:"cause,omitempty"` // what breaks the goal under the loss
	Over     []float64 `json:"over_time"`       // share by half second
	result   *Result
}

// Choice tells how the machines of a cold return were chosen among all sets of as many.
type Choice struct {
	Of     int     `json:"of"`    // caches
	Count  int     `json:"count"` // of them that return cold
	Sets   int     `json:"sets"`  // looked at
	Exact  bool    `json:"exact"` // all there are
	Worst  float64 `json:"worst"` // core seconds short, by the reckoning without waiting
	High   float64 `json:"p95"`
	Median float64 `json:"median"`
}

// Blow works out what befalls the fleet. For a cold return it is the worst set of machines at a factor of load.
func (p *Planner) Blow(l *Loss, factor float64) (b Blow, c *Choice, err error) {
	f := p.Fleet
	if l.After == nil {
		part, err := l.part()
		if err != nil {
			return b, nil, err
		}
		s := p.Worst(part, factor)
		return Blow{Cold: s.Machines}, &s.Choice, nil
	}
	name := l.After.Name
	for z, zone := range f.Zones {
		if l.After.What == "zone" && zone.Name == name {
			b.Zones, b.Stay = []int{z}, l.After.Gone
		}
	}
	for _, m := range f.Machines() {
		switch {
		case m.Role == fleet.OriginRole:
		case l.After.What == "zone" && f.Zones[m.Zone].Name == name,
			l.After.What == "parent" && m.Role == fleet.ParentRole && f.Parents[m.Kind].Name == name,
			l.After.What == "kind" && m.Role == fleet.Cache && f.Kinds[m.Kind].Name == name:
			b.Gone = append(b.Gone, m.ID)
		}
	}
	if len(b.Gone)+len(b.Zones) == 0 {
		return b, nil, fmt.Errorf("the loss of %s %s takes nothing away", l.After.What, name)
	}
	return b, nil, nil
}

// Loss plays a loss at a factor of load, finds the load at which the goal breaks under it, and looks whether a jam
// feeds itself.
func (p *Planner) Loss(l *Loss, factor float64) (*Hurt, error) {
	b, choice, err := p.Blow(l, factor)
	if err != nil {
		return nil, err
	}
	h := &Hurt{What: l.String(), Factor: factor, Choice: choice}
	names := map[uint32]string{}
	for _, m := range p.Fleet.Machines() {
		names[m.ID] = m.Name
	}
	for _, id := range slices.Concat(b.Cold, b.Gone) {
		h.Machines = append(h.Machines, names[id])
	}
	long := p.Span
	if choice != nil {
		long = max(long, 2*p.Fleet.Cold.Ramp.D())
	}
	deep := *p
	deep.Span = long
	calm := p.Fleet.Clone()
	calm.Clients.Retries = 0
	var plays []*Result
	for _, one := range []struct {
		f *fleet.Fleet
		b Blow
	}{{p.Fleet, b}, {p.Fleet, Blow{}}, {calm, b}} {
		r, err := p.Player(one.f, p.Demand, []Setup{{Factor: factor, Seed: p.Seeds[0], Warm: p.Warm, Span: long, Blow: one.b}})
		if err != nil {
			return nil, err
		}
		plays = append(plays, r[0])
	}
	h.result, h.Falls, h.Share = plays[0], plays[0].Falls, plays[0].Share(p.Goal.vhost)
	h.Met = h.Share >= p.Goal.share
	h.Extra = float64(plays[0].Fills) / float64(max(1, plays[1].Fills))
	h.Depth, h.Length, h.Over = p.dip(plays[0])
	_, without, _ := p.dip(plays[2])
	last := long.Seconds()
	h.Jam = h.Length >= last-1 && without < last-3
	if h.Break, err = deep.Break(p.Fleet, b); err != nil {
		return nil, err
	}
	causes, err := deep.Causes(h.Break, b, 1)
	if err != nil {
		return nil, err
	}
	if len(causes) > 0 {
		h.Cause = &causes[0]
	}
	return h, nil
}

// dip tells the least share of any half second, when the goal's share is reached again to stay, and all shares.
func (p *Planner) dip(r *Result) (depth, length float64, over []float64) {
	depth = 1
	for _, t := range r.Slots {
		over = append(over, t.Share())
		if t.Asked < 5 {
			continue
		}
		depth = min(depth, t.Share())
	}
	const wide = 4 // slots that are taken together, since one holds few reqs
	for i := range r.Slots {
		var t Tally
		for _, s := range r.Slots[i:min(len(r.Slots), i+wide)] {
			t.add(s)
		}
		if t.Share() < p.Goal.share-0.01 {
			length = float64(i+1) * SlotSpan.Seconds()
		}
	}
	return depth, length, over
}

// Set is one choice of machines that return cold.
type Set struct {
	Machines []uint32
	Choice   Choice
}

const (
	exactMost = 20_000 // sets that are all looked at; of more a sample
	sampled   = 2_000
	coldStep  = 250 * time.Millisecond
	movedCost = 0.01 // of work that others take over without falling short: what tells sets apart that hurt nobody
)

// Worst finds which machines hurt most if so many of all caches return cold together. A set's hurt is the work that
// finds no room while they warm up: what their homes are asked for, less what cold ones may take and others have to
// spare, and what the zone's link cannot fill; and a little for all that moves.
func (p *Planner) Worst(part, factor float64) Set {
	f := p.Fleet
	var caches []fleet.Machine
	for _, m := range f.Machines() {
		if m.Role == fleet.Cache {
			caches = append(caches, m)
		}
	}
	count := max(1, int(math.Round(part*float64(len(caches)))))
	h := newHurts(p, caches, factor)
	set := Set{Choice: Choice{Of: len(caches), Count: count}}
	var costs []float64
	worst := -1.0
	look := func(chosen []int) {
		cost := h.cost(chosen)
		costs = append(costs, cost)
		if cost > worst {
			worst = cost
			set.Machines = set.Machines[:0]
			for _, i := range chosen {
				set.Machines = append(set.Machines, caches[i].ID)
			}
		}
	}
	if binomial(len(caches), count) <= exactMost {
		set.Choice.Exact = true
		combinations(len(caches), count, look)
	} else {
		order := make([]int, len(caches))
		for i := range order {
			order[i] = i
		}
		for n := range sampled {
			for i := range count { // the first count places of a shuffle
				j := i + int(control.Hash(p.Seeds[0], uint64(n), uint64(i))%uint64(len(order)-i))
				order[i], order[j] = order[j], order[i]
			}
			look(order[:count])
		}
		for z := range f.Zones { // correlated by place: the sample would hardly meet a zone that goes as one
			slices.SortStableFunc(order, func(a, b int) int {
				return cmp.Or(cmp.Compare(btoi(caches[a].Zone != z), btoi(caches[b].Zone != z)), cmp.Compare(a, b))
			})
			look(order[:count])
		}
	}
	slices.Sort(costs)
	set.Choice.Sets, set.Choice.Worst = len(costs), worst
	set.Choice.High, set.Choice.Median = costs[(len(costs)-1)*95/100], costs[(len(costs)-1)/2]
	slices.Sort(set.Machines)
	return set
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

func binomial(n, k int) float64 {
	v := 1.0
	for i := range k {
		v *= float64(n-i) / float64(i+1)
	}
	return v
}

func combinations(n, k int, do func([]int)) {
	chosen := make([]int, k)
	for i := range chosen {
		chosen[i] = i
	}
	for {
		do(chosen)
		i := k - 1
		for i >= 0 && chosen[i] == n-k+i {
			i--
		}
		if i < 0 {
			return
		}
		chosen[i]++
		for j := i + 1; j < k; j++ {
			chosen[j] = chosen[j-1] + 1
		}
	}
}

// hurts reckons what a cold return costs, zone by zone, in core seconds that find no room.
type hurts struct {
	p     *Planner
	zones []hurtZone
	of    []int // zone of each cache
	cores []float64
	load  []float64 // core seconds a second that its home objects take
	bytes []float64 // of copies that it holds
}

type hurtZone struct {
	cores, load float64
	link        float64 // bytes a second that fills leave free
	perByte     float64 // core seconds of work for each byte that is read
}

func newHurts(p *Planner, caches []fleet.Machine, factor float64) *hurts {
	f := p.Fleet
	h := &hurts{p: p, zones: make([]hurtZone, len(f.Zones))}
	loads, links := map[uint32]float64{}, make([]float64, len(f.Zones))
	for _, l := range Bounds(f, p.Demand, factor) {
		switch {
		case l.What == "cores":
			loads[l.ID] = l.Load * factor
		case l.What == "link" && l.ID == 0:
			links[l.Zone] = l.Load * factor
		}
	}
	work, bytes := make([]float64, len(f.Zones)), make([]float64, len(f.Zones))
	homes := newHomes(f)
	held := map[uint32]float64{}
	seen := map[partKey]bool{}
	for i := range p.Demand.Reqs {
		r := &p.Demand.Reqs[i]
		z := f.Serving(int(r.Zone), nil)
		bytes[z] += float64(r.Bytes)
		if k := (partKey{r.Obj, r.Part}); !seen[k] {
			seen[k] = true
			held[homes.home(z, r)] += float64(r.Bytes)
		}
	}
	for _, m := range caches {
		kind := f.Kinds[m.Kind]
		z := &h.zones[m.Zone]
		h.of = append(h.of, m.Zone)
		h.cores = append(h.cores, float64(kind.Cores))
		h.load = append(h.load, loads[m.ID]*float64(kind.Cores))
		h.bytes = append(h.bytes, min(held[m.ID], float64(kind.Memory)))
		z.cores += float64(kind.Cores)
		z.load += loads[m.ID] * float64(kind.Cores)
		work[m.Zone] += loads[m.ID] * float64(kind.Cores)
	}
	for z := range h.zones {
		h.zones[z].link = float64(f.Zones[z].Link) * max(0, 1-links[z])
		h.zones[z].perByte = work[z] * p.Demand.Span.Seconds() / factor / max(1, bytes[z])
	}
	return h
}

func (h *hurts) cost(chosen []int) (cost float64) {
	type lost struct{ cores, load, bytes float64 }
	by := map[int]*lost{}
	for _, i := range chosen {
		l := by[h.of[i]]
		if l == nil {
			l = &lost{}
			by[h.of[i]] = l
		}
		l.cores += h.cores[i]
		l.load += h.load[i]
		l.bytes += h.bytes[i]
	}
	cold := h.p.Fleet.Cold
	zones := make([]int, 0, len(by))
	for z := range by {
		zones = append(zones, z)
	}
	slices.Sort(zones)
	for _, z := range zones {
		l, zone := by[z], h.zones[z]
		left := l.bytes
		for at := time.Duration(0); at < cold.Ramp.D()+coldStep; at += coldStep {
			part := min(1, float64(cold.Floor)+(1-float64(cold.Floor))*at.Seconds()/max(1e-6, cold.Ramp.Seconds()))
			room := zone.cores - l.cores + l.cores*part
			short := max(0, zone.load-room)
			// What the lost copies were read for must be filled anew first.
			need := l.load / max(1e-12, zone.perByte) * left / max(1, l.bytes)
			unfilled := max(0, need-zone.link) * zone.perByte
			left = max(0, left-min(need, zone.link)*coldStep.Seconds())
			cost += (max(short, min(unfilled, l.load)) + movedCost*l.load*(1-part)) * coldStep.Seconds()
		}
	}
	return cost
}
