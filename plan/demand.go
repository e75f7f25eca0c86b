// Package plan tells from a captured load and a fleet's description what breaks first as load grows, how many caches
// a goal needs, and what a loss does. It does no I/O, starts no goroutine and reads no clock; chance comes from seeds.
//
// Two ways of reckoning stand side by side. Bounds adds up what each limit has to carry, by the homes that control
// gives and the copies that memory keeps: fast at any size, and blind to waiting. Play lets directors' own decisions
// run on model's machines in a time of its own: it sees waiting, denials and retries.
package plan

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"indigochute.example/indigochute/capture"
	"indigochute.example/indigochute/director"
	"indigochute.example/indigochute/fleet"
)

// Req is one req of the demand.
type Req struct {
	At    time.Duration // since the first
	Obj   uint64
	Part  uint32
	Group uint32
	Bytes int32 // of the answer
	Vhost int16 // places in the fleet
	Zone  int16
}

// Demand is what clients asked for, by arrival.
type Demand struct {
	Reqs []Req
	Span time.Duration
	CPU  time.Duration // of directors for each req; 0: not known
	// LeftOut counts the rows that are not in Reqs, by why.
	LeftOut map[string]int
	// Guessed counts the reqs whose size no answer told, so that it was drawn from the vhost's.
	Guessed int
}

// NewDemand takes the demand from a capture. A denied req that comes again within the time that the fleet's clients
// stay away is a retry, not demand: it is left out.
func NewDemand(f *fleet.Fleet, c *capture.Capture) (*Demand, error) {
	d := &Demand{LeftOut: map[string]int{}}
	if c.Report.CPU > 0 && len(c.Rows) > 0 {
		d.CPU = c.Report.CPU / time.Duration(len(c.Rows))
	}
	vhosts, zones := places(c.Vhosts, len(f.Vhosts), func(i int) string { return f.Vhosts[i].Name }),
		places(c.Zones, len(f.Zones), func(i int) string { return f.Zones[i].Name })
	type thing struct {
		obj   uint64
		part  uint32
		vhost int16
	}
	type turned struct {
		until time.Duration
		tries int
	}
	sizes := map[thing]int32{}
	denied := map[thing][]turned{}
	back := max(f.Directors.Back.D(), f.Clients.After.D()) + 250*time.Millisecond
	for i := range c.Rows {
		r := &c.Rows[i]
		v, z := vhosts[r.Vhost], zones[r.Zone]
		switch {
		case v < 0:
			d.LeftOut["rows of vhost "+c.Vhosts[r.Vhost]+", which the fleet lacks"]++
			continue
		case z < 0:
			d.LeftOut["rows of zone "+c.Zones[r.Zone]+", which the fleet lacks"]++
			continue
		}
		t := thing{r.Obj, r.Part, int16(v)}
		if r.How == director.Served && r.Down > 0 {
			sizes[t] = int32(min(r.Down, math.MaxInt32))
		} else if r.How == director.Served && !f.Vhosts[v].Write && sizes[t] == 0 {
			d.LeftOut["answers of no bytes: the client's own copy held, or the size was zero"]++
		}
		tries := 0
		if list := denied[t]; len(list) > 0 && f.Clients.Retries > 0 {
			if at := slices.IndexFunc(list, func(x turned) bool { return r.At <= x.until }); at >= 0 {
				tries = list[at].tries + 1
				list = slices.Delete(list, 0, at+1)
			} else {
				list = list[:0]
			}
			denied[t] = list
		}
		if r.How == director.Denied && tries < f.Clients.Retries {
			denied[t] = append(denied[t], turned{r.At + r.Whole + back, tries})
		}
		if tries > 0 {
			d.LeftOut["retries of denied reqs, which are not demand"]++
			continue
		}
		d.Reqs = append(d.Reqs, Req{At: r.At, Obj: r.Obj, Part: r.Part, Group: r.Group, Vhost: int16(v), Zone: int16(z)})
	}
	if len(d.Reqs) == 0 {
		return nil, fmt.Errorf("the capture holds no req of this fleet's vhosts and zones (%d rows, %v)", c.Report.Rows, d.LeftOut)
	}
	first := d.Reqs[0].At
	for i := range d.Reqs {
		r := &d.Reqs[i]
		r.At -= first
		if r.Bytes = sizes[thing{r.Obj, r.Part, r.Vhost}]; r.Bytes == 0 {
			r.Bytes = int32(f.Vhosts[r.Vhost].SizeOf(r.Obj, r.Part))
			d.Guessed++
		}
	}
	d.Span = d.Reqs[len(d.Reqs)-1].At
	if d.Span < time.Second {
		return nil, fmt.Errorf("the capture spans %v, too short to tell a rate", d.Span)
	}
	return d, nil
}

// places maps one list of names to another's places; -1: it is not there.
func places(names []string, count int, name func(int) string) []int {
	at := make([]int, len(names))
	for i, n := range names {
		at[i] = -1
		for j := range count {
			if name(j) == n {
				at[i] = j
			}
		}
	}
	return at
}

// Rate is the reqs a second of one vhost, or of all where vhost is below zero.
func (d *Demand) Rate(vhost int) float64 {
	n := len(d.Reqs)
	if vhost >= 0 {
		n = 0
		for i := range d.Reqs {
			if int(d.Reqs[i].Vhost) == vhost {
				n++
			}
		}
	}
	return float64(n) / d.Span.Seconds()
}

// Burst is the variance of the reqs in tenths of a second over their mean: 1 for arrivals by chance.
func (d *Demand) Burst() float64 {
	const each = 100 * time.Millisecond
	counts := make([]float64, int(d.Span/each)+1)
	for i := range d.Reqs {
		counts[d.Reqs[i].At/each]++
	}
	mean, vary := 0.0, 0.0
	for _, n := range counts {
		mean += n / float64(len(counts))
	}
	for _, n := range counts {
		vary += (n - mean) * (n - mean) / float64(len(counts))
	}
	return vary / max(mean, 1e-9)
}

// Least that a window must hold, or its shares say nothing.
const (
	leastReqs = 200
	leastSpan = 2 * time.Second
)

// Short tells that a capture does not last for what is asked of it.
type Short struct {
	Factor float64
	Span   time.Duration // of the capture
	Wants  time.Duration
	Reqs   int
}

func (s Short) Error() string {
	return fmt.Sprintf("at %.3g times its load the capture lasts %v and %v are wanted, with %d reqs at least: it holds %d; a longer one is needed",
		s.Factor, time.Duration(float64(s.Span)/s.Factor).Round(100*time.Millisecond), s.Wants, leastReqs, s.Reqs)
}

// Window cuts a play out of the demand, which comes factor times as fast: its end, before that as much as fits to
// fill memories with. Times count from the begin of the play; those of primed reqs are below zero. Where the capture
// is short the span shrinks first, then the warm part.
func (d *Demand) Window(factor float64, warm, span time.Duration) (prime, play []Req, warmed, spanned time.Duration, err error) {
	all := time.Duration(float64(d.Span) / factor)
	want := warm + span
	if all < want {
		span = max(leastSpan, all-warm)
		warm = max(0, all-span)
	}
	if all < leastSpan {
		return nil, nil, 0, 0, Short{factor, d.Span, want, len(d.Reqs)}
	}
	begin := all - warm - span
	at := func(r Req) time.Duration { return time.Duration(float64(r.At)/factor) - begin }
	cut, _ := slices.BinarySearchFunc(d.Reqs, 0, func(r Req, _ int) int { return cmp.Compare(at(r), 0) })
	if len(d.Reqs)-cut < leastReqs {
		return nil, nil, 0, 0, Short{factor, d.Span, want, len(d.Reqs) - cut}
	}
	first := max(0, cut-primeMost)
	reqs := slices.Clone(d.Reqs[first:])
	for i := range reqs {
		reqs[i].At = at(reqs[i])
	}
	return reqs[:cut-first], reqs[cut-first:], warm, span, nil
}

// primeMost reqs before a play fill memories.
const primeMost = 40_000

// Part names one part of an object.
type Part struct {
	Obj   uint64
	Part  uint32
	Vhost int16
}

// Sizes are the bytes of every part in the demand.
func (d *Demand) Sizes() map[Part]int32 {
	sizes := map[Part]int32{}
	for i := range d.Reqs {
		r := &d.Reqs[i]
		sizes[Part{r.Obj, r.Part, r.Vhost}] = r.Bytes
	}
	return sizes
}

// DemandOf takes the demand from reqs, which come by arrival.
func DemandOf(reqs []Req) *Demand {
	return &Demand{Reqs: reqs, Span: reqs[len(reqs)-1].At, LeftOut: map[string]int{}}
}
