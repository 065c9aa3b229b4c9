package replica

import (
	"math"
	"time"
)

const (
	// slownessWeight is the weight of a new sample in the moving average of slowness.
	slownessWeight = 0.15
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
	// reported is the load reported with the last answer, and reportedInflight the number
	// of this host's attempts that it includes.
	reported         Load
	reportedInflight int
	reportedAt       time.Time
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
	return &Replica{record: record, awaitingFirstByte: make(map[*Lease]struct{}), slowness: 1}
}

// estimatedLoad returns the estimated number of requests at the replica: this host's own
// attempts, and those of other hosts by the last report, which loses weight with age.
func (r *Replica) estimatedLoad(now time.Time) float64 {
	load := float64(r.inflight)
	if age := now.Sub(r.reportedAt); age < loadMaxAge {
		others := float64(r.reported.Running+r.reported.Waiting-r.reportedInflight) * (1 - float64(age)/float64(loadMaxAge))
		load += max(others, 0)
	}
	return load
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

// longestFirstByteWait returns the longest time for which an attempt in flight has waited
// for its first byte.
func (r *Replica) longestFirstByteWait(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for lease := range r.awaitingFirstByte {
		oldest = max(oldest, now.Sub(lease.start))
	}
	return oldest
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
