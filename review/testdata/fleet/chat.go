package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// chatKey is the key of the tenant that sends turns.
const chatKey = "nu6wsjnbanfqasnmgkcu"

// answer is one attempt of a turn and its end.
type answer struct {
	host, program, id string
	sent, ended       time.Time
	status, events    int
	whole             bool
	// used is the number of tokens that the program had used before, with the most of turns that did not end whole.
	used, budget int
}

// program is an agent program whose turns follow each other.
type program struct {
	id          string
	budget, max int
	previous    string
	// used is the number of tokens used, at the most.
	used int
}

// chat is a deployment with a model service and the callers of its route.
type chat struct {
	f    *fleet
	log  *record
	runs *runs

	mu      sync.Mutex
	answers []answer
	avoided map[string]time.Time
}

// newChat starts eight engines and all hosts.
func newChat(f *fleet, log *record) (*chat, error) {
	d := &chat{f: f, log: log, runs: &runs{}, avoided: make(map[string]time.Time)}
	for n := range 8 {
		r := &engine{id: fmt.Sprintf("i-llm%d", n), service: "assistant-llm", slots: 16, step: 4 * time.Millisecond, runs: d.runs}
		addr, err := f.serve(r)
		if err != nil {
			return nil, err
		}
		if err := f.announce(&replica{id: r.id, service: r.service, slots: r.slots}, addr, zones[n%len(zones)].name, "ready"); err != nil {
			return nil, err
		}
	}
	if err := f.putConfig(chatConfig()); err != nil {
		return nil, err
	}
	if err := f.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(leadTime)
	return d, nil
}

// chatConfig returns the configuration of the deployment.
func chatConfig() map[string]any {
	return map[string]any{
		"routes": []any{map[string]any{"name": "r-chat", "host": entryHost, "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 3000,
			"target_latency_ms": 250, "priority": 1, "service": "assistant-llm", "max_attempts": 2, "public": false, "retains_context": true,
			"retention_s": 60, "sticky_sessions": true, "resumable": false, "gap_aim_ms": 200}},
		"services": []any{map[string]any{"name": "assistant-llm", "health_path": "/health", "max_connections": 160,
			"engine": map[string]any{"slots": 16, "kv_cache_tokens": 133601, "tokens_per_event": tokensPerEvent}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{chatKey}, "priority": 1, "rate_per_s": 1200, "burst": 1200}},
	}
}

// maxTries is the number of times that a turn is sent: the first one, a retry of the client and two new starts.
const maxTries = 4

// next sends the next turn of a program. It reports whether the turn was answered whole.
func (d *chat) next(p *program) bool {
	for try := range maxTries {
		a := d.send(p)
		if a.whole {
			p.previous = a.id
			return true
		}
		if a.status == 402 || a.status == 404 {
			return false
		}
		time.Sleep(time.Duration(100*(try+1)) * time.Millisecond)
	}
	return false
}

// pick returns a host that has not failed a client in the last seconds.
func (d *chat) pick() *host {
	d.mu.Lock()
	defer d.mu.Unlock()
	var usable []*host
	for _, h := range d.f.hosts {
		if time.Since(d.avoided[h.name]) > avoidTime {
			usable = append(usable, h)
		}
	}
	if len(usable) == 0 {
		usable = d.f.hosts
	}
	return usable[rand.IntN(len(usable))]
}

// send sends one attempt of the next turn of a program on a new connection.
func (d *chat) send(p *program) answer {
	h := d.pick()
	a := answer{host: h.name, program: p.id, id: fmt.Sprintf("%016x", rand.Uint64()), sent: time.Now(), used: p.used, budget: p.budget}
	input := fmt.Sprintf("<input of %s>", a.id)
	var b strings.Builder
	fmt.Fprintf(&b, "POST /chat/4b HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Program-Id: %s\r\nX-Session-Id: main\r\n", entryHost, a.id, p.id)
	fmt.Fprintf(&b, "X-Program-Deadline-Ms: 30000\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\n", chatKey)
	fmt.Fprintf(&b, "X-Token-Budget: %d\r\nX-Token-Usage: 100,%d\r\nContent-Length: %d\r\n", p.budget, p.max, len(input))
	if p.previous != "" {
		fmt.Fprintf(&b, "X-Previous-Turn: %s\r\n", p.previous)
	}
	b.WriteString("\r\n" + input)
	connection, err := net.DialTimeout("tcp", h.addr(), time.Second)
	if err == nil {
		defer connection.Close()
		_ = connection.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err = io.WriteString(connection, b.String()); err == nil {
			err = readAnswer(connection, &a)
		}
	}
	a.ended = time.Now()
	switch {
	case a.whole:
		p.used += a.events * tokensPerEvent
	case a.status == 0 || a.status >= 500 && a.status != http.StatusServiceUnavailable || a.status == http.StatusOK:
		p.used += p.max
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.avoided[a.host] = time.Now()
	}
	d.answers = append(d.answers, a)
	return a
}

// readAnswer reads the answer to a turn.
func readAnswer(connection net.Conn, a *answer) error {
	response, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	if a.status == http.StatusOK {
		a.events = strings.Count(string(body), "\n\n")
		a.whole = err == nil
	}
	return err
}
