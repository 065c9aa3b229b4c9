package event

import (
	"io"
	"sync/atomic"
)

// Queue is a writer that never blocks: lines wait in a bounded queue for the output
// behind it, and lines that find the queue full are dropped and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewQueue returns a queue of up to size lines before w. Close ends it.
func NewQueue(w io.Writer, size int) *Queue {
	q := &Queue{lines: make(chan []byte, size), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for line := range q.lines {
			// An output that fails has no other place to say so.
			_, _ = w.Write(line)
		}
	}()
	return q
}

// Write implements io.Writer. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close waits until all queued lines are written. No Write may follow.
func (q *Queue) Close() {
	close(q.lines)
	<-q.done
}
