package peers

import "cowslipgw/internal/boottime"

// member is the table's entry for another host.
type member struct {
	host Host
	// lastRecord is when the host's record was last read from the store.
	lastRecord boottime.Instant
	// lastHeartbeat is when the last heartbeat of this incarnation arrived; 0 before the
	// first.
	lastHeartbeat boottime.Instant
	Condition
	suspicion
}

// alive reports whether the host's last heartbeat is recent and the host is not suspect.
func (m *member) alive(now boottime.Instant, timeout int64) bool {
	return m.lastHeartbeat != 0 && !m.suspect && int64(now-m.lastHeartbeat) < timeout
}
