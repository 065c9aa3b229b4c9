package partition

import (
	"cowslipgw/internal/fleet"
	"cowslipgw/internal/structs"
)

// Owned returns the partitions that this host serves as the owner.
func (m *Manager) Owned() []ID {
	var ids []ID
	m.Visit(func(id ID, _ Machine) { ids = append(ids, id) })
	return ids
}

// Visit calls the function under the partition's lock for each partition that this
// host serves as the owner. The function must not block, change the state or call
// the manager.
func (m *Manager) Visit(visit func(ID, Machine)) {
	for _, r := range m.replicas {
		m.visitOne(r, visit)
	}
}

func (m *Manager) visitOne(r *replica, visit func(ID, Machine)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.serving != 0 && r.serving == m.numberLocked() {
		visit(r.id, r.machine)
	}
}

// OwnerOf returns the partition's owner in the newest view that this host has; false
// means that no host takes partitions.
func (m *Manager) OwnerOf(id ID) (fleet.Host, bool) {
	table := m.Table()
	if table == nil {
		return fleet.Host{}, false
	}
	return table.Owner(id)
}

// ReplicasOf returns the partition's replicas in the newest view that this host has,
// the owner first.
func (m *Manager) ReplicasOf(id ID) []structs.HostID {
	table := m.Table()
	if table == nil {
		return nil
	}
	var ids []structs.HostID
	for _, host := range table.Replicas(id) {
		ids = append(ids, host.ID)
	}
	return ids
}

// VisitBases is Visit with the base of each partition's state.
func (m *Manager) VisitBases(visit func(ID, Base, Machine)) {
	for _, r := range m.replicas {
		// The replica's lock is held by visitOne.
		m.visitOne(r, func(id ID, machine Machine) { visit(id, r.base, machine) })
	}
}

// CopyOf returns the base and the state of a partition that this host serves as the
// owner; false when it does not.
func (m *Manager) CopyOf(id ID) (base Base, state []byte, ok bool) {
	m.visitOne(m.replicas[id], func(_ ID, machine Machine) {
		snapshot, err := machine.Snapshot()
		if err != nil {
			m.logBroken(id, err)
			return
		}
		base, state, ok = m.replicas[id].base, snapshot, true
	})
	return base, state, ok
}
