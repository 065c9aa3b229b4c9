package control

import (
	"errors"
	"io"
	"sync"
)

// queueLimit is how many bytes wait for one connection before it is given up. It
// has room for the transfer of a few large partitions.
const queueLimit = 256 << 20

// errQueueFull means that the other end does not read fast enough.
var errQueueFull = errors.New("send queue of the connection is full")

// queueWriter writes in the background, so that a caller is not blocked by a peer
// that does not read. What is queued while a write runs is written together.
type queueWriter struct {
	conn   io.WriteCloser
	mu     sync.Mutex
	queue  []byte
	err    error
	wake   chan struct{}
	closed chan struct{}
	once   sync.Once
}

// newQueueWriter starts the writing goroutine; Close ends it.
func newQueueWriter(conn io.WriteCloser) *queueWriter {
	w := &queueWriter{conn: conn, wake: make(chan struct{}, 1), closed: make(chan struct{})}
	go w.run()
	return w
}

// Write queues the bytes. An error means that the connection is closed.
func (w *queueWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return 0, w.err
	}
	if len(w.queue)+len(b) > queueLimit {
		w.err = errQueueFull
		w.end()
		return 0, w.err
	}
	w.queue = append(w.queue, b...)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(b), nil
}

// Close ends the writing and closes the connection.
func (w *queueWriter) Close() error {
	w.mu.Lock()
	if w.err == nil {
		w.err = io.ErrClosedPipe
	}
	w.mu.Unlock()
	w.end()
	return nil
}

func (w *queueWriter) end() {
	w.once.Do(func() {
		close(w.closed)
		_ = w.conn.Close()
	})
}

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
