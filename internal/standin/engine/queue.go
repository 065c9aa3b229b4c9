package engine

import (
	"cmp"
	"container/heap"
	"slices"
)

// queue is a priority queue of the calls that wait for a slot, ordered by priority
// number, lowest first, and then by arrival. It implements heap.Interface.
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

// remove removes a call from the queue, if it is there.
func (q *queue) remove(s *sequence) {
	if at := slices.Index(*q, s); at >= 0 {
		heap.Remove(q, at)
	}
}
