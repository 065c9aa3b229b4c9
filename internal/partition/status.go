package partition

import "cowslipgw/internal/structs"

// Status counts this host's partitions by state, for operators and metrics.
type Status struct {
	View structs.ViewNumber
	// Serving are the partitions that this host serves as the owner.
	Serving int
	// Waiting are those that it owns and that are not active yet.
	Waiting int
	// Stalled are those that it serves and whose backups do not all answer.
	Stalled int
	// Copies are all copies that this host holds, in any role.
	Copies int
}

// Status returns the present counts.
func (m *Manager) Status() Status {
	m.mu.RLock()
	defer m.mu.RUnlock()
	status := Status{View: m.numberLocked()}
	for id, r := range m.replicas {
		owned := m.ownsLocked(ID(id))
		r.mu.Lock()
		switch {
		case owned && r.serving != status.View:
			status.Waiting++
		case owned:
			status.Serving++
		}
		if owned && r.stalled {
			status.Stalled++
		}
		if r.machine != nil {
			status.Copies++
		}
		r.mu.Unlock()
	}
	return status
}
