package turns

import (
	"context"
	"time"
)

// End settles a turn. Any number of hosts may be lost at once, so a turn that is held only in the
// memory of hosts does not count as stored.
func (o *Owner) End(ctx context.Context, t Turn) EndReply {
	p := o.partitions[PartitionOf(t.Account, t.Program)]
	if !o.ensureLoaded(ctx, p) {
		return EndReply{}
	}
	c, reply := o.settle(p, t)
	if c == nil {
		return reply
	}
	select {
	case <-c.done:
	case <-ctx.Done():
		return EndReply{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return EndReply{Kept: !c.rejected, Rejected: c.rejected}
}

// settle queues the settlement of a turn, in pieces if it is too long for one record. It returns
// the change that is stored last, or the reply if there is nothing to store.
func (o *Owner) settle(p *partition, t Turn) (*change, EndReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loaded {
		return nil, EndReply{}
	}
	if c := p.pendingLocked(t.ID, t.State); c != nil {
		return c, EndReply{}
	}
	known := p.turns[t.ID]
	if known != nil && known.State >= t.State {
		return nil, EndReply{Kept: true}
	}
	if size := int64(len(t.Input) + len(t.Output)); size > shortContents && o.held.Load()+size > int64(o.limits.ContentBytes) {
		// The store does not keep up. The host holds the turn until there is room.
		return nil, EndReply{}
	}
	p.programLocked(&t).activeAt = time.Now()
	var last *change
	for piece := range Pieces(t, nil, o.limits.pieceBytes()) {
		piece.offset = -1
		last = &change{turn: piece, hadRecord: known != nil, done: make(chan struct{})}
		o.enqueueLocked(p, last)
	}
	if o.canDeferLocked(p, t) {
		o.deferWriteLocked(p)
	} else {
		o.startWriteLocked(p)
	}
	return last, EndReply{}
}
