package entry

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
)

// net/http drops Content-Length from a request that also has Transfer-Encoding. A
// proxy in front of the host may have used the Content-Length, which allows request
// smuggling, so such requests are rejected. To detect them, each connection records
// the head of its current request.

// headEnd terminates the head of a request.
var headEnd = []byte("\r\n\r\n")

// recorderKey is the context key for a connection's headRecorder.
type recorderKey struct{}

// recordingListener wraps each connection in a headRecorder.
type recordingListener struct {
	net.Listener
}

// Accept waits for the next connection.
func (l recordingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headRecorder{Conn: conn}, nil
}

// headRecorder records the head of the current request on a connection.
type headRecorder struct {
	net.Conn

	mu   sync.Mutex
	head []byte
	done bool
}

// Read reads from the connection and records the data up to the end of the head.
func (c *headRecorder) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.record(b[:n])
	}
	return n, err
}

// record appends bytes until the head is complete or exceeds twice the size that
// net/http is configured to accept.
func (c *headRecorder) record(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.done {
		return
	}
	from := max(0, len(c.head)-len(headEnd))
	c.head = append(c.head, b...)
	if at := bytes.Index(c.head[from:], headEnd); at >= 0 {
		c.head = c.head[:from+at+len(headEnd)]
		c.done = true
	}
	if len(c.head) > 2*maxCallerHeaderBytes {
		c.done = true
	}
}

// reset starts recording the next request.
func (c *headRecorder) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = c.head[:0]
	c.done = false
}

// declares reports whether the recorded head contains the header field. The name must
// be in lower case.
func (c *headRecorder) declares(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bytes.Contains(bytes.ToLower(c.head), []byte("\n"+name))
}

// withHeadRecorder makes the connection's recorder available to handlers.
func withHeadRecorder(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, recorderKey{}, conn)
}

// declaredLength reports whether a request with Transfer-Encoding may also have had
// Content-Length. A head that was read together with an earlier request is not
// recorded; the result is then true.
func declaredLength(r *http.Request) bool {
	recorder, ok := r.Context().Value(recorderKey{}).(*headRecorder)
	if !ok {
		return false
	}
	return !recorder.declares("transfer-encoding") || recorder.declares("content-length")
}
