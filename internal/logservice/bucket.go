package logservice

import (
	"context"
	"sync"
	"time"
)

// bucket is a token bucket whose rate changes at run time. It holds tokens for at
// most bucketDepth, so that a host which was idle does not use up the log's limit
// at once.
type bucket struct {
	mu      sync.Mutex
	rate    float64
	tokens  float64
	updated time.Time
}

// bucketDepth is the time whose tokens the bucket holds. It holds one token at least.
const bucketDepth = 250 * time.Millisecond

func newBucket(rate float64) *bucket {
	return &bucket{rate: rate, tokens: 1, updated: time.Now()}
}

// setRate sets the tokens per second.
func (b *bucket) setRate(rate float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillLocked(time.Now())
	b.rate = rate
}

// take waits for a token and takes it. It returns false when ctx ended.
func (b *bucket) take(ctx context.Context) bool {
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

// tryTake takes a token and returns 0, or returns how long to wait for one.
func (b *bucket) tryTake() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refillLocked(time.Now())
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	missing := (1 - b.tokens) / b.rate
	// The wait is bounded so that a raised rate takes effect soon.
	wait := time.Duration(missing * float64(time.Second))
	return min(max(wait, time.Millisecond), bucketDepth)
}

func (b *bucket) refillLocked(now time.Time) {
	limit := max(1, b.rate*bucketDepth.Seconds())
	b.tokens = min(limit, b.tokens+now.Sub(b.updated).Seconds()*b.rate)
	b.updated = now
}
