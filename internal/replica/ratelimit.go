package replica

import (
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/event"
)

// RateLimit is the rate of requests that a replica accepts from all hosts together, as it
// reports it with its answers.
type RateLimit struct {
	Limited bool
	// PerSecond is the number of requests per second if Limited is set.
	PerSecond float64
}

var limitedRequests = metrics.NewCounter("cowslipgw_replica_limited_requests_total")

// loggedRateChange is the relative change of a limit from which on it is logged.
const loggedRateChange = 0.1

// limitState is the rate limit that this host knows of a replica.
type limitState struct {
	RateLimit
	// learnedAt is when the limit was last confirmed, and confirmedAt the same by the clock that
	// counts suspensions, for hosts that compare what they know.
	learnedAt   time.Time
	confirmedAt boottime.Instant
	// since is when the limit came into force, sent the number of this host's attempts since
	// then, and logged the rate that was last logged.
	since  time.Time
	sent   int
	logged float64
	// pausedUntil is when the replica accepts the next request.
	pausedUntil time.Time
}

// paused reports whether the replica accepts no request at present.
func (l *limitState) paused(now time.Time) bool { return l.Limited && l.pausedUntil.After(now) }

// RateLimit records the rate limit that an answer reports. Answers overtake each other: one to
// a request that was sent before the limit was reported does not lift it.
func (l *Lease) RateLimit(limit RateLimit) {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	r := l.replica
	if !limit.Limited && l.start.Before(r.limit.learnedAt) {
		return
	}
	known := r.limit.RateLimit
	if r.cold.applied {
		known, r.cold.answered = r.cold.answered, limit
	}
	isNew := limit.Limited && !known.Limited
	l.set.setLimitLocked(r, l.set.effectiveLimitLocked(r, limit), time.Now())
	if isNew && l.set.onLimit != nil {
		go l.set.onLimit(r.record, limit.PerSecond)
	}
}

// OnLimit sets the function that is called when an answer is the first to report that a replica
// has a rate limit. It must be set before the set is used.
func (s *Set) OnLimit(f func(record Record, perSecond float64)) { s.onLimit = f }

// LearnLimit records the rate limit of one incarnation of a replica that another host reports,
// unless the limit is known already.
func (s *Set) LearnLimit(id string, incarnation int64, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.byID[id]
	if r == nil || r.record.Born != incarnation || r.limit.Limited || !(perSecond >= 0) || math.IsInf(perSecond, 1) {
		return
	}
	s.setLimitLocked(r, RateLimit{Limited: true, PerSecond: perSecond}, time.Now())
}

// setLimitLocked updates the limit of a replica and logs significant changes.
func (s *Set) setLimitLocked(r *Replica, limit RateLimit, now time.Time) {
	old := r.limit
	switch {
	case !limit.Limited && !old.Limited:
		return
	case !limit.Limited:
		r.limit = limitState{}
	case !old.Limited:
		r.limit = limitState{RateLimit: limit, learnedAt: now, confirmedAt: boottime.Now(), since: now, logged: limit.PerSecond}
	default:
		r.limit.RateLimit, r.limit.learnedAt, r.limit.confirmedAt = limit, now, boottime.Now()
		if math.Abs(limit.PerSecond-old.logged) <= loggedRateChange*old.logged {
			return
		}
		r.limit.logged = limit.PerSecond
	}
	fields := event.Fields{"replica": r.record.ID, "service": r.record.Service, "limited": limit.Limited, "per_second": limit.PerSecond}
	if old.Limited {
		fields["limited_ms"], fields["sent"] = now.Sub(old.since).Milliseconds(), old.sent
	}
	s.events.Log(event.ReplicaLimitChanged, fields)
}

// Preferred returns which replica a session should prefer after a turn at the replica used, if it
// preferred previous before. Turns can return from a replica with a rate limit to the one that
// has most of the session cached.
func (s *Set) Preferred(previous, used string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, u := s.byID[previous], s.byID[used]
	if p != nil && u != nil && u.limit.Limited && !p.limit.Limited {
		return previous
	}
	return used
}

// Limit returns the replica's rate limit and the time since it was confirmed.
func (l *Lease) Limit() (limit RateLimit, age time.Duration) {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	l.set.updateColdLocked(l.replica, time.Now())
	return l.replica.limit.RateLimit, boottime.Since(l.replica.limit.confirmedAt)
}

// LearnLimit records the rate that a replica accepts as another host learned it, unless this
// host knows a later one or that there is none. Age is the time since then.
func (l *Lease) LearnLimit(perSecond float64, age time.Duration) {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	confirmed := boottime.Now().Add(-age)
	if limit := &l.replica.limit; limit.Limited && confirmed > limit.confirmedAt {
		if l.replica.cold.applied {
			perSecond = min(perSecond, l.set.coldRates[l.replica.record.Service])
		}
		limit.PerSecond, limit.learnedAt, limit.confirmedAt = perSecond, time.Now().Add(-age), confirmed
	}
}

// Delay sets the attempt's start to a later time, at which the replica accepts it.
func (l *Lease) Delay(wait time.Duration) {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	now := time.Now()
	l.start, l.reserved = now.Add(wait), true
	if !l.small {
		l.set.sizesLocked(l.replica.record.Service).lower(now)
	}
	if l.replica.limit.Limited {
		l.replica.limit.sent++
		limitedRequests.Inc()
	}
}

// Pause ends the lease without an attempt. The replica is not chosen before it accepts the next
// request.
func (l *Lease) Pause(wait time.Duration) {
	l.Done(NotSent, 1)
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	l.replica.limit.pausedUntil = time.Now().Add(wait)
}
