package wire

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"indigochute.example/indigochute/control"
)

// pairs is the path=value text of an instance's start; keys not asked for are ignored.
type pairs struct {
	m   map[string]string
	err error
}

func (p *pairs) num(key string) float64 {
	v, ok := p.m[key]
	if !ok || v == "" {
		return 0
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil && p.err == nil {
		p.err = fmt.Errorf("%s: %q is no number", key, v)
	}
	return f
}

func (p *pairs) whole(key string) int            { return int(p.num(key)) }
func (p *pairs) truth(key string) bool           { return p.m[key] == "true" }
func (p *pairs) micros(key string) time.Duration { return time.Duration(p.num(key)) * time.Microsecond }

// item is the i-th value of a plain list; what a short list lacks is absent.
func (p *pairs) item(key string, i int) *pairs {
	items := strings.Split(p.m[key], ",")
	one := &pairs{m: map[string]string{}}
	if i < len(items) {
		one.m[""] = items[i]
	}
	return one
}

func (p *pairs) wholes(key string) (list []int) {
	if p.m[key] == "" {
		return nil
	}
	for i := range strings.Split(p.m[key], ",") {
		list = append(list, p.item(key, i).whole(""))
	}
	return list
}

func readSettings(info string) (control.Settings, error) {
	p := &pairs{m: map[string]string{}}
	for _, line := range strings.Split(info, "\n") {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), "="); ok {
			p.m[key] = value
		}
	}
	s := control.Settings{
		Me:            p.whole("me"),
		Zone:          p.whole("zone"),
		Hub:           p.wholes("domain.hubOf"),
		ParentKind:    -1,
		OriginKind:    -1,
		Direct:        p.truth("domain.mayPassBy"),
		MayCancel:     p.truth("limits.cancel"),
		ComeBack:      p.truth("limits.retryAfter"),
		MaxComeBack:   p.micros("limits.maxRetryAfter"),
		MaxDispatches: p.whole("limits.sendCap"),
		FlowKB:        p.num("domain.flowKbPerS"),
		Cache: control.Cold{Floor: p.num("rules.startCapacity"), Ramp: p.micros("rules.rampTime"),
			Multiple: p.num("rules.fallMultiple"), Window: p.micros("rules.tipAfter")},
		Parent: control.Cold{Floor: p.num("domain.parentFloor"), Ramp: p.micros("domain.upperCold"),
			Multiple: p.num("domain.parentBreaksAt"), Window: p.micros("rules.tipAfter")},
		PurgeSettles: p.micros("domain.purgeSettles"),
		Directors:    p.whole("instances"),
	}
	s.Here = p.item("domain.zoneBalancers", s.Zone).whole("")
	if p.m["domain.midKind"] != "" {
		s.ParentKind = p.whole("domain.midKind")
	}
	if p.m["domain.sourceKind"] != "" {
		s.OriginKind = p.whole("domain.sourceKind")
	}
	count := p.whole("classes.count")
	if count < 0 || count > len(p.m) {
		return s, fmt.Errorf("impossible classes.count %d", count)
	}
	for i := range count {
		at := fmt.Sprintf("classes.%d.", i)
		v := control.Vhost{
			Aim:     p.micros(at + "aim"),
			Stretch: p.num(at + "aimStretch"),
			Timeout: p.micros(at + "deadline"),
			Window:  p.micros(at + "window"),
			Fresh:   p.item("domain.classFresh", i).micros(""),
			Grace:   p.item("domain.classGrace", i).micros(""),
			InParts: p.item("domain.inParts", i).truth(""),
			Write:   p.item("domain.passOn", i).truth(""),
		}
		switch p.m[at+"idempotency"] {
		case "read_like":
			v.Effect = control.Replayable
		case "idempotency_key":
			v.Effect = control.Uniqued
		default: // the strictest is safe for what is unknown
			v.Effect = control.NonReplayable
		}
		switch p.m[at+"group"] {
		case "all":
			v.Group = control.GroupAll
		case "zone":
			v.Group = control.GroupZone
		default:
			v.Group = control.GroupCell
		}
		s.Vhosts = append(s.Vhosts, v)
	}
	return s, p.err
}
