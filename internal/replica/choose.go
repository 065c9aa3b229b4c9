package replica

import (
	"math"
	"time"

	"cowslipgw/internal/route"
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
	// Affinity is the key of requests that should go to the same replica; empty for none. It
	// determines Prefer and Gain unless Prefer is set.
	Affinity string
	// Size is the expected size of the answer, in any unit; 0 if it is unknown.
	Size int
	// Work is what the request takes from an engine; zero for plain services.
	Work Work
	// Homes restrict the regions of the replicas.
	Homes route.Homes
	// Only, if set, is the ID of the only replica that may be chosen.
	Only string
	// Exclude holds the IDs of replicas that were already tried.
	Exclude map[string]bool
	// Paused selects among the replicas that accept no request for some time, instead of the
	// others: the one that accepts one first.
	Paused bool
	// Assigned is the hash of the replica that the owner of the service has assigned; 0 for none. It is
	// chosen unless this host finds it unusable. Ended is then called at the end of the lease with the
	// time that the answer took, as a multiple of the usual time; 0 if there was no answer.
	Assigned uint32
	Ended    func(pace float64)
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

// Choose returns a lease on the replica with the lowest estimated cost among the feasible ones of the
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
	var bestCost float64
	limited, accepting := 0, 0
	sticky := q.Affinity != "" && q.Prefer == "" && q.Only == "" && len(q.Exclude) == 0
	s.preferAffineLocked(&q, now)
	e := s.estimateLocked(&q, now)
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
		cost := e.cost(r, now)
		if r.hash == q.Assigned && rank == rankNormal && !e.isUnresponsive(r, now) {
			cost = math.Inf(-1)
		}
		if q.Paused {
			cost = r.limit.pausedUntil.Sub(now).Seconds()
		}
		if best == nil || rank < bestRank || (rank == bestRank && cost < bestCost) {
			best, bestRank, bestCost = r, rank, cost
		}
	}
	if limited > 0 && accepting == 0 && !tooSmall && !q.Paused {
		sizes.raise(now)
	}
	if best == nil {
		return nil
	}
	lease := &Lease{set: s, replica: best, class: q.Class, start: now, small: tooSmall, work: q.Work, tokens: e.footprint,
		preferred: best.record.ID == q.Prefer || q.Only != "", sticky: sticky, expected: e.expected(best, now)}
	if q.Assigned == best.hash {
		lease.ended = q.Ended
	}
	best.inflight++
	best.tokens += e.footprint
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
