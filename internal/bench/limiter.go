package bench

import (
	"time"
)

// limiter enforces the accounts' rate limits.
type limiter interface {
	// admit takes one token for a call at a host, or returns the time after which to
	// retry. It may call onDecision after it has returned.
	admit(account, host int, onDecision func(admitted bool, retryAfter time.Duration))
	// responseDelay is the time that a decision takes to reach the host.
	responseDelay() time.Duration
}

// bucket is a token bucket.
type bucket struct {
	rate, burst, level float64
	updatedAt          time.Duration
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, level: burst}
}

// refill adds the tokens that have accrued since the last update.
func (b *bucket) refill(now time.Duration) {
	b.level = min(b.burst, b.level+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
}

// take takes one token, or returns the time until one is available.
func (b *bucket) take(now time.Duration) (bool, time.Duration) {
	b.refill(now)
	if b.level < 1 {
		return false, time.Duration((1 - b.level) / b.rate * float64(time.Second))
	}
	b.level--
	return true, 0
}

// fixedShareLimiter is the baseline rate limiter: each host enforces a fixed share of
// every account's rate and burst.
type fixedShareLimiter struct {
	now   func() time.Duration
	hosts [][]*bucket
}

func newFixedShareLimiter(limits []accountLimit, hosts int, now func() time.Duration) *fixedShareLimiter {
	l := &fixedShareLimiter{now: now}
	for range hosts {
		var shares []*bucket
		for _, limit := range limits {
			burst := max(1, float64(limit.burst)/float64(hosts))
			shares = append(shares, newBucket(limit.rate/float64(hosts), burst))
		}
		l.hosts = append(l.hosts, shares)
	}
	return l
}

func (l *fixedShareLimiter) admit(account, host int, onDecision func(bool, time.Duration)) {
	onDecision(l.hosts[host][account].take(l.now()))
}

// responseDelay returns 0, since hosts decide locally.
func (l *fixedShareLimiter) responseDelay() time.Duration { return 0 }

// referenceLimiter replays the decisions of a run against exact fleet-wide token
// buckets and counts the wrong refusals.
type referenceLimiter struct {
	buckets                          []*bucket
	requests, refused, wrongRefusals int
}

func newReferenceLimiter(limits []accountLimit) *referenceLimiter {
	r := &referenceLimiter{}
	for _, limit := range limits {
		r.buckets = append(r.buckets, newBucket(limit.rate, float64(limit.burst)))
	}
	return r
}

// observe records a decision that was taken responseDelay ago and reaches the host
// now. A refusal is wrong if the fleet's bucket had a token when the decision was
// taken; tokens that accrued while the answer was in transit could not have been
// granted.
func (r *referenceLimiter) observe(account int, admitted bool, now, responseDelay time.Duration) {
	r.requests++
	b := r.buckets[account]
	b.refill(now)
	if admitted {
		b.level--
		return
	}
	r.refused++
	if b.level-b.rate*responseDelay.Seconds() >= 1 {
		r.wrongRefusals++
	}
}
