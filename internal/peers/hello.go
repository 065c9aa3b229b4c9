package peers

import "cowslipgw/internal/boottime"

// askAllLocked has all hosts asked for a heartbeat.
func (t *Table) askAllLocked() {
	for _, m := range t.members {
		m.stale = true
	}
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
