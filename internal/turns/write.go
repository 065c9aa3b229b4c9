package turns

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cowslipgw/internal/event"
	"cowslipgw/internal/storelog"
)

const (
	// appendTimeout limits one append.
	appendTimeout = 1500 * time.Millisecond
	// appendPause is the pause before an append is repeated.
	appendPause = 50 * time.Millisecond
	// appendPauseMax bounds the pause; it delays answers after the store's return.
	appendPauseMax = 250 * time.Millisecond
	// maxBatch bounds the records of one append, in bytes.
	maxBatch = 1 << 20
)

// write appends the unsaved changes of a partition until there are none. One write
// runs for a partition at a time.
func (h *Home) write(p *partition) {
	ctx := context.Background()
	pause := appendPause
	for {
		batch, records, expected := p.takeBatch()
		if len(batch) == 0 {
			return
		}
		end, err := h.append(ctx, p.where, expected, records)
		switch {
		case err == nil:
			p.saved(batch, end)
			pause = appendPause
		case errors.Is(err, storelog.ErrConflict):
			// Another home has written, or an append of this one took effect although its
			// answer was lost. The records decide.
			if err := h.sync(ctx, p); err != nil {
				h.appendFailed(p, err, &pause)
				continue
			}
			p.revalidate(batch)
		default:
			p.noteFailure(batch, errors.Is(err, storelog.ErrUnavailable))
			h.appendFailed(p, err, &pause)
		}
	}
}

// appendFailed notes that the store does not take appends, and sleeps. The pause
// doubles up to appendPauseMax.
func (h *Home) appendFailed(p *partition, err error, pause *time.Duration) {
	if p.trouble() {
		h.events.Log(event.TurnsUnsaved, event.Fields{"partition": p.id, "error": err.Error()})
	}
	time.Sleep(*pause)
	*pause = min(2**pause, appendPauseMax)
}

// takeBatch returns the changes for the next append and the expected end. Without any
// the write has ended.
func (p *partition) takeBatch() ([]*change, []storelog.Record, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropOvertakenLocked()
	var records []storelog.Record
	size := 0
	for _, c := range p.unsaved {
		g := p.programLocked(&c.turn)
		c.ahead = g.nextAhead()
		t := c.turn
		t.Writer, t.Preallocations, t.Forgiven = p.writer, g.preallocations(p.writer, c.ahead), g.forgiven
		value, err := cbor.Marshal(t)
		if err != nil {
			panic("turn cannot be encoded: " + err.Error())
		}
		if size += len(value); size > maxBatch && len(records) > 0 {
			break
		}
		records = append(records, storelog.Record{Key: c.turn.ID, Value: value})
	}
	if len(records) == 0 {
		p.writing = false
		return nil, nil, 0
	}
	batch := p.unsaved[:len(records):len(records)]
	for _, c := range batch {
		c.sent = true
	}
	return batch, records, p.end
}

// noteFailure notes that the append of a batch failed. Refused says that the store did not
// execute it; an earlier append of the same change may still have an unknown outcome.
func (p *partition) noteFailure(batch []*change, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range batch {
		c.unknown = c.unknown || !refused
		c.sent = c.unknown
	}
}

// dropOvertakenLocked ends the changes whose turn has a later state by now. The newest
// record of a turn must be the one with the highest state, since only that one is read
// when the partition is loaded.
func (p *partition) dropOvertakenLocked() {
	for _, c := range p.unsaved {
		if t := p.turns[c.turn.ID]; t != nil && t.State > c.turn.State {
			c.endLocked()
		}
	}
	p.dropDoneLocked()
}

// saved ends the changes of a batch that the store has taken.
func (p *partition) saved(batch []*change, end int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end, p.verified = max(p.end, end), time.Now()
	p.troubled = time.Time{}
	for _, c := range batch {
		c.savedLocked(p)
	}
	p.dropDoneLocked()
}

// savedLocked ends a change that the store has taken.
func (c *change) savedLocked(p *partition) {
	// A change that was read back may stand in the store by an earlier append, which let
	// this home grant less ahead than the last one does.
	g := p.programLocked(&c.turn)
	if !c.ended && !c.readBack {
		g.ahead = c.ahead
	}
	delete(g.open, c.turn.ID)
	c.endLocked()
}

// dropDoneLocked removes the changes that have ended from those to be saved.
func (p *partition) dropDoneLocked() {
	p.unsaved = slices.DeleteFunc(slices.Clone(p.unsaved), func(c *change) bool { return c.ended })
}

// trouble notes that the store does not take appends. It reports whether that is new.
func (p *partition) trouble() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.troubled.IsZero() {
		return false
	}
	p.troubled = time.Now()
	return true
}

// revalidate ends the changes of a batch that turned out to be in the store, checks the
// unsaved reservations against what other homes have written, and withdraws those that
// the budget no longer holds.
func (p *partition) revalidate(batch []*change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range batch {
		if c.readBack {
			c.savedLocked(p)
		}
	}
	for _, c := range p.unsaved {
		g := p.programs[programKey{c.turn.Account, c.turn.Program}]
		if c.ended || c.budget == 0 || g == nil || g.used() <= c.budget {
			continue
		}
		if t := p.turns[c.turn.ID]; t != nil && t.State == Open {
			p.removeLocked(c.turn.ID)
			c.withdrawn = true
			c.endLocked()
		}
	}
	p.dropDoneLocked()
}

// unsavedLocked returns the change of a turn to a state that waits for the store, or nil.
// Hosts repeat a settlement until it is kept, which must not queue it again.
func (p *partition) unsavedLocked(id string, state State) *change {
	for _, c := range p.unsaved {
		if c.turn.ID == id && c.turn.State == state {
			return c
		}
	}
	return nil
}

// noteOwnLocked marks the unsaved change that a record of this home is of. Its append took
// effect although the answer was lost.
func (p *partition) noteOwnLocked(t *Turn) {
	for _, c := range p.unsaved {
		if c.turn.ID == t.ID && c.turn.State == t.State {
			c.readBack = true
		}
	}
}
