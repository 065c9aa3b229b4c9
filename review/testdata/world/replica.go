package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// tokensPerEvent is the number of tokens in each event of an engine's stream.
	tokensPerEvent = 11
	// eventTime is the time between two events of a stream.
	eventTime = 15 * time.Millisecond
	// heartbeatTime is the interval at which a replica writes its record.
	heartbeatTime = 1200 * time.Millisecond
)

// Run is one execution of a request by a replica.
type Run struct {
	Replica string
	Tenant  string
	At      time.Duration
}

// Runs holds the executions of all replicas by request ID.
type Runs struct {
	mu   sync.Mutex
	byID map[string][]Run
}

// Of returns the executions of a request.
func (r *Runs) Of(id string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.byID[id]...)
}

func (r *Runs) add(id string, run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = append(r.byID[id], run)
}

// Replica is a stand-in for a replica of a model engine or of a plain service.
type Replica struct {
	ID, Service, Zone, Addr string
	Engine                  bool
	Slots                   int
	Work                    time.Duration
	born                    int64
	runs                    *Runs
	record                  *Record

	mu      sync.Mutex
	running int
}

// announce writes the replica's record every heartbeat until stop is closed.
func (p *Replica) announce(store *Store, stop <-chan struct{}) {
	for sequence := 1; ; sequence++ {
		value, err := json.Marshal(map[string]any{"service": p.Service, "address": p.Addr, "zone": p.Zone, "version": "v1",
			"slots": p.Slots, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": p.born})
		if err != nil {
			panic(err)
		}
		// The record is written when more than its sequence has changed.
		if sequence == 1 {
			store.Put("servers", p.ID, value)
		}
		select {
		case <-time.After(heartbeatTime):
		case <-stop:
			return
		}
	}
}

// take takes a slot. It reports false if all are in use.
func (p *Replica) take() (running int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running >= p.Slots {
		return p.running, false
	}
	p.running++
	return p.running, true
}

func (p *Replica) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

// ServeHTTP implements http.Handler.
func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Request-Id", id)
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", p.ID)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != p.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	running, ok := p.take()
	h.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", running, p.Slots))
	if !ok {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer p.release()
	tenant := r.Header.Get("X-Tenant")
	sum := sha256.Sum256(body)
	p.runs.add(id, Run{Replica: p.ID, Tenant: tenant, At: p.record.Since()})
	p.record.Log("run", map[string]any{"id": id, "replica": p.ID, "tenant": tenant, "path": r.RequestURI, "bytes": len(body),
		"sum": hex.EncodeToString(sum[:4])})
	h.Set("X-Response-Signature", "sig."+p.ID+"."+id)
	if p.Engine {
		p.stream(w, r, id)
		return
	}
	select {
	case <-time.After(p.Work):
	case <-r.Context().Done():
		return
	}
	answer := "answer to " + id + "\n"
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	io.WriteString(w, answer)
}

// stream sends the events of a turn: as many as the request's largest number of tokens allows, at
// most maxEvents.
func (p *Replica) stream(w http.ResponseWriter, r *http.Request, id string) {
	_, most := tokenUsage(r.Header.Get("X-Token-Usage"))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= min(maxEvents, most/tokensPerEvent); n++ {
		select {
		case <-time.After(eventTime):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, id, n); err != nil {
			return
		}
		w.(http.Flusher).Flush()
	}
}

// maxEvents is the largest number of events of a turn.
const maxEvents = 4

// tokenUsage decodes the numbers of prompt tokens and of output tokens.
func tokenUsage(text string) (prompt, most int) {
	fmt.Sscanf(text, "%d,%d", &prompt, &most)
	return prompt, most
}
