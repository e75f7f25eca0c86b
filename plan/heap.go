package plan

import (
	"encoding/binary"
	"hash/fnv"
)

// heap is a binary heap that boxes nothing: a play pushes several timers for each req.
type heap[T interface{ before(T) bool }] struct{ list []T }

func (h *heap[T]) push(x T) {
	h.list = append(h.list, x)
	for i := len(h.list) - 1; i > 0; {
		up := (i - 1) / 2
		if !h.list[i].before(h.list[up]) {
			break
		}
		h.list[i], h.list[up] = h.list[up], h.list[i]
		i = up
	}
}

func (h *heap[T]) top() (x T, ok bool) {
	if len(h.list) == 0 {
		return x, false
	}
	return h.list[0], true
}

func (h *heap[T]) pop() T {
	first, last := h.list[0], len(h.list)-1
	var none T
	h.list[0], h.list[last] = h.list[last], none
	h.list = h.list[:last]
	for i := 0; ; {
		least := i
		for _, c := range [2]int{2*i + 1, 2*i + 2} {
			if c < last && h.list[c].before(h.list[least]) {
				least = c
			}
		}
		if least == i {
			return first
		}
		h.list[i], h.list[least] = h.list[least], h.list[i]
		i = least
	}
}

// mix is a hash of its words.
func mix(words ...uint64) uint64 {
	h := fnv.New64a()
	var b [8]byte
	for _, w := range words {
		binary.LittleEndian.PutUint64(b[:], w)
		h.Write(b[:])
	}
	x := h.Sum64()
	x ^= x >> 32
	x *= 0x9e3779b97f4a7c15
	return x ^ x>>29
}

// unit turns a hash into a number from 0 to below 1.
func unit(h uint64) float64 { return float64(h>>11) / (1 << 53) }
