package peers

import (
	"time"

	"cowslipgw/internal/boottime"
)

const (
	// suspicionWindow is the time after a suspicion in which another failed call counts as
	// a repeated failure.
	suspicionWindow = 5 * time.Second
	// minSuspicion and maxSuspicion bound how long a host stays suspect after repeated
	// failures, in spite of heartbeats. A slow host keeps sending heartbeats, and each
	// change of its state moves its partitions.
	minSuspicion = time.Second
	maxSuspicion = 8 * time.Second
)

// suspicion tracks whether calls to a host fail.
type suspicion struct {
	suspect bool
	// since is the start of the last suspicion. Heartbeats clear the suspicion only after
	// hold, which is 0 for a first failure and doubles with repeated failures, from
	// minSuspicion to maxSuspicion.
	since boottime.Instant
	hold  time.Duration
}

// callFailed marks the host as suspect after a failed call.
func (s *suspicion) callFailed(now boottime.Instant) {
	if s.suspect {
		return
	}
	switch {
	case s.since == 0 || now.Sub(s.since) > s.hold+suspicionWindow:
		s.hold = 0
	default:
		s.hold = min(max(2*s.hold, minSuspicion), maxSuspicion)
	}
	s.suspect, s.since = true, now
}

// heartbeatReceived clears the suspicion if its hold time is over.
func (s *suspicion) heartbeatReceived(now boottime.Instant) {
	if now.Sub(s.since) >= s.hold {
		s.suspect = false
	}
}
