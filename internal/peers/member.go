package peers

import (
	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/boottime"
)

// downReports is the number of watchers that must miss a host before hosts that do not watch
// it consider it down. One watcher may be the one that is cut off.
const downReports = 2

// member is the table's entry for another host.
type member struct {
	host Host
	// position is the host's place in the ring.
	position uint64
	// lastRecord is when the host's record was last read from the store.
	lastRecord boottime.Instant
	// lastHeartbeat is when the last heartbeat of this incarnation arrived; 0 before the
	// first. sequence is the highest sequence number in them.
	lastHeartbeat boottime.Instant
	sequence      uint64
	// watchedSince is when this host began to watch the member; 0 if it does not.
	watchedSince boottime.Instant
	// missing is set if this host watches the member and hears nothing of it, and reported if
	// it has said so.
	missing, reported bool
	// reports holds the IDs of the watchers that reported the member as missing.
	reports map[string]struct{}
	// stale is set if this host may have missed messages about the member.
	stale bool
	// lastHello is when the member was last asked for a heartbeat. askedAt is the time of the
	// first request without an answer while the entry is stale, and unreachable is set if the
	// answer is overdue.
	lastHello, askedAt boottime.Instant
	unreachable        bool
	Condition
	suspicion
}

// newMember returns an entry for an incarnation of a host.
func newMember(h Host, now boottime.Instant) *member {
	return &member{host: h, position: xxhash.Sum64String(h.ID), lastRecord: now, reports: make(map[string]struct{})}
}

// down reports whether the host is considered down: by this host's own observation if it
// watches it or has asked it, otherwise by the reports of its watchers.
func (m *member) down() bool {
	if m.watchedSince != 0 {
		return m.missing
	}
	return m.unreachable || len(m.reports) >= downReports
}

// isJudged reports whether this host observes the member itself: it watches it, or it must still
// report its return.
func (m *member) isJudged() bool { return m.watchedSince != 0 || m.reported }

// alive reports whether the host has been heard of, and is neither down nor suspect.
func (m *member) alive() bool { return m.lastHeartbeat != 0 && !m.suspect && !m.down() }

// heard records a message of the host itself, which refutes all reports that it is missing.
func (m *member) heard(now boottime.Instant) {
	m.lastHeartbeat = now
	m.stale, m.askedAt, m.unreachable = false, 0, false
	clear(m.reports)
	m.heartbeatReceived(now)
}
