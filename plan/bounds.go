package plan

import (
	"cmp"
	"math"
	"slices"
	"time"

	"indigochute.example/indigochute/control"
	"indigochute.example/indigochute/fleet"
	"indigochute.example/indigochute/model"
)

// Limit is one thing that more load may fill.
type Limit struct {
	Name   string  `json:"name"` // of the machine or link
	What   string  `json:"what"` // cores, link, fetches, director
	Zone   int     `json:"-"`
	Kind   int     `json:"-"`
	ID     uint32  `json:"-"`
	Load   float64 `json:"load"`   // share of it that the demand takes as captured
	Factor float64 `json:"factor"` // of load at which it is full
	Low    float64 `json:"low"`    // the capture's length supports no closer bounds than these two
	High   float64 `json:"high"`
}

const (
	blocks     = 10      // of time, whose differences tell how sure a load is
	followMost = 200_000 // reads whose distances are followed; of more only a sample
)

// Bounds tells how much of each limit the demand takes, the fullest first. It adds up work and bytes and knows no
// waiting: what a limit carries at its factor is all that it could ever carry. At is the factor of load at which hot
// objects and ageing copies are judged.
func Bounds(f *fleet.Fleet, d *Demand, at float64) []Limit {
	b := &bounds{f: f, d: d, at: at, homes: newHomes(f), each: d.Span/blocks + 1}
	b.cores()
	b.links()
	b.directors()
	slices.SortStableFunc(b.limits, func(x, y Limit) int {
		return cmp.Or(cmp.Compare(x.Factor, y.Factor), cmp.Compare(x.Name, y.Name))
	})
	return b.limits
}

type bounds struct {
	f      *fleet.Fleet
	d      *Demand
	at     float64
	homes  *homes
	each   time.Duration // of a block
	limits []Limit
}

// block is where in time a req lies.
func (b *bounds) block(r *Req) int { return int(r.At / b.each) }

// limit notes one, from its load in each block.
func (b *bounds) limit(l Limit, loads []float64) {
	mean, vary := 0.0, 0.0
	for _, x := range loads {
		mean += x / float64(len(loads))
	}
	for _, x := range loads {
		vary += (x - mean) * (x - mean) / float64(len(loads)-1)
	}
	if mean <= 0 {
		return
	}
	off := 2 * math.Sqrt(vary/float64(len(loads)))
	l.Load, l.Factor = mean, 1/mean
	l.Low, l.High = 1/(mean+off), 1/max(mean-off, mean/10)
	b.limits = append(b.limits, l)
}

// cores adds up the work at homes, levels what hot objects may be moved for, and tells the busiest of each zone.
func (b *bounds) cores() {
	f, d := b.f, b.d
	type place struct {
		zone int
		doc  uint64
	}
	asks := map[place]float64{}
	totals := make([]float64, len(f.Zones))
	for i := range d.Reqs {
		r := &d.Reqs[i]
		z := f.Serving(int(r.Zone), nil)
		asks[place{z, document(f, r)}]++
		totals[z]++
	}
	share := func(z int) float64 { // of what a zone is asked that one director sees while objects are judged
		return control.HotSpan.Seconds() / d.Span.Seconds() * b.at / float64(max(1, f.Zones[z].Directors))
	}
	type book struct {
		m     fleet.Machine
		kind  *fleet.Kind
		loads [blocks]float64 // of one core's second a second, by block
	}
	books := map[uint32]*book{}
	zones := make([][]*book, len(f.Zones))
	for _, m := range f.Machines() {
		if m.Role == fleet.Cache {
			x := &book{m: m, kind: &f.Kinds[m.Kind]}
			books[m.ID] = x
			zones[m.Zone] = append(zones[m.Zone], x)
		}
	}
	hot := make([][blocks]float64, len(f.Zones)) // bytes and reqs of hot objects, in work of the zone's mean cache
	for i := range d.Reqs {
		r := &d.Reqs[i]
		z := f.Serving(int(r.Zone), nil)
		home := books[b.homes.home(z, r)]
		if home == nil {
			continue
		}
		work := (home.kind.Each.Seconds() + float64(r.Bytes)/float64(home.kind.Pace)) / b.each.Seconds()
		if len(zones[z]) > 1 && control.Hot(asks[place{z, document(f, r)}]*share(z), totals[z]*share(z)) {
			hot[z][b.block(r)] += work
			continue
		}
		home.loads[b.block(r)] += work
	}
	for z := range zones {
		for t := range blocks {
			caches := zones[z]
			if len(caches) == 0 {
				continue
			}
			// The level that hot work fills up to, as water does: cores by cores, the least loaded first.
			order := slices.Clone(caches)
			level := func(x *book) float64 { return x.loads[t] / float64(x.kind.Cores) }
			slices.SortFunc(order, func(x, y *book) int { return cmp.Compare(level(x), level(y)) })
			work, cores, to := hot[z][t], 0.0, 0.0
			for i, x := range order {
				cores += float64(x.kind.Cores)
				work += x.loads[t]
				if to = work / cores; i+1 == len(order) || to <= level(order[i+1]) {
					break
				}
			}
			for _, x := range order {
				x.loads[t] = max(x.loads[t], to*float64(x.kind.Cores))
			}
		}
		for _, x := range zones[z] {
			var loads [blocks]float64
			for t := range loads {
				loads[t] = x.loads[t] / float64(x.kind.Cores)
			}
			b.limit(Limit{Name: x.m.Name, What: "cores", Zone: z, Kind: x.m.Kind, ID: x.m.ID}, loads[:])
		}
	}
}

// Pool is the memory that a zone's caches hold different things in: all of it, less the second copies of what is hot.
func (b *bounds) pool(z int) (bytes float64) {
	for k := range b.f.Kinds {
		kind := &b.f.Kinds[k]
		bytes += float64(kind.Memory) * float64(kind.Number[b.f.Zones[z].Name])
	}
	type hot struct{ asks, bytes float64 }
	documents := map[uint64]*hot{}
	seen := map[partKey]bool{}
	total := 0.0
	for i := range b.d.Reqs {
		r := &b.d.Reqs[i]
		if b.f.Serving(int(r.Zone), nil) != z {
			continue
		}
		doc := document(b.f, r)
		o := documents[doc]
		if o == nil {
			o = &hot{}
			documents[doc] = o
		}
		o.asks++
		total++
		if k := (partKey{r.Obj, r.Part}); !seen[k] {
			seen[k] = true
			o.bytes += float64(r.Bytes)
		}
	}
	share := control.HotSpan.Seconds() / b.d.Span.Seconds() * b.at / float64(max(1, b.f.Zones[z].Directors))
	twice := 0.0
	for _, o := range documents {
		if control.Hot(o.asks*share, total*share) {
			twice += o.bytes
		}
	}
	return max(bytes/2, bytes-twice)
}

// links adds up fills: what a zone's memory misses goes through its link, from the parent that its directors ask
// first; what that misses comes from the origin.
func (b *bounds) links() {
	f, d := b.f, b.d
	follow := min(1, followMost/float64(len(d.Reqs)))
	type source struct {
		m      fleet.Machine
		parent *fleet.Parent
		curve  *Curve
		bytes  [blocks]float64
		fetch  [blocks]float64 // fetches under way, mean
	}
	sources := map[uint32]*source{}
	var order []*source
	for _, m := range f.Machines() {
		if m.Role != fleet.Cache {
			s := &source{m: m}
			if m.Role == fleet.ParentRole {
				s.parent, s.curve = &f.Parents[m.Kind], NewCurve(1)
				s.curve.share = follow // what it is asked for was chosen already
			}
			sources[m.ID] = s
			order = append(order, s)
		}
	}
	origin := order[len(order)-1]
	zone := make([][blocks]float64, len(f.Zones))
	curves, pools := make([]*Curve, len(f.Zones)), make([]float64, len(f.Zones))
	for z := range f.Zones {
		curves[z], pools[z] = NewCurve(follow), b.pool(z)
	}
	filled := map[uint64]map[partKey]time.Duration{} // by machine
	old := func(at uint64, v *fleet.Vhost, r *Req) bool {
		if v.Fresh == 0 {
			return false
		}
		m := filled[at]
		if m == nil {
			m = map[partKey]time.Duration{}
			filled[at] = m
		}
		k := partKey{r.Obj, r.Part}
		if last, ok := m[k]; ok && time.Duration(float64(r.At-last)/b.at) <= v.Fresh.D() {
			return false
		}
		m[k] = r.At
		return true
	}
	for i := range d.Reqs {
		r := &d.Reqs[i]
		v := &f.Vhosts[r.Vhost]
		z, t := f.Serving(int(r.Zone), nil), b.block(r)
		if v.Write {
			zone[z][t] += model.WriteBytes
			origin.bytes[t] += model.WriteBytes
			origin.fetch[t] += f.Origin.Latency.Seconds()
			continue
		}
		far, followed := curves[z].Read(r.Obj, r.Part, float64(r.Bytes))
		if !followed {
			continue
		}
		bytes := float64(r.Bytes) / follow
		if aged := old(uint64(z), v, r); far <= pools[z] && !aged {
			continue
		}
		zone[z][t] += bytes
		p := sources[b.homes.parent(z, r)]
		if p == nil {
			p = origin
		}
		p.bytes[t] += bytes
		if p == origin {
			origin.fetch[t] += (f.Origin.Latency.Seconds() + float64(r.Bytes)/float64(f.Origin.Link)) / follow
			continue
		}
		far, _ = p.curve.Read(r.Obj, r.Part, float64(r.Bytes))
		if aged := old(uint64(p.m.ID)|1<<32, v, r); far > float64(p.parent.Memory) || aged {
			origin.bytes[t] += bytes
			took := (f.Origin.Latency.Seconds() + float64(r.Bytes)/float64(f.Origin.Link)) / follow
			p.fetch[t] += took
			origin.fetch[t] += took
		}
	}
	each := b.each.Seconds()
	scaled := func(list [blocks]float64, by float64) []float64 {
		for t := range list {
			list[t] /= each * by
		}
		return list[:]
	}
	for z, zz := range f.Zones {
		b.limit(Limit{Name: "zone " + zz.Name, What: "link", Zone: z}, scaled(zone[z], float64(zz.Link)))
	}
	for _, s := range order {
		rate, most := float64(f.Origin.Link), f.Origin.Fetches
		if s.parent != nil {
			rate, most = float64(s.parent.Link), s.parent.Fetches
		}
		b.limit(Limit{Name: s.m.Name, What: "link", Zone: s.m.Zone, Kind: s.m.Kind, ID: s.m.ID}, scaled(s.bytes, rate))
		b.limit(Limit{Name: s.m.Name, What: "fetches", Zone: s.m.Zone, Kind: s.m.Kind, ID: s.m.ID}, scaled(s.fetch, float64(most)))
	}
}

// directors tells how much of their cores directors take, where the capture says what a req cost.
func (b *bounds) directors() {
	if b.d.CPU == 0 {
		return
	}
	asks := make([][blocks]float64, len(b.f.Zones))
	for i := range b.d.Reqs {
		r := &b.d.Reqs[i]
		asks[b.f.Serving(int(r.Zone), nil)][b.block(r)]++
	}
	for z, zone := range b.f.Zones {
		for t := range asks[z] {
			asks[z][t] *= b.d.CPU.Seconds() / b.each.Seconds() / (float64(max(1, zone.Directors)) * b.f.Directors.Cores)
		}
		b.limit(Limit{Name: "directors of " + zone.Name, What: "director", Zone: z}, asks[z][:])
	}
}

// Curves are the miss-ratio curves of all zones together, and the memory they have: for a chart.
func ZoneCurve(f *fleet.Fleet, d *Demand, z int) (c *Curve, pool float64) {
	b := &bounds{f: f, d: d, at: 1, homes: newHomes(f)}
	c = NewCurve(min(1, followMost/float64(len(d.Reqs))))
	for i := range d.Reqs {
		if r := &d.Reqs[i]; f.Serving(int(r.Zone), nil) == z && !f.Vhosts[r.Vhost].Write {
			c.Read(r.Obj, r.Part, float64(r.Bytes))
		}
	}
	return c, b.pool(z)
}
