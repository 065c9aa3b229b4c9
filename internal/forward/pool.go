package forward

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// dialTimeout limits opening a connection; the network delay to a replica is one or
	// two milliseconds. Reads that wait for a first byte are given up later.
	dialTimeout = 200 * time.Millisecond
	// idleMargin is how long before the replica's idle timeout the pool stops using a
	// connection, so that no request is sent while the replica closes it.
	idleMargin = 500 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the replica sends no timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxIdlePerReplica is the maximum number of idle connections to one replica.
	maxIdlePerReplica = 16
)

var connectionsOpened = metrics.NewCounter("cowslipgw_upstream_connections_total")

// Pool keeps idle connections to replicas by address and instance. Its methods are safe
// for concurrent use.
type Pool struct {
	dialer Dialer
	mu     sync.Mutex
	idle   map[target][]*conn
	// flights holds the requests in flight by their connections.
	flights map[*conn]Flight
	// lastReads holds the times at which bytes last arrived on connections with a request in flight,
	// by address. It is up to date for those without one.
	lastReads map[string]time.Time
	// lastRead is the time since processStart at which bytes of any replica last arrived.
	lastRead atomic.Int64
}

// Dialer opens connections to replicas. net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// target is the address of one incarnation of a replica.
type target struct{ addr, instance string }

// NewPool returns an empty pool that opens TCP connections.
func NewPool() *Pool { return NewPoolWith(&net.Dialer{KeepAlive: -1}) }

// NewPoolWith returns an empty pool that opens connections with dialer.
func NewPoolWith(dialer Dialer) *Pool {
	return &Pool{dialer: dialer, idle: make(map[target][]*conn), flights: make(map[*conn]Flight),
		lastReads: make(map[string]time.Time)}
}

// get returns a usable idle connection, or opens one.
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
	return p.dial(ctx, t)
}

// Open opens a new connection to a replica, which is kept.
func (p *Pool) Open(ctx context.Context, addr, instance string) error {
	t := target{addr: addr, instance: instance}
	c, err := p.dial(ctx, t)
	if err == nil {
		p.put(t, c)
	}
	return err
}

func (p *Pool) dial(ctx context.Context, t target) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.dialer.DialContext(ctx, "tcp", t.addr)
	if err != nil {
		return nil, err
	}
	connectionsOpened.Inc()
	return newConn(raw, &p.lastRead), nil
}

func usable(c *conn) bool {
	limit := defaultIdleTimeout
	if c.idleTimeout > 0 {
		limit = c.idleTimeout - idleMargin
	}
	return time.Since(c.idleSince) < limit && c.reusable()
}

// pop removes and returns the most recently used connection, or nil if there is none.
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

// put adds a connection whose last answer was read to the end.
func (p *Pool) put(t target, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	list := p.idle[t]
	if len(list) >= maxIdlePerReplica {
		p.mu.Unlock()
		c.Close()
		return
	}
	p.idle[t] = append(list, c)
	p.mu.Unlock()
}

// discard closes the idle connections to a replica after one of its connections failed.
// If the replica crashed, all of them are dead, and each would fail another request.
func (p *Pool) discard(t target) {
	p.mu.Lock()
	list := p.idle[t]
	delete(p.idle, t)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Sweep closes connections that were idle for too long or were closed by the replica.
func (p *Pool) Sweep() {
	p.mu.Lock()
	var expired []*conn
	for t, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if usable(c) {
				kept = append(kept, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, t)
		} else {
			p.idle[t] = kept
		}
	}
	p.forgetReadsLocked(time.Now())
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}
