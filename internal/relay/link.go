package relay

import (
	"time"

	"cowslipgw/internal/replica"
)

// unconfirmedLoss is how long a link counts as lost without another host that reaches the replica.
const unconfirmedLoss = time.Second

// link is what this host knows of its own link to the address of a replica.
type link struct {
	// record is that of the replica which last used the address.
	record replica.Record
	// heardAt is when the replica last answered or accepted a connection.
	heardAt time.Time
	// lost is set if no connection could be opened, and confirmed if another host has reached the
	// replica since then.
	lost, confirmed bool
	// lostAt is when the link was lost.
	lostAt time.Time
	// usedAt is when a request for the replica last came, probedAt when the lost link was last
	// probed.
	usedAt, probedAt time.Time
	// check is the check in progress; nil if there is none.
	check *check
	// unansweredAt is when the last check began if nothing responded, and zero otherwise.
	unansweredAt time.Time
	// loss shows that open connections are lost, too.
	loss evidence
}

// isAvoided reports whether the link must not be used: it is lost, or a connection has just failed.
func (l *link) isAvoided(now time.Time) bool {
	return l.confirmed || (l.lost && now.Sub(l.lostAt) < unconfirmedLoss)
}

// condition is how a link may be used.
type condition uint8

const (
	// usable links can be used.
	usable condition = iota
	// doubtful links must be checked first.
	doubtful
	// unusable links are lost.
	unusable
)
