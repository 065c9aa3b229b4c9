package turns

import (
	"context"
	"errors"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/storelog"
)

const (
	// loadTimeout limits the load of a partition.
	loadTimeout = 15 * time.Second
	// loadPause is the pause after a load that failed.
	loadPause = 200 * time.Millisecond
	// maxLoads is the number of partitions that a host loads at once. After the loss of
	// all hosts, more would only share the store's bandwidth.
	maxLoads = 2
)

// ensureLoaded waits until the partition is loaded. The load itself goes on when ctx ends:
// callers give up sooner than a large partition is read, and each would begin anew.
func (h *Home) ensureLoaded(ctx context.Context, p *partition) bool {
	p.mu.Lock()
	loaded := p.loaded
	p.mu.Unlock()
	if !loaded {
		select {
		case <-h.startLoad(p):
		case <-ctx.Done():
		}
		p.mu.Lock()
		loaded = p.loaded
		p.mu.Unlock()
	}
	return loaded
}

// startLoad starts the load of a partition unless one is under way. The channel is
// closed at its end.
func (h *Home) startLoad(p *partition) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.loadEnd != nil {
		return p.loadEnd
	}
	end := make(chan struct{})
	if p.loaded {
		close(end)
		return end
	}
	p.loadEnd = end
	go func() {
		h.loads <- struct{}{}
		err := h.load(p)
		<-h.loads
		if err != nil {
			h.events.Log(event.TurnsLoadFailed, event.Fields{"partition": p.id, "error": err.Error()})
			time.Sleep(loadPause)
		}
		p.mu.Lock()
		p.loadEnd = nil
		p.mu.Unlock()
		close(end)
	}()
	return end
}

// load reads the whole partition.
func (h *Home) load(p *partition) error {
	p.loading.Lock()
	defer p.loading.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	end, err := storelog.Load(ctx, h.log, p.where, func(r storelog.Record) { h.apply(p, r) })
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.loaded, p.end, p.verified = true, end, time.Now()
	count := len(p.turns)
	p.mu.Unlock()
	h.events.Log(event.TurnsLoaded, event.Fields{"partition": p.id, "turns": count, "end": end})
	return nil
}

func (h *Home) apply(p *partition, r storelog.Record) {
	if !p.applyRecord(r) {
		h.events.Log(event.TurnRecordInvalid, event.Fields{"partition": p.id, "offset": r.Offset})
	}
}

// sync reads what other homes have appended since the last read.
func (h *Home) sync(ctx context.Context, p *partition) error {
	p.loading.Lock()
	defer p.loading.Unlock()
	p.mu.Lock()
	from := p.end
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	end, err := storelog.Follow(ctx, h.log, p.where, from, func(r storelog.Record) { h.apply(p, r) })
	if errors.Is(err, storelog.ErrTrimmed) {
		end, err = storelog.Load(ctx, h.log, p.where, func(r storelog.Record) { h.apply(p, r) })
	}
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.end, p.verified = max(p.end, end), time.Now()
	p.mu.Unlock()
	return nil
}

// ensureSynced loads the partition or reads its newest records.
func (h *Home) ensureSynced(ctx context.Context, p *partition) bool {
	p.mu.Lock()
	loaded := p.loaded
	p.mu.Unlock()
	if !loaded {
		return h.ensureLoaded(ctx, p)
	}
	return h.sync(ctx, p) == nil
}
