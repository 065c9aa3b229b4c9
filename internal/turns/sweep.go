package turns

import (
	"context"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/storelog"
)

const (
	// sweepInterval is the interval between two sweeps for expired turns.
	sweepInterval = 2 * time.Second
	// sweepBatch is the number of turns at which one sweep of a partition stops
	// collecting.
	sweepBatch = 200
)

// Sweep removes expired turns until ctx ends. Owns reports whether this host is the first
// candidate for a partition; only that host deletes the turns from the store, others drop
// them from memory.
func (o *Owner) Sweep(ctx context.Context, owns func(partition int) bool) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(sweepInterval):
		}
		for _, p := range o.partitions {
			o.sweepPartition(ctx, p, owns)
		}
	}
}

func (o *Owner) sweepPartition(ctx context.Context, p *partition, owns func(int) bool) {
	now := time.Now()
	p.mu.Lock()
	var expired []string
	if p.loaded {
		expired = p.expiredLocked(now, sweepBatch)
	}
	p.mu.Unlock()
	if len(expired) == 0 {
		return
	}
	if !owns(p.id) {
		p.mu.Lock()
		for _, id := range expired {
			p.removeLocked(id)
		}
		p.mu.Unlock()
		return
	}
	records := make([]storelog.Record, len(expired))
	for i, id := range expired {
		records[i] = storelog.Record{Key: id}
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	// Reading the records back removes the turns from memory; a failed append is retried by
	// the next sweep.
	if _, err := o.log.Append(ctx, p.logPartition, storelog.AnyEnd, records); err == nil {
		if err := o.sync(ctx, p); err != nil {
			o.events.Log(event.TurnsLoadFailed, event.Fields{"partition": p.id, "error": err.Error()})
		}
	}
}
