package turns

import (
	"context"
	"errors"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/storelog"
)

const (
	// loadTimeout limits the load of one partition.
	loadTimeout = 15 * time.Second
	// loadRetryDelay is the delay after a failed load.
	loadRetryDelay = 200 * time.Millisecond
	// maxLoads is the number of partitions that a host loads concurrently. After the loss
	// of all hosts, more concurrent loads would only share the store's bandwidth.
	maxLoads = 2
)

// ensureLoaded waits until the partition is loaded. The load continues when ctx ends,
// because callers time out before a large partition is read, and each of them would start
// the load over.
func (o *Owner) ensureLoaded(ctx context.Context, p *partition) bool {
	p.mu.Lock()
	loaded := p.loaded
	p.mu.Unlock()
	if !loaded {
		select {
		case <-o.startLoad(p):
		case <-ctx.Done():
		}
		p.mu.Lock()
		loaded = p.loaded
		p.mu.Unlock()
	}
	return loaded
}

// startLoad starts loading a partition unless a load is in progress. The returned channel
// is closed when the load ends.
func (o *Owner) startLoad(p *partition) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loadDone != nil {
		return p.loadDone
	}
	end := make(chan struct{})
	if p.loaded {
		close(end)
		return end
	}
	p.loadDone = end
	go func() {
		o.loadSlots <- struct{}{}
		err := o.load(p)
		<-o.loadSlots
		if err != nil {
			o.events.Log(event.TurnsLoadFailed, event.Fields{"partition": p.id, "error": err.Error()})
			time.Sleep(loadRetryDelay)
		}
		p.mu.Lock()
		p.loadDone = nil
		p.mu.Unlock()
		close(end)
	}()
	return end
}

// load reads the whole partition from the store.
func (o *Owner) load(p *partition) error {
	p.loadMu.Lock()
	defer p.loadMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	p.mu.Lock()
	p.unloadLocked() // An earlier load may have failed halfway.
	p.mu.Unlock()
	end, err := storelog.Load(ctx, o.log, p.logPartition, func(r storelog.Record) { o.apply(p, r) })
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.loaded, p.end, p.verifiedAt = true, end, time.Now()
	count := len(p.turns)
	p.mu.Unlock()
	o.events.Log(event.TurnsLoaded, event.Fields{"partition": p.id, "turns": count, "end": end})
	return nil
}

func (o *Owner) apply(p *partition, r storelog.Record) {
	if !p.applyRecord(r) {
		o.events.Log(event.TurnRecordInvalid, event.Fields{"partition": p.id, "offset": r.Offset})
	}
}

// errNotLoaded is returned by a read of new records of a partition that was unloaded meanwhile.
var errNotLoaded = errors.New("partition is not loaded")

// sync reads the records that were appended since the last read.
func (o *Owner) sync(ctx context.Context, p *partition) error {
	p.loadMu.Lock()
	defer p.loadMu.Unlock()
	p.mu.Lock()
	from, loaded := p.end, p.loaded
	p.mu.Unlock()
	if !loaded {
		return errNotLoaded
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	end, err := storelog.Follow(ctx, o.log, p.logPartition, from, func(r storelog.Record) { o.apply(p, r) })
	if errors.Is(err, storelog.ErrTrimmed) {
		end, err = storelog.Load(ctx, o.log, p.logPartition, func(r storelog.Record) { o.apply(p, r) })
	}
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.end, p.verifiedAt = max(p.end, end), time.Now()
	p.mu.Unlock()
	return nil
}

// ensureSynced loads the partition if needed and reads its newest records.
func (o *Owner) ensureSynced(ctx context.Context, p *partition) bool {
	// A load that is in progress may have read the newest records before this call began.
	return o.ensureLoaded(ctx, p) && o.sync(ctx, p) == nil
}
