package topology

// Request classes: latency objectives, idempotency, sizes, generated load.

import (
	"math"
	"time"

	"indigochute.example/indigochute/internal/routing"
)

// RequestClass describes the requests of one class.
type RequestClass struct {
	Name             string   `yaml:"name" validate:"required"`
	LatencyObjective Duration `yaml:"aim" validate:"gt=0" jsonschema:"description=by when an answer is worth its value"`
	ObjectiveStretch float64  `yaml:"stretch" validate:"gte=0" jsonschema:"description=the aim grows by this multiple of the sending time"`
	Timeout          Duration `yaml:"timeout" validate:"gtefield=LatencyObjective" jsonschema:"description=after which its clients give up"`
	Effect           string   `yaml:"effect" validate:"oneof=replayable uniqued non-replayable"`
	DedupScope       string   `yaml:"group" validate:"omitempty,oneof=all zone cell" jsonschema:"description=caches that drop a repeat of a uniqued req; default all"`
	DedupWindow      Duration `yaml:"window" jsonschema:"description=for so long; default the timeout"`
	FreshFor         Duration `yaml:"fresh" jsonschema:"description=how old a copy may be; 0: any age until purged"`
	StaleGrace       Duration `yaml:"grace"`
	Parts            int      `yaml:"parts" validate:"gte=0,lte=512" jsonschema:"description=of an object; 0: it is not in parts"`
	Write            bool     `yaml:"write" jsonschema:"description=runs at the origin and is never kept"`
	Value            float64  `yaml:"value" validate:"gte=0"`
	Sizes            Sizes    `yaml:"sizes" validate:"required"`
	Demand           Demand   `yaml:"demand" jsonschema:"description=the load that stand makes"`
}

// Sizes bounds the size of an object, or of a part of an object. The logarithm of the sizes is uniformly distributed.
type Sizes struct {
	Min Size `yaml:"least" validate:"gt=0"`
	Max Size `yaml:"most" validate:"gtefield=Min,lte=240000"`
}

// Demand describes the requests of a class in generated load.
type Demand struct {
	Share   Share   `yaml:"share" jsonschema:"description=of all reqs"`
	Objects int     `yaml:"objects" validate:"gte=0"`
	Skew    float64 `yaml:"skew" validate:"gte=0,lte=3" jsonschema:"description=exponent of the popularity by rank; 0: all alike"`
	Bursts  float64 `yaml:"bursts" validate:"gte=0,lte=20" jsonschema:"description=mean reqs that come at once beyond the first; 0: single ones by chance"`
}

// Values of the keys effect and group.
const (
	effectIdempotent    = "replayable"
	effectKeyed         = "uniqued"
	effectNonIdempotent = "non-replayable"

	dedupAll  = "all"
	dedupZone = "zone"
	dedupCell = "cell"
)

// RoutingEffect returns whether the requests of the class are idempotent.
func (c *RequestClass) RoutingEffect() routing.Effect {
	switch c.Effect {
	case effectIdempotent:
		return routing.Idempotent
	case effectKeyed:
		return routing.IdempotencyKeyed
	}
	return routing.NonIdempotent
}

// dedupScope returns the caches among which a second request with the same idempotency key is dropped.
func (c *RequestClass) dedupScope() routing.DedupScope {
	switch c.DedupScope {
	case dedupAll:
		return routing.DedupAll
	case dedupZone:
		return routing.DedupZone
	}
	return routing.DedupCell
}

// sizeSalt makes the hash of a size differ from other hashes of an object.
const sizeSalt = 0x517e

// SizeOf returns the size in bytes of a part of an object. It is the same at every call, because a hash draws it.
func (c *RequestClass) SizeOf(object uint64, part uint32) int {
	const drawBits = 53 // precision of a float64
	draw := float64(routing.Hash(object, uint64(part), sizeSalt)>>(64-drawBits)) / (1 << drawBits)
	smallest, largest := float64(c.Sizes.Min), float64(c.Sizes.Max)
	return int(smallest * math.Pow(largest/smallest, draw))
}

// LatencyObjective returns the time within which a response of a class must be complete. It grows with the size of the
// response in bytes, by ObjectiveStretch of the time to send it, up to the timeout of the class.
func (t *Topology) LatencyObjective(class, bytes int) time.Duration {
	c := &t.Classes[class]
	sendingTime := float64(bytes) / float64(t.Flow) * float64(time.Second)
	objective := c.LatencyObjective.Duration() + time.Duration(c.ObjectiveStretch*sendingTime)
	return min(c.Timeout.Duration(), objective)
}
