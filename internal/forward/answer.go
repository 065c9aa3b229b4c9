package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Answer is a replica's response. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if the replica did not give it.
	Length int64

	body    io.ReadCloser
	pool    *Pool
	target  target
	conn    *conn
	written <-chan error
	stop    func() bool
	ended   bool
	broken  bool
	keep    bool
	close   sync.Once
}

// Read reads the body. io.EOF means that the body is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	switch {
	case err == io.EOF:
		a.ended = true
	case err != nil:
		a.broken = true
	}
	return n, err
}

// Close gives the connection back if the answer was read whole and the request was
// sent whole; otherwise it closes the connection, which cancels the request.
func (a *Answer) Close() {
	a.close.Do(func() {
		stopped := a.stop()
		sent := false
		select {
		case err := <-a.written:
			sent = err == nil
		default:
		}
		if a.ended && sent && stopped && a.keep && a.conn.reader.Buffered() == 0 {
			a.pool.put(a.target, a.conn)
			return
		}
		if a.broken && stopped {
			a.pool.discard(a.target)
		}
		a.conn.Close()
	})
}

// idleLimit reads the time that a replica keeps an idle connection, in whole seconds.
func idleLimit(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		if value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			if seconds, err := strconv.Atoi(value); err == nil {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}

// closeOnDone closes c when ctx ends. The returned function ends the watch; it
// reports false if the connection was closed.
func closeOnDone(ctx context.Context, c *conn) func() bool {
	return context.AfterFunc(ctx, func() { c.Close() })
}
