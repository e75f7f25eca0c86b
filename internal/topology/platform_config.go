package topology

// The JSON configuration of a director.

import (
	"encoding/json"
	"fmt"
	"time"

	"indigochute.example/indigochute/internal/routing"
)

// platformConfig is the JSON configuration that a director starts with, in the form of the platform. Package config reads
// it. Keys are in alphabetical order. Durations are whole microseconds.
type platformConfig struct {
	Flow     float64          `json:"flow_bytes_per_s"`
	Journal  string           `json:"journal"`
	Known    any              `json:"known"`
	Limits   processLimits    `json:"limits"`
	Listen   string           `json:"listen"`
	Name     string           `json:"name"`
	Seed     string           `json:"seed"`
	Settings platformSettings `json:"settings"`
}

// processLimits holds the resources of a director process.
type processLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// platformSettings holds the settings of decisions, routing.Settings in the form of the platform.
type platformSettings struct {
	Classes   []platformClass   `json:"classes"`
	Domain    platformDomain    `json:"domain"`
	Directors int               `json:"instances"`
	Limits    platformLimits    `json:"limits"`
	Index     int               `json:"me"`
	Kinds     []string          `json:"models"`
	SlowStart platformSlowStart `json:"rules"`
	Zone      int               `json:"zone"`
	Zones     []string          `json:"zones"`
}

// platformClass is a request class. The platform keeps its other properties in platformDomain.
type platformClass struct {
	LatencyObjective int64   `json:"aim"`
	ObjectiveStretch float64 `json:"aimStretch"`
	MaxDeadline      int64   `json:"deadline"`
	DedupScope       string  `json:"group"`
	Effect           string  `json:"idempotency"`
	Name             string  `json:"name"`
	DedupWindow      int64   `json:"window"`
}

// platformDomain holds properties of request classes, zones, parents and the origin. FreshFor, StaleGrace, SplitInParts and
// Writes have a value for each class, Hubs and DirectorsByZone for each zone.
type platformDomain struct {
	FreshFor               []int64 `json:"classFresh"`
	StaleGrace             []int64 `json:"classGrace"`
	FlowKBPerSecond        float64 `json:"flowKbPerS"`
	Hubs                   []int   `json:"hubOf"`
	SplitInParts           []bool  `json:"inParts"`
	BypassAllowed          bool    `json:"mayPassBy"`
	ParentKind             int     `json:"midKind"`
	ParentOverloadMultiple float64 `json:"parentBreaksAt"`
	ParentInitialShare     float64 `json:"parentFloor"`
	Writes                 []bool  `json:"passOn"`
	PurgeRetention         int64   `json:"purgeSettles"`
	OriginKind             int     `json:"sourceKind"`
	ParentSlowStart        int64   `json:"upperCold"`
	DirectorsByZone        []int   `json:"zoneBalancers"`
}

// platformLimits holds limits of decisions.
type platformLimits struct {
	CancelAllowed     bool  `json:"cancel"`
	MaxRetryAfter     int64 `json:"maxRetryAfter"`
	MaxStreams        int   `json:"maxStreams"`
	RetryAfterAllowed bool  `json:"retryAfter"`
	MaxAttempts       int   `json:"sendCap"`
}

// platformSlowStart is the slow start of caches.
type platformSlowStart struct {
	OverloadMultiple float64 `json:"fallMultiple"`
	Duration         int64   `json:"rampTime"`
	InitialShare     float64 `json:"startCapacity"`
	Window           int64   `json:"tipAfter"`
}

// maxStreams is the maximum number of requests in flight on one connection to a cache.
const maxStreams = 32

// platformEffects and platformScopes hold the words of the platform.
var (
	platformEffects = map[routing.Effect]string{
		routing.Idempotent:       "read_like",
		routing.IdempotencyKeyed: "idempotency_key",
		routing.NonIdempotent:    "non_idempotent",
	}
	platformScopes = map[routing.DedupScope]string{
		routing.DedupAll:  "all",
		routing.DedupZone: "zone",
		routing.DedupCell: "cell",
	}
)

// Config returns the JSON configuration of a director of a zone. The parameter listen is the address at which it listens,
// journal the address of the discovery service, index its index among all directors, and known the initial snapshot of
// discovery. It fails if known cannot be marshaled.
func (t *Topology) Config(name, listen, journal string, zone, index int, seed uint64, known any) ([]byte, error) {
	config := platformConfig{
		Flow:    float64(t.Flow),
		Journal: journal,
		Known:   known,
		Limits: processLimits{
			Cores:    t.Directors.Cores,
			MemoryMB: int(t.Directors.Memory / bytesPerMB),
			Sockets:  t.Directors.Sockets,
		},
		Listen:   listen,
		Name:     name,
		Seed:     fmt.Sprintf("%016x", seed),
		Settings: t.platformSettings(t.Settings(zone, index, seed)),
	}
	return json.MarshalIndent(config, "", " ")
}

// platformSettings returns settings in the form of the platform.
func (t *Topology) platformSettings(s routing.Settings) platformSettings {
	settings := platformSettings{
		Directors: s.Directors,
		Index:     s.Index,
		Kinds:     []string{"cache", "parent", "origin"}, // by Role
		Zone:      s.Zone,
		Domain: platformDomain{
			FlowKBPerSecond:        s.FlowKBPerSecond,
			Hubs:                   s.HubOfZone,
			ParentKind:             s.ParentKind,
			ParentOverloadMultiple: s.ParentSlowStart.OverloadMultiple,
			ParentInitialShare:     s.ParentSlowStart.InitialShare,
			PurgeRetention:         micros(s.PurgeRetention),
			OriginKind:             s.OriginKind,
			ParentSlowStart:        micros(s.ParentSlowStart.Duration),
		},
		Limits: platformLimits{
			CancelAllowed:     s.CancelAllowed,
			MaxRetryAfter:     micros(s.MaxRetryAfter),
			MaxStreams:        maxStreams,
			RetryAfterAllowed: s.RetryAfterAllowed,
			MaxAttempts:       s.MaxAttempts,
		},
		SlowStart: platformSlowStart{
			OverloadMultiple: s.CacheSlowStart.OverloadMultiple,
			Duration:         micros(s.CacheSlowStart.Duration),
			InitialShare:     s.CacheSlowStart.InitialShare,
			Window:           micros(s.CacheSlowStart.Window),
		},
	}
	for _, zone := range t.Zones {
		settings.Zones = append(settings.Zones, zone.Name)
		settings.Domain.DirectorsByZone = append(settings.Domain.DirectorsByZone, zone.Directors)
	}
	for i, class := range s.Classes {
		settings.addClass(t.Classes[i].Name, class)
	}
	return settings
}

// addClass adds a class to all lists with a value for each class.
func (s *platformSettings) addClass(name string, class routing.Class) {
	s.Classes = append(s.Classes, platformClass{
		LatencyObjective: micros(class.LatencyObjective),
		ObjectiveStretch: class.ObjectiveStretch,
		MaxDeadline:      micros(class.MaxDeadline),
		DedupScope:       platformScopes[class.DedupScope],
		Effect:           platformEffects[class.Effect],
		Name:             name,
		DedupWindow:      micros(class.DedupWindow),
	})
	domain := &s.Domain
	domain.FreshFor = append(domain.FreshFor, micros(class.FreshFor))
	domain.StaleGrace = append(domain.StaleGrace, micros(class.StaleGrace))
	domain.SplitInParts = append(domain.SplitInParts, class.Segmented)
	domain.Writes = append(domain.Writes, class.Write)
}

// micros returns a duration in microseconds, the platform's unit of time, rounded down.
func micros(d time.Duration) int64 { return d.Microseconds() }
