package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/upstream"
)

// errDetached is returned for parts of an answer whose caller is not there.
var errDetached = errors.New("the caller is not there")

// deadlineStep is how often the write deadline of a stream is moved on.
const deadlineStep = time.Second

// replayedHeader marks an answer that was stored for an earlier request.
const replayedHeader = "Idempotency-Replayed"

// reply is the answer of one request. A claimed call may outlive its caller, so
// that all writes go through the lock and fail after close.
type reply struct {
	server *Server

	mu      sync.Mutex
	w       http.ResponseWriter
	control *http.ResponseController
	began   bool
	closed  bool
	broken  bool
	// events is set when the answer is a stream of events, and passed when it comes
	// from an app, so that an error event may follow half an event.
	events   bool
	passed   bool
	deadline time.Time
	buffer   []byte
}

func (s *Server) newReply(w http.ResponseWriter) *reply {
	return &reply{server: s, w: w, control: http.NewResponseController(w)}
}

// began says whether the caller received a part of the answer.
func (r *reply) hasBegun() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.began
}

// extendLocked gives the caller time to accept the next part.
func (r *reply) extendLocked() {
	now := time.Now()
	limit := r.server.options.Limits.Write
	if r.deadline.Sub(now) > limit-deadlineStep {
		return
	}
	r.deadline = now.Add(limit)
	_ = r.control.SetWriteDeadline(r.deadline)
}

// event writes one event of a stream.
func (r *reply) event(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.eventLocked(data)
}

func (r *reply) eventLocked(data []byte) error {
	if r.closed {
		return errDetached
	}
	r.extendLocked()
	if !r.began {
		r.began, r.events = true, true
		header := r.w.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		r.w.WriteHeader(http.StatusOK)
	}
	if bytes.IndexByte(data, '\n') >= 0 {
		var line bytes.Buffer
		if err := json.Compact(&line, data); err != nil {
			return err
		}
		data = line.Bytes()
	}
	r.buffer = append(r.buffer[:0], "data: "...)
	r.buffer = append(r.buffer, data...)
	r.buffer = append(r.buffer, "\n\n"...)
	if _, err := r.w.Write(r.buffer); err != nil {
		return err
	}
	return r.control.Flush()
}

// whole writes an answer that is not streamed and ends the reply.
func (r *reply) whole(status int, header map[string][]string, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.began {
		return
	}
	r.began, r.closed = true, true
	r.extendLocked()
	target := r.w.Header()
	for name, values := range header {
		target[name] = values
	}
	target.Set("Content-Length", strconv.Itoa(len(body)))
	r.w.WriteHeader(status)
	_, _ = r.w.Write(body)
}

// stored writes a stored answer that is not streamed.
func (r *reply) stored(answer *program.StoredAnswer) {
	header := http.Header(answer.Header).Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(replayedHeader, "true")
	r.whole(answer.Status, header, answer.Body)
}

// finish ends a stream with the final event.
func (r *reply) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.eventLocked([]byte(`[DONE]`))
	r.closed = true
}

// fail ends the reply with a problem: as the answer, or as an error event when a
// part of a stream was sent already. Another answer that was begun is broken off.
func (r *reply) fail(problem *structs.Problem) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	if r.began && !r.events {
		r.closed, r.broken = true, true
		return
	}
	if r.began {
		r.server.metrics.refused(problem.Code)
		if r.passed {
			_, _ = r.w.Write([]byte("\n\n"))
		}
		_ = r.eventLocked(encodeProblem(problem))
		r.closed = true
		return
	}
	r.began, r.closed = true, true
	r.extendLocked()
	r.server.refuse(r.w, problem)
}

// head starts an answer that is passed on as it arrives.
func (r *reply) head(response *upstream.AppResponse, bodyless bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return errDetached
	}
	r.began, r.passed, r.events = true, true, eventStream(response.Header)
	r.extendLocked()
	header := r.w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	if response.ContentLength >= 0 && !bodyless {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	r.w.WriteHeader(response.Status)
	return nil
}

// part passes a part of an answer on.
func (r *reply) part(data []byte, flush bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return errDetached
	}
	r.extendLocked()
	if _, err := r.w.Write(data); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return r.control.Flush()
}

// abort ends a reply so that the caller sees it broken off.
func (r *reply) abort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed, r.broken = true, true
}

// isBroken says whether the handler must break the connection.
func (r *reply) isBroken() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

// close makes later writes fail.
func (r *reply) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}
