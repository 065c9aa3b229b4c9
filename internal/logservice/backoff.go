package logservice

import (
	"context"
	"math/rand/v2"
	"time"
)

// Limits of the wait between attempts. The first wait is short, since a single lost
// answer is the most frequent fault; the longest one bounds how late a host notices
// that an outage has ended.
const (
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 2 * time.Second
)

// backoff is the wait between attempts, with jitter so that hosts do not return
// from an outage at the same moment. The zero value is ready for use.
type backoff struct {
	next time.Duration
}

// pause waits before the next attempt. It returns false when ctx ended.
func (b *backoff) pause(ctx context.Context) bool {
	b.next = min(max(b.next*2, firstBackoff), longestBackoff)
	wait := b.next/2 + rand.N(b.next/2)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// reset starts again with the shortest wait.
func (b *backoff) reset() { b.next = 0 }
