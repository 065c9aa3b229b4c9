package quota

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/route"
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

// Admit takes one request off the account's bucket. If it is refused, the duration is
// the time until the account's rate brings the next token to this host.
func (l *Limiter) Admit(account *route.Account) (bool, time.Duration) {
	if account == nil || account.Rate <= 0 {
		return true, 0
	}
	f := fleet{}
	f.known, f.alive = l.counts()
	now := boottime.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucketLocked(hashOf(account.Name))
	if b.rate != account.Rate || b.burst != max(account.Burst, 1) {
		b.limit(account.Rate, max(account.Burst, 1), l.window, now)
	}
	if b.take(now, f) {
		return true, 0
	}
	missing := max(1-b.own, 1-b.level)
	wait := time.Duration(missing / (b.rate * f.part()) * float64(max(f.alive, 1)) * float64(time.Second))
	return false, max(wait, minRetry)
}

// limit sets the rate and burst. A bucket whose past is unknown starts with what the
// bound allows beyond them; a changed one keeps its level within the new burst.
func (b *bucket) limit(rate, burst float64, window time.Duration, now boottime.Instant) {
	if b.rate == 0 {
		b.level = min(burst, startShare*(rate*window.Seconds()+burst)) + b.level
		b.last = now
	}
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

func (l *Limiter) bucketLocked(account uint32) *bucket {
	b := l.buckets[account]
	if b == nil {
		b = &bucket{others: make(map[string]counter)}
		l.buckets[account] = b
	}
	return b
}

// Admitted returns this host's counters for its heartbeat.
func (l *Limiter) Admitted() map[uint32]uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[uint32]uint32, len(l.buckets))
	for account, b := range l.buckets {
		if b.admitted > 0 {
			counts[account] = b.admitted
		}
	}
	return counts
}

// Heard enters the counters of another host.
func (l *Limiter) Heard(host string, incarnation int64, admitted map[uint32]uint32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for account, count := range admitted {
		l.bucketLocked(account).heard(host, incarnation, count)
	}
}
