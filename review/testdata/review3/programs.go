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

// program is an agent program whose turns follow each other. Used is the number of tokens used, at the most, and refused
// holds the ends of turns that were refused.
type program struct {
	id, key, previous string
	budget, used      int
	refused           []time.Time
}

// usedBy returns the number of tokens used, at the most. Turns that were refused less than settleTime before count at their most, too.
func (g *program) usedBy(now time.Time) int {
	used := g.used
	for _, t := range g.refused {
		if now.Sub(t) < settleTime {
			used += turnTokens
		}
	}
	return used
}

// answer is one attempt of a turn and its end. Used is the number of tokens that the program had used before.
type answer struct {
	host, program, id string
	sent, ended       time.Time
	status, events    int
	whole             bool
	used, budget      int
	retryAfter        time.Duration
}

// caller sends the turns of programs.
type caller struct {
	p   *platform
	log *runLog

	mu      sync.Mutex
	answers []answer
	// avoided holds when a host last failed the caller.
	avoided map[string]time.Time
}

// avoidTime is how long a caller avoids a host that failed it.
const avoidTime = 2 * time.Second

// maxTries is the number of times that a turn is sent: the first one, a retry of the client and two new starts.
const maxTries = 4

func newCaller(p *platform, log *runLog) *caller {
	return &caller{p: p, log: log, avoided: make(map[string]time.Time)}
}

// next sends the next turn of a program. It reports whether the turn was answered whole.
func (c *caller) next(g *program) bool {
	for try := range maxTries {
		a := c.send(g)
		if a.whole {
			g.previous = a.id
			return true
		}
		if a.status == http.StatusPaymentRequired || a.status == http.StatusNotFound {
			return false
		}
		time.Sleep(max(a.retryAfter, time.Duration(100*(try+1))*time.Millisecond))
	}
	return false
}

// pick returns a host that has not failed the caller in the last seconds.
func (c *caller) pick() *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var usable []*host
	for _, h := range c.p.hosts {
		if time.Since(c.avoided[h.name]) > avoidTime {
			usable = append(usable, h)
		}
	}
	if len(usable) == 0 {
		usable = c.p.hosts
	}
	return usable[rand.IntN(len(usable))]
}

// send sends one attempt of the next turn on a new channel.
func (c *caller) send(g *program) answer {
	h := c.pick()
	a := answer{host: h.name, program: g.id, id: newID(), sent: time.Now(), budget: g.budget}
	a.used = g.usedBy(a.sent)
	input := "<input of " + a.id + ">"
	var b strings.Builder
	fmt.Fprintf(&b, "POST /return-chat/4b HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Program-Id: %s\r\nX-Session-Id: main\r\nX-Model: m\r\n", hostName, a.id, g.id)
	fmt.Fprintf(&b, "X-Program-Deadline-Ms: 30000\r\nX-Deadline-Ms: 3000\r\nAuthorization: Bearer %s\r\n", g.key)
	fmt.Fprintf(&b, "X-Token-Budget: %d\r\nX-Token-Usage: 100,%d\r\nContent-Length: %d\r\n", g.budget, turnTokens, len(input))
	if g.previous != "" {
		fmt.Fprintf(&b, "X-Previous-Turn: %s\r\n", g.previous)
	}
	b.WriteString("\r\n" + input)
	conn, err := net.DialTimeout("tcp", h.frontend, time.Second)
	if err == nil {
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		c.log.send(a.id)
		if _, err = io.WriteString(conn, b.String()); err == nil {
			err = readTurn(conn, &a)
		}
	}
	a.ended = time.Now()
	switch {
	case a.whole:
		g.used += a.events * tokensPerEvent
	case a.status == 0 || a.status == http.StatusOK || a.status >= 500 && a.status != http.StatusServiceUnavailable:
		g.used += turnTokens
	case a.status != http.StatusPaymentRequired:
		g.refused = append(g.refused, a.ended)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.avoided[a.host] = time.Now()
	}
	c.answers = append(c.answers, a)
	return a
}

// readTurn reads the answer to a turn.
func readTurn(conn net.Conn, a *answer) error {
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	a.status, a.retryAfter = response.StatusCode, retryAfter(response.Header)
	body, err := io.ReadAll(response.Body)
	if a.status == http.StatusOK {
		a.events = strings.Count(string(body), "\n\n")
		a.whole = err == nil
	}
	return err
}
