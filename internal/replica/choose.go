package replica

import (
	"math/rand/v2"
	"time"

	"cowslipgw/internal/route"
)

const (
	// minUnresponsive is the shortest wait for a first byte after which a replica counts
	// as unresponsive.
	minUnresponsive = 150 * time.Millisecond
	// unresponsiveFactor is the same limit as a multiple of the class's baseline latency;
	// the larger of the two applies.
	unresponsiveFactor = 4

	// The costs below are terms of a score; 1 is the baseline latency of a request.

	// crossDomainCost prefers replicas in the host's failure domain: a round trip between
	// domains takes about 2 ms, and the traffic is billed.
	crossDomainCost = 0.12
	// fullCost is the cost of a replica whose slots are all in use; a nearly full replica
	// is slower.
	fullCost = 0.4
	// queueCost is the cost of a queue as long as the replica's number of slots.
	queueCost = 1.5
	// unresponsiveCost is the cost of an unresponsive replica.
	unresponsiveCost = 4
	// failureCost is the cost of a replica that fails every request.
	failureCost = 2
	// maxPreferredFailureRate is the failure rate up to which a replica is preferred for
	// the prefix that it has cached.
	maxPreferredFailureRate = 0.1
	// warmupCost is the cost of a replica that has just started and is still slow.
	warmupCost = 0.5
	// jitter is the size of the random term that spreads hosts with the same view over
	// replicas with equal scores.
	jitter = 0.05
)

// Query describes the replica that an attempt needs.
type Query struct {
	Service string
	// Class names a group of requests with similar latency. Slow replicas are detected
	// by comparison within a class.
	Class string
	// Prefer is the ID of the replica that may have cached the request's prefix. Gain is
	// the time which that saves, as a fraction of the baseline latency.
	Prefer string
	Gain   float64
	// Size is the expected size of the answer, in any unit; 0 if it is unknown.
	Size int
	// Homes restrict the regions of the replicas.
	Homes route.Homes
	// Only, if set, is the ID of the only replica that may be chosen.
	Only string
	// Exclude holds the IDs of replicas that were already tried.
	Exclude map[string]bool
	// Paused selects among the replicas that accept no request for some time, instead of the
	// others: the one that accepts one first.
	Paused bool
}

// rank is a group of replicas. A replica is chosen only if no feasible one has a lower rank.
type rank uint8

const (
	rankNormal rank = iota
	// rankReserved is that of replicas with a rate limit for requests that are too small for
	// them at present.
	rankReserved
	rankEjected
)

// Choose returns a lease on the replica with the lowest score among the feasible ones of the
// lowest rank, or nil if none is feasible.
func (s *Set) Choose(q Query) *Lease {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	sizes := s.sizesLocked(q.Service)
	sizes.observe(q.Size)
	tooSmall := sizes.isTooSmall(q.Size, now)
	var best *Replica
	var bestRank rank
	var bestScore float64
	limited, accepting := 0, 0
	for _, r := range s.services[q.Service] {
		if !s.feasible(r, q, now) {
			continue
		}
		paused := r.limit.paused(now)
		if r.limit.Limited {
			limited++
			if !paused {
				accepting++
			}
		}
		if q.Paused != paused {
			continue
		}
		rank := r.rank(tooSmall, now)
		score := s.score(r, q, now)
		if q.Paused {
			score = r.limit.pausedUntil.Sub(now).Seconds()
		}
		if best == nil || rank < bestRank || (rank == bestRank && score < bestScore) {
			best, bestRank, bestScore = r, rank, score
		}
	}
	if limited > 0 && accepting == 0 && !tooSmall && !q.Paused {
		sizes.raise(now)
	}
	if best == nil {
		return nil
	}
	lease := &Lease{set: s, replica: best, class: q.Class, start: now, small: tooSmall}
	best.inflight++
	s.countClassLocked(best.record.Service, q.Class, 1)
	best.awaitingFirstByte[lease] = struct{}{}
	return lease
}

// rank returns the replica's rank for a request. TooSmall is set if the request is too small for
// replicas with a rate limit.
func (r *Replica) rank(tooSmall bool, now time.Time) rank {
	switch {
	case r.ejected(now):
		return rankEjected
	case tooSmall && r.limit.Limited:
		return rankReserved
	default:
		return rankNormal
	}
}

// feasible reports whether the attempt may be sent to a replica.
func (s *Set) feasible(r *Replica, q Query, now time.Time) bool {
	if (!r.removeAt.IsZero() && now.After(r.removeAt)) || s.isEvacuatedLocked(r.record) ||
		!q.Homes.Allow(s.regions[r.record.Domain]) {
		return false
	}
	s.updateColdLocked(r, now)
	if q.Only != "" {
		return r.record.ID == q.Only
	}
	return !r.record.Draining && !s.isLeavingLocked(r.record) && !q.Exclude[r.record.ID]
}

// score estimates the latency of the attempt at a replica as a multiple of the baseline.
func (s *Set) score(r *Replica, q Query, now time.Time) float64 {
	slots := float64(max(r.record.Slots, 1))
	load := r.estimatedLoad(now)
	score := r.currentSlowness(now)
	score += fullCost * min(load/slots, 1) * min(load/slots, 1)
	score += queueCost * max(load+1-slots, 0) / slots * r.currentSlowness(now)
	if r.record.Domain != s.domain {
		score += crossDomainCost
	}
	if r.record.ColdRemaining > 0 {
		score += warmupCost
	}
	limit := max(minUnresponsive, time.Duration(unresponsiveFactor*s.baselineLocked(q.Class).mean))
	if r.longestFirstByteWait(now) > limit {
		score += unresponsiveCost
	}
	score += failureCost * r.currentFailureRate(now)
	// A replica that failed recently may have lost its cache and may fail again.
	if r.record.ID == q.Prefer && r.currentFailureRate(now) < maxPreferredFailureRate {
		score -= q.Gain
	}
	return score + jitter*rand.Float64()
}
