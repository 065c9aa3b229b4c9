package peers

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/samber/oops"
)

// dialTimeout limits opening a connection to another host. The network delay to it is one
// or two milliseconds.
const dialTimeout = 150 * time.Millisecond

// unresponsiveAfter is the time without any answer after which a connection with calls in
// flight counts as unresponsive. Hosts with little processor time need tens of
// milliseconds for an answer.
const unresponsiveAfter = 200 * time.Millisecond

// maxUnansweredAge is the age after which earlier unanswered calls no longer count against
// a connection that was idle.
const maxUnansweredAge = time.Second

// Caller calls other hosts with net/rpc over one persistent connection to each. It closes
// a connection on which no call is answered for some time, because the other end may be
// unreachable.
type Caller struct {
	table  *Table
	dialer *net.Dialer

	mu    sync.Mutex
	links map[string]*link
}

// link is the connection to one address.
type link struct {
	mu     sync.Mutex
	client *rpc.Client
	// inFlight is the number of calls in flight. unansweredSince is the time since which
	// no call has been answered.
	inFlight        int
	unansweredSince time.Time
}

// NewCaller returns a caller that marks hosts in table as suspect when calls to them fail.
func NewCaller(table *Table) *Caller {
	dialer := NewDialer(table.Self())
	dialer.Timeout = dialTimeout
	return &Caller{table: table, dialer: dialer, links: make(map[string]*link)}
}

// Call calls method on h. After an error other than rpc.ServerError it is unknown whether
// the call was executed.
func (c *Caller) Call(ctx context.Context, h Host, method string, args, reply any) error {
	c.mu.Lock()
	l := c.links[h.Addr]
	if l == nil {
		l = &link{}
		c.links[h.Addr] = l
	}
	c.mu.Unlock()
	client, err := l.connect(ctx, c.dialer, h.Addr)
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

// begin records the start of a call.
func (l *link) begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	// Calls that stayed unanswered long before this one do not count: their answers may
	// have arrived late.
	if l.inFlight == 0 && now.Sub(l.unansweredSince) > maxUnansweredAge {
		l.unansweredSince = now
	}
	l.inFlight++
}

// end records the end of a call. It reports whether no call has been answered for so long
// that the connection counts as unresponsive. Consecutive calls without an answer count as
// one period.
func (l *link) end(answered bool) (unresponsive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
	if answered {
		l.unansweredSince = time.Time{}
		if l.inFlight > 0 {
			l.unansweredSince = time.Now()
		}
		return false
	}
	return time.Since(l.unansweredSince) >= unresponsiveAfter
}

// connect returns the open connection, or opens one.
func (l *link) connect(ctx context.Context, dialer *net.Dialer, addr string) (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client != nil {
		return l.client, nil
	}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	l.client = rpc.NewClientWithCodec(newCodec(conn))
	return l.client, nil
}

// drop closes a failed connection, and removes it from the link if it is still the
// current one.
func (l *link) drop(client *rpc.Client) {
	l.mu.Lock()
	if l.client == client {
		l.client = nil
		l.unansweredSince = time.Time{}
	}
	l.mu.Unlock()
	client.Close()
}
