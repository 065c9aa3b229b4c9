package replica

import (
	"math/rand/v2"
	"time"
)

const (
	// silentLimit is the time without a first byte from which a replica may be dead.
	silentLimit = 150 * time.Millisecond
	// silentUsual is the same as a multiple of the usual time.
	silentUsual = 4
	// Parts of a score; 1 stands for the usual time of a request.

	// zoneCost prefers replicas in the host's zone: a round trip between zones takes
	// about 2 ms and its bytes are paid for.
	zoneCost = 0.12
	// fullCost is the cost of the last free slot; a nearly full replica is slower.
	fullCost = 0.4
	// queueCost is the cost of a whole queue of the size of its slots.
	queueCost = 1.5
	// suspectCost is the cost of a replica that owes a first byte for too long.
	suspectCost = 4
	// failureCost is the cost of a replica that fails every request.
	failureCost = 2
	// preferFailures is the share of failed requests up to which a replica is preferred for
	// the prefix that it holds.
	preferFailures = 0.1
	// coldCost is the cost of a replica that has just started.
	coldCost = 0.5
	// jitter spreads hosts with the same view over replicas of the same score.
	jitter = 0.05
)

// Query says what an attempt needs.
type Query struct {
	Service string
	// Class groups requests of like duration, for the judgement of slow replicas.
	Class string
	// Prefer names the replica that may hold the request's prefix; Gain is what that
	// saves as a part of the usual time.
	Prefer string
	Gain   float64
	// Exclude names replicas that were tried.
	Exclude map[string]bool
}

// Choose takes a lease of the best replica, or returns nil if there is none.
func (s *Set) Choose(q Query) *Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var best, fallback *Replica
	bestScore, fallbackScore := 0.0, 0.0
	for _, r := range s.services[q.Service] {
		if !s.feasible(r, q, now) {
			continue
		}
		score := s.score(r, q, now)
		if r.ejected(now) {
			if fallback == nil || score < fallbackScore {
				fallback, fallbackScore = r, score
			}
			continue
		}
		if best == nil || score < bestScore {
			best, bestScore = r, score
		}
	}
	if best == nil {
		best = fallback
	}
	if best == nil {
		return nil
	}
	lease := &Lease{set: s, replica: best, class: q.Class, start: now}
	best.inflight++
	best.silent[lease] = struct{}{}
	return lease
}

// feasible reports whether a replica may get the attempt.
func (s *Set) feasible(r *Replica, q Query, now time.Time) bool {
	if !r.removeAt.IsZero() && now.After(r.removeAt) {
		return false
	}
	return !r.record.Draining && !q.Exclude[r.record.ID]
}

// score estimates the time of the attempt at a replica as a multiple of the usual.
func (s *Set) score(r *Replica, q Query, now time.Time) float64 {
	slots := float64(max(r.record.Slots, 1))
	load := r.load(now)
	score := r.slow(now)
	score += fullCost * min(load/slots, 1) * min(load/slots, 1)
	score += queueCost * max(load+1-slots, 0) / slots * r.slow(now)
	if r.record.Zone != s.zone {
		score += zoneCost
	}
	if r.record.Cold > 0 {
		score += coldCost
	}
	limit := max(silentLimit, time.Duration(silentUsual*s.usualLocked(q.Class).mean))
	if r.oldestSilent(now) > limit {
		score += suspectCost
	}
	score += failureCost * r.failing(now)
	// A replica that failed lately may have lost its cache, and may fail again.
	if r.record.ID == q.Prefer && r.failing(now) < preferFailures {
		score -= q.Gain
	}
	return score + jitter*rand.Float64()
}
