package event

import (
	"io"
	"sync"
	"sync/atomic"
)

// Queue is an io.Writer that never blocks. It buffers lines in a bounded queue, from
// which a goroutine writes them to the underlying writer. Lines that arrive while the
// queue is full are dropped and counted.
type Queue struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}

	// mu guards closed, and lines against a write after its end.
	mu     sync.RWMutex
	closed bool
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
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		q.dropped.Add(1)
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close stops the queue after all queued lines are written. Later lines are dropped: background
// tasks may still log while the process exits. Further calls of Close have no effect.
func (q *Queue) Close() {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	<-q.done
}
