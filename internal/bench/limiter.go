package bench

import (
	"time"
)

// limiter decides whether an account's call is within its rate.
type limiter interface {
	// admit takes one token for a call at a host, or says when to try again. The decision
	// may come later.
	admit(account, host int, decided func(admitted bool, retryAfter time.Duration))
	// travel is how long a decision takes to reach the host.
	travel() time.Duration
}

// bucket is a token bucket.
type bucket struct {
	rate, burst, level float64
	at                 time.Duration
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, level: burst}
}

// refill brings the level up to date.
func (b *bucket) refill(now time.Duration) {
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
}

// take takes one token, or says when there is one.
func (b *bucket) take(now time.Duration) (bool, time.Duration) {
	b.refill(now)
	if b.level < 1 {
		return false, time.Duration((1 - b.level) / b.rate * float64(time.Second))
	}
	b.level--
	return true, 0
}

// shareLimiter is the baseline for rates: each host has a fixed share of every
// account's rate and burst.
type shareLimiter struct {
	now   func() time.Duration
	hosts [][]*bucket
}

func newShareLimiter(limits []accountLimit, hosts int, now func() time.Duration) *shareLimiter {
	l := &shareLimiter{now: now}
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

func (l *shareLimiter) admit(account, host int, decided func(bool, time.Duration)) {
	decided(l.hosts[host][account].take(l.now()))
}

// travel is 0, since the host decides.
func (l *shareLimiter) travel() time.Duration { return 0 }

// recount follows the decisions of a run with exact buckets over the whole fleet
// and counts the refusals that were wrong.
type recount struct {
	buckets                  []*bucket
	requests, refused, wrong int
}

func newRecount(limits []accountLimit) *recount {
	r := &recount{}
	for _, limit := range limits {
		r.buckets = append(r.buckets, newBucket(limit.rate, float64(limit.burst)))
	}
	return r
}

// observe adds one decision that the host learns now and that was taken a travel time
// before. Refusing is wrong when the fleet's bucket had a token at the time of the
// decision: what came in while the answer travelled could not be granted.
func (r *recount) observe(account int, admitted bool, now, travel time.Duration) {
	r.requests++
	b := r.buckets[account]
	b.refill(now)
	if admitted {
		b.level--
		return
	}
	r.refused++
	if b.level-b.rate*travel.Seconds() >= 1 {
		r.wrong++
	}
}
