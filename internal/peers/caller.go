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

// Caller calls other hosts by net/rpc over one kept connection each. A call that gets
// no answer in its time closes the connection, because it may have gone silent.
type Caller struct {
	table *Table

	mu    sync.Mutex
	links map[string]*link
}

// link is the connection to one address.
type link struct {
	mu     sync.Mutex
	client *rpc.Client
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
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if _, answered := call.Error.(rpc.ServerError); call.Error != nil && !answered {
			l.drop(client)
			c.table.Suspect(h.ID)
		}
		return call.Error
	case <-ctx.Done():
		if ctx.Err() == context.DeadlineExceeded {
			l.drop(client)
			c.table.Suspect(h.ID)
		}
		return ctx.Err()
	}
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
	}
	l.mu.Unlock()
	client.Close()
}
