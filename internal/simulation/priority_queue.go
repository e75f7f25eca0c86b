package simulation

// The priority queue of events and of jobs.

import (
	"cmp"
	"container/heap"
)

// notQueued is the position of an item that has left its queue.
const notQueued = -1

// queued is an item of a priorityQueue.
type queued[K cmp.Ordered] struct {
	key      K      // items with smaller keys come first
	sequence uint64 // orders items with equal keys; 0 for all jobs
	position int    // index in the queue, or notQueued
	run      func() // called by the owner of the queue when the item is due
}

// priorityQueue is a binary heap that stores in each item its position, so that any item can be removed. It holds the events
// of a world and the jobs on the cores of a cache.
type priorityQueue[K cmp.Ordered] []*queued[K]

// insert adds an item, which must not be in a queue.
func (q *priorityQueue[K]) insert(item *queued[K]) { heap.Push(q, item) }

// remove removes an item from the queue. It ignores nil and an item that has left the queue.
func (q *priorityQueue[K]) remove(item *queued[K]) {
	if item != nil && item.position != notQueued {
		heap.Remove(q, item.position)
	}
}

// first returns the item with the smallest key. The queue must not be empty.
func (q priorityQueue[K]) first() *queued[K] { return q[0] }

// takeFirst removes and returns the item with the smallest key. The queue must not be empty.
func (q *priorityQueue[K]) takeFirst() *queued[K] { return heap.Pop(q).(*queued[K]) }

// Len, like the methods below, is part of heap.Interface.
func (q priorityQueue[K]) Len() int { return len(q) }

// Less orders by key, then by sequence.
func (q priorityQueue[K]) Less(a, b int) bool {
	if q[a].key != q[b].key {
		return q[a].key < q[b].key
	}
	return q[a].sequence < q[b].sequence
}

// Swap exchanges two items.
func (q priorityQueue[K]) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].position, q[b].position = a, b
}

// Push appends an item, for package heap. Other callers use insert.
func (q *priorityQueue[K]) Push(item any) {
	newItem := item.(*queued[K])
	newItem.position = len(*q)
	*q = append(*q, newItem)
}

// Pop removes the last item, for package heap. Other callers use takeFirst.
func (q *priorityQueue[K]) Pop() any {
	items := *q
	last := items[len(items)-1]
	*q = items[:len(items)-1]
	last.position = notQueued
	return last
}
