package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request is one attempt of a client.
type Request struct {
	Method, Path, Key      string
	Body                   []byte
	Program, Session       string
	Previous               string
	Budget, Prompt, Tokens int
	Deadline               time.Duration
	// Host limits the attempt to one entry address; empty to take one of the directory.
	Host string
}

// Reply is what a client saw of an attempt.
type Reply struct {
	ID     string
	Addr   string
	SentAt time.Duration
	// Kept is set if the channel had answered a request before.
	Kept bool
	// Status is 0 if no head of an answer arrived.
	Status   int
	Complete bool
	Signed   bool
	Body     string
	Events   int
	// RetryAfter is the time after which the client may try again.
	RetryAfter time.Duration
	Err        string
}

// Whole reports whether the attempt has a complete successful answer of a replica.
func (r Reply) Whole() bool { return r.Status == http.StatusOK && r.Complete && r.Signed }

// channel is an open connection of a client.
type channel struct {
	net.Conn
	reader *bufio.Reader
	used   bool
}

// Clients sends requests to the hosts that the directory names, over kept channels.
type Clients struct {
	record *Record
	hosts  func() []*Host

	mu         sync.Mutex
	idle       map[string][]*channel
	addresses  []string
	resolvedAt time.Time
	failed     map[string]time.Time
	nextID     int
}

// NewClients returns clients that ask the given hosts for the directory.
func NewClients(record *Record, hosts func() []*Host) *Clients {
	return &Clients{record: record, hosts: hosts, idle: make(map[string][]*channel), failed: make(map[string]time.Time)}
}

func (c *Clients) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextID++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), c.nextID)
}

// resolve returns an entry address from the directory's answer, which it keeps for two seconds.
func (c *Clients) resolve() string {
	c.mu.Lock()
	addresses, fresh := c.addresses, time.Since(c.resolvedAt) < 2*time.Second
	c.mu.Unlock()
	if !fresh {
		for _, h := range c.hosts() {
			if got := askDirectory(h); len(got) > 0 {
				addresses = got
				c.mu.Lock()
				c.addresses, c.resolvedAt = got, time.Now()
				c.closeOthersLocked()
				c.mu.Unlock()
				break
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var good []string
	for _, a := range addresses {
		if time.Since(c.failed[a]) > 3*time.Second {
			good = append(good, a)
		}
	}
	if len(good) == 0 {
		good = addresses
	}
	if len(good) == 0 {
		return ""
	}
	return good[rand.IntN(len(good))]
}

// closeOthersLocked closes the idle channels to addresses that the directory no longer names.
func (c *Clients) closeOthersLocked() {
	for addr, list := range c.idle {
		named := false
		for _, a := range c.addresses {
			named = named || a == addr
		}
		if !named {
			for _, ch := range list {
				ch.Close()
			}
			delete(c.idle, addr)
		}
	}
}

// askDirectory asks one host where to connect.
func askDirectory(h *Host) []string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Get("http://" + h.Directory + "/api/resolve?name=" + hostName + "&region=" + region + "&zone=" + h.Zone)
	if err != nil {
		return nil
	}
	defer answer.Body.Close()
	var reply struct {
		Addresses []string `json:"addresses"`
	}
	if answer.StatusCode != http.StatusOK || json.NewDecoder(answer.Body).Decode(&reply) != nil {
		return nil
	}
	return reply.Addresses
}

func (c *Clients) open(addr string) (*channel, error) {
	c.mu.Lock()
	if list := c.idle[addr]; len(list) > 0 {
		ch := list[len(list)-1]
		c.idle[addr] = list[:len(list)-1]
		c.mu.Unlock()
		return ch, nil
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *Clients) keep(addr string, ch *channel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch.used = true
	c.idle[addr] = append(c.idle[addr], ch)
}

// CloseIdle closes all idle channels.
func (c *Clients) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		for _, ch := range list {
			ch.Close()
		}
		delete(c.idle, addr)
	}
}

// Send sends one attempt with a new ID and records what was sent and answered.
func (c *Clients) Send(q Request) Reply {
	reply := Reply{ID: c.newID(), Addr: q.Host, SentAt: c.record.Since()}
	if reply.Addr == "" {
		reply.Addr = c.resolve()
	}
	ch, err := c.open(reply.Addr)
	if err != nil {
		c.mu.Lock()
		c.failed[reply.Addr] = time.Now()
		c.mu.Unlock()
		reply.Err = "no channel"
		c.log(q, reply)
		return reply
	}
	reply.Kept = ch.used
	if q.Deadline == 0 {
		q.Deadline = 3 * time.Second
	}
	ch.SetDeadline(time.Now().Add(q.Deadline + 2*time.Second))
	_, err = ch.Write(encode(reply.ID, q))
	reusable := false
	if err == nil {
		reusable, err = reply.read(ch, q)
	}
	if err != nil {
		reply.Err = strings.ReplaceAll(errorText(err), " ", "-")
	}
	if reusable {
		c.keep(reply.Addr, ch)
	} else {
		ch.Close()
	}
	c.log(q, reply)
	return reply
}

// errorText returns the innermost text of an error, without addresses.
func errorText(err error) string {
	text := err.Error()
	return text[strings.LastIndex(text, ": ")+1:]
}

// encode returns the bytes of a request.
func encode(id string, q Request) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.Method, q.Path, hostName, id, q.Deadline.Milliseconds())
	set := func(name, value string) {
		if value != "" {
			fmt.Fprintf(&b, "%s: %s\r\n", name, value)
		}
	}
	if q.Key != "" {
		set("Authorization", "Bearer "+q.Key)
	}
	set("X-Program-Id", q.Program)
	set("X-Session-Id", q.Session)
	set("X-Previous-Turn", q.Previous)
	if q.Program != "" {
		set("X-Program-Deadline-Ms", "60000")
	}
	if q.Budget > 0 {
		set("X-Token-Budget", strconv.Itoa(q.Budget))
	}
	if q.Tokens > 0 {
		set("X-Model", "m")
		set("X-Token-Usage", fmt.Sprintf("%d,%d", q.Prompt, q.Tokens))
	}
	if q.Method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString("\r\n")
	b.Write(q.Body)
	return b.Bytes()
}

// read reads the answer to a request. It reports whether the channel may be used again.
func (r *Reply) read(ch *channel, q Request) (reusable bool, err error) {
	answer, err := http.ReadResponse(ch.reader, &http.Request{Method: q.Method})
	if err != nil {
		return false, err
	}
	r.Status = answer.StatusCode
	r.Signed = answer.Header.Get("X-Response-Signature") != ""
	if seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil {
		r.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	body, err := io.ReadAll(answer.Body)
	r.Body, r.Complete = string(body), err == nil
	r.Events = strings.Count(r.Body, "data: ")
	return err == nil && !answer.Close, err
}

// log records an attempt.
func (c *Clients) log(q Request, r Reply) {
	c.record.Log("client", map[string]any{"id": r.ID, "at": fmt.Sprintf("%.3f", r.SentAt.Seconds()), "to": r.Addr, "kept": r.Kept, "path": q.Path,
		"program": q.Program, "previous": q.Previous, "bytes": len(q.Body), "status": r.Status, "whole": r.Complete, "events": r.Events, "error": r.Err})
}
