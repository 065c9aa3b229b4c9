package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a replica began to work on.
type run struct {
	id, replica, tenant string
	at                  time.Time
}

// runs records the requests that replicas run.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// replica is a stand-in of a replica of a plain service. It refuses requests for other replicas and those beyond
// its slots and queue, and runs all others.
type replica struct {
	id, service string
	slots       int
	work        time.Duration
	runs        *runs
	busy        atomic.Int64
}

// queue is the number of requests that wait for a slot.
const queue = 24

// ServeHTTP implements http.Handler.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	if n > int64(p.slots+queue) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p.runs.add(run{id: id, replica: p.id, tenant: r.Header.Get("X-Tenant"), at: time.Now()})
	time.Sleep(p.work)
	answer := "answer to " + id + "\n"
	h.Set("X-Response-Signature", p.id+"."+id)
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}
