package replica

import (
	"math"
	"time"
)

const (
	// slownessGain is the weight of a new sample in the average.
	slownessGain = 0.15
	// slownessLimit bounds a single sample, so that one long request proves little.
	slownessLimit = 8
	// slownessHalfLife lets a slow replica be tried again after it got no work.
	slownessHalfLife = 3 * time.Second
	// failuresHalfLife lets a replica that failed be tried again after it got no work.
	failuresHalfLife = 2 * time.Second
	// failureGain is the weight of a new result in the average of failures.
	failureGain = 0.2
	// ejectFailures is the share of failed requests from which a replica gets no work.
	ejectFailures = 0.45
	// ejectTime is how long a replica gets no work after it was unreachable or failed
	// too often; it doubles up to ejectMax.
	ejectTime = 400 * time.Millisecond
	ejectMax  = 3 * time.Second
)

// Replica is a replica with what this host has seen of it. The set's lock guards it.
type Replica struct {
	record Record
	// inflight are the attempts of this host that have not ended, with their starts;
	// silent are those of them without a first byte.
	inflight int
	silent   map[*Lease]struct{}
	// reported is the load of the last answer and the attempts of this host in it.
	reported    Load
	reportedOwn int
	reportedAt  time.Time
	slowness    float64
	slownessAt  time.Time
	failures    float64
	failuresAt  time.Time
	// ejectedUntil is when the replica gets work again.
	ejectedUntil time.Time
	ejectPause   time.Duration
	// trial says that the replica seemed to be down and has answered nothing since; it
	// then gets one request at a time.
	trial bool
	// removeAt is when a replica without a record is dropped; zero while it has one.
	removeAt time.Time
}

func newReplica(record Record) *Replica {
	return &Replica{record: record, silent: make(map[*Lease]struct{}), slowness: 1}
}

// load estimates the requests at the replica.
func (r *Replica) load(now time.Time) float64 {
	load := float64(r.inflight)
	if age := now.Sub(r.reportedAt); age < loadMemory {
		others := float64(r.reported.Running+r.reported.Waiting-r.reportedOwn) * (1 - float64(age)/float64(loadMemory))
		load += max(others, 0)
	}
	return load
}

// slow returns the replica's time for a request as a multiple of the usual.
func (r *Replica) slow(now time.Time) float64 {
	decay := float64(now.Sub(r.slownessAt)) / float64(slownessHalfLife)
	if decay < 1 || r.slowness <= 1 {
		return r.slowness
	}
	return 1 + (r.slowness-1)/decay
}

// oldestSilent returns how long the oldest attempt has been without a first byte.
func (r *Replica) oldestSilent(now time.Time) time.Duration {
	oldest := time.Duration(0)
	for lease := range r.silent {
		oldest = max(oldest, now.Sub(lease.start))
	}
	return oldest
}

// sample enters a request's time as a multiple of the usual one.
func (r *Replica) sample(multiple float64, now time.Time) {
	current := r.slow(now)
	r.slowness = current + slownessGain*(min(multiple, slownessLimit)-current)
	r.slownessAt = now
}

// failed enters a failure. Down says that the replica seems to have no process that
// answers, which ejects it at once. It reports whether the replica was ejected by it.
func (r *Replica) failed(down bool, now time.Time) bool {
	r.failures = r.failing(now) + failureGain*(1-r.failing(now))
	r.failuresAt = now
	r.trial = r.trial || down
	if !down && r.failures < ejectFailures {
		return false
	}
	fresh := now.After(r.ejectedUntil)
	r.ejectPause = min(max(2*r.ejectPause, ejectTime), ejectMax)
	r.ejectedUntil = now.Add(r.ejectPause)
	return fresh
}

// failing returns the present share of failed requests.
func (r *Replica) failing(now time.Time) float64 {
	return r.failures * math.Exp2(-float64(now.Sub(r.failuresAt))/float64(failuresHalfLife))
}

// ejected reports whether the replica is to get no work as long as others can.
func (r *Replica) ejected(now time.Time) bool {
	return now.Before(r.ejectedUntil) || (r.trial && r.inflight > 0)
}

// succeeded enters a success.
func (r *Replica) succeeded(now time.Time) {
	r.failures = r.failing(now) * (1 - failureGain)
	r.failuresAt = now
	r.ejectPause = 0
	r.trial = false
}
