package forward

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// dialTimeout limits a new connection; a replica is one or two milliseconds away.
	dialTimeout = 250 * time.Millisecond
	// idleMargin is how long before a replica closes an idle connection the pool stops
	// using it, so that no request crosses the close.
	idleMargin = 500 * time.Millisecond
	// defaultIdle is how long a connection is kept idle if the replica names no limit.
	defaultIdle = 4 * time.Second
	// maxIdle bounds the idle connections to one replica.
	maxIdle = 16
)

var dials = metrics.NewCounter("cowslipgw_upstream_connections_total")

// Pool keeps idle connections to replicas by address and instance.
type Pool struct {
	mu   sync.Mutex
	idle map[target][]*conn
}

// target names a replica's address for one incarnation of it.
type target struct{ addr, instance string }

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: make(map[target][]*conn)} }

// get returns an idle connection that was used lately, or opens one.
func (p *Pool) get(ctx context.Context, t target) (*conn, error) {
	for {
		c := p.pop(t)
		if c == nil {
			break
		}
		if usable(c) {
			return c, nil
		}
		c.Close()
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", t.addr)
	if err != nil {
		return nil, err
	}
	dials.Inc()
	return newConn(raw), nil
}

func usable(c *conn) bool {
	limit := defaultIdle
	if c.idleLimit > 0 {
		limit = c.idleLimit - idleMargin
	}
	return time.Since(c.idleSince) < limit && c.quiet()
}

// pop takes the connection that was used last.
func (p *Pool) pop(t target) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[t]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[t] = list[:len(list)-1]
	return c
}

// put keeps a connection whose last answer was read whole.
func (p *Pool) put(t target, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	list := p.idle[t]
	if len(list) >= maxIdle {
		p.mu.Unlock()
		c.Close()
		return
	}
	p.idle[t] = append(list, c)
	p.mu.Unlock()
}

// discard closes the idle connections to a replica after one of its connections broke:
// a replica that crashed leaves all of them dead, and each would fail another request.
func (p *Pool) discard(t target) {
	p.mu.Lock()
	list := p.idle[t]
	delete(p.idle, t)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Sweep closes connections that have been idle for too long.
func (p *Pool) Sweep() {
	p.mu.Lock()
	var old []*conn
	for t, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if usable(c) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, t)
		} else {
			p.idle[t] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}
