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
	reading   sync.Mutex
	lost      atomic.Bool
	// urgent ends the wait of the read under way.
	urgent atomic.Pointer[context.CancelFunc]
}

// NewConfig returns a follower of source. Freshness is how long keys may be used
// without confirmation; 0 means for ever. Hosts returns the number of hosts that read the
// configuration; applied is called with each new version before it is in force.
func NewConfig(source ConfigSource, freshness time.Duration, hosts func() int, applied func(*route.Table), events *event.Logger) *Config {
	c := &Config{source: source, hosts: hosts, applied: applied, events: events}
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

// read performs one read. Reads are serialized.
func (c *Config) read(ctx context.Context, wait time.Duration) bool {
	c.reading.Lock()
	defer c.reading.Unlock()
	start := boottime.Now()
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	if wait > 0 {
		c.urgent.Store(&cancel)
	}
	table, err := c.source.Config(waiting, wait)
	c.urgent.Store(nil)
	if err != nil {
		if waiting.Err() != nil && ctx.Err() == nil {
			return true // ended for a confirmation, which reads again
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
	return true
}

// Lost reports whether the last read failed.
func (c *Config) Lost() bool { return c.lost.Load() }

// Confirm waits a little for a confirmation that began after the call, or lately.
func (c *Config) Confirm(ctx context.Context) bool {
	if c.age() < confirmAge {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	if cancel := c.urgent.Load(); cancel != nil {
		(*cancel)()
	}
	done := make(chan bool, 1)
	go func() {
		c.reading.Lock()
		recent := c.age() < confirmAge
		c.reading.Unlock()
		done <- recent || c.read(ctx, 0)
	}()
	select {
	case ok := <-done:
		return ok
	case <-ctx.Done():
		return false
	}
}
