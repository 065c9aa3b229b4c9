package engine

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"cowslipgw/internal/standin"
	"cowslipgw/internal/structs"
)

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	if !e.Record(w, r) {
		return
	}
	var request chatRequest
	if !standin.ReadJSON(w, r, &request) {
		return
	}
	headers, err := readHeaders(r.Header)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, "invalid_request", err.Error())
		return
	}
	faults := e.takeFaults()
	standin.EchoCallID(w, r, faults.ForeignCall)
	if faults.FailStatus != 0 {
		standin.WriteError(w, faults.FailStatus, "fault", "the call was not run")
		return
	}
	if faults.Hang {
		e.hang(r)
	}
	var s *sequence
	var reader int
	if headers.resumes {
		s, reader = e.resume(headers)
		if s == nil {
			standin.WriteError(w, http.StatusNotFound, "call_not_found", "no such call to resume")
			return
		}
	} else {
		var refused *refusal
		s, refused = e.submit(&request, headers)
		if refused != nil {
			refused.write(w)
			return
		}
	}
	c := &conversation{engine: e, sequence: s, reader: reader, faults: faults, request: r}
	if request.Stream {
		c.stream(w, headers.resumeAfter, headers.resumes, request.StreamOptions.IncludeUsage)
		return
	}
	c.whole(w)
}

// refusal is an answer that says why a call was not run.
type refusal struct {
	status        int
	code, message string
}

func (r *refusal) write(w http.ResponseWriter) {
	if r.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	standin.WriteError(w, r.status, r.code, r.message)
}

// submit queues a call.
func (e *Engine) submit(request *chatRequest, headers callHeaders) (*sequence, *refusal) {
	limit := request.limit(e.settings.DefaultTokens)
	switch {
	case len(request.Messages) == 0:
		return nil, &refusal{http.StatusBadRequest, "invalid_request", "messages is empty"}
	case limit < 1:
		return nil, &refusal{http.StatusBadRequest, "invalid_request", "max_tokens is less than 1"}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !slices.Contains(e.models, request.Model):
		return nil, &refusal{http.StatusNotFound, "model_not_found", fmt.Sprintf("model %q is not loaded", request.Model)}
	case !e.fenceLocked(programSubject(headers.program), headers.fence):
		return nil, &refusal{http.StatusConflict, "stale_fence", "the fencing number is older than one that was seen"}
	case len(e.queue) >= e.settings.MaxQueue:
		return nil, &refusal{http.StatusServiceUnavailable, "queue_full", "too many calls wait"}
	}
	s := e.newSequenceLocked(request, headers, limit)
	if old := e.calls[s.call]; old != nil {
		// The caller starts the call again instead of resuming it.
		e.cancelLocked(old)
	}
	if s.call != "" {
		e.calls[s.call] = s
	}
	heap.Push(&e.queue, s)
	e.wakeLocked()
	return s, nil
}

func (e *Engine) newSequenceLocked(request *chatRequest, headers callHeaders, limit int) *sequence {
	e.arrival++
	s := &sequence{
		id:       "chatcmpl-" + headers.call,
		call:     headers.call,
		program:  headers.program,
		fence:    headers.fence,
		model:    request.Model,
		priority: request.Priority,
		arrival:  e.arrival,
		chain:    prefixChain(request.Model, request.Messages),
		created:  time.Now(),
		progress: make(chan struct{}),
	}
	s.prompt = chainTokens(s.chain)
	if s.call == "" {
		s.id += strconv.FormatUint(e.arrival, 10)
	}
	s.answer, s.finish = answerTokens(request.Messages, request.MinTokens, limit)
	text, _ := json.Marshal(joined(s.answer, len(s.answer)))
	reply := structs.Message{Role: "assistant", Content: text}
	s.last = link{hash: linkHash(s.chain[len(s.chain)-1].hash, reply), tokens: messageTokens(reply)}
	return s
}

// resume takes over the stream of a call that goes on.
func (e *Engine) resume(headers callHeaders) (*sequence, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.calls[headers.call]
	if s == nil || headers.call == "" || headers.resumeAfter > s.sent {
		return nil, 0
	}
	if s.expiry != nil {
		s.expiry.Stop()
		s.expiry = nil
	}
	s.reader++
	s.notify()
	return s, s.reader
}

// hang holds a call until its client leaves.
func (e *Engine) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-e.ctx.Done():
	}
	standin.AbortConnection()
}
