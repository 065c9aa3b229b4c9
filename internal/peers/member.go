package peers

import "cowslipgw/internal/boottime"

// member is what the table knows of another host.
type member struct {
	host Host
	// recorded is when the host's record was last read from the store.
	recorded boottime.Instant
	// heard is when the last heartbeat of this incarnation arrived; 0 before the first.
	heard boottime.Instant
	Condition
	suspicion
}

// alive reports whether the host was heard of lately and no call failed since.
func (m *member) alive(now boottime.Instant, timeout int64) bool {
	return m.heard != 0 && !m.suspect && int64(now-m.heard) < timeout
}
