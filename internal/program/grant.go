package program

import (
	"cowslipgw/internal/account"
	"cowslipgw/internal/structs"
)

// DecideGrant decides on a host's request for rate tokens. The owner sets the request's
// Rate and Burst from its own lists.
func (s *State) DecideGrant(req account.GrantRequest, inView InView, clock structs.OwnerClock) (account.GrantResult, []byte, error) {
	if !inView(req.Origin) {
		return account.GrantResult{Problem: notInView(req.Origin)}, nil, nil
	}
	result, op := s.buckets.Decide(req, s.firstLevel(req, clock), inView, clock)
	if op == nil {
		return result, nil, nil
	}
	data, err := Op{Bucket: op}.encode()
	return result, data, err
}

// firstLevel returns the initial level of a new bucket. It is full, except that after a
// loss of copies it holds only what has been refilled since, because hosts may still
// hold the rest.
func (s *State) firstLevel(req account.GrantRequest, clock structs.OwnerClock) float64 {
	full := float64(req.Burst)
	if s.dataLossUntil == 0 {
		return full
	}
	if s.dataLossAt.Owner != clock.Owner {
		return 0
	}
	return min(full, req.Rate*(clock.Monotonic-s.dataLossAt.Monotonic).Seconds())
}
