package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/event"
	"cowslipgw/internal/route"
)

const (
	// minConfigWait is the minimum time that one read of the configuration waits for a
	// change. Each successful read confirms the version in effect.
	minConfigWait = 1000 * time.Millisecond
	// maxConfigWait limits the wait in a large fleet, so that loss of the store is
	// detected.
	maxConfigWait = 1500 * time.Millisecond
	// configRetryDelay is the delay after a failed read.
	configRetryDelay = 100 * time.Millisecond
	// probeTimeout limits a read after the store was lost; a slow store answers sooner than
	// that.
	probeTimeout = 500 * time.Millisecond
	// confirmAge is the age up to which a confirmation counts as current when a request is
	// about to be denied.
	confirmAge = 300 * time.Millisecond
	// confirmWait is how long a denial waits for a confirmation.
	confirmWait = 300 * time.Millisecond
	// keyMargin is a safety margin that is subtracted from the time for which keys may be
	// used without confirmation.
	keyMargin = 400 * time.Millisecond
)

// ConfigSource reads the configuration published by operators.
type ConfigSource interface {
	// Config returns the newest version, or nil if that is the version returned last. It
	// waits up to wait for a change.
	Config(ctx context.Context, wait time.Duration) (*route.Table, error)
}

// ConfigWatcher follows the configuration and holds the version in effect.
type ConfigWatcher struct {
	source    ConfigSource
	hostCount func() int
	onApply   func(*route.Table)
	events    *event.Logger
	freshness atomic.Int64

	table     atomic.Pointer[route.Table]
	confirmed atomic.Int64
	storeLost atomic.Bool

	mu sync.Mutex
	// interrupt cancels the wait of the read in progress; nil if no read waits.
	interrupt context.CancelFunc
	// confirmRequested is set if the next read must not wait for a change.
	confirmRequested bool
	// nextConfirmation is closed and replaced at the end of each successful read.
	nextConfirmation chan struct{}
}

// NewConfigWatcher returns a ConfigWatcher that follows source. Freshness is how long keys
// may be used without confirmation; 0 means without limit. HostCount returns the number of
// hosts that read the configuration; onApply is called with each new version before it takes
// effect.
func NewConfigWatcher(source ConfigSource, freshness time.Duration, hostCount func() int, onApply func(*route.Table), events *event.Logger) *ConfigWatcher {
	c := &ConfigWatcher{source: source, hostCount: hostCount, onApply: onApply, events: events, nextConfirmation: make(chan struct{})}
	c.SetFreshness(freshness)
	return c
}

// SetFreshness sets how long keys may be used without confirmation.
func (c *ConfigWatcher) SetFreshness(freshness time.Duration) { c.freshness.Store(int64(freshness)) }

// confirmedWithin reports whether a version is in effect and was confirmed within
// limit(freshness). If freshness is 0, any version qualifies.
func (c *ConfigWatcher) confirmedWithin(limit func(freshness time.Duration) time.Duration) bool {
	freshness := time.Duration(c.freshness.Load())
	return c.Table() != nil && (freshness == 0 || c.age() < limit(freshness))
}

// Table returns the version in effect, or nil before the first one.
func (c *ConfigWatcher) Table() *route.Table { return c.table.Load() }

// age returns the time since the start of the last read that confirmed the version.
func (c *ConfigWatcher) age() time.Duration {
	return boottime.Since(boottime.Instant(c.confirmed.Load()))
}

// KeysUsable reports whether API keys may be used, that is, whether no key revocation older
// than the freshness can have been missed.
func (c *ConfigWatcher) KeysUsable() bool {
	return c.confirmedWithin(func(f time.Duration) time.Duration { return f - keyMargin })
}

// Fresh reports whether the store confirmed the version within about half of the time for
// which keys may be used. A host that is not fresh directs callers to other hosts.
func (c *ConfigWatcher) Fresh() bool {
	return c.confirmedWithin(func(f time.Duration) time.Duration { return f * 11 / 20 })
}

// Run follows the configuration until ctx ends.
func (c *ConfigWatcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.StoreLost() && c.probe(ctx) {
			continue
		}
		if !c.StoreLost() && c.read(ctx, pollInterval(minConfigWait, maxConfigWait, c.hostCount())) {
			continue
		}
		select {
		case <-time.After(configRetryDelay):
		case <-ctx.Done():
		}
	}
}

// probe performs one read that does not wait for a change, so that recovery of the store is
// detected quickly.
func (c *ConfigWatcher) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.read(ctx, 0)
}

// read performs one read of the configuration. If Confirm requested or interrupted it, it
// does not wait for a change.
func (c *ConfigWatcher) read(ctx context.Context, wait time.Duration) bool {
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	if c.confirmRequested {
		wait = 0
	}
	c.confirmRequested = false
	if wait > 0 {
		c.interrupt = cancel
	}
	c.mu.Unlock()
	start := boottime.Now()
	table, err := c.source.Config(waiting, wait)
	c.mu.Lock()
	c.interrupt = nil
	c.mu.Unlock()
	if err != nil {
		if waiting.Err() != nil && ctx.Err() == nil {
			return true // interrupted by Confirm; the next read does not wait
		}
		if ctx.Err() == nil && !c.storeLost.Swap(true) {
			c.events.Log(event.StoreUnreachable, event.Fields{"error": err.Error(), "age_ms": c.age().Milliseconds()})
		}
		return false
	}
	if c.storeLost.Swap(false) {
		c.events.Log(event.StoreRecovered, event.Fields{"age_ms": c.age().Milliseconds()})
	}
	if old := c.table.Load(); table != nil && (old == nil || table.Version > old.Version) {
		c.onApply(table)
		c.table.Store(table)
		c.events.Log(event.ConfigApplied, event.Fields{"version": table.Version})
	}
	c.confirmed.Store(int64(start))
	c.mu.Lock()
	close(c.nextConfirmation)
	c.nextConfirmation = make(chan struct{})
	c.mu.Unlock()
	return true
}

// StoreLost reports whether the last read failed.
func (c *ConfigWatcher) StoreLost() bool { return c.storeLost.Load() }

// Confirm waits up to confirmWait until the version has been confirmed within the last
// confirmAge. It interrupts a read that waits for a change. It reports whether the
// confirmation arrived.
func (c *ConfigWatcher) Confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	for c.age() >= confirmAge {
		c.mu.Lock()
		confirmation := c.nextConfirmation
		if c.interrupt != nil {
			c.confirmRequested = true
			c.interrupt()
			c.interrupt = nil
		}
		c.mu.Unlock()
		select {
		case <-confirmation:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
