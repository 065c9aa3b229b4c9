package standin

import (
	"bytes"
	"io"
	"net/http"
	"sync"
)

// Limits of what a Recorder holds; the oldest requests go first. The byte limit
// matters with long histories, of which each request carries the whole.
const (
	keptRequests = 1000
	keptBytes    = 8 << 20
)

// Request is what a stand-in saw of one request.
type Request struct {
	Method string
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
}

// Recorder keeps the newest requests, for golden files and for tests of what
// reaches an upstream. The zero value is ready for use.
type Recorder struct {
	mu       sync.Mutex
	requests []Request
	bytes    int
}

// Record reads the body of r, records the request, and puts the body back. It
// answers 413 or breaks off when the body cannot be read, and returns false then.
func (rec *Recorder) Record(w http.ResponseWriter, r *http.Request) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		WriteError(w, http.StatusRequestEntityTooLarge, "invalid_request", err.Error())
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.requests = append(rec.requests, Request{Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header.Clone(), Body: body})
	rec.bytes += len(body)
	for len(rec.requests) > keptRequests || (rec.bytes > keptBytes && len(rec.requests) > 1) {
		rec.bytes -= len(rec.requests[0].Body)
		rec.requests[0] = Request{}
		rec.requests = rec.requests[1:]
	}
	return true
}

// Requests returns the recorded requests, oldest first.
func (rec *Recorder) Requests() []Request {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return append([]Request(nil), rec.requests...)
}

// Reset forgets the recorded requests.
func (rec *Recorder) Reset() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.requests = nil
	rec.bytes = 0
}
