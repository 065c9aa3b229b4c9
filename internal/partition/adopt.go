package partition

import (
	"cowslipgw/internal/fleet"
	"cowslipgw/internal/structs"
)

// adopt moves to the newest view. It returns false when there is no newer one.
// From the moment of the switch this host refuses operations of older views.
func (m *Manager) adopt() bool {
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
	history, fromStartBefore := m.history, m.fromStart
	m.mu.RUnlock()
	if old != nil && old.Number() >= newest.Number && oldIncarnation == incarnation {
		return false
	}
	history, joined := extendHistory(history, views)
	if joined {
		fromStart = fromStartBefore
	}
	if len(history) > keptTables {
		history = append([]*Table(nil), history[len(history)-keptTables:]...)
		fromStart = false
	}
	m.mu.Lock()
	m.history = history
	m.fromStart = fromStart
	m.incarnation = incarnation
	close(m.changed)
	m.changed = make(chan struct{})
	m.mu.Unlock()
	m.moveReplicas(old, history, joined, oldIncarnation, incarnation)
	return true
}

// extendHistory adds the tables of the newer views. joined is false when views were
// missed, in which case the history starts anew.
func extendHistory(history []*Table, views []*fleet.View) (extended []*Table, joined bool) {
	next := 0
	if len(history) > 0 {
		last := history[len(history)-1].Number()
		for next < len(views) && views[next].Number <= last {
			joined = joined || views[next].Number == last
			next++
		}
	}
	if !joined {
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
	return extended, joined
}

// moveReplicas gives each replica its role in the new view. A partition whose
// replicas were the same in all views since the old one goes on without a pause.
func (m *Manager) moveReplicas(old *Table, history []*Table, joined bool, oldIncarnation, incarnation structs.Incarnation) {
	table := history[len(history)-1]
	var since []*Table
	if joined {
		since = tablesAfter(history, old.Number())
	}
	for id, r := range m.replicas {
		r.mu.Lock()
		switch {
		case oldIncarnation != incarnation && oldIncarnation != 0:
			// An owner may have given this host a copy in the new view already.
			if r.valid <= old.Number() {
				r.dropLocked()
			}
			r.failLocked(ErrUncertain)
		case joined && sameAll(ID(id), old, since):
			r.carryLocked(old.Number(), table.Number())
		default:
			r.authoritative = (r.authoritative || r.serving != 0) && joined && ownedAll(ID(id), old, since, m.self)
			r.stopServingLocked()
		}
		kick := r.serving != 0 && len(r.pending) > 0
		r.mu.Unlock()
		if kick {
			m.kick(r)
		}
	}
}

// tablesAfter returns the tables of the views after the number.
func tablesAfter(history []*Table, number structs.ViewNumber) []*Table {
	for i, table := range history {
		if table.Number() > number {
			return history[i:]
		}
	}
	return nil
}

func sameAll(id ID, old *Table, since []*Table) bool {
	for _, table := range since {
		if !old.same(id, table) {
			return false
		}
	}
	return true
}

// ownedAll reports whether the host owned the partition in all the tables.
func ownedAll(id ID, old *Table, since []*Table, self structs.HostID) bool {
	for _, table := range append([]*Table{old}, since...) {
		if owner, found := table.Owner(id); !found || owner.ID != self {
			return false
		}
	}
	return true
}

// carryLocked moves an unchanged role to a newer view.
func (r *replica) carryLocked(old, view structs.ViewNumber) {
	if r.valid == old {
		r.valid = view
	}
	if r.serving == old && old != 0 {
		r.serving = view
		r.wakeLocked()
	}
}

// failLocked answers all waiters with an error.
func (r *replica) failLocked(err error) {
	for _, w := range r.waiters {
		w.done <- err
	}
	r.waiters = nil
}
