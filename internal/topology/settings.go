package topology

// Settings of the decisions of a director.

import (
	"cmp"
	"time"

	"indigochute.example/indigochute/internal/routing"
)

// Values for keys of a slow start that are 0, because the settings of decisions must be above 0.
const (
	shortestSlowStart     = time.Microsecond // a slow start that ends at once
	unreachableOverload   = 1000             // multiple of the capacity; no machine fails by overload
	defaultOverloadWindow = time.Second
)

// Units are powers of ten.
const (
	bytesPerKB = 1000
	bytesPerMB = 1e6
)

// Settings returns the settings of decisions for one director of a zone. The parameter index is its index among all
// directors of the description, from 0.
func (t *Topology) Settings(zone, index int, seed uint64) routing.Settings {
	settings := routing.Settings{
		Seed:               seed,
		Index:              index,
		Zone:               zone,
		DirectorsInZone:    t.Zones[zone].Directors,
		ParentKind:         int(ParentRole),
		OriginKind:         int(OriginRole),
		CancelAllowed:      *t.Directors.Cancel,
		RetryAfterAllowed:  true,
		FillFaultsReported: true,
		MaxAttempts:        t.Directors.MaxAttempts,
		MaxRetryAfter:      t.Directors.MaxRetryAfter.Duration(),
		PurgeRetention:     t.Directors.PurgeGrace.Duration(),
		FlowKBPerSecond:    float64(t.Flow) / bytesPerKB,
		CacheSlowStart:     t.SlowStart.settings(),
		ParentSlowStart:    t.ParentSlowStart.settings(),
	}
	settings.ParentSlowStart.Window = settings.CacheSlowStart.Window // directors have one setting for both
	for _, z := range t.Zones {
		settings.HubOfZone = append(settings.HubOfZone, z.Hub)
		settings.Directors += z.Directors
	}
	for i := range t.Classes {
		settings.Classes = append(settings.Classes, t.Classes[i].settings())
	}
	return settings
}

// settings returns the settings of decisions for the class.
func (c *RequestClass) settings() routing.Class {
	return routing.Class{
		LatencyObjective: c.LatencyObjective.Duration(),
		ObjectiveStretch: c.ObjectiveStretch,
		MaxDeadline:      c.Timeout.Duration(),
		Effect:           c.RoutingEffect(),
		DedupScope:       c.dedupScope(),
		DedupWindow:      c.DedupWindow.Duration(),
		FreshFor:         c.FreshFor.Duration(),
		StaleGrace:       c.StaleGrace.Duration(),
		Segmented:        c.Parts > 0,
		Write:            c.Write,
	}
}

// settings returns the settings of decisions for the slow start.
func (s *SlowStart) settings() routing.SlowStart {
	return routing.SlowStart{
		InitialShare:     float64(s.Floor),
		Duration:         cmp.Or(s.Ramp.Duration(), shortestSlowStart),
		OverloadMultiple: cmp.Or(s.OverloadMultiple, unreachableOverload),
		Window:           cmp.Or(s.Window.Duration(), defaultOverloadWindow),
	}
}
