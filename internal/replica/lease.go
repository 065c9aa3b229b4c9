package replica

import "time"

// Lease is one attempt that is in flight at a replica. It must be ended with Done.
type Lease struct {
	set     *Set
	replica *Replica
	class   string
	start   time.Time
	// small is set if the request is too small for replicas with a rate limit.
	small bool
	work  Work
	// tokens is the memory that the request is expected to take.
	tokens float64
	// expected is the expected time until the end of the answer.
	expected time.Duration
	// preferred is set if the replica may have cached the prompt.
	preferred bool
	// reserved is set once a part of the replica's rate is reserved for the attempt.
	reserved bool
	// sticky is set if the preference follows from an affinity key.
	sticky bool
	// ended is Query.Ended; nil if the replica was not assigned.
	ended         func(pace float64)
	firstByteSeen bool
	done          bool
}

// Record returns the replica's current record.
func (l *Lease) Record() Record {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	return l.replica.record
}

// Result is the outcome of an attempt.
type Result uint8

// The results of attempts.
const (
	// Answered means that the replica returned a complete answer.
	Answered Result = iota
	// Refused means that the replica reported that it did not run the request.
	Refused
	// Broken means that the answer was invalid or incomplete.
	Broken
	// Reset means that the connection was closed before any byte of an answer arrived.
	Reset
	// Unreachable means that no connection could be opened.
	Unreachable
	// NotSent means that the attempt was not begun.
	NotSent
	// LinkLost means that this host lost its own link to the replica, which says nothing about
	// the replica.
	LinkLost
	// Abandoned means that the caller disconnected or the deadline passed, which may not
	// be the replica's fault.
	Abandoned
)

// FirstByte records that the replica has begun to answer.
func (l *Lease) FirstByte() {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	if !l.firstByteSeen && !l.preferred && l.work.OwnTokens > 0 {
		l.set.lengthsLocked(l.class).reading.observe(l.work.OwnTokens, time.Since(l.start))
	}
	l.firstByteLocked()
}

func (l *Lease) firstByteLocked() {
	l.firstByteSeen = true
	delete(l.replica.awaitingFirstByte, l)
}

// Load records the load that the replica reported.
func (l *Lease) Load(load Load) {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	r, now := l.replica, time.Now()
	r.others, r.othersAt = float64(max(load.Running+load.Waiting-r.inflight, 0)), now
	r.pace.observe(load.Pace, now)
	if load.Pace > 0 {
		l.set.paced[r.record.Service] = true
	}
}

// Done ends the lease. The latency of the attempt is divided by units, the number of
// similar units of work in it, which counts as at least 1. Further calls have no effect.
func (l *Lease) Done(result Result, units int) {
	if pace, isFirst := l.finish(result, units); isFirst && l.ended != nil {
		l.ended(pace)
	}
}

// finish is Done without the report of the end. It returns the latency as a multiple of the usual
// one, 0 if there was no answer; isFirst is false for further calls.
func (l *Lease) finish(result Result, units int) (pace float64, isFirst bool) {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	if l.done {
		return 0, false
	}
	l.done = true
	r := l.replica
	r.inflight--
	r.tokens -= l.tokens
	l.set.countClassLocked(r.record.Service, l.class, -1)
	noFirstByte := !l.firstByteSeen
	l.firstByteLocked()
	now := time.Now()
	switch result {
	case Answered:
		r.recordSuccess(now)
		l.set.demandLocked(r.record.Service).observe(now.Sub(l.start), r.currentPace(now))
		if l.expected > 0 {
			timeEstimateRatio.Update(float64(now.Sub(l.start)) / float64(l.expected))
		}
		if l.work.TokensPerEvent > 0 && units > 0 {
			lengths, tokens := l.set.lengthsLocked(l.class), units*l.work.TokensPerEvent
			if mean, _ := lengths.expected(l.work); mean > 0 {
				lengthEstimateRatio.Update(float64(tokens) / mean)
			}
			lengths.observe(l.work, tokens)
		}
		pace = l.set.baselineLocked(l.class).observe(now.Sub(l.start) / time.Duration(max(units, 1)))
		r.recordLatency(pace, now)
		if l.sticky {
			l.set.affinityLocked(l.class).observe(l.preferred, pace)
		}
	case Broken, Reset, Unreachable:
		if r.recordFailure(result != Broken, now) {
			l.set.logEjection(r.record, r.ejection)
		}
	case Abandoned:
		if noFirstByte {
			r.recordLatency(l.set.baselineLocked(l.class).relative(now.Sub(l.start)), now)
		}
	}
	return pace, true
}

// IsAssigned reports whether the replica is the one that the owner of the service has assigned.
func (l *Lease) IsAssigned() bool { return l.ended != nil }
