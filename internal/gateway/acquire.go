package gateway

import (
	"context"
	"time"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/event"
	"cowslipgw/internal/pacing"
	"cowslipgw/internal/replica"
)

const (
	// maxPreferredWait is how long a request waits for the replica that suits it best before
	// another one is tried.
	maxPreferredWait = 20 * time.Millisecond
	// maxLimitWait is how long a request of a running program waits for a replica if all
	// have a rate limit. A rejection would cost the caller one of few retries, and then the
	// whole program.
	maxLimitWait = 300 * time.Millisecond
	// maxGrantAge is how long after its time a request may be sent to a replica with a rate limit.
	maxGrantAge = 500 * time.Millisecond
)

// limitedError is returned if the replicas accept no further request for some time.
type limitedError struct{ retryAfter time.Duration }

// Error implements error.
func (limitedError) Error() string { return "replicas accept no more requests at present" }

// acquire returns a lease on a replica that accepts the request now. If all replicas have a rate
// limit, it waits for the one that accepts a request first.
func (x *exchange) acquire(ctx context.Context, q replica.Query) (*replica.Lease, error) {
	for lease := x.chooseAssigned(ctx, q); lease != nil; lease = x.g.replicas.Choose(q) {
		if _, ok := x.reserve(ctx, lease, maxPreferredWait); ok {
			return x.checkedLease(ctx, lease)
		}
	}
	q.Paused = true
	lease := x.g.replicas.Choose(q)
	if lease == nil {
		return nil, errNoReplica
	}
	maxWait := maxLimitWait
	if x.startsProgram {
		// What the replicas accept serves the programs that run.
		maxWait = 0
	}
	if wait, ok := x.reserve(ctx, lease, min(maxWait, time.Until(x.deadline)-minAttemptTime)); !ok {
		return nil, limitedError{wait}
	}
	return x.checkedLease(ctx, lease)
}

// chooseAssigned returns a lease on the replica that the owner of the service assigns or, without one,
// that this host chooses; nil if there is none.
func (x *exchange) chooseAssigned(ctx context.Context, q replica.Query) *replica.Lease {
	if x.g.balancer != nil && x.coordinated && q.Only == "" {
		x.g.balancer.Assign(ctx, &q)
	}
	lease := x.g.replicas.Choose(q)
	if q.Ended != nil && (lease == nil || !lease.IsAssigned()) {
		q.Ended(0)
	}
	return lease
}

// checkedLease returns the lease of an attempt that may be sent, unless ctx ended while it
// waited.
func (x *exchange) checkedLease(ctx context.Context, lease *replica.Lease) (*replica.Lease, error) {
	if ctx.Err() != nil {
		lease.Done(replica.NotSent, 1)
		return nil, context.Cause(ctx)
	}
	return lease, nil
}

// reserve waits until the leased replica accepts the request. If that takes longer than maxWait,
// it ends the lease and returns the time.
func (x *exchange) reserve(ctx context.Context, lease *replica.Lease, maxWait time.Duration) (wait time.Duration, ok bool) {
	for {
		asked := boottime.Now()
		wait, ok = x.reserveOnce(ctx, lease, maxWait)
		// A host that was paused meanwhile must not send what was due long ago.
		if !ok || boottime.Since(asked) <= wait+maxGrantAge {
			return wait, ok
		}
	}
}

// reserveOnce is reserve for a host that is not paused.
func (x *exchange) reserveOnce(ctx context.Context, lease *replica.Lease, maxWait time.Duration) (wait time.Duration, ok bool) {
	limit, age := lease.Limit()
	if !limit.Limited {
		return 0, true
	}
	record := lease.Record()
	reply := x.g.pacing.Reserve(ctx, pacing.ReserveArgs{Replica: pacing.Replica{ID: record.ID, Incarnation: record.Born},
		PerSecond: limit.PerSecond, Age: age, MaxWait: maxWait})
	lease.LearnLimit(reply.PerSecond, reply.Age)
	if !reply.Granted {
		x.g.events.Log(event.ReplicaAtLimit, event.Fields{"request": x.call.ID, "replica": record.ID,
			"per_second": reply.PerSecond, "wait_ms": reply.Wait.Milliseconds(), "max_wait_ms": maxWait.Milliseconds()})
		lease.Pause(reply.Wait)
		return reply.Wait, false
	}
	lease.Delay(reply.Wait)
	if reply.Wait > 0 {
		select {
		case <-time.After(reply.Wait):
		case <-ctx.Done():
		}
	}
	return reply.Wait, true
}
