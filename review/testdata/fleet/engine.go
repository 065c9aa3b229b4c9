package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// tokensPerEvent is the number of tokens in each event of an engine's stream.
const tokensPerEvent = 11

// engine is a stand-in of a replica of a model service. It answers a turn with as many events as X-Token-Usage allows.
type engine struct {
	id, service string
	slots       int
	step        time.Duration
	runs        *runs
	busy        atomic.Int64
}

// eventData is the data of an event of a turn's answer.
func eventData(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

// ServeHTTP implements http.Handler.
func (p *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	h.Set("X-Instance-Id", p.id)
	n := p.busy.Add(1)
	defer p.busy.Add(-1)
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", min(n, int64(p.slots)), max(n-int64(p.slots), 0), p.slots))
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != p.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if n > int64(p.slots+2*queue) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, most, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	tokens, _ := strconv.Atoi(most)
	p.runs.add(run{id: id, replica: p.id, tenant: r.Header.Get("X-Tenant"), at: time.Now()})
	h.Set("X-Response-Signature", p.id+"."+id)
	h.Set("Content-Type", "text/event-stream")
	for n := 1; n <= tokens/tokensPerEvent; n++ {
		select {
		case <-time.After(p.step):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}
