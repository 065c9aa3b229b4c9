package partition

import (
	"cowslipgw/internal/fleet"
	"cowslipgw/internal/structs"
)

// advanceView switches this host to the newest view and returns false when there is no
// newer one. From the switch on, the host rejects operations of older views.
func (m *Manager) advanceView() bool {
	views, fromStart := m.config.Views.Recent()
	incarnation := m.config.Views.Incarnation()
	if len(views) == 0 {
		return false
	}
	newest := views[len(views)-1]
	if !newest.Has(m.self, incarnation) {
		incarnation = 0
	}
	m.mu.RLock()
	old := m.tableLocked()
	oldIncarnation := m.incarnation
	history, oldFromStart := m.history, m.fromStart
	m.mu.RUnlock()
	if old != nil && old.Number() >= newest.Number && oldIncarnation == incarnation {
		return false
	}
	history, contiguous := extendHistory(history, views)
	if contiguous {
		fromStart = oldFromStart
	}
	if len(history) > maxTableHistory {
		history = append([]*Table(nil), history[len(history)-maxTableHistory:]...)
		fromStart = false
	}
	m.mu.Lock()
	m.history = history
	m.fromStart = fromStart
	m.incarnation = incarnation
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	m.reassignReplicas(old, history, contiguous, oldIncarnation, incarnation)
	return true
}

// extendHistory appends the tables of the newer views. contiguous is false when views
// were missed; the history then starts over.
func extendHistory(history []*Table, views []*fleet.View) (extended []*Table, contiguous bool) {
	next := 0
	if len(history) > 0 {
		last := history[len(history)-1].Number()
		for next < len(views) && views[next].Number <= last {
			contiguous = contiguous || views[next].Number == last
			next++
		}
	}
	if !contiguous {
		history = nil
		next = 0
	}
	extended = append([]*Table(nil), history...)
	for _, view := range views[next:] {
		if len(extended) == 0 {
			extended = append(extended, NewTable(view))
			continue
		}
		extended = append(extended, extended[len(extended)-1].Next(view))
	}
	return extended, contiguous
}

// reassignReplicas sets the role of each replica in the new view. A partition whose
// replicas were the same in all views since the old one continues without a pause.
func (m *Manager) reassignReplicas(old *Table, history []*Table, contiguous bool, oldIncarnation, incarnation structs.Incarnation) {
	table := history[len(history)-1]
	var since []*Table
	if contiguous {
		since = tablesAfter(history, old.Number())
	}
	for id, r := range m.replicas {
		r.mu.Lock()
		switch {
		case oldIncarnation != incarnation && oldIncarnation != 0:
			// An owner may already have installed a copy on this host in the new view.
			if r.valid <= old.Number() {
				r.dropLocked()
			}
			r.failWaitersLocked(ErrUncertain)
		case contiguous && unchangedInAll(ID(id), old, since):
			r.retainRoleLocked(old.Number(), table.Number())
		default:
			r.authoritative = (r.authoritative || r.serving != 0) && contiguous && ownedInAll(ID(id), old, since, m.self)
			r.stopServingLocked()
		}
		resume := r.serving != 0 && len(r.pending) > 0
		r.mu.Unlock()
		if resume {
			m.startReplication(r)
		}
	}
}

// tablesAfter returns the tables of the views later than number.
func tablesAfter(history []*Table, number structs.ViewNumber) []*Table {
	for i, table := range history {
		if table.Number() > number {
			return history[i:]
		}
	}
	return nil
}

// unchangedInAll reports whether the partition has the same replicas in old and in all
// later tables.
func unchangedInAll(id ID, old *Table, since []*Table) bool {
	for _, table := range since {
		if !old.same(id, table) {
			return false
		}
	}
	return true
}

// ownedInAll reports whether self owned the partition in old and in all later tables.
func ownedInAll(id ID, old *Table, since []*Table, self structs.HostID) bool {
	for _, table := range append([]*Table{old}, since...) {
		if owner, found := table.Owner(id); !found || owner.ID != self {
			return false
		}
	}
	return true
}

// retainRoleLocked carries an unchanged role over to a newer view.
func (r *replica) retainRoleLocked(old, view structs.ViewNumber) {
	if r.valid == old {
		r.valid = view
	}
	if r.serving == old && old != 0 {
		r.serving = view
		r.notifyLocked()
	}
}

// failWaitersLocked completes all waiters with err.
func (r *replica) failWaitersLocked(err error) {
	for _, w := range r.waiters {
		w.done <- err
	}
	r.waiters = nil
}
