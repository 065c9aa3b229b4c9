package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cowslipgw/internal/standin"
)

// responder sends the answer of a call in response to one request.
type responder struct {
	engine   *Engine
	sequence *sequence
	readerID int
	faults   Faults
	request  *http.Request
}

// callSnapshot is the state of a call at one point in time.
type callSnapshot struct {
	generated  int
	state      state
	usage      usage
	superseded bool
	progress   chan struct{}
}

// snapshot returns the current state of the call.
func (r *responder) snapshot() callSnapshot {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	s := r.sequence
	return callSnapshot{generated: s.generated, state: s.state, usage: s.usage(), superseded: s.readerID != r.readerID, progress: s.progress}
}

// waitForTokens waits until more than sent tokens are generated or the call has
// ended. It aborts the connection if another request has resumed the call, the
// client has disconnected or the engine is closed.
func (r *responder) waitForTokens(sent int, resumable bool) callSnapshot {
	for {
		v := r.snapshot()
		if v.superseded {
			standin.AbortConnection()
		}
		if v.generated > sent || v.state == finished || v.state == cancelled {
			return v
		}
		select {
		case <-v.progress:
		case <-r.request.Context().Done():
			r.detach(resumable)
			standin.AbortConnection()
		case <-r.engine.ctx.Done():
			standin.AbortConnection()
		}
	}
}

// serveJSON sends the complete answer as one JSON document.
func (r *responder) serveJSON(w http.ResponseWriter) {
	sent := 0
	for {
		v := r.waitForTokens(sent, false)
		sent = v.generated
		r.applyFaults(sent)
		if v.state == cancelled {
			r.unregister()
			standin.WriteError(w, http.StatusConflict, "cancelled", "the call was cancelled")
			return
		}
		if v.state == finished {
			r.unregister()
			r.writeCompletion(w, v)
			return
		}
	}
}

func (r *responder) writeCompletion(w http.ResponseWriter, v callSnapshot) {
	text := joinTokens(r.sequence.answer, v.generated)
	response := r.newChunk(choice{Message: &chatMessage{Role: "assistant", Content: &text}, FinishReason: &r.sequence.finishReason})
	response.Object = "chat.completion"
	response.Usage = &v.usage
	standin.WriteJSON(w, http.StatusOK, response)
}

// serveStream sends the answer as server-sent events, skipping the first sent
// tokens.
func (r *responder) serveStream(w http.ResponseWriter, sent int, resumed, includeUsage bool) {
	resumable := r.engine.settings.ResumeWindow > 0 && r.sequence.callID != ""
	events := standin.NewEventStream(w)
	if !resumed {
		empty := ""
		r.sendChunk(events, "", r.newChunk(choice{Delta: &chatMessage{Role: "assistant", Content: &empty}}))
	}
	for {
		v := r.waitForTokens(sent, resumable)
		for sent < v.generated {
			sent++
			id := ""
			if resumable {
				id = strconv.Itoa(sent)
			}
			r.sendChunk(events, id, r.newChunk(choice{Delta: &chatMessage{Content: &r.sequence.answer[sent-1]}}))
			r.applyFaults(sent)
		}
		switch v.state {
		case cancelled:
			r.unregister()
			_ = events.Send("", []byte(`{"error":{"message":"the call was cancelled","type":"cancelled","code":"cancelled"}}`))
			return
		case finished:
			r.sendFinalChunks(events, v, includeUsage)
			// The client may have disconnected without receiving the last events.
			r.detach(resumable)
			return
		}
	}
}

// sendFinalChunks sends the finish reason, the usage if requested, and the end of
// the stream.
func (r *responder) sendFinalChunks(events *standin.EventStream, v callSnapshot, includeUsage bool) {
	r.sendChunk(events, "", r.newChunk(choice{Delta: &chatMessage{}, FinishReason: &r.sequence.finishReason}))
	if includeUsage {
		last := r.newChunk()
		last.Usage = &v.usage
		r.sendChunk(events, "", last)
	}
	_ = events.Send("", []byte("[DONE]"))
}

func (r *responder) newChunk(choices ...choice) completion {
	return completion{
		ID:          r.sequence.id,
		Object:      "chat.completion.chunk",
		Created:     r.sequence.created.Unix(),
		Model:       r.sequence.model,
		Fingerprint: r.engine.settings.ID,
		Choices:     append([]choice{}, choices...),
	}
}

// sendChunk sends a chunk as one event. It ignores write errors because
// waitForTokens detects a disconnected client.
func (r *responder) sendChunk(events *standin.EventStream, id string, chunk completion) {
	data, _ := json.Marshal(chunk)
	_ = events.Send(id, data)
}

// applyFaults aborts the connection or hangs once the number of tokens set in the
// faults has been reached.
func (r *responder) applyFaults(sent int) {
	if n := r.faults.DieAfterTokens; n > 0 && sent >= n {
		r.cancel()
		standin.AbortConnection()
	}
	if n := r.faults.HangAfterTokens; n > 0 && sent >= n {
		defer r.cancel()
		r.engine.hang(r.request)
	}
}

// detach is called when the request stops reading the answer. A resumable call
// continues for the resume window, during which it can be resumed; any other call
// is cancelled immediately.
func (r *responder) detach(resumable bool) {
	if !resumable {
		r.cancel()
		return
	}
	e, s := r.engine, r.sequence
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.readerID != r.readerID {
		return
	}
	s.expiryTimer = time.AfterFunc(e.settings.ResumeWindow, r.expire)
}

// expire cancels the call if it has not been resumed.
func (r *responder) expire() {
	if !r.snapshot().superseded {
		r.cancel()
	}
}

// cancel cancels the call and unregisters it.
func (r *responder) cancel() {
	r.engine.mu.Lock()
	r.engine.cancelLocked(r.sequence)
	r.engine.mu.Unlock()
	r.unregister()
}

// unregister removes the call from the calls that can be resumed or cancelled.
func (r *responder) unregister() {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.calls[r.sequence.callID] == r.sequence {
		delete(e.calls, r.sequence.callID)
	}
}
