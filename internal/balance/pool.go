package balance

import (
	"math"
	"time"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/replica"
)

const (
	// paceWeight is the weight of a new answer in the moving average of a replica's pace, at least; it
	// grows with the time since the last one, by paceTime. Other users slow a machine for about 600 ms.
	paceWeight = 0.12
	paceTime   = 600 * time.Millisecond
	// paceLifetime is the age at which a pace no longer counts, so that a slow replica which gets no
	// requests is tried again.
	paceLifetime = 2 * time.Second
	// maxPace limits a single sample, so that one long request has little effect.
	maxPace = 6
	// crossDomainCost prefers replicas in the failure domain of the host: a round trip between domains
	// takes about 2 ms, and the traffic is billed. Costs are multiples of the usual time of a request.
	crossDomainCost = 0.04
	// sharingCost is the cost of a replica of which all slots but one are in use: engines produce each
	// token more slowly the more requests they run.
	sharingCost = 0.15
	// assignmentLifetime is how long an assignment counts of which no end was reported.
	assignmentLifetime = 10 * time.Second
	// silentLifetime is the same for a host that is not heard of.
	silentLifetime = time.Second
)

// assignment is one request that was assigned to a replica.
type assignment struct {
	replica uint32
	host    string
	at      boottime.Instant
}

// replicaState is what the owner knows of one replica.
type replicaState struct {
	// assigned is the number of requests that were assigned and have not ended.
	assigned int
	// pace is the moving average of how long requests take, as a multiple of the usual time.
	pace   float64
	paceAt boottime.Instant
}

// Pool assigns the requests of one service. It is not safe for concurrent use.
type Pool struct {
	replicas    map[uint32]*replicaState
	assignments map[uint64]assignment
}

// NewPool returns a pool without assignments.
func NewPool() *Pool {
	return &Pool{replicas: make(map[uint32]*replicaState), assignments: make(map[uint64]assignment)}
}

// Request asks for a replica.
type Request struct {
	// ID identifies the assignment, and Host the host that asks.
	ID   uint64
	Host string
	// Domain is the failure domain of the host.
	Domain string
	// Prefer is the hash of the replica that may have cached the request's prefix; 0 for none. Gain is
	// the time that it saves, as a multiple of the usual time.
	Prefer uint32
	Gain   float64
	// Exclude holds the hashes of replicas that the host does not want.
	Exclude []uint32
}

// Assign returns the hash of the replica at which the request is expected to end first, or 0 if there
// is none. InFlight returns the number of requests that the hosts report to have at a replica.
func (p *Pool) Assign(now boottime.Instant, r Request, candidates []replica.Candidate, inFlight func(hash uint32) int) uint32 {
	best, bestCost := uint32(0), 0.0
	for _, c := range candidates {
		if isExcluded(r.Exclude, c.Hash) {
			continue
		}
		if cost := p.cost(now, r, c, inFlight); best == 0 || cost < bestCost {
			best, bestCost = c.Hash, cost
		}
	}
	if best != 0 {
		p.Release(r.ID)
		p.assignments[r.ID] = assignment{replica: best, host: r.Host, at: now}
		p.state(best).assigned++
	}
	return best
}

func isExcluded(excluded []uint32, hash uint32) bool {
	for _, other := range excluded {
		if other == hash {
			return true
		}
	}
	return false
}

// cost estimates the time of a request at a replica as a multiple of the usual time.
func (p *Pool) cost(now boottime.Instant, r Request, c replica.Candidate, inFlight func(hash uint32) int) float64 {
	s := p.replicas[c.Hash]
	load, pace := float64(inFlight(c.Hash)), 1.0
	if s != nil {
		load, pace = max(load, float64(s.assigned)), s.currentPace(now)
	}
	slots := float64(max(c.Slots, 1))
	used := min(load/slots, 1)
	cost := pace * (1 + max(load+1-slots, 0)/slots + sharingCost*used*used)
	if c.Domain != r.Domain {
		cost += crossDomainCost
	}
	if c.Hash == r.Prefer {
		cost -= r.Gain
	}
	return cost
}

// currentPace returns the pace, which returns to 1 with age.
func (s *replicaState) currentPace(now boottime.Instant) float64 {
	age := now.Sub(s.paceAt)
	if s.pace == 0 || age >= paceLifetime {
		return 1
	}
	return s.pace + (1-s.pace)*float64(age)/float64(paceLifetime)
}

// Release ends an assignment.
func (p *Pool) Release(id uint64) {
	a, known := p.assignments[id]
	if !known {
		return
	}
	delete(p.assignments, id)
	p.state(a.replica).assigned--
}

// Answered ends an assignment whose request took a time, given as a multiple of the usual time.
func (p *Pool) Answered(now boottime.Instant, id uint64, pace float64) {
	if a, known := p.assignments[id]; known && pace > 0 {
		s := p.state(a.replica)
		if s.pace == 0 {
			s.pace = 1
		}
		weight := max(paceWeight, 1-math.Exp(-float64(now.Sub(s.paceAt))/float64(paceTime)))
		s.pace += weight * (min(pace, maxPace) - s.pace)
		s.paceAt = now
	}
	p.Release(id)
}

// Sweep drops the assignments of which no end will be reported. Heard reports whether a host was
// heard of lately.
func (p *Pool) Sweep(now boottime.Instant, heard func(host string) bool) {
	for id, a := range p.assignments {
		age := now.Sub(a.at)
		if age >= assignmentLifetime || (age >= silentLifetime && !heard(a.host)) {
			p.Release(id)
		}
	}
	for hash, s := range p.replicas {
		if s.assigned == 0 && now.Sub(s.paceAt) >= assignmentLifetime {
			delete(p.replicas, hash)
		}
	}
}

func (p *Pool) state(hash uint32) *replicaState {
	s := p.replicas[hash]
	if s == nil {
		s = &replicaState{}
		p.replicas[hash] = s
	}
	return s
}
