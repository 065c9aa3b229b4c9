package peers

import (
	"time"

	"cowslipgw/internal/boottime"
)

const (
	// suspicionMemory is the time in which a further failed call counts as a repetition.
	suspicionMemory = 5 * time.Second
	// suspicionMin and suspicionMax bound how long a host stays suspect after repeated
	// failures. A slow host sends heartbeats all the while, and each change of mind moves
	// its partitions.
	suspicionMin = time.Second
	suspicionMax = 8 * time.Second
)

// suspicion is whether calls to a host fail.
type suspicion struct {
	suspect bool
	// since is when the last suspicion began, and hold how long it lasts in spite of
	// heartbeats; 0 for the first failure.
	since boottime.Instant
	hold  time.Duration
}

// raise notes a failed call.
func (s *suspicion) raise(now boottime.Instant) {
	if s.suspect {
		return
	}
	switch {
	case s.since == 0 || now.Sub(s.since) > s.hold+suspicionMemory:
		s.hold = 0
	default:
		s.hold = min(max(2*s.hold, suspicionMin), suspicionMax)
	}
	s.suspect, s.since = true, now
}

// clear notes a heartbeat.
func (s *suspicion) clear(now boottime.Instant) {
	if now.Sub(s.since) >= s.hold {
		s.suspect = false
	}
}
