package logservice

import (
	"context"
	"math/rand/v2"
	"time"
)

// Limits of the delay between attempts. The initial delay is short, because a single lost
// answer is the most frequent fault. The maximum bounds how late a host detects the end
// of an outage.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// backoff is an exponential backoff. Its jitter keeps hosts from retrying at the same
// moment after an outage. The zero value is ready to use.
type backoff struct {
	next time.Duration
}

// wait waits until the next attempt is due. It returns false if ctx is done first.
func (b *backoff) wait(ctx context.Context) bool {
	b.next = min(max(b.next*2, initialBackoff), maxBackoff)
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

// reset makes the next delay the initial one.
func (b *backoff) reset() { b.next = 0 }
