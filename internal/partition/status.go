package partition

import "cowslipgw/internal/structs"

// Status counts this host's partitions by state, for operators and metrics.
type Status struct {
	View structs.ViewNumber
	// Serving counts the partitions that this host serves as owner.
	Serving int
	// Waiting counts the partitions that this host owns but does not serve yet.
	Waiting int
	// Stalled counts the partitions that this host owns and whose last replication
	// attempt failed.
	Stalled int
	// Copies counts all copies that this host holds, in any role.
	Copies int
}

// Status returns the current counts.
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
