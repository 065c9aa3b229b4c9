package balance

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/replica"
)

const (
	// assignTimeout limits one call to a service's owner, which is one or two milliseconds away and
	// decides immediately.
	assignTimeout = 50 * time.Millisecond
	// endDelay is how long the end of a request waits for others, or for the next request, to be
	// reported with them.
	endDelay = 20 * time.Millisecond
	// pauseAfterFailure is how long a host chooses by itself after the owner could not be asked.
	pauseAfterFailure = 500 * time.Millisecond
	// busyShare is the share of a service's slots in use from which its owner assigns requests. Below
	// it nearly every replica has a free slot.
	busyShare = 0.4
)

var (
	assigned         = metrics.NewCounter("cowslipgw_balance_assigned_total")
	ownerUnreachable = metrics.NewCounter("cowslipgw_balance_owner_unreachable_total")
)

// Client asks the owners of busy services for replicas.
type Client struct {
	hosts    peers.Hosts
	caller   peers.Calls
	owner    *Owner
	replicas *replica.Set

	mu sync.Mutex
	// ends holds what is to be reported, by service.
	ends map[string][]End
	// pausedUntil is when a service's owner is asked again.
	pausedUntil map[string]boottime.Instant
}

// NewClient returns a client. Owner holds the pools of this host.
func NewClient(hosts peers.Hosts, caller peers.Calls, owner *Owner, replicas *replica.Set) *Client {
	return &Client{hosts: hosts, caller: caller, owner: owner, replicas: replicas, ends: make(map[string][]End),
		pausedUntil: make(map[string]boottime.Instant)}
}

// Assign sets the replica that the owner of the service assigns to a request, if the service is busy
// and its owner answers in time.
func (c *Client) Assign(ctx context.Context, q *replica.Query) {
	owners := c.hosts.StorelessCandidates(xxhash.Sum64String(q.Service), 1)
	if len(owners) == 0 || c.replicas.BusyShare(q.Service) < busyShare || c.isPaused(q.Service) {
		return
	}
	self := c.hosts.Self()
	r := Request{ID: rand.Uint64(), Host: self.ID, Domain: self.Domain, Gain: q.Gain}
	r.Prefer, r.Exclude = c.replicas.AssignmentHints(*q)
	var hash uint32
	if owners[0].ID == self.ID {
		hash = c.owner.Assign(q.Service, r)
	} else {
		var err error
		if hash, err = c.ask(ctx, owners[0], q.Service, r); err != nil {
			if ctx.Err() == nil {
				ownerUnreachable.Inc()
				c.pause(q.Service)
			}
			return
		}
	}
	if hash == 0 {
		return
	}
	assigned.Inc()
	service := q.Service
	q.Assigned = hash
	q.Ended = func(pace float64) { c.end(service, End{ID: r.ID, PacePercent: uint16(min(100*pace, 60000))}) }
}

// ask calls the owner of a service.
func (c *Client) ask(ctx context.Context, owner peers.Host, service string, r Request) (uint32, error) {
	ctx, cancel := context.WithTimeout(ctx, assignTimeout)
	defer cancel()
	var reply AssignReply
	err := c.caller.Call(ctx, owner, ServiceName+".Assign", AssignArgs{Service: service, Request: r, Ends: c.takeEnds(service)}, &reply)
	return reply.Replica, err
}

func (c *Client) isPaused(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return boottime.Now() < c.pausedUntil[service]
}

func (c *Client) pause(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pausedUntil[service] = boottime.Now().Add(pauseAfterFailure)
}

// takeEnds returns the ends to report to the owner of a service.
func (c *Client) takeEnds(service string) []End {
	c.mu.Lock()
	defer c.mu.Unlock()
	ends := c.ends[service]
	delete(c.ends, service)
	return ends
}

// end reports the end of a request a little later, with others.
func (c *Client) end(service string, e End) {
	c.mu.Lock()
	first := len(c.ends[service]) == 0
	c.ends[service] = append(c.ends[service], e)
	c.mu.Unlock()
	if first {
		time.AfterFunc(endDelay, func() { c.reportEnds(service) })
	}
}

// reportEnds reports the ends that no request has taken along. If they are lost, the owner drops the
// assignments later.
func (c *Client) reportEnds(service string) {
	ends := c.takeEnds(service)
	owners := c.hosts.StorelessCandidates(xxhash.Sum64String(service), 1)
	switch {
	case len(ends) == 0 || len(owners) == 0:
	case owners[0].ID == c.hosts.Self().ID:
		c.owner.End(service, ends)
	default:
		ctx, cancel := context.WithTimeout(context.Background(), assignTimeout)
		defer cancel()
		if err := c.caller.Call(ctx, owners[0], ServiceName+".End", EndArgs{Service: service, Ends: ends}, &EndReply{}); err != nil {
			ownerUnreachable.Inc()
		}
	}
}
