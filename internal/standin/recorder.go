package standin

import (
	"bytes"
	"io"
	"net/http"
	"sync"
)

// Limits on the requests that a Recorder keeps; the oldest are discarded first.
// The byte limit matters for long conversations, because each request carries
// the complete message history.
const (
	maxRecordedRequests = 1000
	maxRecordedBytes    = 8 << 20
)

// Request is a request that a stand-in received.
type Request struct {
	Method string
	// Path includes the query.
	Path   string
	Header http.Header
	Body   []byte
}

// Recorder keeps the most recent requests for golden files and for tests that
// check what an upstream receives. The zero value is ready to use.
type Recorder struct {
	mu       sync.Mutex
	requests []Request
	bytes    int
}

// Record reads the body of r, records the request and replaces r.Body so that the
// body can be read again. If the body cannot be read, it sends a 413 response and
// returns false.
func (rec *Recorder) Record(w http.ResponseWriter, r *http.Request) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		WriteError(w, http.StatusRequestEntityTooLarge, "invalid_request", err.Error())
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.requests = append(rec.requests, Request{Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header.Clone(), Body: body})
	rec.bytes += len(body)
	for len(rec.requests) > maxRecordedRequests || (rec.bytes > maxRecordedBytes && len(rec.requests) > 1) {
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

// Reset discards the recorded requests.
func (rec *Recorder) Reset() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.requests = nil
	rec.bytes = 0
}
