package partition

import (
	"cowslipgw/internal/fleet"
	"cowslipgw/internal/structs"
)

// Owned returns the partitions that this host serves as owner.
func (m *Manager) Owned() []ID {
	var ids []ID
	m.Visit(func(id ID, _ StateMachine) { ids = append(ids, id) })
	return ids
}

// Visit calls visit under the partition's lock for each partition that this host serves
// as owner. The function must not block, change the state or call the manager.
func (m *Manager) Visit(visit func(ID, StateMachine)) {
	for _, r := range m.replicas {
		m.visitOne(r, visit)
	}
}

func (m *Manager) visitOne(r *replica, visit func(ID, StateMachine)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.serving != 0 && r.serving == m.numberLocked() {
		visit(r.id, r.machine)
	}
}

// OwnerOf returns the partition's owner in the newest view that this host has. It
// returns false if no host accepts partitions.
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

// VisitBases is like Visit but also passes the base of each partition's state.
func (m *Manager) VisitBases(visit func(ID, Base, StateMachine)) {
	for _, r := range m.replicas {
		// visitOne holds the replica's lock.
		m.visitOne(r, func(id ID, machine StateMachine) { visit(id, r.base, machine) })
	}
}

// CopyOf returns the base and the encoded state of a partition. It returns false if
// this host does not serve the partition as owner.
func (m *Manager) CopyOf(id ID) (base Base, state []byte, ok bool) {
	m.visitOne(m.replicas[id], func(_ ID, machine StateMachine) {
		snapshot, err := machine.Snapshot()
		if err != nil {
			m.logStateError(id, err)
			return
		}
		base, state, ok = m.replicas[id].base, snapshot, true
	})
	return base, state, ok
}
