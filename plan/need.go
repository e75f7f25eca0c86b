package plan

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"indigochute.example/indigochute/fleet"
)

// Need is how many caches of a kind each zone needs for a goal.
type Need struct {
	Kind  string         `json:"kind"`
	Under string         `json:"under"` // plain, or the loss that it stands
	Now   map[string]int `json:"now"`
	Need  map[string]int `json:"need"`
	Share float64        `json:"share"` // of the goal's reqs in their aim, with that many
	Total int            `json:"total"`
	Plays int            `json:"plays"`
}

// Unmet tells that no number of caches meets a goal, and which limit stands in the way.
type Unmet struct {
	Goal, Under string
	Share       float64 // with the most caches that were tried
	Most        int
	Limit       *Use
}

func (u Unmet) Error() string {
	s := fmt.Sprintf("no number of caches up to %d meets %q (%s): %.1f%% there", u.Most, u.Goal, u.Under, 100*u.Share)
	if u.Limit != nil {
		s += fmt.Sprintf("; %s's %s stands in the way, %.0f%% used", u.Limit.Name, u.Limit.What, 100*u.Limit.Used)
	}
	return s
}

const (
	needMost   = 64.0 // times the caches that there are
	needSpread = 12   // zones whose numbers are lowered one by one; of more only the common multiple is found
)

// Needs finds for a kind the fewest caches by zone with which the goal holds at its rate: plain, and under each loss
// that it names. More and more of all zones' are tried first, then fewer of one zone after the other.
func (p *Planner) Needs(kind string) (needs []*Need, err error) {
	k := slices.IndexFunc(p.Fleet.Kinds, func(k fleet.Kind) bool { return k.Name == kind })
	if k < 0 {
		return nil, fmt.Errorf("the fleet has no kind %q", kind)
	}
	factor, err := p.Goal.Factor(p.Demand)
	if err != nil {
		return nil, err
	}
	for _, l := range append([]*Loss{nil}, p.Goal.Also...) {
		n, err := p.need(k, l, factor)
		if err != nil {
			return needs, err
		}
		needs = append(needs, n)
	}
	return needs, nil
}

func (p *Planner) need(k int, l *Loss, factor float64) (*Need, error) {
	kind := p.Fleet.Kinds[k]
	n := &Need{Kind: kind.Name, Under: "plain", Now: map[string]int{}, Need: map[string]int{}}
	if l != nil {
		n.Under = l.String()
	}
	var zones []string
	for _, z := range p.Fleet.Zones {
		if c := kind.Number[z.Name]; c > 0 {
			zones = append(zones, z.Name)
			n.Now[z.Name] = c
		}
	}
	if len(zones) == 0 {
		return nil, fmt.Errorf("kind %s stands in no zone", kind.Name)
	}
	var last *Result
	with := func(counts map[string]int) (bool, float64, error) {
		f := p.Fleet.Clone()
		f.Kinds[k].Number = counts
		q := *p
		q.Fleet = f
		var b Blow
		if l != nil {
			var err error
			if b, _, err = q.Blow(l, factor); err != nil {
				return false, 0, err
			}
		}
		var setups []Setup
		for _, seed := range p.Seeds {
			setups = append(setups, Setup{Factor: factor, Seed: seed, Warm: p.Warm, Span: p.Span, Blow: b})
		}
		results, err := p.Player(f, p.Demand, setups)
		if err != nil {
			return false, 0, err
		}
		n.Plays += len(results)
		last = results[0]
		share := Points(results, p.Goal)[0].Share
		return share >= p.Goal.share, share, nil
	}
	scaled := func(m float64) map[string]int {
		counts := map[string]int{}
		for _, z := range zones {
			counts[z] = min(16000, max(1, int(math.Ceil(m*float64(n.Now[z])-1e-9))))
		}
		return counts
	}
	low, high := 0.0, 1.0
	var share float64
	for {
		ok, s, err := with(scaled(high))
		if err != nil {
			return nil, err
		}
		if share = s; ok {
			break
		}
		if low = high; high >= needMost {
			return nil, p.unmet(n, share, total(scaled(high)), last)
		}
		high *= 2
	}
	for range 12 {
		mid := (low + high) / 2
		if total(scaled(mid)) == total(scaled(high)) || total(scaled(mid)) == total(scaled(low)) {
			break
		}
		ok, s, err := with(scaled(mid))
		if err != nil {
			return nil, err
		}
		if ok {
			high, share = mid, s
		} else {
			low = mid
		}
	}
	n.Need, n.Share = scaled(high), share
	if len(zones) > 1 && len(zones) <= needSpread {
		for _, z := range zones {
			for n.Need[z] > 1 {
				fewer := map[string]int{}
				for name, c := range n.Need {
					fewer[name] = c
				}
				fewer[z]--
				ok, s, err := with(fewer)
				if err != nil {
					return nil, err
				}
				if !ok {
					break
				}
				n.Need, n.Share = fewer, s
			}
		}
	}
	n.Total = total(n.Need)
	return n, nil
}

// unmet names the limit that is fullest with the most caches: those are no limit any more.
func (p *Planner) unmet(n *Need, share float64, most int, r *Result) error {
	u := Unmet{Goal: p.Goal.String(), Under: n.Under, Share: share, Most: most}
	for _, x := range r.Uses {
		if x.What != "cores" && (u.Limit == nil || x.Used > u.Limit.Used) {
			u.Limit = &Use{Name: x.Name, What: x.What, Used: x.Used, use: x}
		}
	}
	if u.Limit != nil && u.Limit.Used < suspected {
		u.Limit = nil // an aim that no machine keeps, or a loss that leaves nobody
	}
	return u
}

// IsUnmet tells whether an error says that nothing meets the goal.
func IsUnmet(err error) bool {
	var u Unmet
	return errors.As(err, &u)
}

func total(counts map[string]int) (sum int) {
	for _, c := range counts {
		sum += c
	}
	return sum
}
