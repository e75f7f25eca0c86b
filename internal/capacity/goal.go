package capacity

// Goals (service level objectives) and their notation.

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"indigochute.example/indigochute/internal/topology"
)

// Goal is a service level objective: the share of the requests of a class that must be answered within the latency
// objective. It may name a rate, and losses under which it must also hold. ParseGoal parses a goal in words, such as:
//
//	repair-clip 98% in its aim at 300 reqs/s also after the loss of zone east also while a fifth returns cold
//
// The fields and their types are exported because the parser requires it. The parser also uses the type names in its error
// messages.
type Goal struct {
	Class  string   `parser:"@Ident"`                                        // name of the request class, or "all"
	Share  string   `parser:"@Percent 'in' ('its' | 'their') 'aim'"`         // as written, with its percent sign
	Rate   *float64 `parser:"( 'at' @Number ('reqs/s' | 'reqs' '/' 's') )?"` // of the class, requests a second; nil: as captured
	Losses []*Loss  `parser:"@@*"`

	classIndex int     // index of the request class in the topology; -1: all
	share      float64 // Share as a number, above 0 and up to 1
}

// Loss is a failure under which a goal must hold: a removal of machines or, if Removal is nil, a restart of caches. The type
// name appears in error messages of the parser.
type Loss struct {
	Removal *After `parser:"'also' ( 'after' 'the' 'loss' 'of' @@"`
	Restart string `parser:"| 'while' ('a' | 'an')? @(Ident | Percent) ('return' | 'returns') 'cold' ('at' 'once')? )"` // share of the caches
}

// After names machines that are removed and do not return. The type name appears in error messages of the parser.
type After struct {
	Scope       string `parser:"@('zone' | 'parent' | 'kind')"`
	Name        string `parser:"@Ident"`
	ClientsLost bool   `parser:"@('with' 'its' 'clients')?"` // for a zone: its clients send no more requests
}

// Values of After.Scope.
const (
	scopeZone   = "zone"
	scopeParent = "parent"
	scopeKind   = "kind"
)

// allClasses stands for all request classes in the text of a goal.
const allClasses = "all"

// goalParser parses goals according to the parser tags of Goal, Loss and After.
var goalParser = participle.MustBuild[Goal](participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Percent", Pattern: `[0-9]+(\.[0-9]+)?%`},
	{Name: "Number", Pattern: `[0-9]+(\.[0-9]+)?`},
	{Name: "Ident", Pattern: `[\pL_][\pL\pN_.-]*(/s)?`},
	{Name: "Sign", Pattern: `[/]`},
	{Name: "space", Pattern: `\s+`},
})))

// shareWords maps words to the share of all caches that they mean.
var shareWords = map[string]float64{"half": 0.5, "third": 1.0 / 3, "quarter": 0.25, "fifth": 0.2, "tenth": 0.1}

// ParseGoal parses a goal for a topology. It fails if the text is not a goal, or if it contains a name that the topology does
// not have. The error quotes the text.
func ParseGoal(network *topology.Topology, text string) (*Goal, error) {
	goal, err := goalParser.ParseString("goal", text)
	if err != nil {
		return nil, fmt.Errorf("goal %q: %w; expected a goal such as: %s 98%% in its aim at 300 reqs/s", text, err, network.Classes[0].Name)
	}
	goal.classIndex = slices.IndexFunc(network.Classes, func(class topology.RequestClass) bool { return class.Name == goal.Class })
	if goal.classIndex < 0 && goal.Class != allClasses {
		return nil, fmt.Errorf("goal %q: the fleet has no vhost %q", text, goal.Class)
	}
	if goal.share, err = parsePercent(goal.Share); err != nil || !isPositiveShare(goal.share) {
		return nil, fmt.Errorf("goal %q: share %s must be above 0%% and at most 100%%", text, goal.Share)
	}
	if goal.Rate != nil && *goal.Rate <= 0 {
		return nil, fmt.Errorf("goal %q: the rate must be above 0 reqs/s", text)
	}
	for _, loss := range goal.Losses {
		if err := loss.validate(network); err != nil {
			return nil, fmt.Errorf("goal %q: %w", text, err)
		}
	}
	return goal, nil
}

// validate returns an error if the topology does not have the machines or zone that the loss names, or if the share of a
// restart is invalid.
func (l *Loss) validate(network *topology.Topology) error {
	if l.Removal == nil {
		if share, err := l.restartShare(); err != nil || !isPositiveShare(share) {
			return fmt.Errorf("%q is not a share of the caches; expected a share such as a fifth or 20%%", l.Restart)
		}
		return nil
	}
	known := false
	switch name := l.Removal.Name; l.Removal.Scope {
	case scopeZone:
		known = slices.ContainsFunc(network.Zones, func(z topology.Zone) bool { return z.Name == name })
	case scopeParent:
		known = slices.ContainsFunc(network.Parents, func(p topology.Parent) bool { return p.Name == name })
	case scopeKind:
		known = slices.ContainsFunc(network.Kinds, func(k topology.CacheKind) bool { return k.Name == name })
	}
	if !known {
		return fmt.Errorf("the fleet has no %s %q", l.Removal.Scope, l.Removal.Name)
	}
	return nil
}

// parsePercent parses a percentage such as 98% and returns it as a share.
func parsePercent(text string) (float64, error) {
	value, err := strconv.ParseFloat(strings.TrimSuffix(text, "%"), 64)
	return value / 100, err
}

// isPositiveShare reports whether a number is above 0 and at most 1.
func isPositiveShare(share float64) bool { return share > 0 && share <= 1 }

// restartShare returns the share of the caches that restart. It fails if the text is neither a percentage nor one of
// shareWords.
func (l *Loss) restartShare() (float64, error) {
	if share, ok := shareWords[l.Restart]; ok {
		return share, nil
	}
	if !strings.HasSuffix(l.Restart, "%") {
		return 0, strconv.ErrSyntax
	}
	return parsePercent(l.Restart)
}

// WantedShare returns the share of the requests that must be answered within the latency objective.
func (g *Goal) WantedShare() float64 { return g.share }

// ClassIndex returns the index of the goal's request class in the topology; -1 for all classes.
func (g *Goal) ClassIndex() int { return g.classIndex }

// Factor returns the multiple of the demand's load at which the class has the rate of the goal. It is 1 if the goal names
// no rate. It fails if the goal names a rate and the demand has no request of the class.
func (g *Goal) Factor(demand *Demand) (float64, error) {
	if g.Rate == nil {
		return 1, nil
	}
	captured := demand.Rate(g.classIndex)
	if captured == 0 {
		return 0, fmt.Errorf("goal for %s: the capture has no request of this vhost, so the load cannot be scaled to the rate of the goal", g.Class)
	}
	return *g.Rate / captured, nil
}

// String returns the goal as a text that ParseGoal accepts.
func (g *Goal) String() string {
	text := fmt.Sprintf("%s %s in its aim", g.Class, g.Share)
	if g.Rate != nil {
		text += fmt.Sprintf(" at %g reqs/s", *g.Rate)
	}
	for _, loss := range g.Losses {
		text += " also " + loss.String()
	}
	return text
}

// String returns the loss in words, without the "also" that comes before it in a goal.
func (l *Loss) String() string {
	if l.Removal == nil {
		share := l.Restart
		if _, isWord := shareWords[share]; isWord && share != "half" {
			share = "a " + share
		}
		return "while " + share + " returns cold at once"
	}
	text := "after the loss of " + l.Removal.Scope + " " + l.Removal.Name
	if l.Removal.ClientsLost {
		text += " with its clients"
	}
	return text
}
