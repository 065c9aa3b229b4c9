package entry

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
)

// net/http drops Content-Length from a request that also has Transfer-Encoding. A
// reader in front of the host may have believed the other one, so that such a
// request is refused. Its head is recorded for this.

// headEnd ends the head of a request.
var headEnd = []byte("\r\n\r\n")

// recorderKey is the context key of a connection's headRecorder.
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

// headRecorder keeps the head of the current request of a connection.
type headRecorder struct {
	net.Conn

	mu   sync.Mutex
	head []byte
	full bool
}

// Read reads and records up to the end of the head.
func (c *headRecorder) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.record(b[:n])
	}
	return n, err
}

// record adds bytes until the head is complete or as long as it may be.
func (c *headRecorder) record(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.full {
		return
	}
	from := max(0, len(c.head)-len(headEnd))
	c.head = append(c.head, b...)
	if at := bytes.Index(c.head[from:], headEnd); at >= 0 {
		c.head = c.head[:from+at+len(headEnd)]
		c.full = true
	}
	if len(c.head) > 2*maxCallerHeader {
		c.full = true
	}
}

// reset starts the record of the next request.
func (c *headRecorder) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = c.head[:0]
	c.full = false
}

// declares says whether the recorded head has a field of the name.
func (c *headRecorder) declares(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return bytes.Contains(bytes.ToLower(c.head), []byte("\n"+name))
}

// withHeadRecorder makes the recorder available to handlers.
func withHeadRecorder(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, recorderKey{}, conn)
}

// declaredLength says whether a request with Transfer-Encoding may also have
// Content-Length. A head that was read together with an earlier request is not
// recorded; then the answer is true.
func declaredLength(r *http.Request) bool {
	recorder, ok := r.Context().Value(recorderKey{}).(*headRecorder)
	if !ok {
		return false
	}
	return !recorder.declares("transfer-encoding") || recorder.declares("content-length")
}
