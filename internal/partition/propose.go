package partition

import (
	"context"

	"cowslipgw/internal/event"
)

const (
	// maxPending and maxPendingBytes limit the operations of one partition that await
	// acknowledgement by the backups.
	maxPending      = 4096
	maxPendingBytes = 8 << 20
)

// Propose runs decide at this host and returns when every backup of the view has
// acknowledged the operation. If decide returns no operation, Propose returns once all
// operations that decide could observe are acknowledged, so that no result is reported
// that a change of owner could undo. An owner that has been replaced and has not
// noticed it may still answer from its old state if there is no operation.
func (m *Manager) Propose(ctx context.Context, id ID, decide Decide) error {
	r := m.replicas[id]
	for {
		w, proposed, retry, err := m.tryPropose(r, decide)
		if err != nil {
			return err
		}
		if retry == nil {
			return m.awaitReplicated(ctx, r, w, proposed)
		}
		select {
		case <-ctx.Done():
			return ErrNotReady
		case <-m.stopped:
			return ErrNotReady
		case <-retry:
		}
	}
}

// tryPropose runs decide if the partition is active. It returns a waiter if an
// acknowledgement is still outstanding, or a channel that is closed when the caller
// should retry.
func (m *Manager) tryPropose(r *replica, decide Decide) (w *waiter, proposed bool, retry <-chan struct{}, err error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if !m.ownsLocked(r.id) {
		return nil, false, nil, ErrNotOwner
	}
	table := m.tableLocked()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.serving != table.Number() || r.stalled || len(r.pending) >= maxPending || r.pendingBytes >= maxPendingBytes {
		return nil, false, r.changed, nil
	}
	encoded, err := decide(r.machine)
	if err != nil {
		return nil, false, nil, err
	}
	if encoded != nil {
		if err := r.machine.Apply(encoded); err != nil {
			m.config.Logger.Log(event.PartitionApplyFailed, event.Fields{"partition": r.id, "error": err.Error()})
			return nil, false, nil, err
		}
		r.base.Seq++
		if table.assignments[r.id][1] == noHost {
			r.acked = r.base.Seq
			return nil, true, nil, nil
		}
		r.pending = append(r.pending, encoded)
		r.pendingBytes += len(encoded)
	}
	if r.acked == r.base.Seq {
		return nil, encoded != nil, nil, nil
	}
	w = r.waitLocked()
	m.startReplicationLocked(r)
	return w, encoded != nil, nil, nil
}

// awaitReplicated waits until the waiter's operation is replicated or the outcome
// cannot be determined in time.
func (m *Manager) awaitReplicated(ctx context.Context, r *replica, w *waiter, proposed bool) error {
	if w == nil {
		return nil
	}
	var err error
	select {
	case err = <-w.done:
	case <-ctx.Done():
		err = r.cancelWaiter(w)
	case <-m.stopped:
		err = r.cancelWaiter(w)
	}
	if err == ErrUncertain && !proposed {
		return ErrNotReady
	}
	return err
}

// cancelWaiter removes a waiter and returns ErrUncertain, or the waiter's result if it
// arrived in the meantime.
func (r *replica) cancelWaiter(w *waiter) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case err := <-w.done:
		return err
	default:
	}
	for i, other := range r.waiters {
		if other == w {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			break
		}
	}
	return ErrUncertain
}
