package replica

import (
	"math"
	"time"
)

const (
	// slownessWeight is the weight of a new sample in the moving average of slowness.
	slownessWeight = 0.15
	// slownessNoise is how far the slowness differs from 1 because requests do. Without it, hosts
	// send too much to the replicas whose last requests happened to be short: of turns whose
	// replica is known by latency alone, 0.37 instead of 0.51 find it full.
	slownessNoise = 0.2
	// maxSlownessSample caps a single sample, so that one long request has little effect.
	maxSlownessSample = 8
	// slownessHalfLife is the decay time of slowness, so that a slow replica which gets no
	// requests is tried again.
	slownessHalfLife = 3 * time.Second
	// failureRateHalfLife is the half-life of the failure rate, so that a failing replica
	// which gets no requests is tried again.
	failureRateHalfLife = 2 * time.Second
	// failureWeight is the weight of a new result in the moving average of failures.
	failureWeight = 0.2
	// ejectFailureRate is the failure rate at which a replica is ejected.
	ejectFailureRate = 0.45
	// minEjection is how long a replica is ejected after it was unreachable or failed too
	// often. The time doubles with each further failure, up to maxEjection.
	minEjection = 400 * time.Millisecond
	maxEjection = 3 * time.Second
)

// Replica holds a replica's record and this host's observations of it. It is guarded by
// the set's mutex.
type Replica struct {
	record Record
	// inflight is the number of this host's attempts that have not ended;
	// awaitingFirstByte holds those of them without a first byte.
	inflight          int
	awaitingFirstByte map[*Lease]struct{}
	// tokens is the memory that this host's attempts take, in tokens.
	tokens float64
	// others is the number of requests of other hosts at the replica at the time othersAt.
	others   float64
	othersAt time.Time
	// reportedInflight is the number of this host's attempts in its last report to the
	// service's owner, and hash identifies the replica in such reports.
	reportedInflight int
	hash             uint32
	pace             pace
	slowness         float64
	slownessAt       time.Time
	failureRate      float64
	failureRateAt    time.Time
	// ejectedUntil is the end of the last ejection, and ejection its length, which a
	// success resets.
	ejectedUntil time.Time
	ejection     time.Duration
	// probing is set after the replica seemed to be down, until it answers a request.
	// Meanwhile it gets one request at a time.
	probing bool
	limit   limitState
	cold    coldState
	// removeAt is the time at which a replica without a record is removed; it is zero while
	// the replica has one.
	removeAt time.Time
}

func newReplica(record Record) *Replica {
	return &Replica{record: record, hash: record.Incarnation().Hash(), awaitingFirstByte: make(map[*Lease]struct{}), slowness: 1}
}

// currentSlowness returns the replica's latency as a multiple of the baseline, decayed
// since the last sample.
func (r *Replica) currentSlowness(now time.Time) float64 {
	decay := float64(now.Sub(r.slownessAt)) / float64(slownessHalfLife)
	if decay < 1 || r.slowness <= 1 {
		return r.slowness
	}
	return 1 + (r.slowness-1)/decay
}

// currentPace returns how long work takes at the replica, as a multiple of the usual time: what
// the replica reports, or what its latency shows if that is longer.
func (r *Replica) currentPace(now time.Time) float64 {
	slowness := r.currentSlowness(now)
	slowness -= min(max(slowness-1, -slownessNoise), slownessNoise)
	return max(r.pace.current(now), slowness)
}

// awaited returns the longest time for which an attempt in flight has waited for its first byte, and
// the number of prompt tokens that are read meanwhile.
func (r *Replica) awaited(now time.Time) (longest time.Duration, tokens int) {
	for lease := range r.awaitingFirstByte {
		longest = max(longest, now.Sub(lease.start))
		if !lease.preferred {
			tokens += lease.work.OwnTokens
		}
	}
	return longest, tokens
}

// recordLatency adds a request's latency, given as a multiple of the baseline.
func (r *Replica) recordLatency(relative float64, now time.Time) {
	current := r.currentSlowness(now)
	r.slowness = current + slownessWeight*(min(relative, maxSlownessSample)-current)
	r.slownessAt = now
}

// recordFailure adds a failed request. If down is set, no process seems to answer at the
// replica, and it is ejected immediately. The result reports whether this failure began an
// ejection.
func (r *Replica) recordFailure(down bool, now time.Time) bool {
	r.failureRate = r.currentFailureRate(now) + failureWeight*(1-r.currentFailureRate(now))
	r.failureRateAt = now
	r.probing = r.probing || down
	if !down && r.failureRate < ejectFailureRate {
		return false
	}
	newlyEjected := now.After(r.ejectedUntil)
	r.ejection = min(max(2*r.ejection, minEjection), maxEjection)
	r.ejectedUntil = now.Add(r.ejection)
	return newlyEjected
}

// currentFailureRate returns the failure rate, decayed since the last result.
func (r *Replica) currentFailureRate(now time.Time) float64 {
	if r.failureRate == 0 {
		return 0
	}
	return r.failureRate * math.Exp2(-float64(now.Sub(r.failureRateAt))/float64(failureRateHalfLife))
}

// ejected reports whether the replica gets requests only if no other replica can: during
// an ejection, and while a probe is in flight.
func (r *Replica) ejected(now time.Time) bool {
	return now.Before(r.ejectedUntil) || (r.probing && r.inflight > 0)
}

// recordSuccess adds a successful request. It ends the probing, and the next ejection is
// a short one again.
func (r *Replica) recordSuccess(now time.Time) {
	r.failureRate = r.currentFailureRate(now) * (1 - failureWeight)
	r.failureRateAt = now
	r.ejection = 0
	r.probing = false
}
