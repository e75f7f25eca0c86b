package peer

// Incarnations, which distinguish a running instance from earlier ones of the same name.

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// randomIncarnationBits is the number of low bits of an incarnation that are random. The bits above them are the start time in Unix
// milliseconds.
const randomIncarnationBits = 16

// newIncarnation returns the incarnation of an instance that starts now by wallClock, or by the system clock if that is nil. As long
// as the wall clock goes forward, a later start has a higher incarnation. If the clock went back, the other side's hello carries the
// higher incarnation that it knows, and this instance raises its own above that. The random bits give a restart within the same
// millisecond a different incarnation.
func newIncarnation(wallClock func() time.Time) uint64 {
	if wallClock == nil {
		wallClock = time.Now
	}
	return uint64(wallClock().UnixMilli())<<randomIncarnationBits | rand.Uint64N(1<<randomIncarnationBits)
}

// raiseIncarnation raises this instance's incarnation above a higher one that a peer has reported, and counts it.
func (b *Bus) raiseIncarnation(known uint64) {
	if raiseIncarnationAbove(&b.incarnation, known, b.options.Log) {
		b.count(func(c *Counts) { c.DuplicateInstance++ })
	}
}

// raiseIncarnationAbove raises an incarnation above the known one, which another instance has seen with this name, and logs it. The
// cause is a wall clock that went back, or two processes with the same name. It returns false if the incarnation was not below the
// known one.
func raiseIncarnationAbove(incarnation *atomic.Uint64, known uint64, log *logrus.Entry) bool {
	for {
		current := incarnation.Load()
		if known <= current {
			return false
		}
		if incarnation.CompareAndSwap(current, known+1) {
			log = log.WithField("known", fmt.Sprintf("%x", known))
			log.Warn("peer: incarnation raised above a higher one that a peer knows; the clock went back, or two instances have this name")
			return true
		}
	}
}
