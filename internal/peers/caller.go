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

// maxUnansweredAge is the time from the end of an unanswered call to the start of another one
// after which the first no longer counts against the connection.
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
	// lastAnswer is the time of the last answer on the connection.
	lastAnswer time.Time
	// unansweredSince is the time from which calls that ended without an answer have waited,
	// if no call has been answered since; zero if there is no such call. lastUnanswered is the
	// time at which the last of them ended. A call in flight does not count until it ends: it
	// may take long at a host that works.
	unansweredSince, lastUnanswered time.Time
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
	start := time.Now()
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		_, refused := call.Error.(rpc.ServerError)
		answered := call.Error == nil || refused
		if answered {
			l.recordAnswer()
		} else {
			l.drop(client)
			c.table.Suspect(h.ID)
		}
		return call.Error
	case <-ctx.Done():
		if l.recordUnanswered(start, endOf(ctx)) && ctx.Err() == context.DeadlineExceeded {
			l.drop(client)
			c.table.Suspect(h.ID)
		}
		return ctx.Err()
	}
}

// recordAnswer records that a call was answered.
func (l *link) recordAnswer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAnswer = time.Now()
	l.unansweredSince = time.Time{}
}

// endOf returns when ctx ended. A process that was paused or short of processor time may learn of
// an expired deadline late; the delay says nothing about the other host.
func endOf(ctx context.Context) time.Time {
	now := time.Now()
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(now) {
		return deadline
	}
	return now
}

// recordUnanswered records a call that began at start and had no answer at end. It reports
// whether such calls have waited for so long that the connection counts as unresponsive.
// Consecutive calls without an answer count as one period.
func (l *link) recordUnanswered(start, end time.Time) (unresponsive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if start.Before(l.lastAnswer) {
		start = l.lastAnswer
	}
	// The answers to calls that ended long ago may have arrived late.
	isOld := start.Sub(l.lastUnanswered) > maxUnansweredAge
	if l.unansweredSince.IsZero() || isOld || start.Before(l.unansweredSince) {
		l.unansweredSince = start
	}
	l.lastUnanswered = end
	return end.Sub(l.unansweredSince) >= unresponsiveAfter
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
