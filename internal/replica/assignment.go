package replica

import "time"

// Candidate is a replica to which the owner of its service may assign requests.
type Candidate struct {
	// Hash is that of the incarnation; see Incarnation.Hash.
	Hash   uint32
	Domain string
	Slots  int
}

// Candidates returns the replicas of a service that accept any request now.
func (s *Set) Candidates(service string) []Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	candidates := make([]Candidate, 0, len(s.services[service]))
	for _, r := range s.services[service] {
		if s.feasible(r, Query{}, now) && !r.ejected(now) && !r.limit.Limited {
			candidates = append(candidates, Candidate{Hash: r.hash, Domain: r.record.Domain, Slots: r.record.Slots})
		}
	}
	return candidates
}

// AssignmentHints returns the hashes of the replica that a query prefers, 0 for none, and of those
// that this host does not want for it.
func (s *Set) AssignmentHints(q Query) (prefer uint32, exclude []uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, r := range s.services[q.Service] {
		switch {
		case !s.feasible(r, q, now) || r.ejected(now) || r.currentFailureRate(now) >= maxPreferredFailureRate:
			exclude = append(exclude, r.hash)
		case r.record.ID == q.Prefer:
			prefer = r.hash
		}
	}
	return prefer, exclude
}

// BusyShare returns the share of a service's slots that are in use, as far as this host knows.
func (s *Set) BusyShare(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots, inFlight := 0, 0
	for _, r := range s.services[service] {
		slots += r.record.Slots
		inFlight += r.inflight
	}
	others := s.othersMeanLocked(service, time.Now()) * float64(len(s.services[service]))
	return (float64(inFlight) + others) / float64(max(slots, 1))
}
