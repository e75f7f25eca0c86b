package hollow

// This file compares the positions of directors in the change feeds of all origins.

import (
	"cmp"
	"maps"
	"slices"

	"indigochute.example/indigochute/internal/changefeed"
)

// Vectors compares the positions of all directors of a host.
type Vectors struct {
	Equal         bool              `json:"equal"`   // all directors have the same position in the newest epoch of each origin
	Newest        changefeed.Vector `json:"newest"`  // the farthest position in the newest epoch of each origin
	Lagging       int               `json:"lagging"` // directors that are behind Newest for any origin
	List          []Lag             `json:"list"`    // the first lags
	DifferInEnded int               `json:"ended"`   // directors behind in ended epochs, which is allowed once events have expired
}

// Lag tells how far one director is behind in the newest epoch of one origin.
type Lag struct {
	Director string `json:"director"`
	Origin   string `json:"origin"`
	Epoch    uint64 `json:"epoch"`
	Number   uint64 `json:"number"` // of the last event that the director has; 0 if it has none
	Newest   uint64 `json:"newest"` // of the last event that any director has
}

// Vectors compares the positions of all directors.
func (h *Host) Vectors() Vectors {
	all := map[string]changefeed.Vector{}
	for _, n := range h.nodes {
		if n.follower != nil {
			all[n.Name] = n.follower.Status().Vector
		}
	}
	return compareVectors(all)
}

// incarnation is one epoch of an origin.
type incarnation struct {
	origin string
	epoch  uint64
}

func compareIncarnations(a, b incarnation) int {
	return cmp.Or(cmp.Compare(a.origin, b.origin), cmp.Compare(a.epoch, b.epoch))
}

// positions holds the number of the last event, by incarnation of an origin.
type positions map[incarnation]uint64

// positionsOf returns the positions of a vector.
func positionsOf(vector changefeed.Vector) positions {
	numbers := positions{}
	for _, position := range vector {
		numbers[incarnation{position.Origin, position.Epoch}] = position.Number
	}
	return numbers
}

// compareVectors compares the vectors of directors, by name.
func compareVectors(vectors map[string]changefeed.Vector) Vectors {
	newest := newestOf(vectors)
	result := Vectors{Newest: newest.vector(), List: []Lag{}}
	for _, name := range slices.Sorted(maps.Keys(vectors)) {
		lags, differsInEnded := newest.compare(name, positionsOf(vectors[name]))
		for _, lag := range lags {
			result.addLag(lag)
		}
		if len(lags) > 0 {
			result.Lagging++
		}
		if differsInEnded {
			result.DifferInEnded++
		}
	}
	result.Equal = result.Lagging == 0
	return result
}

// newestPositions holds the farthest positions of any director.
type newestPositions struct {
	incarnations []incarnation // sorted
	farthest     positions
	epochs       map[string]uint64 // newest epoch, by origin
}

// newestOf returns the farthest positions of several vectors.
func newestOf(vectors map[string]changefeed.Vector) *newestPositions {
	n := &newestPositions{farthest: positions{}, epochs: map[string]uint64{}}
	for _, vector := range vectors {
		for source, number := range positionsOf(vector) {
			n.farthest[source] = max(n.farthest[source], number)
			n.epochs[source.origin] = max(n.epochs[source.origin], source.epoch)
		}
	}
	n.incarnations = slices.SortedFunc(maps.Keys(n.farthest), compareIncarnations)
	return n
}

// hasEnded reports whether a newer incarnation of the same origin is known.
func (n *newestPositions) hasEnded(source incarnation) bool {
	return n.epochs[source.origin] != source.epoch
}

// vector returns the farthest positions in the newest epoch of each origin.
func (n *newestPositions) vector() changefeed.Vector {
	vector := changefeed.Vector{}
	for _, source := range n.incarnations {
		if !n.hasEnded(source) {
			vector = append(vector, changefeed.Position{Origin: source.origin, Epoch: source.epoch, Number: n.farthest[source]})
		}
	}
	return vector
}

// compare compares the positions of a director with the farthest ones. It returns how far the director is behind in the newest
// epochs, and whether it is behind in an ended epoch.
func (n *newestPositions) compare(director string, reached positions) (lags []Lag, differsInEnded bool) {
	for _, source := range n.incarnations {
		switch {
		case reached[source] == n.farthest[source]:
		case n.hasEnded(source):
			differsInEnded = true
		default:
			lags = append(lags, Lag{
				Director: director,
				Origin:   source.origin,
				Epoch:    source.epoch,
				Number:   reached[source],
				Newest:   n.farthest[source],
			})
		}
	}
	return lags, differsInEnded
}

// addLag lists a lag, unless maxListed are listed already.
func (v *Vectors) addLag(lag Lag) {
	if len(v.List) < maxListed {
		v.List = append(v.List, lag)
	}
}
