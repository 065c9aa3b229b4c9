package program

import (
	"time"

	"cowslipgw/internal/structs"
)

// RunningCall is a call that has begun and is not settled.
type RunningCall struct {
	Key    Key
	Call   structs.CallID
	Origin structs.Origin
}

// RunningClaim is a claim that is open.
type RunningClaim struct {
	Claim  ClaimKey
	Call   structs.CallID
	Origin structs.Origin
}

// Running returns the calls that began before the given time, in order. The owner asks
// their hosts whether the calls are still running: a host that timed out on a Begin
// whose answer was late does not know that its call began, and the program would wait
// forever.
func (s *State) Running(before time.Time) []RunningCall {
	var running []RunningCall
	open := func(p *programState) bool { return p.Running != nil && p.Running.At < before.UnixNano() }
	for _, key := range s.keysMatching(open) {
		_, p := s.find(key)
		running = append(running, RunningCall{Key: key, Call: p.Running.ID, Origin: p.Running.Origin})
	}
	return running
}

// RunningClaims returns the open claims that were opened before the given time, oldest
// first. If the claim's host no longer runs the request, the owner closes the claim with
// an unknown outcome.
func (s *State) RunningClaims(before time.Time) []RunningClaim {
	var running []RunningClaim
	open := func(c *claim) bool { return c.Outcome == 0 && c.At < before.UnixNano() }
	for _, key := range s.claimKeys(open) {
		c := s.claims[key]
		running = append(running, RunningClaim{Claim: key, Call: c.Call, Origin: c.Origin})
	}
	return running
}
