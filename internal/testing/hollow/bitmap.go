package hollow

// This file holds bitmaps of events.

const wordBits = 64

// bitmap is a set of event indexes. Indexes past its end are not in the set.
type bitmap []uint64

// has reports whether an index is in the set.
func (b bitmap) has(index int32) bool {
	word := int(index / wordBits)
	return word < len(b) && b[word]&(1<<(index%wordBits)) != 0
}

// set adds an index. It grows the bitmap as needed.
func (b *bitmap) set(index int32) {
	word := int(index / wordBits)
	for word >= len(*b) {
		*b = append(*b, 0)
	}
	(*b)[word] |= 1 << (index % wordBits)
}

// intersection returns the indexes of the events that all observers have accepted, out of the first count events. Bits past
// count may be set.
func intersection(observers []*Observer, count int) bitmap {
	common := make(bitmap, (count+wordBits-1)/wordBits)
	for word := range common {
		common[word] = ^uint64(0)
		for _, o := range observers {
			if word >= len(o.accepted) {
				common[word] = 0
				break
			}
			common[word] &= o.accepted[word]
		}
	}
	return common
}
