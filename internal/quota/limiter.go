package quota

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/route"
)

// minRetry is the least time after which a refused caller is told to come back.
const minRetry = 50 * time.Millisecond

// Limiter admits requests of client accounts. Its methods are safe for concurrent use.
type Limiter struct {
	// counts returns the number of known and of live hosts.
	counts func() (known, alive int)
	bound  Bound

	mu      sync.Mutex
	buckets map[uint32]*bucket
}

// NewLimiter returns a limiter.
func NewLimiter(bound Bound, counts func() (known, alive int)) *Limiter {
	return &Limiter{counts: counts, bound: bound, buckets: make(map[uint32]*bucket)}
}

// fleet returns the present size of the fleet.
func (l *Limiter) fleet() fleet {
	known, alive := l.counts()
	return fleet{known: known, alive: alive}
}

// hashOf names an account in heartbeats.
func hashOf(account string) uint32 { return uint32(xxhash.Sum64String(account)) }

// Configure sets the rates of a version of the configuration. Every host follows all
// buckets, so that it knows those that it comes to own.
func (l *Limiter) Configure(table *route.Table) {
	now := boottime.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, account := range table.Accounts() {
		if account.Rate > 0 {
			l.bucketLocked(hashOf(account.Name)).configure(table.Version, account.Rate, max(account.Burst, 1), now)
		}
	}
}

// Take takes one request off a bucket. Owner says that this host decides for the
// bucket; otherwise it keeps to its own share.
func (l *Limiter) Take(args TakeArgs, owner bool) TakeReply {
	f := l.fleet()
	now := boottime.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucketLocked(hashOf(args.Account))
	b.configure(args.Version, args.Rate, args.Burst, now)
	if b.take(now, f, args.Request, owner) {
		return TakeReply{Admitted: true}
	}
	return TakeReply{RetryAfter: max(b.wait(f, args.Request, owner), minRetry)}
}

// GiveBack takes back a request that Take admitted and that did not run. Owner is what
// Take was told.
func (l *Limiter) GiveBack(args TakeArgs, owner bool) {
	f := l.fleet()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bucketLocked(hashOf(args.Account)).giveBack(boottime.Now(), f, args.Request, owner)
}

func (l *Limiter) bucketLocked(account uint32) *bucket {
	b := l.buckets[account]
	if b == nil {
		b = newBucket(l.bound)
		l.buckets[account] = b
	}
	return b
}

// Usage returns this host's counters for its heartbeat.
func (l *Limiter) Usage() map[uint32]peers.Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[uint32]peers.Usage, len(l.buckets))
	for account, b := range l.buckets {
		if b.used.Admitted > 0 {
			counts[account] = b.used
		}
	}
	return counts
}

// Heard enters the counters of another host.
func (l *Limiter) Heard(host string, incarnation int64, usage map[uint32]peers.Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.fleet()
	now := boottime.Now()
	for account, used := range usage {
		b := l.bucketLocked(account)
		b.refill(now, f)
		b.heard(host, incarnation, used)
	}
}
