package turns

import (
	"context"
	"time"
)

// TakeOver resolves what other owners have preallocated for the programs of the partitions that this host owns,
// and stores the result: an owner that drains or its backup may be lost before a program that pauses
// sends its next turn. Owns reports whether this host is the first candidate for a partition.
func (o *Owner) TakeOver(ctx context.Context, owns func(partition int) bool) {
	silent := make(map[int64]bool)
	for _, p := range o.partitions {
		if !owns(p.id) {
			continue
		}
		for _, key := range p.preallocatedElsewhere(silent) {
			if ctx.Err() != nil {
				return
			}
			if o.release(ctx, p, BeginArgs{Account: key.account, Program: key.program}) {
				o.storeTakeOver(p, key)
			} else {
				p.addForeignWriters(key, silent)
			}
		}
	}
}

// preallocatedElsewhere returns the programs for which other owners than the silent ones hold preallocations.
func (p *partition) preallocatedElsewhere(silent map[int64]bool) []programKey {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loaded || !p.failingSince.IsZero() {
		return nil
	}
	var keys []programKey
	for key, g := range p.programs {
		for writer, tokens := range g.foreign {
			if tokens > 0 && !silent[writer] {
				keys = append(keys, key)
				break
			}
		}
	}
	return keys
}

// addForeignWriters adds the other owners that hold preallocations for a program to writers.
func (p *partition) addForeignWriters(key programKey, writers map[int64]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.programs[key]
	if g == nil {
		return
	}
	for writer, tokens := range g.foreign {
		if tokens > 0 {
			writers[writer] = true
		}
	}
}

// storeTakeOver queues a record of a program without the preallocations that were resolved.
func (o *Owner) storeTakeOver(p *partition, key programKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.programs[key]
	if g == nil || g.givingBack || g.expiry < time.Now().UnixMilli() {
		return
	}
	g.givingBack = true
	o.enqueueLocked(p, releaseChange(p, key, g))
	o.deferWriteLocked(p)
}
