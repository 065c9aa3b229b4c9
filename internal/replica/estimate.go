package replica

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// defaultLatency is the latency of a request of a class of which none has ended.
	defaultLatency = 50 * time.Millisecond
	// minUnresponsive is the shortest wait for a first byte after which a replica counts
	// as unresponsive.
	minUnresponsive = 150 * time.Millisecond
	// unresponsiveFactor is the same limit as a multiple of the class's baseline latency;
	// the larger of the two applies.
	unresponsiveFactor = 4
	// unresponsiveCost is the expected time until an unresponsive replica answers, as a multiple
	// of the longest wait there.
	unresponsiveCost = 4
	// failureCost is the cost of an attempt that fails, as a multiple of the request's time: it
	// is repeated, or a program is lost.
	failureCost = 2
	// maxPreferredFailureRate is the failure rate up to which a replica is preferred for
	// the prefix that it has cached.
	maxPreferredFailureRate = 0.1
	// warmupCost is the additional time at a replica that has just started, as a share of the
	// request's time.
	warmupCost = 0.5
	// crossDomainCost prefers replicas in the host's failure domain, as a share of the baseline
	// latency: a round trip between domains takes about 2 ms, and the traffic is billed.
	crossDomainCost = 0.12
	// jitter is the size of the random term that spreads requests over equal replicas, as a share
	// of the baseline latency.
	jitter = 0.05
	// loadDeviation is the usual deviation of the load of a replica from the estimate, in
	// requests.
	loadDeviation = 2
	// spread is the size of the random term, in requests, that spreads hosts with the same view of
	// busy replicas. Without it, a replica that looks idle for 0.2 to 0.4 s gets the requests
	// of all hosts in that time; see TestStaleViewsDoNotHerd.
	spread = 0.8
)

// estimate holds what is the same for all replicas in the estimated cost of a request. Times are in
// seconds.
type estimate struct {
	set   *Set
	query *Query
	// baseline is the class's baseline latency, and own the request's time without a wait at a
	// replica of the usual pace, without the part of the prompt that only Prefer has cached.
	// That part takes the time reading at other replicas.
	baseline, own, reading float64
	// perToken is the time to read a prompt token.
	perToken float64
	// duration is the mean time of the service's requests, and footprint the tokens of memory
	// that the request takes, meanFootprint those of the service's requests.
	duration                 float64
	footprint, meanFootprint float64
	othersMean               float64
	unresponsive             time.Duration
}

// estimateLocked returns the estimate for a request.
func (s *Set) estimateLocked(q *Query, now time.Time) estimate {
	mean := s.baselineLocked(q.Class).mean
	e := estimate{set: s, query: q, baseline: mean / float64(time.Second), othersMean: s.othersMeanLocked(q.Service, now),
		unresponsive: max(minUnresponsive, time.Duration(unresponsiveFactor*mean))}
	if mean == 0 {
		e.baseline = defaultLatency.Seconds()
	}
	demand := s.demandLocked(q.Service)
	lengths := s.lengthsLocked(q.Class)
	e.own = e.baseline * lengths.units(q.Work)
	if q.Work.TokensPerEvent > 0 {
		e.perToken = lengths.reading.perToken().Seconds()
	}
	e.reading = float64(max(q.Work.OwnTokens, 0)) * e.perToken
	e.footprint = lengths.footprint(q.Work)
	e.duration, e.meanFootprint = demand.duration, demand.footprint(e.footprint)
	if e.duration == 0 {
		e.duration = e.own
	}
	return e
}

// isPreferred reports whether a replica is preferred. One that failed recently may have lost its cache
// and may fail again.
func (e *estimate) isPreferred(r *Replica, now time.Time) bool {
	return r.record.ID == e.query.Prefer && r.currentFailureRate(now) < maxPreferredFailureRate
}

// end estimates the time until the end of the request at a replica with the given load at the usual
// pace, while awaited prompt tokens are read there.
func (e *estimate) end(r *Replica, load float64, awaited int, preferred bool) float64 {
	slots := float64(max(r.record.Slots, 1))
	excess := load + 1 - slots
	if capacity := float64(e.query.Work.CacheTokens); capacity > 0 {
		// Without memory a request waits as it does without a slot.
		held := r.tokens + (load-float64(r.inflight))*e.meanFootprint + e.footprint
		excess = max(excess, (held-capacity)/max(e.meanFootprint, 1))
	}
	end := e.own + float64(awaited)*e.perToken + expectedExcess(excess)*e.duration/slots
	if !preferred {
		end += e.reading
	}
	return end
}

// expected returns the expected time until the end of the request at a replica.
func (e *estimate) expected(r *Replica, now time.Time) time.Duration {
	_, awaited := r.awaited(now)
	end := e.end(r, r.estimatedLoad(e.othersMean, now), awaited, e.isPreferred(r, now)) * r.currentPace(now)
	return time.Duration(end * float64(time.Second))
}

// cost estimates the time until the end of the request at a replica, and by how much it delays the
// requests that are there. The lowest cost decides.
func (e *estimate) cost(r *Replica, now time.Time) float64 {
	slots := float64(max(r.record.Slots, 1))
	load := r.estimatedLoad(e.othersMean, now)
	preferred := e.isPreferred(r, now)
	longest, awaited := r.awaited(now)
	cost := e.end(r, load, awaited, preferred) + spreading(e.othersMean/slots)*e.duration/slots
	if !preferred {
		cost += e.reading * min(load, slots) // those that run there wait while the prompt is read
	}
	cost *= r.currentPace(now)
	cost += failureCost * e.own * r.currentFailureRate(now)
	if r.record.ColdRemaining > 0 {
		cost += warmupCost * e.own
	}
	if longest > e.unresponsive {
		cost += unresponsiveCost * longest.Seconds()
	}
	if r.record.Domain != e.set.domain {
		cost += crossDomainCost * e.baseline
	}
	if preferred {
		cost -= e.query.Gain * e.baseline
	}
	return cost + jitter*e.baseline*rand.Float64()
}

// isUnresponsive reports whether an attempt in flight has waited too long for its first byte.
func (e *estimate) isUnresponsive(r *Replica, now time.Time) bool {
	longest, _ := r.awaited(now)
	return longest > e.unresponsive
}

// expectedExcess returns the expected number of requests that wait if the estimated number is
// excess, which is negative while slots are free.
func expectedExcess(excess float64) float64 {
	return (excess + math.Sqrt(excess*excess+4*loadDeviation*loadDeviation)) / 2
}

// spreading returns the random term, in requests, for replicas of which other hosts use a share. The
// lowest of several sums with such terms is drawn with weights that fall exponentially with the
// other summand. There is none where other hosts do not send requests.
func spreading(share float64) float64 {
	if share <= 0 {
		return 0
	}
	return spread * min(share, 1) * math.Log(rand.ExpFloat64())
}
