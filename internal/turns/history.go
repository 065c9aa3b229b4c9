package turns

import (
	"context"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"cowslipgw/internal/event"
	"cowslipgw/internal/storelog"
)

// maxFetches is the number of turns whose contents are read from the store concurrently for one
// history.
const maxFetches = 4

// step is one turn of a history.
type step struct {
	turn string
	// offset is that of the turn's record, or -1 if it is not known.
	offset int64
	size   int
}

// path is the sequence of turns whose contents are a history, oldest first.
type path []step

// size returns the length of the history in bytes.
func (h path) size() int {
	total := 0
	for _, s := range h {
		total += s.size
	}
	return total
}

// pathLocked returns a turn and its ancestors, or false if one of them is missing.
func (p *partition) pathLocked(t *Turn) (path, bool) {
	var steps path
	for {
		steps = append(steps, step{turn: t.ID, offset: t.offset, size: t.size})
		if t.Parent == "" {
			break
		}
		parent := p.turns[t.Parent]
		if parent == nil || parent.State != Ended || len(steps) > len(p.turns) {
			return nil, false
		}
		t = parent
	}
	slices.Reverse(steps)
	return steps, true
}

// history returns up to limit bytes of a history from an offset on; all of the rest if limit is
// 0. What is not in memory is read from the store.
func (o *Owner) history(ctx context.Context, p *partition, h path, from, limit int) ([]byte, error) {
	end := h.size()
	if limit > 0 {
		end = min(end, from+limit)
	}
	wanted, skipped, position := path{}, 0, 0
	for _, s := range h {
		if position+s.size <= from {
			skipped = position + s.size
		} else if position < end {
			wanted = append(wanted, s)
		}
		position += s.size
	}
	parts := make([]content, len(wanted))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxFetches)
	for n, s := range wanted {
		var cached bool
		if parts[n], cached = p.contents.get(contentKey{p.id, s.turn}); cached || s.size == 0 {
			continue
		}
		group.Go(func() (err error) {
			parts[n], err = o.fetch(ctx, p, s)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	all := make(segments, 0, 2*len(parts))
	for _, part := range parts {
		all = append(all, part.input, part.output)
	}
	if all.size() < end-skipped {
		return nil, oops.Errorf("history has %d bytes instead of %d", all.size(), end-skipped)
	}
	all.drop(from - skipped)
	return all.take(max(end-from, 0)), nil
}

// fetch reads the contents of a turn from the store.
func (o *Owner) fetch(ctx context.Context, p *partition, s step) (content, error) {
	var record storelog.Record
	err := storelog.ErrTrimmed
	if s.offset >= 0 {
		record, err = o.log.At(ctx, p.logPartition, s.offset, s.size+recordOverhead)
	}
	if err != nil {
		// Old records are dropped, except the newest of each key.
		if record, err = storelog.Lookup(ctx, o.log, p.logPartition, s.turn); err != nil {
			return content{}, err
		}
	}
	var t Turn
	if err := cbor.Unmarshal(record.Value, &t); err != nil {
		return content{}, oops.Wrapf(err, "decode turn")
	}
	if t.ID != s.turn || t.State != Ended {
		return content{}, oops.Errorf("record at offset %d is not the turn", record.Offset)
	}
	found := content{t.Input, t.Output}
	p.contents.put(contentKey{p.id, s.turn}, found)
	return found, nil
}

// historyFailed logs that the history of a turn could not be read.
func (o *Owner) historyFailed(p *partition, turn string, err error) {
	o.events.Log(event.HistoryUnavailable, event.Fields{"partition": p.id, "turn": turn, "error": err.Error()})
}
