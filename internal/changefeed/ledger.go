package changefeed

import (
	"cmp"
	"slices"
)

// ledger holds the positions in the newest readerEpochs epochs of each origin. Once an origin has that many, epochs below the oldest
// known one are refused: the position in such an epoch may have been discarded, and its events must not be accepted a second time.
type ledger map[string]*originEpochs

// originEpochs are the positions in the epochs of one origin, sorted by epoch.
type originEpochs struct{ positions []epochPosition }

// epochPosition is the number reached within one epoch.
type epochPosition struct{ epoch, number uint64 }

// find returns the index of an epoch in positions, or the index at which it would be inserted.
func (o *originEpochs) find(epoch uint64) (index int, found bool) {
	compare := func(position epochPosition, epoch uint64) int { return cmp.Compare(position.epoch, epoch) }
	return slices.BinarySearchFunc(o.positions, epoch, compare)
}

// position returns the number reached within an epoch, or 0 if no event of it was read. ok is false if the epoch is too old.
func (l ledger) position(origin string, epoch uint64) (number uint64, ok bool) {
	known := l[origin]
	if known == nil {
		return 0, true
	}
	index, found := known.find(epoch)
	switch {
	case found:
		return known.positions[index].number, true
	case len(known.positions) >= readerEpochs && index == 0:
		return 0, false
	}
	return 0, true
}

// setPosition sets the number reached within an epoch, which must not be too old. It may discard the oldest epoch of the origin.
func (l ledger) setPosition(origin string, epoch, number uint64) {
	known := l[origin]
	if known == nil {
		known = &originEpochs{}
		l[origin] = known
	}
	index, found := known.find(epoch)
	if found {
		known.positions[index].number = number
		return
	}
	known.positions = slices.Insert(known.positions, index, epochPosition{epoch, number})
	if len(known.positions) > readerEpochs {
		known.positions = slices.Delete(known.positions, 0, 1)
	}
}

// vector returns the positions in the epochs of all origins for which included returns true.
func (l ledger) vector(included func(origin string) bool) (vector Vector) {
	for origin, known := range l {
		if !included(origin) {
			continue
		}
		for _, position := range known.positions {
			vector = append(vector, Position{origin, position.epoch, position.number})
		}
	}
	slices.SortFunc(vector, comparePositions)
	return vector
}
