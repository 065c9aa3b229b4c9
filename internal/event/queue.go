package event

import (
	"io"
	"sync/atomic"
)

// Queue is an io.Writer that never blocks. It buffers lines in a bounded queue, from
// which a goroutine writes them to the underlying writer. Lines that arrive while the
// queue is full are dropped and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewQueue returns a queue that buffers up to size lines for w. The caller must call
// Close to flush it and stop its goroutine.
func NewQueue(w io.Writer, size int) *Queue {
	q := &Queue{lines: make(chan []byte, size), done: make(chan struct{})}
	go func() {
		defer close(q.done)
		for line := range q.lines {
			// A failing log output cannot be reported anywhere else.
			_, _ = w.Write(line)
		}
	}()
	return q
}

// Write implements io.Writer. It copies the line and never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close stops the queue after all queued lines are written. Write must not be called
// during or after Close.
func (q *Queue) Close() {
	close(q.lines)
	<-q.done
}
