package peers

// Handle updates the table with a message and returns the reply that is due, if any. It
// reports false and ignores the message if it is from this host or from an earlier
// incarnation.
func (t *Table) Handle(b Heartbeat) (reply *Datagram, ok bool) {
	isNew, ok := t.handleHeartbeat(b)
	if !ok {
		return nil, false
	}
	accused := t.applyReports(b)
	if !b.Hello && !accused && !isNew {
		return nil, true
	}
	condition := t.condition()
	t.mu.Lock()
	defer t.mu.Unlock()
	return &Datagram{[]Host{b.Host}, t.messageLocked(condition)}, true
}

// applyReports applies what a watcher hears of other hosts. It reports whether the watcher
// misses this host.
func (t *Table) applyReports(b Heartbeat) (accused bool) {
	if len(b.Reports) == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range b.Reports {
		if r.Host == t.self.ID {
			accused = accused || (r.Missing && r.Incarnation == t.self.Incarnation)
			continue
		}
		m := t.members[r.Host]
		if m == nil || m.host.Incarnation != r.Incarnation {
			continue
		}
		if r.Missing {
			m.reports[b.Host.ID] = struct{}{}
		} else {
			// Other watchers may have stopped watching without retracting their reports.
			clear(m.reports)
		}
		t.view = nil
	}
	return accused
}

// handleHeartbeat updates the entry of the sender. IsNew is set if nothing was heard of this
// incarnation before.
func (t *Table) handleHeartbeat(b Heartbeat) (isNew, ok bool) {
	if b.Host.ID == t.self.ID || b.Host.ID == "" {
		return false, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	m := t.members[b.Host.ID]
	if m != nil && m.host.Incarnation > b.Host.Incarnation {
		return false, false
	}
	if m == nil || m.host.Incarnation < b.Host.Incarnation {
		m = newMember(b.Host, now)
		t.members[b.Host.ID] = m
		t.ring, t.view = nil, nil
	}
	isNew = m.lastHeartbeat == 0
	wasAlive := m.alive()
	m.heard(now)
	t.lastHeard = now
	if b.Sequence >= m.sequence {
		if m.Condition != b.Condition {
			t.view = nil
		}
		m.Condition, m.sequence = b.Condition, b.Sequence
	}
	if wasAlive != m.alive() {
		t.view = nil
	}
	return isNew, true
}
