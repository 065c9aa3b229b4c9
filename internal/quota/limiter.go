package quota

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/peers"
)

// minRetry is the least time after which a refused caller is told to come back.
const minRetry = 50 * time.Millisecond

// Limiter admits requests of client accounts. Its methods are safe for concurrent use.
type Limiter struct {
	// counts returns the number of known and of live hosts.
	counts func() (known, alive int)
	// window is the time over which the bound on an account counts.
	window time.Duration

	mu      sync.Mutex
	buckets map[uint32]*bucket
}

// NewLimiter returns a limiter.
func NewLimiter(window time.Duration, counts func() (known, alive int)) *Limiter {
	return &Limiter{counts: counts, window: window, buckets: make(map[uint32]*bucket)}
}

// hashOf names an account in heartbeats.
func hashOf(account string) uint32 { return uint32(xxhash.Sum64String(account)) }

// Take takes one request off a bucket. Owner says that this host decides for the
// bucket; otherwise it keeps to its own share.
func (l *Limiter) Take(args TakeArgs, owner bool) TakeReply {
	f := fleet{}
	f.known, f.alive = l.counts()
	now := boottime.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucketLocked(hashOf(args.Account))
	if args.Version >= b.version && (b.rate != args.Rate || b.burst != args.Burst) {
		b.limit(args.Rate, args.Burst, l.window.Seconds(), now)
	}
	b.version = max(b.version, args.Version)
	if b.take(now, f, args.Request, owner) {
		return TakeReply{Admitted: true}
	}
	return TakeReply{RetryAfter: max(b.wait(f, args.Request, owner), minRetry)}
}

func (l *Limiter) bucketLocked(account uint32) *bucket {
	b := l.buckets[account]
	if b == nil {
		b = &bucket{others: make(map[string]counter)}
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
	for account, used := range usage {
		l.bucketLocked(account).heard(host, incarnation, used)
	}
}
