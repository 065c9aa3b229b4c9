package host

import (
	"context"
	"sync"
	"time"

	"cowslipgw/internal/event"
)

// freshnessCheck is how often the host looks whether its records are current.
const freshnessCheck = 250 * time.Millisecond

// freshness says whether keyed routes may be served. It bridges the time for which a
// host may be stale, so that one slow read of the log refuses nobody.
type freshness struct {
	current  func(now time.Time) bool
	complete func() bool
	stale    time.Duration
	logger   *event.Logger

	mu      sync.Mutex
	last    time.Time
	seen    bool
	refused bool
}

// Current reports whether keyed routes may be served.
func (f *freshness) Current() bool {
	now := time.Now()
	current := f.complete() && f.current(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if current {
		f.last = now
		f.seen = true
	}
	serves := f.seen && now.Sub(f.last) <= f.stale
	f.noteLocked(serves)
	return serves
}

// noteLocked logs a change. f.mu is held.
func (f *freshness) noteLocked(serves bool) {
	switch {
	case !f.seen || serves == !f.refused:
		return
	case serves:
		f.logger.Log(event.ListsCurrent, nil)
	default:
		f.logger.Log(event.ListsStale, event.Fields{"last_current_ms": time.Since(f.last).Milliseconds()})
	}
	f.refused = !serves
}

// run looks regularly until ctx ends, so that the time of the last look is known when
// requests are rare.
func (f *freshness) run(ctx context.Context) {
	ticker := time.NewTicker(freshnessCheck)
	defer ticker.Stop()
	for {
		f.Current()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
