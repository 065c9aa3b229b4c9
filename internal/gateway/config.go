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
	// configWait is how long one read of the configuration waits for a change. Each
	// read confirms the version in force.
	configWait = 1000 * time.Millisecond
	// configWaitMax bounds the wait in a large fleet, so that a lost store is noticed.
	configWaitMax = 1500 * time.Millisecond
	// configPause is the pause after a failed read.
	configPause = 100 * time.Millisecond
	// probeTimeout limits a read of a store that was lost; a slow one answers in less.
	probeTimeout = 500 * time.Millisecond
	// confirmAge is the age up to which a confirmation is taken for present when a
	// request is about to be denied.
	confirmAge = 300 * time.Millisecond
	// confirmWait is how long a denial waits for a confirmation.
	confirmWait = 300 * time.Millisecond
	// keyMargin is kept free of the time that keys may be used without confirmation.
	keyMargin = 400 * time.Millisecond
)

// ConfigSource reads the operators' configuration.
type ConfigSource interface {
	// Config returns the newest version, or nil if it is the one that was returned
	// last. It waits up to wait for a change.
	Config(ctx context.Context, wait time.Duration) (*route.Table, error)
}

// Config follows the configuration in force.
type Config struct {
	source    ConfigSource
	hosts     func() int
	applied   func(*route.Table)
	events    *event.Logger
	freshness atomic.Int64

	table     atomic.Pointer[route.Table]
	confirmed atomic.Int64
	lost      atomic.Bool

	mu sync.Mutex
	// interrupt ends the wait of the read under way; nil if it does not wait.
	interrupt context.CancelFunc
	// wanted says that the next read is not to wait for a change.
	wanted bool
	// renewed is closed and replaced at the end of each read that succeeds.
	renewed chan struct{}
}

// NewConfig returns a follower of source. Freshness is how long keys may be used
// without confirmation; 0 means for ever. Hosts returns the number of hosts that read the
// configuration; applied is called with each new version before it is in force.
func NewConfig(source ConfigSource, freshness time.Duration, hosts func() int, applied func(*route.Table), events *event.Logger) *Config {
	c := &Config{source: source, hosts: hosts, applied: applied, events: events, renewed: make(chan struct{})}
	c.SetFreshness(freshness)
	return c
}

// SetFreshness changes how long keys may be used without confirmation.
func (c *Config) SetFreshness(freshness time.Duration) { c.freshness.Store(int64(freshness)) }

// within reports whether the version was confirmed in a part of the freshness.
func (c *Config) within(limit func(freshness time.Duration) time.Duration) bool {
	freshness := time.Duration(c.freshness.Load())
	return c.Table() != nil && (freshness == 0 || c.age() < limit(freshness))
}

// Table returns the version in force, or nil before the first.
func (c *Config) Table() *route.Table { return c.table.Load() }

// age is the time since the start of the last read that confirmed the version.
func (c *Config) age() time.Duration {
	return boottime.Since(boottime.Instant(c.confirmed.Load()))
}

// KeysUsable reports whether keys may be used: no withdrawal older than the freshness
// can have been missed.
func (c *Config) KeysUsable() bool {
	return c.within(func(f time.Duration) time.Duration { return f - keyMargin })
}

// Fresh reports whether the store confirmed the version in about half of the time
// that keys may be used. A host that is not fresh sends callers elsewhere.
func (c *Config) Fresh() bool {
	return c.within(func(f time.Duration) time.Duration { return f * 11 / 20 })
}

// Run follows the configuration until ctx ends.
func (c *Config) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if c.Lost() && c.probe(ctx) {
			continue
		}
		if !c.Lost() && c.read(ctx, pace(configWait, configWaitMax, c.hosts())) {
			continue
		}
		select {
		case <-time.After(configPause):
		case <-ctx.Done():
		}
	}
}

// probe performs one read that does not wait for a change, so that the return of a
// silent store is noticed soon.
func (c *Config) probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return c.read(ctx, 0)
}

// read performs one read. A read that Confirm asks for, or that it interrupts, does not
// wait for a change.
func (c *Config) read(ctx context.Context, wait time.Duration) bool {
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	if c.wanted {
		wait = 0
	}
	c.wanted = false
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
			return true // ended for a confirmation; the next read does not wait
		}
		if ctx.Err() == nil && !c.lost.Swap(true) {
			c.events.Log(event.StoreLost, event.Fields{"error": err.Error(), "age_ms": c.age().Milliseconds()})
		}
		return false
	}
	if c.lost.Swap(false) {
		c.events.Log(event.StoreRegained, event.Fields{"age_ms": c.age().Milliseconds()})
	}
	if old := c.table.Load(); table != nil && (old == nil || table.Version > old.Version) {
		c.applied(table)
		c.table.Store(table)
		c.events.Log(event.ConfigApplied, event.Fields{"version": table.Version})
	}
	c.confirmed.Store(int64(start))
	c.mu.Lock()
	close(c.renewed)
	c.renewed = make(chan struct{})
	c.mu.Unlock()
	return true
}

// Lost reports whether the last read failed.
func (c *Config) Lost() bool { return c.lost.Load() }

// Confirm waits a little for a confirmation that began after the call, or lately.
func (c *Config) Confirm(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	for c.age() >= confirmAge {
		c.mu.Lock()
		renewed := c.renewed
		if c.interrupt != nil {
			c.wanted = true
			c.interrupt()
			c.interrupt = nil
		}
		c.mu.Unlock()
		select {
		case <-renewed:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
