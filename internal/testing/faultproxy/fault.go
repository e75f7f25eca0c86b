package faultproxy

// This file defines faults: their effects, and the direction of a link in which they apply.

import (
	"fmt"
	"strings"
	"time"
)

// Direction is a direction in which bytes pass through a link, or both.
type Direction uint8

// The directions of a link.
const (
	Both    Direction = iota
	Forward           // from the side that dialed to the target
	Reverse           // from the target to the side that dialed
)

// String returns the direction's name in the text of commands.
func (d Direction) String() string { return [...]string{"both ways", "forward", "back"}[d] }

// Fault is the set of effects that a link has in one direction until it heals. The zero value forwards
// everything without delay.
type Fault struct {
	// Drop partitions the link: nothing passes, and neither side gets an error. Bytes wait for up to dropTimeout.
	Drop bool `yaml:"drop"`
	// Latency is the delay of bytes. A random time of up to Jitter is added to it. Bytes stay in order.
	Latency time.Duration `yaml:"delay"`
	Jitter  time.Duration `yaml:"jitter"`
	// Bandwidth limits each connection, in bytes a second; 0 means no limit.
	Bandwidth int `yaml:"rate"`
	// CorruptProbability is the probability, from 0 to 1, that one bit of a chunk is flipped. A chunk is what one read from
	// the socket returns.
	CorruptProbability float64 `yaml:"garble"`
	// Refuse resets new connections. It has an effect in the forward direction only.
	Refuse bool `yaml:"refuse"`
}

// String lists the effects of the fault, or returns "heal" for the zero value.
func (f Fault) String() string {
	var effects []string
	if f.Drop {
		effects = append(effects, "drop")
	}
	if f.Latency > 0 || f.Jitter > 0 {
		effects = append(effects, fmt.Sprintf("delay %v+%v", f.Latency, f.Jitter))
	}
	if f.Bandwidth > 0 {
		effects = append(effects, fmt.Sprintf("%d bytes/s", f.Bandwidth))
	}
	if f.CorruptProbability > 0 {
		effects = append(effects, fmt.Sprintf("garble %g", f.CorruptProbability))
	}
	if f.Refuse {
		effects = append(effects, "refuse")
	}
	if effects == nil {
		return "heal"
	}
	return strings.Join(effects, ", ")
}
