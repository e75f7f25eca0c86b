package plan

import (
	"cmp"
	"slices"

	"indigochute.example/indigochute/fleet"
)

const (
	focusOver  = 8 // zones; a fleet of more is played in part:
	focusZones = 4 // those that break first
)

// focus is the part of a large fleet that is played: the zones whose own limits break first, and those that a blow
// concerns. What the other zones take of parents and the origin is taken off their links. The goal is then counted
// over the zones that are played, so that the rest, which are better off, do not hide them.
func (p *Planner) focus(f *fleet.Fleet, blow Blow) (*fleet.Fleet, *Demand, []float64) {
	if len(f.Zones) <= focusOver {
		return f, p.Demand, nil
	}
	if p.focused.fleet == f && slices.Equal(p.focused.blow, blow.all()) {
		return p.focused.part, p.focused.demand, p.focused.others
	}
	hit := map[int]int{}
	machines := f.Machines()
	for _, m := range machines {
		if m.Role == fleet.Cache && (slices.Contains(blow.Cold, m.ID) || slices.Contains(blow.Gone, m.ID)) {
			hit[m.Zone]++
		}
	}
	chosen := map[int]bool{}
	for _, z := range blow.Zones {
		chosen[z] = true
		chosen[max(0, f.Serving(z, func(z int) bool { return slices.Contains(blow.Zones, z) }))] = true
	}
	var zones []int
	for z := range hit {
		zones = append(zones, z)
	}
	slices.SortFunc(zones, func(a, b int) int { return cmp.Or(cmp.Compare(hit[b], hit[a]), cmp.Compare(a, b)) })
	for _, z := range zones[:min(focusZones, len(zones))] {
		chosen[z] = true
	}
	for _, l := range p.bounds(f) {
		if own := l.What == "cores" || l.ID == 0; own && len(chosen) < focusZones {
			chosen[l.Zone] = true
		}
	}
	g := f.Clone()
	for k := range g.Kinds {
		for z, zone := range g.Zones {
			if !chosen[z] {
				delete(g.Kinds[k].Number, zone.Name)
			}
		}
	}
	d, rest := &Demand{Span: p.Demand.Span, CPU: p.Demand.CPU}, &Demand{Span: p.Demand.Span}
	for _, r := range p.Demand.Reqs {
		if chosen[f.Serving(int(r.Zone), nil)] {
			d.Reqs = append(d.Reqs, r)
		} else {
			rest.Reqs = append(rest.Reqs, r)
		}
	}
	var others []float64
	if len(rest.Reqs) > 0 {
		loads := map[uint32]float64{}
		for _, l := range Bounds(f, rest, 1) {
			if l.What == "link" && l.ID != 0 {
				loads[l.ID] = l.Load
			}
		}
		for _, m := range g.Machines() {
			others = append(others, loads[m.ID])
		}
	}
	p.focused = focused{f, blow.all(), g, d, others}
	return g, d, others
}

// focused is the last focus, kept because a search asks for it again and again.
type focused struct {
	fleet  *fleet.Fleet
	blow   []uint32
	part   *fleet.Fleet
	demand *Demand
	others []float64
}

// all is a blow as one list.
func (b *Blow) all() (list []uint32) {
	list = append(append(list, b.Cold...), 0)
	list = append(append(list, b.Gone...), 0)
	for _, z := range b.Zones {
		list = append(list, uint32(z))
	}
	return list
}
