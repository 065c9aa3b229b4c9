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

// Datagram is a message and its receivers.
type Datagram struct {
	To      []Host
	Message Heartbeat
}

// announcements holds when this host sends which of its own messages.
type announcements struct {
	sequence      uint64
	lastTick      boottime.Instant
	lastHeartbeat boottime.Instant
	// announced is the condition that was last sent to all hosts, at announcedAt. It is
	// repeated at repeatAt; 0 if that has been done.
	announced   Condition
	announcedAt boottime.Instant
	repeatAt    boottime.Instant
	// reports are to be repeated at reportsRepeatAt.
	reports         []Report
	reportsRepeatAt boottime.Instant
}

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

// askAllLocked has all hosts asked for a heartbeat.
func (t *Table) askAllLocked() {
	for _, m := range t.members {
		m.stale = true
	}
}

// messageLocked returns a heartbeat of this host.
func (t *Table) messageLocked(condition Condition) Heartbeat {
	t.sending.sequence++
	return Heartbeat{Host: t.self, Condition: condition, Sequence: t.sending.sequence}
}

// allLocked returns all other hosts.
func (t *Table) allLocked() []Host {
	hosts := make([]Host, 0, len(t.members))
	for _, m := range t.ringLocked() {
		hosts = append(hosts, m.host)
	}
	return hosts
}

// isAnnouncementDueLocked reports whether this host must send its condition to all others:
// after a change, once more a little later, and from time to time.
func (t *Table) isAnnouncementDueLocked(now boottime.Instant, condition Condition) bool {
	s := &t.sending
	switch {
	case condition != s.announced:
		s.announced, s.repeatAt = condition, now.Add(repeatDelay)
	case s.repeatAt != 0 && now >= s.repeatAt:
		s.repeatAt = 0
	case s.announcedAt == 0 || now.Sub(s.announcedAt) >= refreshInterval:
	default:
		return false
	}
	s.announcedAt, s.lastHeartbeat = now, now
	return true
}

// judgeLocked determines which of the watched hosts are missing, and returns the reports that
// are due. In a full mesh every host judges by itself.
func (t *Table) judgeLocked(now boottime.Instant) []Report {
	wasIsolated := t.isolated
	t.isolated = t.lastHeard != 0 && now.Sub(t.lastHeard) >= heartbeatTimeout
	if wasIsolated != t.isolated {
		t.view = nil
		if wasIsolated {
			t.resyncLocked(now)
		}
	}
	t.watchLocked()
	var changed []Report
	missingCount := 0
	for _, m := range t.ringLocked() {
		if unreachable := m.askedAt != 0 && now.Sub(m.askedAt) >= answerTimeout; unreachable != m.unreachable {
			m.unreachable = unreachable
			t.view = nil
		}
		// A host that reported a member must also report its return, even if it no longer
		// watches it.
		if (m.watchedSince == 0 && !m.reported) || m.lastHeartbeat == 0 {
			continue
		}
		missing := m.missing
		switch {
		case now.Sub(m.lastHeartbeat) < heartbeatTimeout:
			missing = false
		case now.Sub(max(m.lastHeartbeat, m.watchedSince, t.judgeFrom)) >= heartbeatTimeout:
			missing = true
		}
		if missing != m.missing {
			m.missing = missing
			t.view = nil
		}
		if missing && m.watchedSince != 0 {
			missingCount++
		}
		observed := !missing || now.Sub(max(m.watchedSince, t.judgeFrom)) >= heartbeatTimeout
		if missing != m.reported && observed && !t.isolated && !t.fullMeshLocked() {
			m.reported = missing
			changed = append(changed, Report{Host: m.host.ID, Incarnation: m.host.Incarnation, Missing: missing})
		}
	}
	if missingCount >= massLoss && t.missingCount < massLoss && !t.fullMeshLocked() {
		t.askAllLocked()
	}
	t.missingCount = missingCount
	return t.withRepeatedReportsLocked(now, changed)
}

// withRepeatedReportsLocked adds the reports that are due for repetition to new ones.
func (t *Table) withRepeatedReportsLocked(now boottime.Instant, changed []Report) []Report {
	s := &t.sending
	due := changed
	if len(s.reports) > 0 && now >= s.reportsRepeatAt {
		for _, r := range s.reports {
			if m := t.members[r.Host]; m != nil && m.host.Incarnation == r.Incarnation && m.missing == r.Missing {
				due = append(due, r)
			}
		}
		s.reports = nil
	}
	if len(changed) > 0 {
		if len(s.reports) == 0 {
			s.reportsRepeatAt = now.Add(repeatDelay)
		}
		s.reports = append(s.reports, changed...)
	}
	return due
}

// helloTargetsLocked returns the hosts to ask for a heartbeat: those that were never heard,
// that are suspect after a failed call, whose condition this host may have missed, or that it
// watches and has not heard for some time, and those that it reported as missing and no longer
// watches.
func (t *Table) helloTargetsLocked(now boottime.Instant) []Host {
	var to []Host
	for _, m := range t.ringLocked() {
		late := m.watchedSince != 0 && !m.missing && now.Sub(m.lastHeartbeat) >= probeAfter
		owed := m.reported && m.watchedSince == 0
		if m.lastHeartbeat != 0 && !m.suspect && !m.stale && !late && !owed {
			continue
		}
		interval := helloInterval
		switch {
		case late:
			interval = tickInterval
		case m.suspect && !m.down():
			interval = suspectHelloInterval
		case m.stale && !m.down():
			interval = staleHelloInterval
		}
		if m.lastHello != 0 && now.Sub(m.lastHello) < interval {
			continue
		}
		m.lastHello = now
		if m.stale && m.askedAt == 0 {
			m.askedAt = now
		}
		if to = append(to, m.host); len(to) == maxHellosPerTick {
			break
		}
	}
	return to
}

// Announce returns a message with this host's condition for all others, for a change that
// must not wait for the next tick.
func (t *Table) Announce() Datagram {
	condition := t.condition()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sending.announced, t.sending.announcedAt = condition, t.now()
	t.sending.repeatAt = t.now().Add(repeatDelay)
	return Datagram{t.allLocked(), t.messageLocked(condition)}
}

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

// usageMessages returns messages with the usage of client accounts for the given hosts.
func (t *Table) usageMessages(usage map[string]map[uint32]Usage) []Datagram {
	if len(usage) == 0 {
		return nil
	}
	condition := t.condition()
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []Datagram
	for id, counts := range usage {
		m := t.members[id]
		if m == nil {
			continue
		}
		message := t.messageLocked(condition)
		message.Usage = counts
		due = append(due, Datagram{[]Host{m.host}, message})
	}
	return due
}
