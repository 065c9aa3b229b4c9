package control

import (
	"errors"
	"io"
	"sync"
)

// maxQueuedBytes is the send queue size above which a connection is closed. It has room
// for the transfer of a few large partitions.
const maxQueuedBytes = 256 << 20

// errQueueFull means that the peer does not read fast enough.
var errQueueFull = errors.New("send queue of the connection is full")

// queueWriter writes to a connection in the background, so that a peer that does not read
// never blocks a caller. Data queued during a write is sent in one batch afterwards.
type queueWriter struct {
	conn   io.WriteCloser
	mu     sync.Mutex
	queue  []byte
	err    error
	wake   chan struct{}
	closed chan struct{}
	once   sync.Once
}

// newQueueWriter returns a queueWriter and starts its goroutine, which Close stops.
func newQueueWriter(conn io.WriteCloser) *queueWriter {
	w := &queueWriter{conn: conn, wake: make(chan struct{}, 1), closed: make(chan struct{})}
	go w.run()
	return w
}

// Write queues the bytes. After an error the connection is closed.
func (w *queueWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return 0, w.err
	}
	if len(w.queue)+len(b) > maxQueuedBytes {
		w.err = errQueueFull
		w.shutdown()
		return 0, w.err
	}
	w.queue = append(w.queue, b...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(b), nil
}

// Close discards the queue and closes the connection.
func (w *queueWriter) Close() error {
	w.mu.Lock()
	if w.err == nil {
		w.err = io.ErrClosedPipe
	}
	w.mu.Unlock()
	w.shutdown()
	return nil
}

// shutdown stops the goroutine and closes the connection.
func (w *queueWriter) shutdown() {
	w.once.Do(func() {
		close(w.closed)
		_ = w.conn.Close()
	})
}

// run writes queued data until the writer is closed or a write fails.
func (w *queueWriter) run() {
	for {
		select {
		case <-w.closed:
			return
		case <-w.wake:
		}
		if err := w.flush(); err != nil {
			_ = w.Close()
			return
		}
	}
}

// flush writes all data that is queued when it is called.
func (w *queueWriter) flush() error {
	w.mu.Lock()
	data := w.queue
	w.queue = nil
	w.mu.Unlock()
	if len(data) == 0 {
		return nil
	}
	_, err := w.conn.Write(data)
	return err
}
