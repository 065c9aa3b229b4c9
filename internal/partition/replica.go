package partition

import (
	"sync"

	"cowslipgw/internal/structs"
)

// lineageLength is how many activations a copy remembers.
const lineageLength = 4

// replica is what this host holds of one partition, in any role.
type replica struct {
	id ID

	mu sync.Mutex
	// machine is nil when this host has no copy.
	machine Machine
	// base is the view of the last activation and the last operation applied.
	base Base
	// valid is described at Copy.Valid.
	valid structs.ViewNumber
	// lineage holds the bases from which the copy was activated, the oldest first.
	lineage []Base
	// serving is the view in which this host serves as the owner, or 0.
	serving structs.ViewNumber
	// authoritative means that this host has owned the partition without a break since
	// it had the whole state, so no other host can know more.
	authoritative bool
	// forced means that the copy was restored after a loss and has no equal.
	forced bool
	// pending are the operations after acked, which backups have not acknowledged.
	pending      [][]byte
	pendingBytes int
	acked        uint64
	// replicating means that a goroutine sends the pending operations.
	replicating bool
	// stalled means that the last try to replicate failed.
	stalled bool
	waiters []*waiter
	// changed is closed when waiting proposers should look again.
	changed chan struct{}
}

// waiter is a proposer that waits until an operation is replicated.
type waiter struct {
	base Base
	done chan error
}

func newReplica(id ID) *replica {
	return &replica{id: id, changed: make(chan struct{})}
}

// wakeLocked lets waiting proposers look again.
func (r *replica) wakeLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// stopServingLocked ends the role of owner. Proposers whose operations are not
// replicated wait for the next owner's word.
func (r *replica) stopServingLocked() {
	r.serving = 0
	r.pending = nil
	r.pendingBytes = 0
	r.stalled = false
	r.wakeLocked()
}

// dropLocked forgets the copy.
func (r *replica) dropLocked() {
	r.stopServingLocked()
	r.machine = nil
	r.base = Base{}
	r.valid = 0
	r.lineage = nil
	r.authoritative = false
	r.forced = false
}

// waitLocked adds a waiter for the newest operation.
func (r *replica) waitLocked() *waiter {
	w := &waiter{base: r.base, done: make(chan error, 1)}
	r.waiters = append(r.waiters, w)
	return w
}

// ackLocked says that all backups have the operations up to seq.
func (r *replica) ackLocked(seq uint64) {
	for r.acked < seq && len(r.pending) > 0 {
		r.pendingBytes -= len(r.pending[0])
		r.pending = r.pending[1:]
		r.acked++
	}
	r.acked = max(r.acked, seq)
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if w.base.Activated == r.base.Activated && w.base.Seq <= seq {
			w.done <- nil
			continue
		}
		kept = append(kept, w)
	}
	r.waiters = kept
	r.stalled = false
	r.wakeLocked()
}

// resolveLocked answers waiters after an activation whose state comes from the
// given lineage: it includes an operation, or certainly does not, or that is not
// known any more. Operations of later activations keep waiting.
func (r *replica) resolveLocked(lineage []Base) {
	if len(lineage) == 0 {
		return
	}
	newest := lineage[len(lineage)-1].Activated
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if w.base.Activated > newest {
			kept = append(kept, w)
			continue
		}
		w.done <- includes(lineage, w.base)
	}
	r.waiters = kept
}

// includes returns nil when a state of the lineage includes the operation,
// ErrNotReady when it does not and never will, and ErrUncertain otherwise.
func includes(lineage []Base, op Base) error {
	for _, base := range lineage {
		if base.Activated != op.Activated {
			continue
		}
		if op.Seq <= base.Seq {
			return nil
		}
		return ErrNotReady
	}
	return ErrUncertain
}

// activateLocked makes the copy one that was activated in the view.
func (r *replica) activateLocked(view structs.ViewNumber, lineage []Base) {
	r.base.Activated = view
	r.valid = view
	r.lineage = lineage
}

// extend adds a base to a lineage.
func extend(lineage []Base, base Base) []Base {
	longer := append(append([]Base(nil), lineage...), base)
	if len(longer) > lineageLength {
		longer = longer[len(longer)-lineageLength:]
	}
	return longer
}
