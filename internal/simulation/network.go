package simulation

// Links, and the rates of the transfers over them.

import (
	"math"
	"slices"
	"time"
)

const (
	minTransferBytes = 1    // size of the smallest transfer
	minTransferRate  = 1e-3 // bytes a second; ensures that a transfer over a full link still ends
	bytesTolerance   = 1e-6 // remaining bytes at which a transfer is complete; covers the rounding of times to nanoseconds
)

// network holds the links of a topology and the transfers over them. Transfers share the links by max-min fairness: to raise
// the rate of a transfer, the rate of another transfer that is not faster would have to fall.
type network struct {
	links      []*link
	transfers  []*transfer   // in the order in which they began
	settledAt  time.Duration // time up to which transferred bytes are counted
	ratesStale bool          // a transfer or link has changed since rates were allocated
}

// link is one direction of the link of a zone, a parent or the origin.
type link struct {
	name       string
	rate       float64 // bytes a second
	moved      float64 // bytes transferred so far
	transfers  int     // in progress
	unassigned float64 // bytes a second not yet assigned to a transfer; used by allocateRates
	unfixed    int     // number of transfers whose rate is not fixed; used by allocateRates
}

// transfer moves bytes over one or two links.
type transfer struct {
	links     [2]*link // the second may be nil
	remaining float64  // bytes
	rate      float64  // bytes a second
	fixed     bool     // the rate is final; used by allocateRates
	done      func()   // called when the transfer is complete
	ended     bool     // complete or canceled
}

// route returns the links that a transfer crosses.
func (t *transfer) route() []*link {
	if t.links[1] == nil {
		return t.links[:1]
	}
	return t.links[:]
}

// crosses reports whether a transfer uses a link.
func (t *transfer) crosses(l *link) bool { return t.links[0] == l || t.links[1] == l }

// addLink adds a link with a rate in bytes a second.
func (n *network) addLink(name string, rate float64) *link {
	newLink := &link{name: name, rate: rate}
	n.links = append(n.links, newLink)
	return newLink
}

// settle adds the bytes transferred up to now to the counts of the links, and subtracts them from the remaining bytes of the
// transfers. It must be called before each change of rates.
func (n *network) settle(now time.Duration) {
	seconds := (now - n.settledAt).Seconds()
	n.settledAt = now
	if seconds <= 0 {
		return
	}
	for _, t := range n.transfers {
		moved := min(t.remaining, t.rate*seconds)
		t.remaining -= moved
		for _, l := range t.route() {
			l.moved += moved
		}
	}
}

// begin starts a transfer over one or two different links. When the transfer is complete, the caller of takeComplete calls
// done.
func (n *network) begin(now time.Duration, bytes float64, done func(), via ...*link) *transfer {
	n.settle(now)
	newTransfer := &transfer{remaining: max(bytes, minTransferBytes), done: done}
	copy(newTransfer.links[:], via)
	for _, l := range via {
		l.transfers++
	}
	n.transfers = append(n.transfers, newTransfer)
	n.ratesStale = true
	return newTransfer
}

// cancel ends a transfer that is not complete. It ignores nil and a transfer that has ended.
func (n *network) cancel(now time.Duration, target *transfer) {
	if target == nil || target.ended {
		return
	}
	n.settle(now)
	n.release(target)
	n.transfers = slices.DeleteFunc(n.transfers, func(other *transfer) bool { return other == target })
}

// release marks a transfer as ended and frees its share of the links.
func (n *network) release(target *transfer) {
	target.ended = true
	for _, l := range target.route() {
		l.transfers--
	}
	n.ratesStale = true
}

// setRate sets the rate of a link in bytes a second.
func (n *network) setRate(now time.Duration, l *link, rate float64) {
	n.settle(now)
	l.rate = rate
	n.ratesStale = true
}

// allocateRates sets the rate of each transfer by progressive filling. It selects the link that can give the smallest rate to
// each of its unfixed transfers and fixes the rate of these transfers at that. It repeats this with the unassigned rates of
// the other links until all transfers have their rate.
func (n *network) allocateRates() {
	n.ratesStale = false
	used := n.beginAllocation()
	for fixed := 0; fixed < len(n.transfers); {
		narrowest, fairShare := bottleneck(used)
		if narrowest == nil {
			return
		}
		fixed += n.fixRates(narrowest, fairShare)
	}
}

// beginAllocation marks the rates of all transfers as not fixed and returns the links that carry a transfer.
func (n *network) beginAllocation() (used []*link) {
	for _, l := range n.links {
		if l.transfers > 0 {
			l.unassigned, l.unfixed = l.rate, l.transfers
			used = append(used, l)
		}
	}
	for _, t := range n.transfers {
		t.fixed = false
	}
	return used
}

// bottleneck returns the link that can give the smallest rate to each of its unfixed transfers, and that rate. The link is
// nil if no link has an unfixed transfer.
func bottleneck(used []*link) (narrowest *link, fairShare float64) {
	fairShare = math.Inf(1)
	for _, l := range used {
		if l.unfixed == 0 {
			continue
		}
		if share := l.unassigned / float64(l.unfixed); share < fairShare {
			narrowest, fairShare = l, share
		}
	}
	return narrowest, fairShare
}

// fixRates fixes the rate of the unfixed transfers over a link at fairShare and returns the number of these transfers.
func (n *network) fixRates(narrowest *link, fairShare float64) (fixed int) {
	for _, t := range n.transfers {
		if t.fixed || !t.crosses(narrowest) {
			continue
		}
		t.fixed = true
		t.rate = max(fairShare, minTransferRate)
		fixed++
		for _, l := range t.route() {
			l.unfixed--
			l.unassigned = max(0, l.unassigned-fairShare)
		}
	}
	return fixed
}

// nextCompletion returns the time at which the next transfer will be complete if no transfer or link changes before. It
// returns false if there is no transfer.
func (n *network) nextCompletion() (time.Duration, bool) {
	if n.ratesStale {
		n.allocateRates()
	}
	soonest := math.Inf(1)
	for _, t := range n.transfers {
		soonest = min(soonest, t.remaining/t.rate)
	}
	if math.IsInf(soonest, 1) {
		return 0, false
	}
	return n.settledAt + durationOf(soonest), true
}

// takeComplete removes and returns the transfers that are complete.
func (n *network) takeComplete(now time.Duration) (complete []*transfer) {
	n.settle(now)
	n.transfers = slices.DeleteFunc(n.transfers, func(t *transfer) bool {
		if t.remaining > bytesTolerance {
			return false
		}
		n.release(t)
		complete = append(complete, t)
		return true
	})
	return complete
}
