package fleet

import "time"

// Current reports whether this host's records are fresh enough to decide about
// keys (docs/design.md, section 5.6). An outage of the log excuses only a host that is in
// the view: one that started during the outage has no records and knows of no others.
func (m *Member) Current(now time.Time) bool {
	if m.readAge() <= FreshFor {
		return true
	}
	freshness := m.Freshness(now)
	if m.Incarnation() == 0 {
		return freshness.Known() <= FreshFor
	}
	return freshness.Current()
}

// Freshness returns what this host knows about the age of its records.
func (m *Member) Freshness(now time.Time) Freshness {
	freshness := Freshness{Read: m.readAge()}
	offsets := m.offsets()
	m.mu.Lock()
	defer m.mu.Unlock()
	freshness.Member = m.incarnation != 0
	for _, report := range m.gossip.peers {
		included := true
		for stream, offset := range report.offsets {
			included = included && offsets[stream] >= offset
		}
		freshness.Peers = append(freshness.Peers, PeerKnowledge{Known: now.Sub(report.known), Included: included})
	}
	for _, host := range m.View().Hosts {
		if host.ID == m.config.Self.ID {
			continue
		}
		age, down := m.gossip.age(host, now)
		freshness.Others = append(freshness.Others, HostKnowledge{Heard: age, LogDown: down})
	}
	return freshness
}

// readAge is the time since all streams were read to the end of the log.
func (m *Member) readAge() time.Duration {
	var oldest time.Duration
	for _, source := range m.sources {
		age, read := source.Age()
		if !read {
			age = max(age, FreshFor+time.Nanosecond)
		}
		oldest = max(oldest, age)
	}
	return oldest
}
