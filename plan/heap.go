package plan

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
