// Package topology describes an installation: zones and their links, kinds of caches, parents, the origin, request classes
// and clients. A description is a YAML file, which is decoded strictly. The emulator and the capacity planner use it.
//
// Go identifiers use the terms of docs/glossary.md. YAML keys and the descriptions in the schema are a published interface
// for operators and do not change when identifiers are renamed.
package topology

import (
	"maps"
	"slices"
)

// Topology is a description of all machines from the directors to the origin, and of the requests to them.
type Topology struct {
	Name    string         `yaml:"name" validate:"required" jsonschema:"description=what reports call it"`
	Zones   []Zone         `yaml:"zones" validate:"required,min=1,max=250,dive"`
	Kinds   []CacheKind    `yaml:"kinds" validate:"required,min=1,max=200,dive" jsonschema:"description=of caches"`
	Parents []Parent       `yaml:"parents" validate:"dive" jsonschema:"description=caches behind the caches; none: the origin fills all"`
	Origin  Origin         `yaml:"origin" validate:"required"`
	Classes []RequestClass `yaml:"vhosts" validate:"required,min=1,max=250,dive"`

	Flow            Rate      `yaml:"flow" validate:"gt=0" jsonschema:"description=of one answer at full pace; a req's sending time is its bytes by this"`
	SlowStart       SlowStart `yaml:"cold" jsonschema:"description=what a cache stands that started lately"`
	ParentSlowStart SlowStart `yaml:"parentCold" jsonschema:"description=the same of a parent"`
	ListDelay       Duration  `yaml:"news" jsonschema:"description=until directors hear of a change to the list; default 500ms"`
	Hop             Duration  `yaml:"hop" jsonschema:"description=time of a fill's way for each hub between and one more"`
	Directors       Directors `yaml:"directors"`
	Clients         Clients   `yaml:"clients"`
}

// Zone is an availability zone.
type Zone struct {
	Name      string `yaml:"name" validate:"required"`
	Link      Rate   `yaml:"link" validate:"gt=0" jsonschema:"description=into its caches, shared fairly by the fills under way"`
	Hub       int    `yaml:"hub" validate:"gte=0,lte=1000" jsonschema:"description=its hub's place in the ring of hubs"`
	Directors int    `yaml:"directors" validate:"gte=0,lte=1000"`
	Share     Share  `yaml:"share" jsonschema:"description=of the load that stand makes; 0 everywhere: alike"`
}

// CacheKind describes the hardware and limits of identical caches.
type CacheKind struct {
	Name         string         `yaml:"name" validate:"required"`
	Cores        int            `yaml:"cores" validate:"gte=1,lte=4096" jsonschema:"description=each sends one answer at full pace; more answers share them"`
	CoreRate     Rate           `yaml:"pace" validate:"gt=0" jsonschema:"description=of one core"`
	OverheadTime Duration       `yaml:"each" jsonschema:"description=core time of an answer on top of its bytes"`
	Slots        int            `yaml:"slots" validate:"gte=1" jsonschema:"description=reqs worked on at a time, those that wait for a fill included"`
	QueueLimit   int            `yaml:"room" validate:"gte=0" jsonschema:"description=reqs that wait for a slot; more are turned away"`
	Memory       Size           `yaml:"memory" validate:"gt=0"`
	CountByZone  map[string]int `yaml:"number" validate:"required,min=1,dive,gte=0,lte=16000" jsonschema:"description=by zone"`
}

// Parent describes a group of identical parents in one zone.
type Parent struct {
	Name    string `yaml:"name" validate:"required"`
	Zone    string `yaml:"zone" validate:"required"`
	Count   int    `yaml:"number" validate:"gte=1,lte=1000"`
	Link    Rate   `yaml:"link" validate:"gt=0" jsonschema:"description=out of each"`
	Fetches int    `yaml:"fetches" validate:"gte=1" jsonschema:"description=from the origin at a time by each; more are refused"`
	Memory  Size   `yaml:"memory" validate:"gt=0"`
}

// Origin is the origin server, which has every object.
type Origin struct {
	Link    Rate     `yaml:"link" validate:"gt=0" jsonschema:"description=out of it"`
	Latency Duration `yaml:"latency" jsonschema:"description=until it begins to send"`
	Fetches int      `yaml:"fetches" validate:"gte=1" jsonschema:"description=at a time; more are refused"`
}

// SlowStart describes how a machine warms up after a start. Its capacity ramps up from the floor. Until the ramp ends,
// overload takes the machine down.
type SlowStart struct {
	Floor            Share    `yaml:"floor" jsonschema:"description=of its capacity that it starts with"`
	Ramp             Duration `yaml:"ramp" jsonschema:"description=warm after this; 0: at once"`
	OverloadMultiple float64  `yaml:"multiple" validate:"gte=0" jsonschema:"description=falls over when asked for this multiple of its present capacity; 0: never"`
	Window           Duration `yaml:"window" jsonschema:"description=for that long"`
	DownTime         Duration `yaml:"down" jsonschema:"description=after falling over, until it is back, cold; default the window"`
}

// Directors describes every director: the limits of its process and of its routing decisions.
type Directors struct {
	Cores         float64  `yaml:"cores" validate:"gte=0"`
	Memory        Size     `yaml:"memory"`
	Sockets       int      `yaml:"sockets" validate:"gte=0"`
	MaxAttempts   int      `yaml:"sends" validate:"gte=0,lte=64" jsonschema:"description=dispatches of one req at most; default 4"`
	Cancel        *bool    `yaml:"cancel" jsonschema:"description=a dispatch may be withdrawn; default true"`
	MaxRetryAfter Duration `yaml:"back" jsonschema:"description=the longest time to come back that a denial names; default 1s"`
	PurgeGrace    Duration `yaml:"purge" jsonschema:"description=within which a purge has settled; default 1s"`
}

// Clients describes what clients do after a rejection.
type Clients struct {
	Retries    int      `yaml:"retries" validate:"gte=0,lte=16"`
	RetryAfter Duration `yaml:"after" jsonschema:"description=where the denial names no time; default 300ms"`
}

// zoneIndexes returns the index of each zone by its name.
func (t *Topology) zoneIndexes() map[string]int {
	indexes := make(map[string]int, len(t.Zones))
	for i, zone := range t.Zones {
		indexes[zone.Name] = i
	}
	return indexes
}

// ServingZone returns the zone whose directors serve the clients of a zone. This is their own zone or, if that is lost or has
// no directors, the next zone of the description that has directors and is not lost. After the last zone comes the first.
// ServingZone returns -1 if there is no such zone. If the function lost is nil, no zone is lost.
func (t *Topology) ServingZone(zone int, lost func(zone int) bool) int {
	for i := range t.Zones {
		candidate := (zone + i) % len(t.Zones)
		isLost := lost != nil && lost(candidate)
		if t.Zones[candidate].Directors > 0 && !isLost {
			return candidate
		}
	}
	return -1
}

// HubDistance returns the number of steps between the hubs of two zones. The hubs form a ring with the positions from 0 to
// the highest position of any zone's hub.
func (t *Topology) HubDistance(from, to int) int {
	hubs := 0
	for _, zone := range t.Zones {
		hubs = max(hubs, zone.Hub+1)
	}
	clockwise := (t.Zones[to].Hub - t.Zones[from].Hub + hubs) % hubs
	return min(clockwise, hubs-clockwise)
}

// Clone returns a copy that has its own lists of zones, kinds, parents and classes.
func (t *Topology) Clone() *Topology {
	clone := *t
	clone.Zones = slices.Clone(t.Zones)
	clone.Kinds = slices.Clone(t.Kinds)
	clone.Parents = slices.Clone(t.Parents)
	clone.Classes = slices.Clone(t.Classes)
	for i := range clone.Kinds {
		clone.Kinds[i].CountByZone = maps.Clone(t.Kinds[i].CountByZone)
	}
	return &clone
}
