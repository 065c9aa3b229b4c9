package host

import (
	"context"
	"sync"
	"time"

	"cowslipgw/internal/event"
)

// freshnessCheckInterval is how often the host checks whether its records are current.
const freshnessCheckInterval = 250 * time.Millisecond

// freshness decides whether the lists are current enough to serve keyed routes. It
// tolerates staleness of up to maxStaleness, so that a single slow read of the log does
// not cause requests to be refused.
type freshness struct {
	logCurrent    func(now time.Time) bool
	listsComplete func() bool
	maxStaleness  time.Duration
	logger        *event.Logger

	mu          sync.Mutex
	lastCurrent time.Time
	everCurrent bool
	refusing    bool
}

// Current reports whether keyed routes may be served.
func (f *freshness) Current() bool {
	now := time.Now()
	current := f.listsComplete() && f.logCurrent(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	if current {
		f.lastCurrent = now
		f.everCurrent = true
	}
	serves := f.everCurrent && now.Sub(f.lastCurrent) <= f.maxStaleness
	f.logChangeLocked(serves)
	return serves
}

// logChangeLocked logs a change between serving and refusing. The caller holds f.mu.
func (f *freshness) logChangeLocked(serves bool) {
	switch {
	case !f.everCurrent || serves == !f.refusing:
		return
	case serves:
		f.logger.Log(event.ListsCurrent, nil)
	default:
		f.logger.Log(event.ListsStale, event.Fields{"last_current_ms": time.Since(f.lastCurrent).Milliseconds()})
	}
	f.refusing = !serves
}

// run calls Current periodically until ctx is done, so that lastCurrent stays recent
// when requests are rare.
func (f *freshness) run(ctx context.Context) {
	ticker := time.NewTicker(freshnessCheckInterval)
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
