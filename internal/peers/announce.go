package peers

import "cowslipgw/internal/boottime"

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

// noticeMessage returns a message for all other hosts with a notice.
func (t *Table) noticeMessage(notice Notice) Datagram {
	condition := t.condition()
	t.mu.Lock()
	defer t.mu.Unlock()
	message := t.messageLocked(condition)
	message.Notice = notice
	return Datagram{t.allLocked(), message}
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

// usageMessages returns messages with the usage of client accounts for the given hosts.
func (t *Table) usageMessages(usage map[string]UsageReport) []Datagram {
	if len(usage) == 0 {
		return nil
	}
	condition := t.condition()
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []Datagram
	for id, report := range usage {
		m := t.members[id]
		if m == nil {
			continue
		}
		message := t.messageLocked(condition)
		message.Usage, message.PastUsage = report.Counts, report.Past
		due = append(due, Datagram{[]Host{m.host}, message})
	}
	return due
}
