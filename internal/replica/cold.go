package replica

import (
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowslipgw/internal/event"
	"cowslipgw/internal/route"
)

const (
	// coldShare is the part of the rate of a cold replica that is used. While hosts that have lost the
	// owner use their share, half of the rate, and the owner still gives out the rate and a burst of
	// 250 ms, 25 a second may become 44 in a second at 0.9; 42.5 are allowed.
	coldShare = 0.8
	// maxRecordLag is the time for which a record that is read may have been written before: records
	// are read up to once a second.
	maxRecordLag = 1500 * time.Millisecond
	// maxGrantAge is how long after its time a request may be sent to a cold replica.
	maxGrantAge = 500 * time.Millisecond
	// defaultColdTime is how long replicas stay cold if the configuration does not say so.
	defaultColdTime = 3 * time.Second
)

// ErrCold is returned for a cold replica if its rate was not reserved for the request.
var ErrCold = errors.New("replica is cold")

var replicasCold = metrics.NewCounter("cowslipgw_replicas_cold_total")

// Causes for which a replica counts as cold, as logs name them.
const (
	coldByRecord    = "record"
	coldByAnswer    = "answer"
	coldByHost      = "other host"
	coldByReturning = "end of evacuation"
)

// coldState is what this host knows of the cold period of a replica.
type coldState struct {
	// until is the end of the period.
	until time.Time
	cause string
	// toldAt is when the period was last reported or assumed.
	toldAt time.Time
	// firmUntil is the time until which records do not end the period, since they may have been
	// written before it.
	firmUntil time.Time
	// applied is set while the rate limit of the replica is that of its cold period. Answered is the
	// limit that its answers report.
	applied  bool
	answered RateLimit
}

// Configure takes over from the configuration how services' replicas behave while cold.
func (s *Set) Configure(t *route.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldRates = make(map[string]float64)
	s.coldTimes = make(map[string]time.Duration)
	for name, service := range t.Services {
		if service.ColdPerSecond > 0 {
			s.coldRates[name], s.coldTimes[name] = coldShare*service.ColdPerSecond, service.ColdTime
			if service.ColdTime <= 0 {
				s.coldTimes[name] = defaultColdTime
			}
		}
	}
}

// OnCold sets the function that is called when an answer is the first to say that a replica is cold.
// It must be set before the set is used.
func (s *Set) OnCold(f func(i Incarnation, remaining time.Duration)) { s.onCold = f }

// isColdLocked reports whether a replica is cold, which limits its rate.
func (s *Set) isColdLocked(r *Replica, now time.Time) bool {
	return now.Before(r.cold.until) && s.coldRates[r.record.Service] > 0
}

// updateColdLocked brings the rate limit of a replica in line with its cold period.
func (s *Set) updateColdLocked(r *Replica, now time.Time) {
	switch cold := s.isColdLocked(r, now); {
	case cold && !r.cold.applied:
		r.cold.applied, r.cold.answered = true, r.limit.RateLimit
		replicasCold.Inc()
		s.events.Log(event.ReplicaCold, event.Fields{"replica": r.record.ID, "service": r.record.Service, "cold": true,
			"cause": r.cold.cause, "remaining_ms": r.cold.until.Sub(now).Milliseconds()})
		s.setLimitLocked(r, s.effectiveLimitLocked(r, r.cold.answered), now)
	case !cold && r.cold.applied:
		r.cold.applied = false
		s.events.Log(event.ReplicaCold, event.Fields{"replica": r.record.ID, "service": r.record.Service, "cold": false})
		s.setLimitLocked(r, r.cold.answered, now)
	}
}

// effectiveLimitLocked returns the limit of a replica whose answers report the given one.
func (s *Set) effectiveLimitLocked(r *Replica, answered RateLimit) RateLimit {
	if !r.cold.applied {
		return answered
	}
	cold := RateLimit{Limited: true, PerSecond: s.coldRates[r.record.Service]}
	if answered.Limited {
		cold.PerSecond = min(cold.PerSecond, answered.PerSecond)
	}
	return cold
}

// coldFromRecordLocked takes over what a record that was just read says of the cold period.
func (s *Set) coldFromRecordLocked(r *Replica, now time.Time) {
	until := now.Add(r.record.ColdRemaining)
	switch isFirm := now.Before(r.cold.firmUntil); {
	case r.record.ColdRemaining > 0 && !(isFirm && until.Before(r.cold.until)):
		r.cold.until, r.cold.cause, r.cold.toldAt = until, coldByRecord, now
	case r.record.ColdRemaining <= 0 && !isFirm:
		r.cold.until = time.Time{}
	}
	s.updateColdLocked(r, now)
}

// setColdLocked records that a replica is cold, as something later than its last record says.
func (s *Set) setColdLocked(r *Replica, remaining time.Duration, cause string) {
	now := time.Now()
	if until := now.Add(remaining); until.After(r.cold.until) || cause == coldByAnswer {
		r.cold.until, r.cold.cause = until, cause
	}
	r.cold.toldAt, r.cold.firmUntil = now, now.Add(maxRecordLag)
	s.updateColdLocked(r, now)
}

// Cold records what an answer says of the cold period of a replica; remaining is 0 if it is over. The
// request was sent at the given time.
func (s *Set) Cold(record Record, sent time.Time, remaining time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.byID[record.ID]
	if r == nil || r.record.Born != record.Born {
		return
	}
	if remaining <= 0 {
		// An answer to a request from before the period was reported says nothing about it.
		if sent.After(r.cold.toldAt) {
			r.cold.until = time.Time{}
			s.updateColdLocked(r, time.Now())
		}
		return
	}
	isNew := !r.cold.applied
	s.setColdLocked(r, remaining, coldByAnswer)
	if isNew && r.cold.applied && s.onCold != nil {
		go s.onCold(record.Incarnation(), remaining)
	}
}

// LearnCold records that another host reports that an incarnation of a replica is cold.
func (s *Set) LearnCold(i Incarnation, remaining time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.byID[i.ID]
	if r == nil || r.record.Born != i.Born || remaining <= 0 {
		return
	}
	// A replica is cold for its start time at most, whatever the message says.
	s.setColdLocked(r, min(remaining, s.coldTimes[r.record.Service]), coldByHost)
}

// coldAfterReturnLocked counts the replicas of a domain as cold whose evacuation has ended. They may
// have become cold during it, and may say so only later.
func (s *Set) coldAfterReturnLocked(domain string) {
	for _, r := range s.byID {
		if r.record.Domain == domain && s.coldRates[r.record.Service] > 0 {
			s.setColdLocked(r, s.coldTimes[r.record.Service], coldByReturning)
		}
	}
}

// ColdRate returns the rate that a replica accepts because it is cold; ok is false if it is not.
func (s *Set) ColdRate(record Record) (perSecond float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.byID[record.ID]
	if r == nil || r.record.Born != record.Born || !s.isColdLocked(r, time.Now()) {
		return 0, false
	}
	return s.coldRates[record.Service], true
}

// ColdReplicas returns the number of cold replicas by service.
func (s *Set) ColdReplicas() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	counts := make(map[string]int)
	for _, r := range s.byID {
		if s.isColdLocked(r, now) {
			counts[r.record.Service]++
		}
	}
	return counts
}

// CheckSend returns an error if the attempt may not be sent at this moment: the replica's failure
// domain was evacuated, or it has become cold since it was chosen.
func (l *Lease) CheckSend() error {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	r := l.replica
	now := time.Now()
	switch {
	case l.set.isEvacuatedLocked(r.record):
		return ErrEvacuated
	case l.set.isColdLocked(r, now) && !l.isReservedLocked(now):
		return ErrCold
	}
	return nil
}

// Reserved reports whether a part of the replica's rate is reserved for the attempt.
func (l *Lease) Reserved() bool {
	l.set.mu.Lock()
	defer l.set.mu.Unlock()
	return l.isReservedLocked(time.Now())
}

func (l *Lease) isReservedLocked(now time.Time) bool {
	return l.reserved && now.Sub(l.start) <= maxGrantAge
}
