package capacity

import (
	"math"
	"slices"
)

// plainStackDistances computes the stack distances of a MissRatioCurve without a tree and without sampling, from a list of parts
// in the order of their last reads. It is the reference for the tests and benchmarks of MissRatioCurve.
type plainStackDistances struct {
	list []partKey           // in descending order of the time of the last read
	size map[partKey]float64 // at the last read
}

// read adds one read and returns its stack distance in bytes, infinite at the first read of a part.
func (c *plainStackDistances) read(object uint64, part uint32, bytes float64) float64 {
	key := partKey{object, part}
	if c.size == nil {
		c.size = map[partKey]float64{}
	}
	distance := math.Inf(1)
	if _, readBefore := c.size[key]; readBefore {
		distance = bytes
		position := slices.Index(c.list, key)
		for _, other := range c.list[:position] {
			distance += c.size[other]
		}
		c.list = slices.Delete(c.list, position, position+1)
	}
	c.size[key] = bytes
	c.list = slices.Insert(c.list, 0, key)
	return distance
}
