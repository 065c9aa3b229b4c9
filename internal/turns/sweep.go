package turns

import (
	"context"
	"errors"
	"time"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/event"
	"cowslipgw/internal/storelog"
)

const (
	// sweepInterval is the interval between two sweeps for expired turns.
	sweepInterval = 2 * time.Second
	// sweepBatch is the number of turns at which one sweep of a partition stops
	// collecting.
	sweepBatch = 200
	// unloadDelay is how long a partition stays loaded after this host was its first candidate.
	// Partitions move back and forth while a host is slow.
	unloadDelay = 30 * time.Second
)

// Sweep removes expired turns until ctx ends. Owns reports whether this host is the first
// candidate for a partition. That host deletes the turns from the store; others unload the
// partition.
func (o *Owner) Sweep(ctx context.Context, owns func(partition int) bool) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(sweepInterval):
		}
		o.copies.expire(boottime.Now())
		for _, p := range o.partitions {
			if !owns(p.id) {
				p.unloadExpired(time.Now())
				continue
			}
			p.markOwned(time.Now())
			if err := o.sweepPartition(ctx, p); err != nil {
				o.events.Log(event.TurnsSweepFailed, event.Fields{"partition": p.id, "error": err.Error()})
				break // The store would probably keep the other partitions waiting, too.
			}
		}
	}
}

// sweepPartition deletes expired turns from the store. The append is conditional: if another
// owner has written since the last read, the programs may have gone on there. A later sweep
// decides again.
func (o *Owner) sweepPartition(ctx context.Context, p *partition) error {
	expired, end := p.beginRemoval(time.Now())
	if len(expired) == 0 {
		return nil
	}
	defer o.endRemoval(p)
	records := make([]storelog.Record, len(expired))
	for i, id := range expired {
		records[i] = storelog.Record{Key: id}
	}
	appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	newEnd, err := o.log.Append(appendCtx, p.logPartition, end, records)
	switch {
	case errors.Is(err, storelog.ErrConflict):
		return o.sync(ctx, p)
	case err != nil:
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end, p.verifiedAt = max(p.end, newEnd), time.Now()
	for _, id := range expired {
		p.removeLocked(id)
	}
	return nil
}

// beginRemoval returns the expired turns and the expected end of the partition, and keeps
// writes waiting until endRemoval. It returns no turns if a write is in progress.
func (p *partition) beginRemoval(now time.Time) ([]string, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loaded || p.writing {
		return nil, 0
	}
	p.dropEmptyProgramsLocked(now)
	expired := p.expiredLocked(now, sweepBatch)
	p.writing = len(expired) > 0
	return expired, p.end
}

// endRemoval writes the changes that were queued since beginRemoval.
func (o *Owner) endRemoval(p *partition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writing = len(p.pending) > 0
	if p.writing {
		go o.startWrite(p)
	}
}

// markOwned records that this host is the first candidate for the partition.
func (p *partition) markOwned(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ownedAt = now
}

// unloadExpired unloads the partition if some of its programs have expired as far as this
// host knows. They may have gone on at the owner, so that dropping only them would leave
// programs without their first turns when the partition returns.
func (p *partition) unloadExpired(now time.Time) {
	if !p.loadMu.TryLock() {
		return
	}
	defer p.loadMu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropEmptyProgramsLocked(now)
	isIdle := !p.writing && len(p.pending) == 0 && now.Sub(p.ownedAt) >= unloadDelay
	if p.loaded && isIdle && len(p.expiredLocked(now, 1)) > 0 {
		p.unloadLocked()
	}
}
