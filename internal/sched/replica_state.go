package sched

import (
	"time"

	"cowslipgw/internal/structs"
)

// replicaState is what the policy itself knows of a replica from its own
// dispatches.
type replicaState struct {
	running int
	// steps records the number of own calls in flight over time, since the last report
	// used.
	steps []loadStep
	// prefillUntil is when the prefill dispatched so far is estimated to be done.
	prefillUntil time.Duration
	// prefillRate is the observed prefill in tokens a second.
	prefillRate float64
	// interToken is a moving mean of the observed time between tokens.
	interToken time.Duration
	// limit is the most calls in flight; it follows interToken.
	limit float64
}

// loadStep says that running calls of this dispatcher were in flight from at on.
type loadStep struct {
	at      time.Duration
	running int
}

const (
	// maxLoadSteps bounds the history of a replica that reports no load.
	maxLoadSteps = 4096
	// observationShare is the weight of one observation in a moving mean.
	observationShare = 0.1
	// minObservedPrefill is the smallest computed prompt that says something about the
	// prefill rate; shorter ones are dominated by the batch step.
	minObservedPrefill = 512
	// limitDecrease and limitIncrease adapt the limit: it falls by a factor when the goal
	// is missed and rises by a fraction of a call with each call that meets it.
	limitDecrease = 0.95
	limitIncrease = 0.2
	// minLimit keeps a replica in use that misses its goal whatever it is given.
	minLimit = 2
)

func newReplicaState(s Settings) *replicaState {
	return &replicaState{prefillRate: s.PrefillRate, limit: float64(s.MaxInFlight)}
}

// change adds calls in flight.
func (r *replicaState) change(delta int, now time.Duration) {
	r.running += delta
	if len(r.steps) >= maxLoadSteps {
		r.steps = append(r.steps[:0], r.steps[maxLoadSteps/2:]...)
	}
	r.steps = append(r.steps, loadStep{at: now, running: r.running})
}

// load estimates the calls at the replica now: the reported ones that this
// dispatcher did not send, plus its own in flight.
func (r *replicaState) load(report *Replica) int {
	if !report.Reported {
		return r.running
	}
	others := report.Running + report.Queued - r.runningAt(report.ReportedAt)
	return max(0, others) + r.running
}

// runningAt returns the own calls in flight at a past time and drops the steps
// before it, since the time of reports does not go back.
func (r *replicaState) runningAt(at time.Duration) int {
	last := -1
	for i, step := range r.steps {
		if step.at > at {
			break
		}
		last = i
	}
	if last < 0 {
		return 0
	}
	r.steps = append(r.steps[:0], r.steps[last:]...)
	return r.steps[0].running
}

// startPrefill adds the prefill of a dispatched call to the backlog.
func (r *replicaState) startPrefill(tokens int64, now time.Duration) {
	r.prefillUntil = max(r.prefillUntil, now) + seconds(float64(tokens)/r.prefillRate)
}

// observe learns from an answered call. backlog is the prefill that was ahead of
// its first token when it was dispatched, its own included.
func (r *replicaState) observe(f Finish, backlog float64, s Settings) {
	if backlog >= minObservedPrefill && f.FirstToken > 0 {
		rate := backlog / f.FirstToken.Seconds()
		r.prefillRate += observationShare * (rate - r.prefillRate)
	}
	observed := f.interToken()
	if observed == 0 {
		return
	}
	if r.interToken == 0 {
		r.interToken = observed
	}
	r.interToken += time.Duration(observationShare * float64(observed-r.interToken))
	if r.interToken > s.InterToken {
		r.limit = max(minLimit, r.limit*limitDecrease)
		return
	}
	r.limit = min(float64(s.MaxInFlight), r.limit+limitIncrease)
}

// seconds converts a number of seconds.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// candidate is a replica that may take another call.
type candidate struct {
	id    structs.ReplicaID
	info  *Replica
	state *replicaState
	load  int
	// pressure is how full the replica is, for programs that may start anywhere.
	pressure float64
}

// fits says whether the call may run on the replica at all.
func (c *candidate) fits(call *Call) bool {
	return !call.excludes(c.id) && c.info.serves(call.Model)
}
