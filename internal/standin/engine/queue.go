package engine

import (
	"cmp"
	"container/heap"
	"slices"
)

// queue holds the calls that wait for a slot: the lowest priority number first,
// then in order of arrival. It is a container/heap.Interface.
type queue []*sequence

// Len implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q queue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].priority, q[j].priority), cmp.Compare(q[i].arrival, q[j].arrival)) < 0
}

// Swap implements heap.Interface.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(*sequence)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	s := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return s
}

// remove takes a call out of the queue.
func (q *queue) remove(s *sequence) {
	if at := slices.Index(*q, s); at >= 0 {
		heap.Remove(q, at)
	}
}
