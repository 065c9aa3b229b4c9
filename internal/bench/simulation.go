package bench

import (
	"container/heap"
	"time"
)

// simulation is a discrete-event scheduler with a virtual clock. Events at the same
// time run in the order in which they were added, which makes runs deterministic.
type simulation struct {
	now      time.Duration
	events   eventHeap
	sequence uint64
}

// timedEvent is a function scheduled for a time.
type timedEvent struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// at schedules an event. A time in the past is treated as now.
func (s *simulation) at(at time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, timedEvent{at: max(at, s.now), sequence: s.sequence, run: run})
}

// after schedules an event after a delay.
func (s *simulation) after(delay time.Duration, run func()) {
	s.at(s.now+delay, run)
}

// runUntil processes events until none are left, the end time is reached, or stop
// returns true.
func (s *simulation) runUntil(end time.Duration, stop func() bool) {
	for len(s.events) > 0 && s.events[0].at <= end && !stop() {
		event := heap.Pop(&s.events).(timedEvent)
		s.now = event.at
		event.run()
	}
}

// eventHeap orders events by time, then by sequence number.
type eventHeap []timedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(timedEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	event := (*h)[last]
	(*h)[last] = timedEvent{}
	*h = (*h)[:last]
	return event
}
