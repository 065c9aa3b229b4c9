package turns

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/event"
	"cowslipgw/internal/guard"
	"cowslipgw/internal/storelog"
)

const (
	// appendTimeout limits one append.
	appendTimeout = 1500 * time.Millisecond
	// minAppendBackoff is the delay before the first retry of an append.
	minAppendBackoff = 50 * time.Millisecond
	// maxAppendBackoff limits the delay, which also delays answers after the store has
	// recovered.
	maxAppendBackoff = 250 * time.Millisecond
)

// write appends the pending changes of a partition until none are left. At most one write
// runs per partition.
func (o *Owner) write(p *partition) {
	ctx := context.Background()
	backoff := minAppendBackoff
	for {
		batch, records, expected := o.takeBatch(p, o.limits.batchBytes())
		if len(batch) == 0 {
			return
		}
		end, err := o.append(ctx, p.logPartition, expected, records)
		switch {
		case err == nil:
			o.markSaved(p, batch, end)
			backoff = minAppendBackoff
		case errors.Is(err, storelog.ErrConflict):
			// Another owner has written, or an append of this owner took effect although
			// its answer was lost. The records read back tell which.
			if err := o.sync(ctx, p); err != nil {
				o.appendFailed(p, err, &backoff)
				continue
			}
			p.revalidate(batch)
		case errors.Is(err, storelog.ErrRejected):
			o.recordFailure(p, batch, true)
			o.reject(p, batch, err)
		default:
			o.recordFailure(p, batch, errors.Is(err, storelog.ErrUnavailable))
			o.appendFailed(p, err, &backoff)
		}
	}
}

// startWrite runs write. After a panic, the next change starts another write.
func (o *Owner) startWrite(p *partition) {
	err := guard.Call(o.events, "turn writer", func() error {
		o.write(p)
		return nil
	})
	if err != nil {
		p.mu.Lock()
		p.writing = false
		p.mu.Unlock()
	}
}

// appendFailed records that appends to the partition fail, logs the first failure, and
// sleeps. The delay doubles up to maxAppendBackoff.
func (o *Owner) appendFailed(p *partition, err error, backoff *time.Duration) {
	if p.markFailing() {
		o.events.Log(event.TurnsAppendFailed, event.Fields{"partition": p.id, "error": err.Error()})
	}
	time.Sleep(*backoff)
	*backoff = min(2**backoff, maxAppendBackoff)
}

// takeBatch returns the changes for the next append, whose records have up to maxBytes in total,
// and the expected end offset. If there are none, it marks the write as ended.
func (o *Owner) takeBatch(p *partition, maxBytes int) ([]*change, []storelog.Record, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropSupersededLocked()
	var records []storelog.Record
	size := 0
	// recorded holds the tokens of turns that were granted without a record and have one now.
	recorded := make(map[*program]int)
	for _, c := range p.pending {
		g := p.programLocked(&c.turn)
		if p.draining || c.isLast {
			recorded[g] += g.unrecorded[c.turn.ID]
			c.preallocation = g.lastPreallocation(recorded[g])
		} else {
			c.preallocation = g.nextPreallocation()
		}
		if c.backup = o.chooseBackupLocked(p, g); c.backup != g.backup {
			// Grants are copied to the backup of the stored record.
			g.endPreallocation()
		}
		p.convertLocked(g, c)
		t := c.turn
		t.Session, t.Granter, t.Reserved = "", 0, 0
		t.Writer, t.Preallocations, t.Forgiven = p.writer, g.preallocations(p.writer, c.preallocation), g.forgiven
		t.Backups = g.backups(p.writer, c.backup, t.Preallocations)
		value, err := cbor.Marshal(t)
		if err != nil {
			panic("turn cannot be encoded: " + err.Error())
		}
		if size += len(value) + len(c.turn.ID); len(records) > 0 && (size > maxBytes || p.singles > 0) {
			break
		}
		records = append(records, storelog.Record{Key: c.turn.ID, Value: value})
	}
	if len(records) == 0 {
		p.writing = false
		return nil, nil, 0
	}
	batch := p.pending[:len(records):len(records)]
	for _, c := range batch {
		c.sent = true
	}
	return batch, records, p.end
}

// recordFailure records that the append of a batch failed. Refused is set if the store did
// not execute it; an earlier append of the same change may still have an unknown outcome.
func (o *Owner) recordFailure(p *partition, batch []*change, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range batch {
		c.unknown = c.unknown || !refused
		c.sent = c.unknown
	}
	o.withdrawReleasesLocked(p, batch)
}

// dropSupersededLocked completes the changes whose turn has reached a later state. The
// newest record of a turn must be the one with the highest state, since only that one is
// read when the partition is loaded.
func (p *partition) dropSupersededLocked() {
	for _, c := range p.pending {
		if t := p.turns[c.turn.ID]; t != nil && t.State > c.turn.State {
			c.completeLocked()
		}
	}
	p.dropCompletedLocked()
}

// markSaved completes the changes of a batch that was stored.
func (o *Owner) markSaved(p *partition, batch []*change, end int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end, p.verifiedAt = max(p.end, end), time.Now()
	p.failingSince = time.Time{}
	p.singles = max(p.singles-1, 0)
	first := end - int64(len(batch))
	for n, c := range batch {
		if t := p.turns[c.turn.ID]; t != nil && t.State == c.turn.State {
			t.offset = first + int64(n)
		}
		c.markSavedLocked(p)
	}
	p.dropCompletedLocked()
	o.watchIdleLocked(p, idleDelay)
}

// markSavedLocked completes a change that was stored.
func (c *change) markSavedLocked(p *partition) {
	// A change that was read back may have been stored by an earlier append, whose record
	// contains a smaller preallocation than that of the last append.
	g := p.programLocked(&c.turn)
	if !c.completed && !c.readBack {
		g.preallocation, g.recorded = c.preallocation, c.preallocation
		g.backup, g.recordedAt = c.backup, boottime.Now()
	}
	if c.isRelease {
		g.givingBack = false
	}
	delete(g.unrecorded, c.turn.ID)
	c.completeLocked()
}

// dropCompletedLocked removes the completed changes from pending.
func (p *partition) dropCompletedLocked() {
	p.pending = slices.DeleteFunc(slices.Clone(p.pending), func(c *change) bool { return c.completed })
}

// markFailing records that appends fail. It reports whether they succeeded before.
func (p *partition) markFailing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.failingSince.IsZero() {
		return false
	}
	p.failingSince = time.Now()
	return true
}

// revalidate completes the changes of a batch that were read back from the store, checks
// the pending reservations against the records of other owners, and withdraws those that
// exceed the budget.
func (p *partition) revalidate(batch []*change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range batch {
		if c.readBack {
			c.markSavedLocked(p)
		}
	}
	for _, c := range p.pending {
		g := p.programs[programKey{c.turn.Account, c.turn.Program}]
		if c.completed || c.budget == 0 || g == nil || g.used() <= c.budget {
			continue
		}
		if t := p.turns[c.turn.ID]; t != nil && t.State == Open {
			p.removeLocked(c.turn.ID)
			c.withdrawn = true
			c.completeLocked()
		}
	}
	p.dropCompletedLocked()
}

// pendingLocked returns the pending change of a turn to a state, or nil. Hosts retry a
// settlement until it is stored; a retry must not queue it again.
func (p *partition) pendingLocked(id string, state State) *change {
	for _, c := range p.pending {
		if c.turn.ID == id && c.turn.State == state {
			return c
		}
	}
	return nil
}

// markReadBackLocked marks the pending change that matches a record of this owner. Its
// append took effect although the answer was lost.
func (p *partition) markReadBackLocked(t *Turn) {
	for _, c := range p.pending {
		if c.turn.ID == t.ID && c.turn.State == t.State {
			c.readBack = true
		}
	}
}

// markRecordedElsewhereLocked marks the pending changes of a turn of which another owner has stored a record.
func (p *partition) markRecordedElsewhereLocked(id string) {
	for _, c := range p.pending {
		if c.turn.ID == id {
			c.hadRecord = true
		}
	}
}

// reject handles a batch that the store accepts at no time. If it contains several changes, they
// are written one by one, since the others must not wait behind the rejected one.
func (o *Owner) reject(p *partition, batch []*change, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(batch) > 1 {
		p.singles = len(batch)
		return
	}
	c := batch[0]
	p.singles = max(p.singles-1, 0)
	o.events.Log(event.TurnRejected, event.Fields{"partition": p.id, "turn": c.turn.ID, "state": c.turn.State, "error": err.Error()})
	rejected := turnOf(c.turn.ID)
	for _, other := range slices.Clone(p.pending) {
		if turnOf(other.turn.ID) == rejected && other.turn.State == c.turn.State {
			o.rejectLocked(p, other)
		}
	}
	p.dropCompletedLocked()
}

// rejectLocked gives a change up. The tokens of an ended turn still count, but it cannot be
// continued. If the store rejects that as well, they count at this owner.
func (o *Owner) rejectLocked(p *partition, c *change) {
	t := c.turn
	c.rejected = true
	c.completeLocked()
	if known := p.turns[t.ID]; known != nil && known.State == t.State && t.State != Closed {
		p.removeLocked(t.ID)
	}
	if t.State == Ended && t.ID == turnOf(t.ID) {
		t.State, t.Parent, t.Input, t.Output = Closed, "", nil, nil
		o.enqueueLocked(p, &change{turn: t, done: make(chan struct{}), convertedAt: c.convertedAt, hadRecord: c.hadRecord})
		o.startWriteLocked(p)
	}
}
