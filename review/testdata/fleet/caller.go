package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entryHost is the host name of the routes.
const entryHost = "returns.example"

// exchange is one request of a caller and its end.
type exchange struct {
	id, host string
	sent     time.Time
	ended    time.Time
	status   int // 0 without an answer
	err      string
}

// callers send requests at a fixed rate to the hosts that have not failed them.
type callers struct {
	key, method, path string
	limit             time.Duration
	client            *http.Client

	mu      sync.Mutex
	addrs   map[string]string // name by address
	avoided map[string]time.Time
	list    []exchange
	wait    sync.WaitGroup
}

func newCallers(f *fleet, key, method, path string, limit time.Duration) *callers {
	c := &callers{key: key, method: method, path: path, limit: limit, addrs: make(map[string]string), avoided: make(map[string]time.Time),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50, DisableCompression: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}}
	for _, h := range f.hosts {
		c.addrs[h.addr()] = h.name
	}
	return c
}

// avoidTime is how long a caller excludes an address that has failed it.
const avoidTime = 2 * time.Second

// pick returns a random address that has not failed.
func (c *callers) pick() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var usable []string
	for addr := range c.addrs {
		if time.Since(c.avoided[addr]) > avoidTime {
			usable = append(usable, addr)
		}
	}
	if len(usable) == 0 {
		for addr := range c.addrs {
			usable = append(usable, addr)
		}
	}
	return usable[rand.IntN(len(usable))]
}

// press sends perSecond requests a second for a time.
func (c *callers) press(perSecond int, d time.Duration) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); {
		<-ticker.C
		c.wait.Add(1)
		go func() {
			defer c.wait.Done()
			c.send(c.pick())
		}()
	}
}

// send sends one request and records it.
func (c *callers) send(addr string) {
	x := exchange{id: fmt.Sprintf("%016x", rand.Uint64()), host: c.addrs[addr], sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+addr+c.path, nil)
	if err != nil {
		panic(err)
	}
	request.Host = entryHost
	request.Header.Set("X-Request-Id", x.id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.limit.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+c.key)
	answer, err := c.client.Do(request)
	if err == nil {
		x.status = answer.StatusCode
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
	x.ended = time.Now()
	if err != nil {
		x.err = "no complete answer"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.avoided[addr] = time.Now()
	}
	c.list = append(c.list, x)
}
