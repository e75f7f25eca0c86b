package capacity

// The search for the worst set of caches to restart together.

import (
	"cmp"
	"math"
	"slices"

	"indigochute.example/indigochute/internal/routing"
	"indigochute.example/indigochute/internal/topology"
)

// RestartSet is a set of caches that restart together.
type RestartSet struct {
	Machines  []uint32 // IDs in ascending order
	Selection RestartSelection
}

// RestartSelection describes how the machines of a restart were chosen among all sets of the same number of caches. Costs
// are core seconds of work without capacity, estimated without queueing.
type RestartSelection struct {
	Caches     int     `json:"of"`    // number of all caches
	Restarted  int     `json:"count"` // number of caches in each set
	SetsTried  int     `json:"sets"`
	Exhaustive bool    `json:"exact"`  // all possible sets were tried
	WorstCost  float64 `json:"worst"`  // of the set that was chosen
	P95Cost    float64 `json:"p95"`    // 95th percentile over the sets tried
	MedianCost float64 `json:"median"` // over the sets tried
}

const (
	maxExhaustiveSets = 20_000 // if there are more sets, a sample is tried
	sampledSets       = 2_000  // number of random sets in a sample

	p95Percent = 95 // percentile of RestartSelection.P95Cost
)

// WorstRestart finds the caches whose restart costs most if a share of all caches restart together, empty and in slow
// start, at a multiple of the captured load. It tries all sets if there are few, and a sample otherwise. There must be at
// least one cache.
func (p *Planner) WorstRestart(share, factor float64) RestartSet {
	var caches []topology.Machine
	for _, machine := range p.Topology.Machines() {
		if machine.Role == topology.CacheRole {
			caches = append(caches, machine)
		}
	}
	count := max(1, int(math.Round(share*float64(len(caches)))))
	search := &worstRestartSearch{caches: caches, costs: newRestartCosts(p, caches, factor), worstCost: -1}
	exhaustive := binomial(len(caches), count) <= maxExhaustiveSets
	if exhaustive {
		combinations(len(caches), count, search.try)
	} else {
		search.tryRandom(p.Seeds[0], count)
		search.tryZones(count, len(p.Topology.Zones)) // a random set is hardly ever a zone that fails as a whole
	}
	slices.Sort(search.triedCosts)
	slices.Sort(search.machines)
	last := len(search.triedCosts) - 1
	return RestartSet{Machines: search.machines, Selection: RestartSelection{
		Caches:     len(caches),
		Restarted:  count,
		SetsTried:  len(search.triedCosts),
		Exhaustive: exhaustive,
		WorstCost:  search.worstCost,
		P95Cost:    search.triedCosts[last*p95Percent/100],
		MedianCost: search.triedCosts[last/2],
	}}
}

// worstRestartSearch is a search for the set of caches whose restart costs most.
type worstRestartSearch struct {
	caches     []topology.Machine
	costs      *restartCosts
	triedCosts []float64 // costs of all sets tried
	worstCost  float64   // -1 before the first set
	machines   []uint32  // IDs of the worst set
}

// try estimates the cost of a set, given as indexes in w.caches.
func (w *worstRestartSearch) try(chosen []int) {
	cost := w.costs.cost(chosen)
	w.triedCosts = append(w.triedCosts, cost)
	if cost > w.worstCost {
		w.worstCost = cost
		w.machines = w.machines[:0]
		for _, i := range chosen {
			w.machines = append(w.machines, w.caches[i].ID)
		}
	}
}

// indexes returns the indexes of all caches in order.
func (w *worstRestartSearch) indexes() []int {
	order := make([]int, len(w.caches))
	for i := range order {
		order[i] = i
	}
	return order
}

// tryRandom tries a sample of random sets.
func (w *worstRestartSearch) tryRandom(seed uint64, count int) {
	order := w.indexes()
	for n := range sampledSets {
		for i := range count { // the first steps of a Fisher-Yates shuffle
			j := i + int(routing.Hash(seed, uint64(n), uint64(i))%uint64(len(order)-i))
			order[i], order[j] = order[j], order[i]
		}
		w.try(order[:count])
	}
}

// tryZones tries for each zone a set that has as many caches of the zone as possible.
func (w *worstRestartSearch) tryZones(count, zones int) {
	for zone := range zones {
		order := w.indexes()
		elsewhere := func(cache int) int { // 0 in the zone, 1 in another
			if w.caches[cache].Zone == zone {
				return 0
			}
			return 1
		}
		slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(elsewhere(a), elsewhere(b)) })
		w.try(order[:count])
	}
}

// binomial returns the number of subsets of k out of n elements.
func binomial(n, k int) float64 {
	sets := 1.0
	for i := range k {
		sets *= float64(n-i) / float64(i+1)
	}
	return sets
}

// combinations calls visit with each subset of k out of n indexes, in lexicographic order. The function must not retain the
// slice.
func combinations(n, k int, visit func(chosen []int)) {
	chosen := make([]int, k)
	for i := range chosen {
		chosen[i] = i
	}
	for {
		visit(chosen)
		last := k - 1 // the last index that can still grow
		for last >= 0 && chosen[last] == n-k+last {
			last--
		}
		if last < 0 {
			return
		}
		chosen[last]++
		for i := last + 1; i < k; i++ {
			chosen[i] = chosen[i-1] + 1
		}
	}
}
