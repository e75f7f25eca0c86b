package capacity

// Timers of a simulated run.

import "time"

// timer is a timer of a director, or an action of the run itself, that is due at a simulated time.
type timer struct {
	at       time.Duration
	order    uint64             // of several timers with the same time, the one with the smallest order is due first
	director *simulatedDirector // director that set the timer; nil if action is set
	token    uint32             // token that the director passed to SetTimer
	action   func()             // nil for a timer of a director
}

// before reports whether the timer is due before another.
func (t *timer) before(other *timer) bool {
	if t.at != other.at {
		return t.at < other.at
	}
	return t.order < other.order
}

// timerQueue is a binary heap of timers, the earliest first. It is used instead of container/heap, which allocates memory for
// each element, because a run sets several timers for each request.
type timerQueue struct{ list []timer }

// push adds a timer.
func (q *timerQueue) push(newTimer timer) {
	q.list = append(q.list, newTimer)
	for i := len(q.list) - 1; i > 0; {
		parent := (i - 1) / 2
		if !q.list[i].before(&q.list[parent]) {
			break
		}
		q.list[i], q.list[parent] = q.list[parent], q.list[i]
		i = parent
	}
}

// next returns the time of the earliest timer. It returns false if there is no timer.
func (q *timerQueue) next() (at time.Duration, ok bool) {
	if len(q.list) == 0 {
		return 0, false
	}
	return q.list[0].at, true
}

// pop removes and returns the earliest timer. The queue must not be empty.
func (q *timerQueue) pop() timer {
	first, last := q.list[0], len(q.list)-1
	q.list[0], q.list[last] = q.list[last], timer{}
	q.list = q.list[:last]
	for i := 0; ; {
		earliest := i
		for _, child := range [2]int{2*i + 1, 2*i + 2} {
			if child < last && q.list[child].before(&q.list[earliest]) {
				earliest = child
			}
		}
		if earliest == i {
			return first
		}
		q.list[i], q.list[earliest] = q.list[earliest], q.list[i]
		i = earliest
	}
}
