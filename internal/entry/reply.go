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

// errCallerGone is returned for writes to a caller that no longer receives the answer.
var errCallerGone = errors.New("the caller has disconnected")

// writeDeadlineStep is the minimum interval between two extensions of the write
// deadline.
const writeDeadlineStep = time.Second

// headerReplayed marks a response that was stored for an earlier request.
const headerReplayed = "Idempotency-Replayed"

// reply is the response to one request. A claimed call may outlive its caller, so all
// writes hold the lock and fail after close.
type reply struct {
	server *Server

	mu        sync.Mutex
	w         http.ResponseWriter
	control   *http.ResponseController
	started   bool
	closed    bool
	truncated bool
	// events is set if the response is an event stream. forwarded is set if it comes
	// from an app; an error event may then follow an incomplete event.
	events    bool
	forwarded bool
	deadline  time.Time
	buffer    []byte
}

func (s *Server) newReply(w http.ResponseWriter) *reply {
	return &reply{server: s, w: w, control: http.NewResponseController(w)}
}

// hasStarted reports whether any part of the response has been sent.
func (r *reply) hasStarted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started
}

// extendDeadlineLocked moves the write deadline forward for the next part.
func (r *reply) extendDeadlineLocked() {
	now := time.Now()
	limit := r.server.options.Limits.WriteTimeout
	if r.deadline.Sub(now) > limit-writeDeadlineStep {
		return
	}
	r.deadline = now.Add(limit)
	_ = r.control.SetWriteDeadline(r.deadline)
}

// writeEvent writes one event of a stream.
func (r *reply) writeEvent(data []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.writeEventLocked(data)
}

// writeEventLocked writes one event of a stream. JSON that contains line breaks is
// compacted, since the data must fit on one line. The caller must hold r.mu.
func (r *reply) writeEventLocked(data []byte) error {
	if r.closed {
		return errCallerGone
	}
	r.extendDeadlineLocked()
	if !r.started {
		r.started, r.events = true, true
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

// writeWhole writes a response that is not streamed and ends the reply.
func (r *reply) writeWhole(status int, header map[string][]string, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed || r.started {
		return
	}
	r.started, r.closed = true, true
	r.extendDeadlineLocked()
	target := r.w.Header()
	for name, values := range header {
		target[name] = values
	}
	target.Set("Content-Length", strconv.Itoa(len(body)))
	r.w.WriteHeader(status)
	_, _ = r.w.Write(body)
}

// writeStored writes a stored response that is not streamed.
func (r *reply) writeStored(answer *program.StoredAnswer) {
	header := http.Header(answer.Header).Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(headerReplayed, "true")
	r.writeWhole(answer.Status, header, answer.Body)
}

// finish ends a stream with the final event.
func (r *reply) finish() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writeEventLocked([]byte(`[DONE]`))
	r.closed = true
}

// fail ends the reply with a problem: as the response, or as an error event if part of
// an event stream has already been sent. Any other response that has started is
// truncated.
func (r *reply) fail(problem *structs.Problem) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	if r.started && !r.events {
		r.closed, r.truncated = true, true
		return
	}
	if r.started {
		r.server.metrics.countProblem(problem.Code)
		if r.forwarded {
			_, _ = r.w.Write([]byte("\n\n"))
		}
		_ = r.writeEventLocked(encodeProblem(problem))
		r.closed = true
		return
	}
	r.started, r.closed = true, true
	r.extendDeadlineLocked()
	r.server.writeProblem(r.w, problem)
}

// writeHead starts a response that is forwarded as it arrives.
func (r *reply) writeHead(response *upstream.AppResponse, bodyless bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return errCallerGone
	}
	r.started, r.forwarded, r.events = true, true, isEventStream(response.Header)
	r.extendDeadlineLocked()
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

// writePart forwards a part of a response.
func (r *reply) writePart(data []byte, flush bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return errCallerGone
	}
	r.extendDeadlineLocked()
	if _, err := r.w.Write(data); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return r.control.Flush()
}

// abort ends the reply in such a way that the caller detects the truncation.
func (r *reply) abort() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed, r.truncated = true, true
}

// isTruncated reports whether the handler must close the connection abnormally.
func (r *reply) isTruncated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.truncated
}

// close makes all later writes fail.
func (r *reply) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
}
