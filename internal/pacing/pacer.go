package pacing

import (
	"math/rand/v2"
	"sync"
	"time"

	"cowslipgw/internal/boottime"
)

const (
	// scheduleLifetime is how long a schedule is kept after its last use.
	scheduleLifetime = 30 * time.Second
	// sharedPart is the part of the rate that hosts may use without the owner of a replica,
	// which other hosts may still reach.
	sharedPart = 0.5
	// shareLifetime is the time after its last use in which a host's share of a rate is not
	// regained.
	shareLifetime = time.Second
	// ownerRetryDelay is how long a host keeps to its share before it asks the owner again.
	ownerRetryDelay = 200 * time.Millisecond
	// minPerSecond replaces lower rates, so that a replica which accepts almost nothing is
	// asked again from time to time.
	minPerSecond = 0.05
	// maxPerSecond replaces higher rates, whose requests would be less than a microsecond apart.
	maxPerSecond = 1e6
)

// paced is what a host knows of one replica.
type paced struct {
	// owned is the schedule of all hosts if this host owns the replica, share that of its own
	// requests while it cannot reach the owner.
	owned, share schedule
	perSecond    float64
	learnedAt    boottime.Instant
}

// Pacer holds the schedules of this host. Its methods are safe for concurrent use.
type Pacer struct {
	// hostCounts returns the number of known and of live hosts.
	hostCounts func() (known, alive int)
	now        func() boottime.Instant

	mu       sync.Mutex
	replicas map[Replica]*paced
	sweptAt  boottime.Instant
}

// NewPacer returns a pacer without schedules. HostCounts returns the number of known and of live
// hosts.
func NewPacer(hostCounts func() (known, alive int)) *Pacer {
	return &Pacer{hostCounts: hostCounts, now: boottime.Now, replicas: make(map[Replica]*paced)}
}

// Reserve assigns a time to a request as the owner of the replica. A host that is alive with a
// minority of the known hosts may be cut off from another owner and uses only their part of the
// rate.
func (p *Pacer) Reserve(args ReserveArgs) ReserveReply {
	known, alive := p.hostCounts()
	part := 1.0
	if 2*alive <= known {
		part = float64(alive) / float64(known)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	r := p.learnLocked(args, now)
	wait, granted := r.owned.reserve(now, r.perSecond*part, args.MaxWait)
	return r.reply(wait, granted, now)
}

// ReserveShare assigns a time to a request of this host without the owner of the replica.
func (p *Pacer) ReserveShare(args ReserveArgs) ReserveReply {
	known, alive := p.hostCounts()
	hosts := max(alive, 1)
	if 2*alive <= known {
		hosts = known
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	r := p.learnLocked(args, now)
	perSecond := sharedPart * r.perSecond / float64(hosts)
	if now.Sub(r.share.usedAt) > shareLifetime {
		// All hosts lose an owner at the same moment and must not send at once.
		r.share.next = now.Add(rand.N(distanceAt(perSecond)))
	}
	wait, granted := r.share.reserve(now, perSecond, args.MaxWait)
	if !granted {
		wait = min(wait, ownerRetryDelay)
	}
	return r.reply(wait, granted, now)
}

// learnLocked returns the entry of a replica, updated with what the caller knows of its rate.
func (p *Pacer) learnLocked(args ReserveArgs, now boottime.Instant) *paced {
	p.sweepLocked(now)
	r := p.replicas[args.Replica]
	if r == nil {
		// Another host may have owned the replica until now, so there is no burst.
		r = &paced{owned: schedule{next: now}}
		p.replicas[args.Replica] = r
	}
	if learned := now.Add(-max(args.Age, 0)); learned >= r.learnedAt {
		r.perSecond, r.learnedAt = minPerSecond, learned
		// The comparison is false for NaN, too.
		if args.PerSecond > minPerSecond {
			r.perSecond = min(args.PerSecond, maxPerSecond)
		}
	}
	return r
}

func (r *paced) reply(wait time.Duration, granted bool, now boottime.Instant) ReserveReply {
	return ReserveReply{Granted: granted, Wait: wait, PerSecond: r.perSecond, Age: now.Sub(r.learnedAt)}
}

// sweepLocked drops the schedules that have not been used for long.
func (p *Pacer) sweepLocked(now boottime.Instant) {
	if now.Sub(p.sweptAt) < scheduleLifetime {
		return
	}
	p.sweptAt = now
	for id, r := range p.replicas {
		if now.Sub(max(r.owned.usedAt, r.share.usedAt)) > scheduleLifetime {
			delete(p.replicas, id)
		}
	}
}
