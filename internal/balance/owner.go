package balance

import (
	"sync"
	"time"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/replica"
)

const (
	// sweepInterval is the interval at which assignments without an end are dropped.
	sweepInterval = 200 * time.Millisecond
	// takeoverTime is the time after the first assignment of an owner in which it also counts the
	// requests that the hosts report to have in flight: an earlier owner has assigned them.
	takeoverTime = time.Second
)

// Reports is what the hosts report to have in flight; see admission.Owner.
type Reports interface {
	// AtReplicas returns the number of requests in flight by the hash of the replica.
	AtReplicas(service string) map[uint32]int
	// Heard reports whether a host has reported on a service lately.
	Heard(service, host string) bool
}

// Owner holds the pools of the services that this host owns. Its methods are safe for concurrent use.
// Its mutex is held while those of replica.Set and of the reports are acquired.
type Owner struct {
	replicas *replica.Set
	reports  Reports
	now      func() boottime.Instant

	mu    sync.Mutex
	pools map[string]*ownedPool
}

// ownedPool is a pool, when it was first and last used, and when it was swept.
type ownedPool struct {
	*Pool
	since, usedAt, sweptAt boottime.Instant
}

// NewOwner returns an owner without pools.
func NewOwner(replicas *replica.Set, reports Reports) *Owner {
	return &Owner{replicas: replicas, reports: reports, now: boottime.Now, pools: make(map[string]*ownedPool)}
}

// Assign returns the hash of the replica for a request, or 0 if there is none.
func (o *Owner) Assign(service string, r Request) uint32 {
	candidates := o.replicas.Candidates(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.now()
	p := o.pools[service]
	if p == nil || now.Sub(p.usedAt) > assignmentLifetime {
		p = &ownedPool{Pool: NewPool(), since: now}
		o.pools[service] = p
	}
	p.usedAt = now
	if now.Sub(p.sweptAt) >= sweepInterval {
		p.sweptAt = now
		p.Sweep(now, func(host string) bool { return o.reports.Heard(service, host) })
	}
	var reported map[uint32]int
	if now.Sub(p.since) < takeoverTime {
		reported = o.reports.AtReplicas(service)
	}
	return p.Assign(now, r, candidates, func(hash uint32) int { return reported[hash] })
}

// End records the ends of assigned requests.
func (o *Owner) End(service string, ends []End) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pools[service]
	if p == nil {
		return
	}
	now := o.now()
	for _, e := range ends {
		p.Answered(now, e.ID, float64(e.PacePercent)/100)
	}
}
