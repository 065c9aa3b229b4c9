package partition

import (
	"context"

	"cowslipgw/internal/fleet"
	"cowslipgw/internal/structs"
)

// activeLocked describes a partition if this host serves it as owner.
func (m *Manager) activeLocked(r *replica) (ReleaseItem, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.serving == 0 || r.serving != m.numberLocked() {
		return ReleaseItem{}, false
	}
	return ReleaseItem{ID: r.id, Lineage: appendLineage(r.lineage, r.base)}, true
}

// applyRelease handles an owner's report that partitions are active in a view.
// Proposers that are waiting at this host receive the outcome of their operations, and
// copies are dropped unless this host is a replica in its current view.
func (m *Manager) applyRelease(view structs.ViewNumber, items []ReleaseItem) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.numberLocked() < view {
		return
	}
	for _, item := range items {
		if item.ID >= Count || m.ownsLocked(item.ID) {
			continue
		}
		r := m.replicas[item.ID]
		r.mu.Lock()
		r.resolveLocked(item.Lineage)
		if !m.isReplicaLocked(item.ID) {
			r.dropLocked()
		}
		r.mu.Unlock()
	}
}

// pollOwnerStatus asks owners whether their partitions are active, for the partitions
// of which this host has an old copy or waiting proposers. It covers lost Release
// messages.
func (m *Manager) pollOwnerStatus(ctx context.Context) {
	for owner, ids := range m.awaitingRelease() {
		m.tasks.start(func() {
			var reply StatusReply
			if m.call(ctx, owner, "Partition.Status", &StatusRequest{IDs: ids}, &reply, callTimeout) == nil && ctx.Err() == nil {
				m.applyRelease(reply.View, reply.Items)
			}
		})
	}
}

// awaitingRelease returns, by owner, the partitions for which this host awaits a
// release.
func (m *Manager) awaitingRelease() map[fleet.Host][]ID {
	m.mu.RLock()
	defer m.mu.RUnlock()
	table := m.tableLocked()
	if table == nil {
		return nil
	}
	found := make(map[fleet.Host][]ID)
	for id, r := range m.replicas {
		owner, exists := table.Owner(ID(id))
		if !exists || owner.ID == m.self {
			continue
		}
		r.mu.Lock()
		if (r.machine != nil && !m.isReplicaLocked(ID(id))) || len(r.waiters) > 0 {
			found[owner] = append(found[owner], ID(id))
		}
		r.mu.Unlock()
	}
	return found
}

// HandedOver reports whether this host is leaving, or is not in the view, and holds
// nothing that another host may still need. It stays false while no other host accepts
// partitions, so a drain needs a timeout of its own.
func (m *Manager) HandedOver() bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	table := m.tableLocked()
	if table == nil {
		return true
	}
	if host, found := table.View().Find(m.self); found && !host.Leaving && m.incarnation != 0 {
		return false
	}
	for _, r := range m.replicas {
		r.mu.Lock()
		held := r.machine != nil || len(r.waiters) > 0
		r.mu.Unlock()
		if held {
			return false
		}
	}
	return true
}
