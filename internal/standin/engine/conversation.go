package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"cowslipgw/internal/standin"
)

// conversation is one request that reads the answer of a call.
type conversation struct {
	engine   *Engine
	sequence *sequence
	reader   int
	faults   Faults
	request  *http.Request
}

// view is a consistent look at a call.
type view struct {
	sent     int
	state    state
	usage    usage
	replaced bool
	progress chan struct{}
}

func (c *conversation) look() view {
	c.engine.mu.Lock()
	defer c.engine.mu.Unlock()
	s := c.sequence
	return view{sent: s.sent, state: s.state, usage: s.usage(), replaced: s.reader != c.reader, progress: s.progress}
}

// next waits until more than have tokens are there or the call has ended. It
// breaks the connection when the client left or the engine closes.
func (c *conversation) next(have int, resumable bool) view {
	for {
		v := c.look()
		if v.replaced {
			standin.AbortConnection()
		}
		if v.sent > have || v.state == finished || v.state == cancelled {
			return v
		}
		select {
		case <-v.progress:
		case <-c.request.Context().Done():
			c.detach(resumable)
			standin.AbortConnection()
		case <-c.engine.ctx.Done():
			standin.AbortConnection()
		}
	}
}

// whole answers with one JSON document.
func (c *conversation) whole(w http.ResponseWriter) {
	have := 0
	for {
		v := c.next(have, false)
		have = v.sent
		c.applyFaults(have)
		if v.state == cancelled {
			c.forget()
			standin.WriteError(w, http.StatusConflict, "cancelled", "the call was cancelled")
			return
		}
		if v.state == finished {
			c.forget()
			c.writeWhole(w, v)
			return
		}
	}
}

func (c *conversation) writeWhole(w http.ResponseWriter, v view) {
	text := joined(c.sequence.answer, v.sent)
	answer := c.chunk(choice{Message: &content{Role: "assistant", Content: &text}, FinishReason: &c.sequence.finish})
	answer.Object = "chat.completion"
	answer.Usage = &v.usage
	standin.WriteJSON(w, http.StatusOK, answer)
}

// stream answers with server-sent events, from the token after have on.
func (c *conversation) stream(w http.ResponseWriter, have int, resumed, includeUsage bool) {
	resumable := c.engine.settings.ResumeWindow > 0 && c.sequence.call != ""
	events := standin.NewEventStream(w)
	if !resumed {
		empty := ""
		c.send(events, "", c.chunk(choice{Delta: &content{Role: "assistant", Content: &empty}}))
	}
	for {
		v := c.next(have, resumable)
		for have < v.sent {
			have++
			id := ""
			if resumable {
				id = strconv.Itoa(have)
			}
			c.send(events, id, c.chunk(choice{Delta: &content{Content: &c.sequence.answer[have-1]}}))
			c.applyFaults(have)
		}
		switch v.state {
		case cancelled:
			c.forget()
			_ = events.Send("", []byte(`{"error":{"message":"the call was cancelled","type":"cancelled","code":"cancelled"}}`))
			return
		case finished:
			c.finish(events, v, includeUsage)
			// The client may have left without receiving the last events.
			c.detach(resumable)
			return
		}
	}
}

func (c *conversation) finish(events *standin.EventStream, v view, includeUsage bool) {
	c.send(events, "", c.chunk(choice{Delta: &content{}, FinishReason: &c.sequence.finish}))
	if includeUsage {
		last := c.chunk()
		last.Usage = &v.usage
		c.send(events, "", last)
	}
	_ = events.Send("", []byte("[DONE]"))
}

func (c *conversation) chunk(choices ...choice) completion {
	return completion{
		ID:          c.sequence.id,
		Object:      "chat.completion.chunk",
		Created:     c.sequence.created.Unix(),
		Model:       c.sequence.model,
		Fingerprint: c.engine.settings.ID,
		Choices:     append([]choice{}, choices...),
	}
}

// send writes an event. That the client is gone shows at the next wait.
func (c *conversation) send(events *standin.EventStream, id string, chunk completion) {
	data, _ := json.Marshal(chunk)
	_ = events.Send(id, data)
}

// applyFaults dies or hangs after the number of tokens that the faults name.
func (c *conversation) applyFaults(have int) {
	if n := c.faults.DieAfterTokens; n > 0 && have >= n {
		c.end()
		standin.AbortConnection()
	}
	if n := c.faults.HangAfterTokens; n > 0 && have >= n {
		defer c.end()
		c.engine.hang(c.request)
	}
}

// detach is called when nobody reads the answer any more. The call goes on, and can
// be resumed, for the resume window; without one it ends at once.
func (c *conversation) detach(resumable bool) {
	if !resumable {
		c.end()
		return
	}
	e, s := c.engine, c.sequence
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.reader != c.reader {
		return
	}
	s.expiry = time.AfterFunc(e.settings.ResumeWindow, c.expire)
}

// expire ends a call that nobody resumed.
func (c *conversation) expire() {
	if !c.look().replaced {
		c.end()
	}
}

// end cancels the call.
func (c *conversation) end() {
	c.engine.mu.Lock()
	c.engine.cancelLocked(c.sequence)
	c.engine.mu.Unlock()
	c.forget()
}

// forget drops the call from those that can be resumed or cancelled.
func (c *conversation) forget() {
	e := c.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.calls[c.sequence.call] == c.sequence {
		delete(e.calls, c.sequence.call)
	}
}
