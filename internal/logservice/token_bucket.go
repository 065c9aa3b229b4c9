package logservice

import (
	"context"
	"sync"
	"time"
)

// tokenBucket is a token bucket rate limiter whose rate can change at run time. Its
// capacity is the number of tokens that accrue in burstWindow, so that a host does not
// exhaust the limit of the log in one burst after it was idle.
type tokenBucket struct {
	mu      sync.Mutex
	rate    float64
	tokens  float64
	updated time.Time
}

// burstWindow is the time whose tokens a bucket can hold. A bucket can hold at least one
// token.
const burstWindow = 250 * time.Millisecond

func newTokenBucket(rate float64) *tokenBucket {
	return &tokenBucket{rate: rate, tokens: 1, updated: time.Now()}
}

// setRate sets the tokens per second.
func (b *tokenBucket) setRate(rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillLocked(time.Now())
	b.rate = rate
}

// take waits for a token and takes it. It returns false if ctx is done first.
func (b *tokenBucket) take(ctx context.Context) bool {
	for {
		wait := b.tryTake()
		if wait == 0 {
			return true
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
		}
	}
}

// tryTake takes a token and returns 0. If there is none, it returns how long to wait
// before the next try.
func (b *tokenBucket) tryTake() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillLocked(time.Now())
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	missing := (1 - b.tokens) / b.rate
	// The wait is bounded so that an increase of the rate takes effect soon.
	wait := time.Duration(missing * float64(time.Second))
	return min(max(wait, time.Millisecond), burstWindow)
}

// refillLocked adds the tokens that have accrued since the last update.
func (b *tokenBucket) refillLocked(now time.Time) {
	limit := max(1, b.rate*burstWindow.Seconds())
	b.tokens = min(limit, b.tokens+now.Sub(b.updated).Seconds()*b.rate)
	b.updated = now
}
