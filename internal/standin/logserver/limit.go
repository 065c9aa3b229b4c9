package logserver

import "time"

// rateLimiter is a token bucket for appends. Its capacity is the number of appends
// that the rate allows in 100 ms, but at least one.
type rateLimiter struct {
	rate, tokens float64
	lastRefill   time.Time
}

// burstSeconds is the bucket's capacity, in seconds of the append rate.
const burstSeconds = 0.1

// newRateLimiter returns a limiter with a full bucket and a rate in appends per
// second.
func newRateLimiter(rate float64, now time.Time) rateLimiter {
	return rateLimiter{rate: rate, tokens: max(1, rate*burstSeconds), lastRefill: now}
}

// allow takes a token and reports whether one was available.
func (l *rateLimiter) allow(now time.Time) bool {
	l.tokens = min(max(1, l.rate*burstSeconds), l.tokens+now.Sub(l.lastRefill).Seconds()*l.rate)
	l.lastRefill = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
