package gateway

import (
	"context"
	"sync"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/guard"
	"cowslipgw/internal/quarantine"
	"cowslipgw/internal/relay"
	"cowslipgw/internal/replica"
)

const (
	// crashCheckDelay is the time in which the connections of a crashed replica break, before the
	// replica is checked.
	crashCheckDelay = 30 * time.Millisecond
	// crashCheckTimeout limits the check.
	crashCheckTimeout = 600 * time.Millisecond
)

// crashDetector tells crashes of replicas from other causes of broken connections: a crashed
// replica accepts no new connection of any host.
type crashDetector struct {
	sender *relay.Sender
	table  *quarantine.Table
	events *event.Logger

	mu sync.Mutex
	// pending holds the requests that broke off by replica, until it is checked.
	pending map[replica.Record][]quarantine.Request
}

func newCrashDetector(sender *relay.Sender, table *quarantine.Table, events *event.Logger) *crashDetector {
	return &crashDetector{sender: sender, table: table, events: events, pending: make(map[replica.Record][]quarantine.Request)}
}

// runOf returns the fields of a record that identify one incarnation of a replica.
func runOf(r replica.Record) replica.Record {
	return replica.Record{ID: r.ID, Born: r.Born, Addr: r.Addr, Domain: r.Domain}
}

// broken records that a request broke off at a replica.
func (c *crashDetector) broken(r replica.Record, q quarantine.Request) {
	key := runOf(r)
	c.mu.Lock()
	defer c.mu.Unlock()
	checking := len(c.pending[key]) > 0
	c.pending[key] = append(c.pending[key], q)
	if !checking {
		time.AfterFunc(crashCheckDelay, func() { guard.Run(c.events, "crash check", func() { c.check(key) }) })
	}
}

// check checks whether a replica at which requests broke off can be reached.
func (c *crashDetector) check(r replica.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if c.isPending(r) && !c.sender.Reachable(ctx, r) {
		c.unreachable(r)
	}
	c.take(r)
}

// unreachable records that a replica accepts no connection, and reports the requests that broke
// off there.
func (c *crashDetector) unreachable(r replica.Record) {
	requests := c.take(runOf(r))
	if len(requests) == 0 {
		return
	}
	digests := make([]string, len(requests))
	for n, q := range requests {
		digests[n] = q.Exact.String()
	}
	c.events.Log(event.ReplicaCrashed, event.Fields{"replica": r.ID, "addr": r.Addr, "digests": digests})
	c.table.Crashed(r.ID, r.Born, requests)
}

func (c *crashDetector) isPending(r replica.Record) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending[r]) > 0
}

// take removes and returns the requests that broke off at a replica.
func (c *crashDetector) take(r replica.Record) []quarantine.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	requests := c.pending[r]
	delete(c.pending, r)
	return requests
}

// breakOff records that the request broke off at a replica.
func (x *exchange) breakOff(r replica.Record) {
	x.brokenAt = append(x.brokenAt, r)
	x.g.crashes.broken(r, x.digest())
}

// mayTryAnother reports whether another replica may be tried after the request broke off: not if
// the request seems to be what ends them.
func (x *exchange) mayTryAnother() bool {
	if len(x.brokenAt) > maxCrashes {
		for _, r := range x.brokenAt {
			x.g.crashes.check(runOf(r))
		}
	}
	return len(x.brokenAt) == 0 || x.g.quarantine.Crashes(x.digest()) <= maxCrashes
}

// completed records that a replica ran the request to the end.
func (x *exchange) completed() {
	if x.g.quarantine.HasSuspects() {
		x.g.quarantine.Completed(x.digest())
	}
}
