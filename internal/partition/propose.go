package partition

import (
	"context"

	"cowslipgw/internal/event"
)

const (
	// maxPending and maxPendingBytes bound the operations of one partition that wait
	// for backups.
	maxPending      = 4096
	maxPendingBytes = 8 << 20
)

// Propose runs decide at this host and returns when every backup of the view has
// acknowledged the operation. Without an operation it returns when those that
// decide could see are acknowledged, so that nothing is reported which a change of
// the owner could undo. An owner that was replaced and has not noticed may still
// answer from its old state when there is no operation.
func (m *Manager) Propose(ctx context.Context, id ID, decide Decide) error {
	r := m.replicas[id]
	for {
		w, op, wait, err := m.tryPropose(r, decide)
		if err != nil {
			return err
		}
		if wait == nil {
			return m.awaitReplicated(ctx, r, w, op)
		}
		select {
		case <-ctx.Done():
			return ErrNotReady
		case <-m.stopped:
			return ErrNotReady
		case <-wait:
		}
	}
}

// tryPropose decides if the partition is active. It returns a waiter if something
// must be acknowledged first, and a channel if the proposer must try again.
func (m *Manager) tryPropose(r *replica, decide Decide) (w *waiter, op bool, wait <-chan struct{}, err error) {
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
			m.config.Logger.Log(event.PartitionBroken, event.Fields{"partition": r.id, "error": err.Error()})
			return nil, false, nil, err
		}
		r.base.Seq++
		if table.rows[r.id][1] == none {
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
	m.kickLocked(r)
	return w, encoded != nil, nil, nil
}

func (m *Manager) awaitReplicated(ctx context.Context, r *replica, w *waiter, op bool) error {
	if w == nil {
		return nil
	}
	var err error
	select {
	case err = <-w.done:
	case <-ctx.Done():
		err = r.giveUp(w)
	case <-m.stopped:
		err = r.giveUp(w)
	}
	if err == ErrUncertain && !op {
		return ErrNotReady
	}
	return err
}

// giveUp removes a waiter, unless its answer has come meanwhile.
func (r *replica) giveUp(w *waiter) error {
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
