package fleet

import (
	"context"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/structs"
)

// pauseThreshold is the time between two reconciles after which this process counts as
// having been paused. The suspicion timeouts then restart, because no heartbeats were
// received during the pause.
const pauseThreshold = 2 * time.Second

// reconcile compares the actual membership state with the state that this host wants,
// and starts the appends that are missing.
func (m *Member) reconcile(ctx context.Context) {
	m.checkEvicted()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.detectPauseLocked(now)
	if m.incarnation == 0 {
		m.joinLocked(ctx)
		return
	}
	m.updateSuspicionsLocked(ctx, now)
	m.snapshotLocked(ctx, now)
}

// checkEvicted detects that this host's incarnation is no longer in the view, and calls
// OnEvicted before the host joins again.
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
	leaving := m.leaving
	m.mu.Unlock()
	if leaving {
		return
	}
	if found {
		m.config.Logger.Log(event.FleetSuperseded, event.Fields{"incarnation": incarnation, "by": host.Incarnation})
	} else {
		m.config.Logger.Log(event.FleetSelfEvicted, event.Fields{"incarnation": incarnation})
	}
	m.config.OnEvicted()
}

// detectPauseLocked restarts the suspicion timeouts of all watched hosts if this process
// was paused.
func (m *Member) detectPauseLocked(now time.Time) {
	if now.Sub(m.lastReconcile) > pauseThreshold {
		for id, entry := range m.watch.watched {
			entry.watchedSince = now
			m.watch.watched[id] = entry
		}
	}
	m.lastReconcile = now
}

// joinLocked appends a join record unless one is in flight or not applied yet. If another
// process has joined under this host's ID, it waits until that process is no longer in
// the view.
func (m *Member) joinLocked(ctx context.Context) {
	if m.leaving || !m.state.Ready() {
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

// updateSuspicionsLocked appends suspicions of silent hosts and withdraws those of hosts
// that sent a sign of life.
func (m *Member) updateSuspicionsLocked(ctx context.Context, now time.Time) {
	silent := make(map[structs.HostID]bool)
	sending := 0
	for id, entry := range m.watch.watched {
		if !entry.sendsHeartbeats {
			continue
		}
		sending++
		silent[id] = now.Sub(later(m.gossip.lastHeartbeat[id], entry.watchedSince)) > SuspicionTimeout
		if !silent[id] {
			delete(silent, id)
		}
	}
	isolated := m.isolatedLocked(now, sending, len(silent))
	for id, entry := range m.watch.watched {
		key := "suspect/" + string(id)
		switch {
		case silent[id] && !entry.suspected && !isolated:
			m.appendSuspicionLocked(ctx, key, KindSuspect, entry.host)
		case !silent[id] && !entry.suspected:
			m.appends.cancel(key)
		case !silent[id] && entry.suspected && m.heardRecentlyLocked(entry, now):
			m.appendSuspicionLocked(ctx, "clear/"+string(id), KindClear, entry.host)
		}
	}
}

// isolatedLocked reports whether this host should defer its suspicions: it receives
// heartbeats from so few of the watched hosts that its own network is probably at fault,
// and isolatedSuspicionDelay has not passed yet.
func (m *Member) isolatedLocked(now time.Time, sending, silent int) bool {
	if 2*(sending-silent) >= sending {
		m.isolatedSince = time.Time{}
		return false
	}
	if m.isolatedSince.IsZero() {
		m.isolatedSince = now
		m.config.Logger.Log(event.FleetIsolated, event.Fields{"watched": sending, "silent": silent})
	}
	return now.Sub(m.isolatedSince) < isolatedSuspicionDelay
}

// heardRecentlyLocked reports whether a suspected host sent a sign of life within
// SuspicionTimeout. If the host no longer sends its heartbeats to this one, gossip decides.
func (m *Member) heardRecentlyLocked(entry watchedHost, now time.Time) bool {
	if entry.sendsHeartbeats {
		return now.Sub(m.gossip.lastHeartbeat[entry.host.ID]) <= SuspicionTimeout
	}
	age, _ := m.gossip.age(entry.host, now)
	return age <= SuspicionTimeout
}

// appendSuspicionLocked appends a suspect or clear record in the background.
func (m *Member) appendSuspicionLocked(ctx context.Context, key string, kind Kind, target Host) {
	record := Record{
		Kind:              kind,
		Target:            target.ID,
		TargetIncarnation: target.Incarnation,
		By:                m.config.Self.ID,
		ByIncarnation:     m.incarnation,
	}
	m.appends.start(ctx, key, func(ctx context.Context) {
		if _, err := m.append(ctx, m.newID(kind), record); err == nil {
			m.config.Logger.Log(event.FleetSuspicionChanged, event.Fields{"kind": kind, "host": target.ID, "incarnation": target.Incarnation})
		}
	})
}

// snapshotLocked appends a snapshot in the background if one is due and this host is the
// first live host.
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

// FirstLive reports whether this host has the lowest ID of the unsuspected hosts in the
// view. That host appends the snapshots of the streams.
func (m *Member) FirstLive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation != 0 && m.firstLiveLocked()
}

// firstLiveLocked reports whether this host is in the view and no unsuspected host has a
// lower ID.
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

// append encodes a record and appends it to the membership stream.
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
