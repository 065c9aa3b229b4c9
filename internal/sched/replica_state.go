package sched

import (
	"time"

	"cowslipgw/internal/structs"
)

// replicaState is the policy's own view of a replica, derived from the calls that it
// dispatched there.
type replicaState struct {
	running int
	// history records how the number of running calls from this dispatcher changed,
	// starting at the last load report used.
	history []loadSample
	// prefillDoneAt is the estimated time at which the prefill dispatched so far
	// completes.
	prefillDoneAt time.Duration
	// prefillRate is the observed prefill rate in tokens per second.
	prefillRate float64
	// interToken is the exponential moving average of the observed time between
	// tokens.
	interToken time.Duration
	// concurrencyLimit bounds the calls in flight. It adapts to interToken.
	concurrencyLimit float64
}

// loadSample is the number of calls in flight from this dispatcher, starting at the
// given time.
type loadSample struct {
	at      time.Duration
	running int
}

const (
	// maxLoadSamples bounds the history of a replica that reports no load.
	maxLoadSamples = 4096
	// smoothingFactor is the weight of a new observation in an exponential moving
	// average.
	smoothingFactor = 0.1
	// minObservedPrefill is the smallest number of prefill tokens from which the
	// prefill rate is estimated. The time of a shorter prefill is dominated by the
	// batch step.
	minObservedPrefill = 512
	// limitDecrease and limitIncrease adapt the concurrency limit by additive
	// increase and multiplicative decrease: it is multiplied by limitDecrease when
	// the inter-token target is missed, and grows by limitIncrease with each call
	// that meets it.
	limitDecrease = 0.95
	limitIncrease = 0.2
	// minLimit keeps a replica in use even if it misses its target at any load.
	minLimit = 2
)

func newReplicaState(s Settings) *replicaState {
	return &replicaState{prefillRate: s.PrefillRate, concurrencyLimit: float64(s.MaxInFlight)}
}

// adjustRunning changes the number of running calls by delta and records it in the
// history.
func (r *replicaState) adjustRunning(delta int, now time.Duration) {
	r.running += delta
	if len(r.history) >= maxLoadSamples {
		r.history = append(r.history[:0], r.history[maxLoadSamples/2:]...)
	}
	r.history = append(r.history, loadSample{at: now, running: r.running})
}

// load estimates the number of calls at the replica now: the reported calls from
// other dispatchers plus this dispatcher's own calls in flight.
func (r *replicaState) load(report *Replica) int {
	if !report.Reported {
		return r.running
	}
	others := report.Running + report.Queued - r.runningAt(report.ReportedAt)
	return max(0, others) + r.running
}

// runningAt returns this dispatcher's number of calls in flight at a past time. It
// drops the older history, because the times of load reports never decrease.
func (r *replicaState) runningAt(at time.Duration) int {
	last := -1
	for i, sample := range r.history {
		if sample.at > at {
			break
		}
		last = i
	}
	if last < 0 {
		return 0
	}
	r.history = append(r.history[:0], r.history[last:]...)
	return r.history[0].running
}

// startPrefill adds the prefill of a dispatched call to the backlog.
func (r *replicaState) startPrefill(tokens int64, now time.Duration) {
	r.prefillDoneAt = max(r.prefillDoneAt, now) + seconds(float64(tokens)/r.prefillRate)
}

// observe updates the estimates from an answered call. backlog is the number of
// prefill tokens, including the call's own, that were ahead of its first token at
// dispatch.
func (r *replicaState) observe(result CallResult, backlog float64, s Settings) {
	if backlog >= minObservedPrefill && result.FirstToken > 0 {
		rate := backlog / result.FirstToken.Seconds()
		r.prefillRate += smoothingFactor * (rate - r.prefillRate)
	}
	observed := result.interToken()
	if observed == 0 {
		return
	}
	if r.interToken == 0 {
		r.interToken = observed
	}
	r.interToken += time.Duration(smoothingFactor * float64(observed-r.interToken))
	if r.interToken > s.InterToken {
		r.concurrencyLimit = max(minLimit, r.concurrencyLimit*limitDecrease)
		return
	}
	r.concurrencyLimit = min(float64(s.MaxInFlight), r.concurrencyLimit+limitIncrease)
}

// seconds converts a number of seconds to a Duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// candidate is a replica that can take another call.
type candidate struct {
	id    structs.ReplicaID
	info  *Replica
	state *replicaState
	load  int
	// pressure is the replica's utilization, by which calls without affinity are
	// placed.
	pressure float64
}

// fits reports whether the call may run on the replica.
func (c *candidate) fits(call *Call) bool {
	return !call.excludes(c.id) && c.info.serves(call.Model)
}
