package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// runLog holds when requests were sent and when a replica began to run them.
type runLog struct {
	mu     sync.Mutex
	sent   map[string]time.Time
	status map[string]int
	runs   []pass
}

// pass is one request that ran.
type pass struct {
	id            string
	sent, arrived time.Time
}

func (l *runLog) send(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = time.Now()
}

func (l *runLog) answer(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.status[id] = status
}

func (l *runLog) run(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.sent[id]; ok {
		l.runs = append(l.runs, pass{id, at, time.Now()})
	}
}

// most returns the largest number of requests that were both sent and run within a window, and its start.
func (l *runLog) most(window time.Duration) (int, time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := slices.Clone(l.runs)
	slices.SortFunc(runs, func(a, b pass) int { return a.sent.Compare(b.sent) })
	best, start := 0, time.Time{}
	for i, first := range runs {
		end, n := first.sent.Add(window), 0
		for _, p := range runs[i:] {
			if p.sent.After(end) {
				break
			}
			if !p.arrived.After(end) {
				n++
			}
		}
		if n > best {
			best, start = n, first.sent
		}
	}
	return best, start
}

// channels keeps channels of clients to hosts.
type channels struct {
	mu   sync.Mutex
	idle map[string][]channel
}

// channel is an open connection of a client.
type channel struct {
	net.Conn
	idleSince time.Time
}

// clientIdleTime is how long clients keep an unused channel: four fifths of idle_timeout_ms.
const clientIdleTime = 12 * time.Second

// get sends a safe request over a kept or new channel and returns the status, 0 without an answer, and Retry-After.
func (c *channels) get(addr, path, key, id string, limit time.Duration, isRetry bool, sent func()) (int, time.Duration) {
	c.mu.Lock()
	var conn net.Conn
	if list := c.idle[addr]; len(list) > 0 && !isRetry {
		conn, c.idle[addr] = list[len(list)-1].Conn, list[:len(list)-1]
		if time.Since(list[len(list)-1].idleSince) > clientIdleTime {
			_ = conn.Close()
			conn = nil
		}
	}
	c.mu.Unlock()
	if conn == nil {
		var err error
		if conn, err = net.DialTimeout("tcp", addr, time.Second); err != nil {
			return 0, 0
		}
	}
	_ = conn.SetDeadline(time.Now().Add(limit + 500*time.Millisecond))
	sent()
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n\r\n",
		path, hostName, id, limit.Milliseconds(), key); err != nil {
		_ = conn.Close()
		return 0, 0
	}
	reader := bufio.NewReader(conn)
	r, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
	if err != nil {
		_ = conn.Close()
		return 0, 0
	}
	_, err = io.Copy(io.Discard, r.Body)
	if err != nil || r.Close {
		_ = conn.Close()
		return r.StatusCode, retryAfter(r.Header)
	}
	c.mu.Lock()
	c.idle[addr] = append(c.idle[addr], channel{conn, time.Now()})
	c.mu.Unlock()
	return r.StatusCode, retryAfter(r.Header)
}

// retryAfter returns the time of Retry-After, 0 without it.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// A replica of the plain service of frio-retorno has plainSlots slots, takes plainWork for a request and lets plainQueue wait.
const (
	plainSlots = 6
	plainQueue = 24
	plainWork  = 13 * time.Millisecond
)

// places are the slots and the queue of a replica.
type places struct {
	slots, queue int64
	taken        atomic.Int64
	once         sync.Once
	free         chan struct{}
}

// enter waits for a slot. It answers that the request was not run if the queue is full, and reports whether there was a place.
func (p *places) enter(w http.ResponseWriter) bool {
	p.once.Do(func() { p.free = make(chan struct{}, p.slots) })
	n := p.taken.Add(1)
	h := w.Header()
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", min(n, p.slots), max(n-p.slots, 0), p.slots))
	if n > p.slots+p.queue {
		p.taken.Add(-1)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	p.free <- struct{}{}
	return true
}

// leave gives the slot back.
func (p *places) leave() {
	<-p.free
	p.taken.Add(-1)
}

// quick is a replica of a plain service.
type quick struct {
	id   string
	log  *runLog
	size int
	places
}

func (s *quick) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Instance-Id", s.id)
	if r.Header.Get("X-Expect-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.enter(w) {
		return
	}
	defer s.leave()
	s.log.run(id)
	time.Sleep(plainWork)
	h.Set("X-Response-Signature", s.id+"."+id)
	h.Set("Content-Length", strconv.Itoa(s.size))
	_, _ = w.Write(make([]byte, s.size))
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
