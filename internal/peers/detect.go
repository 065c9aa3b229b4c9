package peers

import (
	"time"

	"cowslipgw/internal/boottime"
)

const (
	// heartbeatInterval is the interval between heartbeats.
	heartbeatInterval = 200 * time.Millisecond
	// heartbeatTimeout is the time without a heartbeat after which a watcher misses a host.
	heartbeatTimeout = 700 * time.Millisecond
	// tickInterval is the interval between two calls of Tick.
	tickInterval = 100 * time.Millisecond
	// stallLimit is the time between two calls of Tick from which this host counts as having
	// been paused: it has missed messages and must not judge other hosts by that.
	stallLimit = 500 * time.Millisecond
	// repeatDelay is the delay after which a change is announced a second time, since
	// datagrams may be lost.
	repeatDelay = 500 * time.Millisecond
	// refreshInterval is the interval at which each host announces itself to all others.
	refreshInterval = 30 * time.Second
	// probeAfter is the time without a heartbeat after which a watcher asks for one, since
	// datagrams may be lost.
	probeAfter = 450 * time.Millisecond
	// suspectHelloInterval is the interval at which a suspect host is asked for a heartbeat,
	// staleHelloInterval that for a host whose entry is stale, and helloInterval that for hosts
	// of which nothing was heard or that are down.
	suspectHelloInterval = heartbeatInterval
	staleHelloInterval   = 400 * time.Millisecond
	helloInterval        = time.Second
	// answerTimeout is the time without an answer to several hellos after which a host counts
	// as unreachable.
	answerTimeout = 1500 * time.Millisecond
	// massLoss is the number of watched hosts that must be missing at once for this host to
	// ask all others: it may be on one side of a partition, where the reports of watchers on
	// the other side do not arrive.
	massLoss = 2
	// maxHellosPerTick spreads the hellos of a large fleet that starts at once.
	maxHellosPerTick = 64
)

// Tick advances the failure detection and returns the messages that are due. It must be
// called every tickInterval.
func (t *Table) Tick() []Datagram {
	condition := t.condition()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if t.sending.lastTick != 0 && now.Sub(t.sending.lastTick) > stallLimit {
		t.resyncLocked(now)
	}
	t.sending.lastTick = now
	reports := t.judgeLocked(now)
	var due []Datagram
	if t.isAnnouncementDueLocked(now, condition) {
		due = append(due, Datagram{t.allLocked(), t.messageLocked(condition)})
	} else if now.Sub(t.sending.lastHeartbeat) >= heartbeatInterval {
		due = append(due, Datagram{t.receiversLocked(), t.messageLocked(condition)})
		t.sending.lastHeartbeat = now
	}
	if len(reports) > 0 {
		message := t.messageLocked(condition)
		message.Reports = reports
		due = append(due, Datagram{t.allLocked(), message})
	}
	if to := t.helloTargetsLocked(now); len(to) > 0 {
		message := t.messageLocked(condition)
		message.Hello = true
		due = append(due, Datagram{to, message})
	}
	return due
}

// resyncLocked handles a pause of this host: hosts that it watches get time to be heard, and
// all hosts are asked for their condition.
func (t *Table) resyncLocked(now boottime.Instant) {
	t.judgeFrom = now
	t.askAllLocked()
}

// judgeLocked determines which of the watched hosts are missing, and returns the reports that
// are due. In a full mesh every host judges by itself.
func (t *Table) judgeLocked(now boottime.Instant) []Report {
	t.judgeOwnLinksLocked(now)
	t.watchLocked()
	var changed []Report
	missing := 0
	for _, m := range t.ringLocked() {
		if t.judgeMemberLocked(m, now) {
			t.view = nil
		}
		if m.missing && m.watchedSince != 0 {
			missing++
		}
		if t.shouldReportLocked(m, now) {
			m.reported = m.missing
			changed = append(changed, Report{Host: m.host.ID, Incarnation: m.host.Incarnation, Missing: m.missing})
		}
	}
	if missing >= massLoss && t.missingCount < massLoss && !t.fullMeshLocked() {
		t.askAllLocked()
	}
	t.missingCount = missing
	return t.withRepeatedReportsLocked(now, changed)
}

// judgeOwnLinksLocked determines whether this host is cut off from all others.
func (t *Table) judgeOwnLinksLocked(now boottime.Instant) {
	wasIsolated := t.isolated
	t.isolated = t.lastHeard != 0 && now.Sub(t.lastHeard) >= heartbeatTimeout
	if t.isolated != wasIsolated {
		t.view = nil
	}
	if wasIsolated && !t.isolated {
		t.resyncLocked(now)
	}
}

// judgeMemberLocked updates what this host itself observes of a member. It reports whether
// that has changed.
func (t *Table) judgeMemberLocked(m *member, now boottime.Instant) (changed bool) {
	unreachable := m.askedAt != 0 && now.Sub(m.askedAt) >= answerTimeout
	missing := m.missing
	switch {
	case m.lastHeartbeat == 0 || !m.isJudged():
	case now.Sub(m.lastHeartbeat) < heartbeatTimeout:
		missing = false
	case t.hasWaitedLocked(m, now):
		missing = true
	}
	changed = unreachable != m.unreachable || missing != m.missing
	m.unreachable, m.missing = unreachable, missing
	return changed
}

// hasWaitedLocked reports whether this host has watched a member for so long that silence
// means that it is missing.
func (t *Table) hasWaitedLocked(m *member, now boottime.Instant) bool {
	return now.Sub(max(m.lastHeartbeat, m.watchedSince, t.judgeFrom)) >= heartbeatTimeout
}

// shouldReportLocked reports whether the other hosts are to be told what this host observes of
// a member.
func (t *Table) shouldReportLocked(m *member, now boottime.Instant) bool {
	if m.missing == m.reported || m.lastHeartbeat == 0 || !m.isJudged() || t.isolated || t.fullMeshLocked() {
		return false
	}
	return !m.missing || t.hasWaitedLocked(m, now)
}
