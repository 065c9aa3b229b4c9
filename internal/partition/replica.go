package partition

import (
	"sync"

	"cowslipgw/internal/structs"
)

// maxLineage is the number of activations that a copy records.
const maxLineage = 4

// replica is this host's state of one partition, in any role.
type replica struct {
	id ID

	mu sync.Mutex
	// machine is nil when this host has no copy.
	machine StateMachine
	// base identifies the copy's state: the view of the last activation and the last
	// operation applied.
	base Base
	// valid is described at Copy.Valid.
	valid structs.ViewNumber
	// lineage holds the bases from which the copy was activated, oldest first.
	lineage []Base
	// serving is the view in which this host serves the partition as owner, or 0.
	serving structs.ViewNumber
	// authoritative means that this host has owned the partition continuously since it
	// had the complete state, so no other host can have a newer one.
	authoritative bool
	// forceInstall means that the copy was restored after a loss, so that it matches no
	// other copy and must be installed at every backup.
	forceInstall bool
	// pending holds the operations after acked, the sequence number of the last
	// operation that all backups have acknowledged.
	pending      [][]byte
	pendingBytes int
	acked        uint64
	// replicating means that a goroutine is sending the pending operations.
	replicating bool
	// stalled means that the last replication attempt failed.
	stalled bool
	waiters []*waiter
	// changed is closed and replaced when waiting proposers should retry.
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

// notifyLocked makes waiting proposers retry.
func (r *replica) notifyLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// stopServingLocked ends the owner role. Proposers whose operations are not replicated
// keep waiting until the next owner reports the outcome.
func (r *replica) stopServingLocked() {
	r.serving = 0
	r.pending = nil
	r.pendingBytes = 0
	r.stalled = false
	r.notifyLocked()
}

// dropLocked discards the copy.
func (r *replica) dropLocked() {
	r.stopServingLocked()
	r.machine = nil
	r.base = Base{}
	r.valid = 0
	r.lineage = nil
	r.authoritative = false
	r.forceInstall = false
}

// waitLocked adds a waiter for the newest operation.
func (r *replica) waitLocked() *waiter {
	w := &waiter{base: r.base, done: make(chan error, 1)}
	r.waiters = append(r.waiters, w)
	return w
}

// ackLocked records that all backups have the operations up to seq.
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
	r.notifyLocked()
}

// resolveLocked completes waiters after an activation whose state derives from the
// given lineage. For each operation, the state includes it, definitely does not include
// it, or it can no longer be determined. Operations of later activations keep waiting.
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

// includes returns nil if a state of the lineage includes the operation, ErrNotReady if
// it does not and never will, and ErrUncertain otherwise.
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

// activateLocked marks the copy as activated in the view.
func (r *replica) activateLocked(view structs.ViewNumber, lineage []Base) {
	r.base.Activated = view
	r.valid = view
	r.lineage = lineage
}

// appendLineage returns the lineage extended by base, limited to the newest maxLineage
// entries.
func appendLineage(lineage []Base, base Base) []Base {
	longer := append(append([]Base(nil), lineage...), base)
	if len(longer) > maxLineage {
		longer = longer[len(longer)-maxLineage:]
	}
	return longer
}
