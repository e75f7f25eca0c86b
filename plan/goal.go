package plan

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"indigochute.example/indigochute/fleet"
)

// Goal is what a service is to keep: a share of a vhost's reqs answered in their aim. Text is its form in words:
//
//	repair-clip 98% in its aim at 300 reqs/s also after the loss of zone east also while a fifth returns cold
type Goal struct {
	Vhost string   `parser:"@Ident"`
	Share string   `parser:"@Percent 'in' ('its' | 'their') 'aim'"`
	Rate  *float64 `parser:"( 'at' @Number ('reqs/s' | 'reqs' '/' 's') )?"`
	Also  []*Loss  `parser:"@@*"`

	vhost int // -1: all
	share float64
}

// Loss is what a goal is to stand.
type Loss struct {
	After *After `parser:"'also' ( 'after' 'the' 'loss' 'of' @@"`
	Cold  string `parser:"| 'while' ('a' | 'an')? @(Ident | Percent) ('return' | 'returns') 'cold' ('at' 'once')? )"`
}

// After names what is gone.
type After struct {
	What string `parser:"@('zone' | 'parent' | 'kind')"`
	Name string `parser:"@Ident"`
	Gone bool   `parser:"@('with' 'its' 'clients')?"`
}

var goalParser = participle.MustBuild[Goal](participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Percent", Pattern: `[0-9]+(\.[0-9]+)?%`},
	{Name: "Number", Pattern: `[0-9]+(\.[0-9]+)?`},
	{Name: "Ident", Pattern: `[\pL_][\pL\pN_.-]*(/s)?`},
	{Name: "Sign", Pattern: `[/]`},
	{Name: "space", Pattern: `\s+`},
})))

var parts = map[string]float64{"half": 0.5, "third": 1.0 / 3, "quarter": 0.25, "fifth": 0.2, "tenth": 0.1}

// ParseGoal reads a goal for a fleet. The vhost all stands for every vhost.
func ParseGoal(f *fleet.Fleet, text string) (*Goal, error) {
	g, err := goalParser.ParseString("goal", text)
	if err != nil {
		return nil, fmt.Errorf("goal %q: %w; expected such as: %s 98%% in its aim at 300 reqs/s", text, err, f.Vhosts[0].Name)
	}
	if g.vhost = slices.IndexFunc(f.Vhosts, func(v fleet.Vhost) bool { return v.Name == g.Vhost }); g.vhost < 0 && g.Vhost != "all" {
		return nil, fmt.Errorf("goal %q: the fleet has no vhost %q", text, g.Vhost)
	}
	if g.share, err = percent(g.Share); err != nil || g.share <= 0 || g.share > 1 {
		return nil, fmt.Errorf("goal %q: %s is no share from above 0%% to 100%%", text, g.Share)
	}
	if g.Rate != nil && *g.Rate <= 0 {
		return nil, fmt.Errorf("goal %q: a rate above 0 is expected", text)
	}
	for _, l := range g.Also {
		if l.After == nil {
			if p, err := l.part(); err != nil || p <= 0 || p > 1 {
				return nil, fmt.Errorf("goal %q: %q is no part of the caches; a fifth or 20%% are", text, l.Cold)
			}
			continue
		}
		known := false
		switch l.After.What {
		case "zone":
			known = slices.ContainsFunc(f.Zones, func(z fleet.Zone) bool { return z.Name == l.After.Name })
		case "parent":
			known = slices.ContainsFunc(f.Parents, func(p fleet.Parent) bool { return p.Name == l.After.Name })
		case "kind":
			known = slices.ContainsFunc(f.Kinds, func(k fleet.Kind) bool { return k.Name == l.After.Name })
		}
		if !known {
			return nil, fmt.Errorf("goal %q: the fleet has no %s %q", text, l.After.What, l.After.Name)
		}
	}
	return g, nil
}

func percent(s string) (float64, error) {
	v, err := strconv.ParseFloat(strings.TrimSuffix(s, "%"), 64)
	return v / 100, err
}

// part is the share of the caches that return cold.
func (l *Loss) part() (float64, error) {
	if p, ok := parts[l.Cold]; ok {
		return p, nil
	}
	if !strings.HasSuffix(l.Cold, "%") {
		return 0, strconv.ErrSyntax
	}
	return percent(l.Cold)
}

// Want is the share of reqs to be answered in their aim.
func (g *Goal) Want() float64 { return g.share }

// Of is the vhost's place in the fleet; -1: all.
func (g *Goal) Of() int { return g.vhost }

// Factor is how many times the demand's load the goal's rate is; 1 where it names none.
func (g *Goal) Factor(d *Demand) (float64, error) {
	if g.Rate == nil {
		return 1, nil
	}
	now := d.Rate(g.vhost)
	if now == 0 {
		return 0, fmt.Errorf("goal for %s: the capture holds no req of it, so no rate can be set by it", g.Vhost)
	}
	return *g.Rate / now, nil
}

func (g *Goal) String() string {
	s := fmt.Sprintf("%s %s in its aim", g.Vhost, g.Share)
	if g.Rate != nil {
		s += fmt.Sprintf(" at %g reqs/s", *g.Rate)
	}
	for _, l := range g.Also {
		s += " also " + l.String()
	}
	return s
}

func (l *Loss) String() string {
	if l.After == nil {
		what := l.Cold
		if _, word := parts[what]; word && what != "half" {
			what = "a " + what
		}
		return "while " + what + " returns cold at once"
	}
	s := "after the loss of " + l.After.What + " " + l.After.Name
	if l.After.Gone {
		s += " with its clients"
	}
	return s
}
