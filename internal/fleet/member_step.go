package fleet

import (
	"context"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/structs"
)

// pausedAfter is the time between two steps after which this host counts as having
// been paused. It then hears the others anew before it suspects them.
const pausedAfter = 2 * time.Second

// step compares what the membership stream states with what it should state, and
// starts the appends that are missing.
func (m *Member) step(ctx context.Context) {
	m.checkEvicted()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.notePause(now)
	if m.incarnation == 0 {
		m.joinLocked(ctx)
		return
	}
	m.judgeLocked(ctx, now)
	m.snapshotLocked(ctx, now)
}

// checkEvicted notices that this host's incarnation is no longer in the view, and
// tells the rest of the host before it joins again.
func (m *Member) checkEvicted() {
	m.mu.Lock()
	incarnation := m.incarnation
	host, found := m.View().Find(m.config.Self.ID)
	if incarnation == 0 || (found && host.Incarnation == incarnation) {
		m.mu.Unlock()
		return
	}
	m.incarnation = 0
	m.joinID = ""
	m.replaced = found
	m.evictedAt = time.Now()
	stopping := m.stopping
	m.mu.Unlock()
	if stopping {
		return
	}
	if found {
		m.config.Logger.Log(event.FleetReplaced, event.Fields{"incarnation": incarnation, "by": host.Incarnation})
	} else {
		m.config.Logger.Log(event.FleetEvicted, event.Fields{"incarnation": incarnation})
	}
	m.config.OnEvicted()
}

// notePause restarts the watching after this host was paused.
func (m *Member) notePause(now time.Time) {
	if now.Sub(m.lastStep) > pausedAfter {
		for id, entry := range m.watch.watched {
			entry.since = now
			m.watch.watched[id] = entry
		}
	}
	m.lastStep = now
}

// joinLocked appends a join record unless one is in flight or about to be folded.
// When another process has taken this host's ID over, it waits until that one is
// gone from the view.
func (m *Member) joinLocked(ctx context.Context) {
	if m.stopping || !m.state.Ready() {
		return
	}
	if m.replaced && m.View().Index(m.config.Self.ID) >= 0 {
		return
	}
	if m.joinID != "" && (m.joinOffset == 0 || m.state.Offset() < m.joinOffset) {
		return
	}
	if !m.mayRejoinLocked(ctx, time.Now()) {
		return
	}
	self := m.config.Self
	id := m.newID(KindJoin)
	started := m.appends.start(ctx, "join", func(ctx context.Context) {
		offset, err := m.append(ctx, id, Record{Kind: KindJoin, Host: &self})
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.joinID != id {
			return
		}
		m.joinOffset = offset
		if err != nil {
			m.joinID = ""
		}
	})
	if started {
		m.joinID = id
		m.joinOffset = 0
	}
}

// judgeLocked starts and takes back suspicions.
func (m *Member) judgeLocked(ctx context.Context, now time.Time) {
	silent := make(map[structs.HostID]bool)
	sending := 0
	for id, entry := range m.watch.watched {
		if !entry.sends {
			continue
		}
		sending++
		silent[id] = now.Sub(later(m.gossip.direct[id], entry.since)) > SuspectAfter
		if !silent[id] {
			delete(silent, id)
		}
	}
	isolated := m.isolatedLocked(now, sending, len(silent))
	for id, entry := range m.watch.watched {
		key := "suspect/" + string(id)
		switch {
		case silent[id] && !entry.suspected && !isolated:
			m.stateLocked(ctx, key, KindSuspect, entry.host)
		case !silent[id] && !entry.suspected:
			m.appends.cancel(key)
		case !silent[id] && entry.suspected && m.heardLately(entry, now):
			m.stateLocked(ctx, "clear/"+string(id), KindClear, entry.host)
		}
	}
}

// isolatedLocked reports whether this host hears from so few others that the fault
// is probably its own and it should wait.
func (m *Member) isolatedLocked(now time.Time, sending, silent int) bool {
	if 2*(sending-silent) >= sending {
		m.isolated = time.Time{}
		return false
	}
	if m.isolated.IsZero() {
		m.isolated = now
		m.config.Logger.Log(event.FleetIsolated, event.Fields{"watched": sending, "silent": silent})
	}
	return now.Sub(m.isolated) < isolatedWait
}

func (m *Member) heardLately(entry watchedHost, now time.Time) bool {
	if entry.sends {
		return now.Sub(m.gossip.direct[entry.host.ID]) <= SuspectAfter
	}
	age, _ := m.gossip.age(entry.host, now)
	return age <= SuspectAfter
}

// stateLocked appends a suspect or clear record.
func (m *Member) stateLocked(ctx context.Context, key string, kind Kind, target Host) {
	record := Record{
		Kind:              kind,
		Target:            target.ID,
		TargetIncarnation: target.Incarnation,
		By:                m.config.Self.ID,
		ByIncarnation:     m.incarnation,
	}
	m.appends.start(ctx, key, func(ctx context.Context) {
		if _, err := m.append(ctx, m.newID(kind), record); err == nil {
			m.config.Logger.Log(event.FleetSuspicion, event.Fields{"kind": kind, "host": target.ID, "incarnation": target.Incarnation})
		}
	})
}

// snapshotLocked appends a snapshot when it is this host's turn.
func (m *Member) snapshotLocked(ctx context.Context, now time.Time) {
	if m.config.Retention <= 0 || !m.state.Ready() || now.Sub(m.snapshotAt) < m.config.Retention/4 {
		return
	}
	if !m.firstLiveLocked() {
		return
	}
	snapshot := m.state.Snapshot()
	m.appends.start(ctx, "snapshot", func(ctx context.Context) {
		_, _ = m.append(ctx, m.newID(KindSnapshot), Record{Kind: KindSnapshot, Snapshot: &snapshot})
	})
}

// FirstLive reports whether this host is the live host with the lowest ID, which
// appends the snapshots of the streams.
func (m *Member) FirstLive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation != 0 && m.firstLiveLocked()
}

func (m *Member) firstLiveLocked() bool {
	for _, host := range m.View().Hosts {
		if host.ID == m.config.Self.ID {
			return true
		}
		if !m.state.Suspected(host.ID) {
			return false
		}
	}
	return false
}

func (m *Member) append(ctx context.Context, id string, record Record) (structs.Offset, error) {
	data, err := record.Encode()
	if err != nil {
		return 0, err
	}
	return m.config.Appender.Append(ctx, Stream, id, data)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
