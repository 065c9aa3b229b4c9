package program

import (
	"cowslipgw/internal/account"
	"cowslipgw/internal/structs"
)

// DecideGrant decides on a host's request for rate tokens. The owner sets Rate and
// Burst of the request from its own lists.
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

// firstLevel returns the level at which a new bucket starts: full, but after copies
// were lost only what was refilled since, because hosts may still hold the rest.
func (s *State) firstLevel(req account.GrantRequest, clock structs.OwnerClock) float64 {
	full := float64(req.Burst)
	if s.lossyUntil == 0 {
		return full
	}
	if s.lossyAt.Owner != clock.Self {
		return 0
	}
	return min(full, req.Rate*(clock.Mono-s.lossyAt.Until).Seconds())
}
