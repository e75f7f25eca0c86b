package routing

// The endpoint list: the caches, parents and the origin that discovery lists.
//
// It decides which endpoints are candidates, and which state becomes invalid when an endpoint restarts. It applies on discovery
// events. It guards against requests to endpoints that are draining or gone, and against memory growth with each endpoint that
// was ever listed.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxDepartedEndpoints is the number of endpoints no longer listed as ready whose records are kept, for their warm rates
	// and in case they return.
	maxDepartedEndpoints = 32
	// sendWorkSeconds is the length of the window, in seconds, over which the sending time of an endpoint's answers is summed.
	sendWorkSeconds = 8
)

// State is the state of an endpoint in the endpoint list.
type State uint8

const (
	Gone     State = iota
	Ready          // accepts requests
	Draining       // finishes its open requests and accepts no new ones
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Node       uint32
	State      State
	StartedAt  time.Duration // last start, relative to the director's start; valid only if StartKnown is set
	StartKnown bool
	Kind       int // Settings.ParentKind, Settings.OriginKind, or any other value for a cache
	Zone       int
	Cell       int     // failure domain within the zone
	Capacity   float64 // concurrent transfers that its outgoing link can carry; 0: not listed
}

// endpointRole is the role of an endpoint from the point of view of this director.
type endpointRole uint8

const (
	cacheNode  endpointRole = iota // a cache of this location
	parentNode                     // a parent cache, from which caches are filled
	originNode
	remoteNode // a cache of another location, which gets no requests from this director
)

// endpoint is the record of one endpoint. The embedded structs are declared in the files that modify them.
type endpoint struct {
	id          uint32
	role        endpointRole
	zone, cell  int
	hubDistance int           // for a parent: number of hubs on the path to it
	ready       bool          // listed, and neither draining nor gone
	capacity    float64       // in concurrent transfers if capacities are listed, else 1
	listedStart time.Duration // last listed start
	emptySince  time.Duration // copies seen before this time no longer exist
	inFlight    float64       // attempts of this director in flight; for a source, the expected number of fills
	limit       concurrencyLimit
	served      Ring // requests served; this is the load that diffusion balances
	sendWork    Ring // sending time of the answers, in seconds
	ejectionState
	healthCheckState
	slowStartState
	fillLatencyState
	inflationState
}

// endpointList holds the records of all endpoints, and the ready endpoints by role.
type endpointList struct {
	endpoints          map[uint32]*endpoint
	endpointsByArrival []*endpoint // the values of endpoints in the order in which they were first listed
	caches             []*endpoint // ready caches of this location, by id
	parents            []*endpoint // ready parents, by id
	origin             *endpoint   // ready origin with the lowest id; nil: none
	endpointVersion    int         // number of changes to the list
}

// UpdateEndpoints applies discovery events. A complete list replaces everything that was listed before. An endpoint that is
// draining or gone gets no further attempts and fills.
func (d *Director) UpdateEndpoints(now time.Duration, list []Endpoint, complete bool) {
	if complete {
		for _, ep := range d.endpoints {
			ep.ready = false
		}
	}
	for _, listed := range list {
		ep := d.endpoints[listed.Node]
		if ep == nil {
			ep = d.addEndpoint(listed.Node)
		}
		ep.zone, ep.cell, ep.ready = listed.Zone, listed.Cell, listed.State == Ready
		if d.settings.capacitiesListed && listed.Capacity > 0 {
			ep.capacity = listed.Capacity
		}
		d.assignRole(ep, listed)
		if listed.StartKnown && ep.listedStart != listed.StartedAt {
			d.resetAfterRestart(now, ep, listed.StartedAt)
		}
	}
	d.rebuildEndpointLists()
}

// addEndpoint creates the record of an endpoint that is listed for the first time.
func (d *Director) addEndpoint(id uint32) *endpoint {
	added := &endpoint{
		id:               id,
		capacity:         1,
		listedStart:      math.MinInt64, // earlier than any start
		limit:            concurrencyLimit{max: d.initialLimit(initialEndpointLimit)},
		served:           NewRing(loadBucketWidth, loadBuckets),
		sendWork:         NewRing(time.Second, sendWorkSeconds),
		ejectionState:    newEjectionState(),
		healthCheckState: newHealthCheckState(),
	}
	d.endpoints[id] = added
	d.endpointsByArrival = append(d.endpointsByArrival, added)
	return added
}

// assignRole sets the role of an endpoint according to its kind and zone.
func (d *Director) assignRole(ep *endpoint, listed Endpoint) {
	switch {
	case listed.Kind == d.settings.originKind:
		ep.role = originNode
	case listed.Kind == d.settings.parentKind:
		ep.hubDistance = d.hubDistance(listed.Zone)
		if ep.role != parentNode {
			ep.role, ep.limit.max = parentNode, d.initialLimit(initialLinkLimit)
		}
	case listed.Zone == d.settings.zone:
		ep.role = cacheNode
	default:
		ep.role = remoteNode
	}
}

// resetAfterRestart resets the state that a restart at startedAt invalidates: copies, ejection, concurrency limit and fill
// latency. It begins a slow start.
func (d *Director) resetAfterRestart(now time.Duration, restarted *endpoint, startedAt time.Duration) {
	restarted.listedStart, restarted.emptySince = startedAt, max(restarted.emptySince, startedAt)
	d.beginSlowStart(now, restarted, startedAt)
	restarted.ejectedUntil, restarted.overdueCount, restarted.onProbation = 0, 0, false
	restarted.limit, restarted.fillLatency = concurrencyLimit{max: minLimit}, 0
}

// hubDistance returns the number of hubs between this director's zone and the parents of another zone. The hubs form a ring.
func (d *Director) hubDistance(zone int) int {
	if zone >= len(d.settings.hubOf) {
		return d.settings.hubs
	}
	clockwise := (d.settings.hubOf[zone] - d.settings.hub + d.settings.hubs) % max(1, d.settings.hubs)
	return min(clockwise, d.settings.hubs-clockwise)
}

// rebuildEndpointLists groups the ready endpoints by role after a change of the list.
func (list *endpointList) rebuildEndpointLists() {
	list.endpointVersion++
	list.dropDeparted()
	list.caches, list.parents, list.origin = nil, nil, nil
	for _, ep := range list.endpoints {
		switch {
		case !ep.ready:
		case ep.role == cacheNode:
			list.caches = append(list.caches, ep)
		case ep.role == parentNode:
			list.parents = append(list.parents, ep)
		case ep.role == originNode && (list.origin == nil || ep.id < list.origin.id):
			list.origin = ep
		}
	}
	byID := func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) }
	slices.SortFunc(list.caches, byID)
	slices.SortFunc(list.parents, byID)
}

// dropDeparted drops records of endpoints that are not ready until at most maxDepartedEndpoints of them remain. The endpoints
// that were first listed longest ago are dropped first.
func (list *endpointList) dropDeparted() {
	departed := 0
	for _, ep := range list.endpointsByArrival {
		if !ep.ready {
			departed++
		}
	}
	list.endpointsByArrival = slices.DeleteFunc(list.endpointsByArrival, func(ep *endpoint) bool {
		if ep.ready || departed <= maxDepartedEndpoints {
			return false
		}
		departed--
		delete(list.endpoints, ep.id)
		return true
	})
}
