package peers

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/samber/oops"
)

// dialTimeout limits a new connection to another host, which is one or two
// milliseconds away.
const dialTimeout = 150 * time.Millisecond

// silentAfter is how long no call may be answered before a connection with calls under
// way counts as silent. Hosts with little processor time take tens of milliseconds.
const silentAfter = 200 * time.Millisecond

// silentMemory is how long calls without an answer count together.
const silentMemory = time.Second

// Caller calls other hosts by net/rpc over one kept connection each. A connection on
// which no call is answered for a while is closed, because it may have gone silent.
type Caller struct {
	table *Table

	mu    sync.Mutex
	links map[string]*link
}

// link is the connection to one address.
type link struct {
	mu     sync.Mutex
	client *rpc.Client
	// waiting is the number of calls under way, and quiet the time since which none was
	// answered.
	waiting int
	quiet   time.Time
}

// NewCaller returns a caller that marks hosts in table as suspect when calls fail.
func NewCaller(table *Table) *Caller {
	return &Caller{table: table, links: make(map[string]*link)}
}

// Call calls method at h. An error other than rpc.ServerError says nothing about
// whether the call was executed.
func (c *Caller) Call(ctx context.Context, h Host, method string, args, reply any) error {
	c.mu.Lock()
	l := c.links[h.Addr]
	if l == nil {
		l = &link{}
		c.links[h.Addr] = l
	}
	c.mu.Unlock()
	client, err := l.connect(ctx, h.Addr)
	if err != nil {
		c.table.Suspect(h.ID)
		return oops.With("host", h.ID).Wrapf(err, "connect to host")
	}
	l.begin()
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		_, refused := call.Error.(rpc.ServerError)
		answered := call.Error == nil || refused
		l.end(answered)
		if !answered {
			l.drop(client)
			c.table.Suspect(h.ID)
		}
		return call.Error
	case <-ctx.Done():
		if l.end(false) && ctx.Err() == context.DeadlineExceeded {
			l.drop(client)
			c.table.Suspect(h.ID)
		}
		return ctx.Err()
	}
}

// begin notes the start of a call.
func (l *link) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	// A silence from long before this call proves nothing: its answer may have come late.
	if l.waiting == 0 && now.Sub(l.quiet) > silentMemory {
		l.quiet = now
	}
	l.waiting++
}

// end notes the end of a call. It reports whether no call was answered for so long that
// the connection counts as silent. Calls that follow each other without an answer count
// as one silence.
func (l *link) end(answered bool) (silent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting--
	if answered {
		l.quiet = time.Time{}
		if l.waiting > 0 {
			l.quiet = time.Now()
		}
		return false
	}
	return time.Since(l.quiet) >= silentAfter
}

// connect returns the kept connection or opens one.
func (l *link) connect(ctx context.Context, addr string) (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		return l.client, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	l.client = rpc.NewClient(conn)
	return l.client, nil
}

// drop closes a connection that failed, if it is still the kept one.
func (l *link) drop(client *rpc.Client) {
	l.mu.Lock()
	if l.client == client {
		l.client = nil
		l.quiet = time.Time{}
	}
	l.mu.Unlock()
	client.Close()
}
