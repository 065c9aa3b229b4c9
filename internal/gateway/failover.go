package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"cowslipgw/internal/guard"
	"cowslipgw/internal/replica"
	"cowslipgw/internal/route"
)

// minFirstByteTimeout is the minimum time that an idempotent request waits for the first byte
// before another replica is tried.
const minFirstByteTimeout = 250 * time.Millisecond

// failover finds another replica for a request whose replica sends no first byte in time. Without
// another one, the request keeps its replica, which may only be late.
type failover struct {
	giveUp func()
	cancel context.CancelFunc
	timer  *time.Timer

	mu    sync.Mutex
	ended bool
	// lease is that of the other replica; nil if the attempt was not given up.
	lease *replica.Lease
}

// startFailover begins to wait for the first byte of an attempt. GiveUp ends the attempt. It
// returns nil if no other replica may be tried after it.
func (x *exchange) startFailover(ctx context.Context, q replica.Query, giveUp func()) *failover {
	if x.route.Kind != route.Safe || x.attempts+1 >= x.route.MaxAttempts {
		return nil
	}
	q.Exclude = maps.Clone(q.Exclude)
	interval := max(minFirstByteTimeout, 2*x.route.LatencyTarget)
	ctx, cancel := context.WithCancel(ctx)
	f := &failover{giveUp: giveUp, cancel: cancel}
	f.timer = time.AfterFunc(interval, func() {
		guard.Run(x.g.events, "failover", func() { f.run(ctx, interval, func() (*replica.Lease, error) { return x.acquire(ctx, q) }) })
	})
	return f
}

// takeNext returns the lease of the replica that takes over, or acquires one.
func (x *exchange) takeNext(ctx context.Context, q replica.Query) (*replica.Lease, error) {
	if lease := x.next; lease != nil {
		x.next = nil
		return lease, nil
	}
	return x.acquire(ctx, q)
}

// releaseNext ends the lease of a replica that takes over and is not tried.
func (x *exchange) releaseNext() {
	if x.next != nil {
		x.next.Done(replica.NotSent, 1)
		x.next = nil
	}
}

// run acquires another replica, again after each interval, until ctx ends.
func (f *failover) run(ctx context.Context, interval time.Duration, acquire func() (*replica.Lease, error)) {
	for ctx.Err() == nil {
		if lease, err := acquire(); err == nil {
			f.moveTo(lease)
			return
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
}

// moveTo gives the attempt up unless it has ended.
func (f *failover) moveTo(lease *replica.Lease) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		lease.Done(replica.NotSent, 1)
		return
	}
	f.lease = lease
	f.giveUp()
}

// end ends the wait. It returns the lease of the replica to try next if the attempt was given up,
// and nil otherwise.
func (f *failover) end() *replica.Lease {
	if f == nil {
		return nil
	}
	f.timer.Stop()
	f.cancel()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	return f.lease
}
