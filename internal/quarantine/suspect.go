package quarantine

import (
	"math/rand/v2"
	"time"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/replica"
)

// suspect is a request under which replicas have crashed.
type suspect struct {
	// crashed holds the replicas that ended under the request, and reporters the hosts that saw
	// them end.
	crashed   map[replica.Incarnation]struct{}
	reporters map[string]struct{}
	lastCrash boottime.Instant
	// programs holds the programs of which the request was a part when replicas ended.
	programs map[uint64]struct{}
	// until is the end of the last quarantine, and length its length.
	until  boottime.Instant
	length time.Duration
	// repeatAt is when this host tells all others of the quarantine, unless another one does.
	repeatAt boottime.Instant
}

func newSuspect(now boottime.Instant) *suspect {
	return &suspect{crashed: make(map[replica.Incarnation]struct{}), reporters: make(map[string]struct{}),
		programs: make(map[uint64]struct{}), lastCrash: now}
}

// add records a crash. Beyond what quarantines the request, crashes need not be told apart.
func (s *suspect) add(host string, run replica.Incarnation, program uint64, now boottime.Instant) {
	if len(s.crashed) <= crashThreshold {
		s.crashed[run] = struct{}{}
	}
	if len(s.reporters) <= minReporters {
		s.reporters[host] = struct{}{}
	}
	if program != 0 && len(s.programs) <= crashThreshold {
		s.programs[program] = struct{}{}
	}
	s.lastCrash = now
}

// hold returns how long a copy of the request in another program must wait: the program in which
// the replica ended repeats the request, and shows whether it is the cause.
func (s *suspect) hold(d Digest, program uint64, now boottime.Instant) time.Duration {
	if _, isOwn := s.programs[program]; isOwn || program == 0 || len(s.programs) == 0 || !d.hasBody() {
		return 0
	}
	return s.lastCrash.Add(copyHold).Sub(now)
}

// quarantine begins a quarantine and returns its length. Once that is over, one further crash
// begins the next.
func (s *suspect) quarantine(d Digest, now boottime.Instant) time.Duration {
	switch {
	case d.hasBody():
		s.length = maxQuarantineTime
	case s.length == 0:
		s.length = pathQuarantineTime
	default:
		s.length = min(2*s.length, maxQuarantineTime)
	}
	s.until = now.Add(s.length)
	s.scheduleRepeat(now)
	return s.length
}

// expired reports whether the request may be forgotten.
func (s *suspect) expired(now boottime.Instant) bool {
	return now.Sub(max(s.lastCrash, s.until)) > suspectLifetime
}

// scheduleRepeat sets the time of the next notice after one was sent or heard.
func (s *suspect) scheduleRepeat(now boottime.Instant) {
	s.repeatAt = now.Add(repeatInterval + rand.N(repeatJitter))
}
