package turns

import "time"

const (
	// maxDeferral is how long the settlement of a turn that no other can continue may wait for
	// further changes of its partition, so that one append stores them all. It is less than the
	// time within which an owner replies to a call, minOwnerTimeout less replyMargin.
	maxDeferral = 250 * time.Millisecond
	// maxDeferred is the number of pending changes of a partition at which they are written.
	// Their records, which have no contents, take some 300 bytes each.
	maxDeferred = 64
)

// canDeferLocked reports whether the settlement of a turn, which has been queued, may wait. Nobody
// waits for the record of a closed turn: its reservation is in the store or covered by a recorded
// preallocation, so that without the record the budget looks more used than it is. The record is
// written at once if the program's next turn would otherwise have to wait for one, or runs at another
// owner, which knows the settlement only by its record.
func (o *Owner) canDeferLocked(p *partition, t Turn) bool {
	if t.State != Closed || o.stopping.Load() || len(p.pending) >= maxDeferred {
		return false
	}
	g := p.programLocked(&t)
	return !g.released && !g.needsRecord()
}

// deferWriteLocked starts a write of the pending changes after maxDeferral, unless one is in
// progress or due sooner.
func (o *Owner) deferWriteLocked(p *partition) {
	if !p.writing && p.deferral == nil {
		p.deferral = time.AfterFunc(maxDeferral, func() { o.endDeferral(p) })
	}
}

// endDeferral starts a write of the deferred changes.
func (o *Owner) endDeferral(p *partition) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o.startWriteLocked(p)
}

// Flush writes the deferred changes of all partitions, ends the deferral of further ones, and gives
// back the preallocations. It is called when the host drains.
func (o *Owner) Flush() {
	o.stopping.Store(true)
	for _, p := range o.partitions {
		p.mu.Lock()
		p.draining = true
		o.giveBackLocked(p, time.Now(), 0)
		o.startWriteLocked(p)
		p.mu.Unlock()
	}
}
