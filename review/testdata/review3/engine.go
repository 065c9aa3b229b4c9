package main

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// tokensPerEvent is the number of tokens in an event, and turnEvents the number of events of each turn.
	tokensPerEvent = 11
	turnEvents     = 7
	turnTokens     = turnEvents * tokensPerEvent
	// eventTime is the time between two events.
	eventTime = 4 * time.Millisecond
	// engineSlots is the number of turns that a replica runs at a time, and engineQueue that of those that wait.
	engineSlots = 16
	engineQueue = 48
)

// engine is a replica that answers each turn with a stream.
type engine struct {
	id  string
	log *runLog
	places
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Instance-Id", e.id)
	if r.Header.Get("X-Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !e.enter(w) {
		return
	}
	defer e.leave()
	e.log.run(id)
	h.Set("X-Response-Signature", e.id+"."+id)
	h.Set("X-Weight-Versions", "1")
	h.Set("Content-Type", "text/event-stream")
	for n := range turnEvents {
		time.Sleep(eventTime)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n+1, id, n+1); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}
