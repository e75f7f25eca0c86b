package capacity

// The copies that caches and parents have when a run begins.

import (
	"time"

	"indigochute.example/indigochute/internal/topology"
)

// Cache priorities (retention ranks) of the copies that machines have when a run begins.
const (
	priorityReadOnce  = 1 // for a part that was read once
	priorityReadAgain = 2 // for a part that was read again, and for all copies at parents
)

// CachedCopy is a copy that a machine has when a run begins.
type CachedCopy struct {
	Node          uint32
	Object        uint64
	Part          uint32
	Bytes         int
	CachePriority uint8         // retention rank; copies with higher ranks are evicted later
	FilledAt      time.Duration // negative, because the run begins at 0
}

// partKey identifies one part of an object, independently of the request class.
type partKey struct {
	object uint64
	part   uint32
}

// InitialCopies returns the copies that machines have when a run begins. The requests before the run have left them at the home
// nodes and at the parents that directors choose first. Without these copies every run would begin with empty caches.
func InitialCopies(network *topology.Topology, before []Request) (copies []CachedCopy) {
	homes := newHomes(network)
	type zonePart struct {
		partKey
		zone int
	}
	filledAt := map[zonePart]time.Duration{}
	for i := range before {
		request := &before[i]
		class := &network.Classes[request.Class]
		if class.Write {
			continue
		}
		zone := network.ServingZone(int(request.Zone), nil)
		key := zonePart{partKey{request.Object, request.Part}, zone}
		priority, fillTime := uint8(priorityReadOnce), request.At
		if lastFill, readBefore := filledAt[key]; readBefore {
			priority = priorityReadAgain
			stillFresh := class.FreshFor == 0 || request.At-lastFill <= class.FreshFor.Duration()
			if stillFresh {
				fillTime = lastFill
			}
		}
		filledAt[key] = fillTime
		if home := homes.home(zone, request); home != 0 {
			copies = append(copies, cachedCopy(home, request, priority, fillTime))
		}
		if parent := homes.parent(zone, request); parent != 0 {
			copies = append(copies, cachedCopy(parent, request, priorityReadAgain, fillTime))
		}
	}
	return copies
}

// cachedCopy returns the copy of a requested part at a machine.
func cachedCopy(node uint32, request *Request, priority uint8, filledAt time.Duration) CachedCopy {
	return CachedCopy{
		Node:          node,
		Object:        request.Object,
		Part:          request.Part,
		Bytes:         int(request.Bytes),
		CachePriority: priority,
		FilledAt:      filledAt,
	}
}
