package fleet

import "time"

// Current reports whether this host's records are fresh enough to decide about API keys
// (docs/design.md, section 5.6). The exception for a log outage applies only to a host
// that is in the view: a host that started during the outage has no records and no
// information about other hosts.
func (m *Member) Current(now time.Time) bool {
	if m.readAge() <= FreshnessLimit {
		return true
	}
	freshness := m.Freshness(now)
	if m.Incarnation() == 0 {
		return freshness.RecordAge() <= FreshnessLimit
	}
	return freshness.Current()
}

// Freshness returns the information by which this host decides whether its records are
// current.
func (m *Member) Freshness(now time.Time) Freshness {
	freshness := Freshness{ReadAge: m.readAge()}
	offsets := m.offsets()
	m.mu.Lock()
	defer m.mu.Unlock()
	freshness.InView = m.incarnation != 0
	for _, report := range m.gossip.peers {
		included := true
		for stream, offset := range report.offsets {
			included = included && offsets[stream] >= offset
		}
		freshness.Peers = append(freshness.Peers, PeerFreshness{Age: now.Sub(report.completeAt), Included: included})
	}
	for _, host := range m.View().Hosts {
		if host.ID == m.config.Self.ID {
			continue
		}
		age, down := m.gossip.age(host, now)
		freshness.Others = append(freshness.Others, HostLiveness{SilentFor: age, LogDown: down})
	}
	return freshness
}

// readAge returns the largest read age of all sources. A source that was never read to
// its end counts as older than FreshnessLimit.
func (m *Member) readAge() time.Duration {
	var oldest time.Duration
	for _, source := range m.sources {
		age, read := source.Age()
		if !read {
			age = max(age, FreshnessLimit+time.Nanosecond)
		}
		oldest = max(oldest, age)
	}
	return oldest
}
