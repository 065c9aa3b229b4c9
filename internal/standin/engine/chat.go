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
	headers, err := parseHeaders(r.Header)
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
	var readerID int
	if headers.resume {
		s, readerID = e.resume(headers)
		if s == nil {
			standin.WriteError(w, http.StatusNotFound, "call_not_found", "no such call to resume")
			return
		}
	} else {
		var apiErr *apiError
		s, apiErr = e.submit(&request, headers)
		if apiErr != nil {
			apiErr.write(w)
			return
		}
	}
	resp := &responder{engine: e, sequence: s, readerID: readerID, faults: faults, request: r}
	if request.Stream {
		resp.serveStream(w, headers.resumeAfter, headers.resume, request.StreamOptions.IncludeUsage)
		return
	}
	resp.serveJSON(w)
}

// apiError is the error response to a call or order that was not executed.
type apiError struct {
	status        int
	code, message string
}

func (e *apiError) write(w http.ResponseWriter) {
	if e.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	standin.WriteError(w, e.status, e.code, e.message)
}

// submit validates a call and adds it to the queue.
func (e *Engine) submit(request *chatRequest, headers callHeaders) (*sequence, *apiError) {
	maxTokens := request.maxAnswerTokens(e.settings.DefaultTokens)
	switch {
	case len(request.Messages) == 0:
		return nil, &apiError{http.StatusBadRequest, "invalid_request", "messages is empty"}
	case maxTokens < 1:
		return nil, &apiError{http.StatusBadRequest, "invalid_request", "max_tokens is less than 1"}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !slices.Contains(e.models, request.Model):
		return nil, &apiError{http.StatusNotFound, "model_not_found", fmt.Sprintf("model %q is not loaded", request.Model)}
	case !e.acceptFenceLocked(programFenceKey(headers.program), headers.fence):
		return nil, &apiError{http.StatusConflict, "stale_fence", "the fencing number is older than one that was seen"}
	case len(e.queue) >= e.settings.MaxQueue:
		return nil, &apiError{http.StatusServiceUnavailable, "queue_full", "too many calls wait"}
	}
	s := e.newSequenceLocked(request, headers, maxTokens)
	if previous := e.calls[s.callID]; previous != nil {
		// The caller restarts the call instead of resuming it.
		e.cancelLocked(previous)
	}
	if s.callID != "" {
		e.calls[s.callID] = s
	}
	heap.Push(&e.queue, s)
	e.wakeLocked()
	return s, nil
}

func (e *Engine) newSequenceLocked(request *chatRequest, headers callHeaders, maxTokens int) *sequence {
	e.arrivals++
	s := &sequence{
		id:       "chatcmpl-" + headers.callID,
		callID:   headers.callID,
		program:  headers.program,
		fence:    headers.fence,
		model:    request.Model,
		priority: request.Priority,
		arrival:  e.arrivals,
		chain:    prefixChain(request.Model, request.Messages),
		created:  time.Now(),
		progress: make(chan struct{}),
	}
	s.promptTokens = chainTokens(s.chain)
	if s.callID == "" {
		s.id += strconv.FormatUint(e.arrivals, 10)
	}
	s.answer, s.finishReason = answerTokens(request.Messages, request.MinTokens, maxTokens)
	text, _ := json.Marshal(joinTokens(s.answer, len(s.answer)))
	reply := structs.Message{Role: "assistant", Content: text}
	s.answerLink = link{hash: linkHash(s.chain[len(s.chain)-1].hash, reply), tokens: messageTokens(reply)}
	return s
}

// resume attaches a new reader to a registered call and returns the call and the
// reader's ID. It returns nil if the call cannot be resumed.
func (e *Engine) resume(headers callHeaders) (*sequence, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.calls[headers.callID]
	if s == nil || headers.callID == "" || headers.resumeAfter > s.generated {
		return nil, 0
	}
	if s.expiryTimer != nil {
		s.expiryTimer.Stop()
		s.expiryTimer = nil
	}
	s.readerID++
	s.notify()
	return s, s.readerID
}

// hang blocks until the client disconnects or the engine is closed, and then
// aborts the connection.
func (e *Engine) hang(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-e.ctx.Done():
	}
	standin.AbortConnection()
}
