package program

import (
	"fmt"

	"cowslipgw/internal/structs"
)

// DecideSettle ends a call. It returns nil for a call that is already settled,
// ErrCallEnded for one that was ended in another way, and ErrProgramNotFound if the
// program has ended.
func (s *State) DecideSettle(req SettleRequest, clock structs.OwnerClock) ([]byte, error) {
	_, p := s.find(req.Key)
	if p == nil {
		return nil, fmt.Errorf("settle %s: %w", req.Call, ErrProgramNotFound)
	}
	if p.LastCall == req.Call && !p.LastUnknown {
		return nil, nil
	}
	if p.Running == nil || p.Running.ID != req.Call {
		return nil, fmt.Errorf("settle %s: %w", req.Call, ErrCallEnded)
	}
	return Op{Settle: &settleOp{
		Key: req.Key, Call: req.Call, Outcome: req.Outcome, Answer: req.Answer, Usage: req.Usage,
		Replica: req.Replica, End: req.End, At: clock.Now.UnixNano(), Cached: int64(req.Usage.CachedTokens),
	}}.encode()
}

// applySettle ends a call, charges its cost and commits its turn.
func (s *State) applySettle(op *settleOp) error {
	r, p := s.find(op.Key)
	if p == nil || p.Running == nil || p.Running.ID != op.Call {
		return fmt.Errorf("settle of %s: %w", op.Call, ErrMalformedOp)
	}
	ended := p.Running
	r.endCall(p, op.Outcome, usedTokens(op), op.At)
	if op.Outcome == structs.OutcomeAnswered {
		// Cached tokens cost the engine no computation, so they do not count as
		// attained service.
		r.Attained -= min(max(op.Cached, 0), usedTokens(op))
		p.commitTurn(ended, op)
	}
	if op.Replica != "" && op.Outcome != structs.OutcomeNotRun {
		s.addHolder(p, op.Replica)
	}
	if op.End || p.Ending {
		s.applyEnd(op.Key)
	}
	return nil
}

// usedTokens returns the tokens that a call used, or 0 if the upstream did not report
// them.
func usedTokens(op *settleOp) int64 {
	return int64(max(op.Usage.TotalTokens, op.Usage.PromptTokens+op.Usage.CompletionTokens, 0))
}

// endCall clears the program's running call and settles its reservation. A call with an
// unknown outcome, or an answer without usage, is charged its full reservation.
func (r *rootProgram) endCall(p *programState, outcome structs.Outcome, used, at int64) {
	ended := p.Running
	p.Running = nil
	p.LastCall = ended.ID
	p.LastUnknown = false
	p.LastUse = at
	r.LastUse = at
	r.Reserved -= ended.Reserved
	switch outcome {
	case structs.OutcomeNotRun:
		r.Calls--
		return
	case structs.OutcomeAnswered:
		if used == 0 {
			used = ended.Reserved
		}
		r.Attained += used
	default:
		used = ended.Reserved
	}
	r.Used += used
}

// commitTurn adds the turn to the history.
func (p *programState) commitTurn(ended *runningCall, op *settleOp) {
	p.History = append(p.History, ended.Messages...)
	if op.Answer.Role != "" {
		p.History = append(p.History, op.Answer)
	}
	p.Turn++
	if used := usedTokens(op); used > 0 {
		p.Tokens = used
		return
	}
	p.Tokens = ended.Prompt + EstimateTokens([]structs.Message{op.Answer})
}

// addHolder records that a replica has cache of the program. A replica that drops off
// the end of the list gets a pending release.
func (s *State) addHolder(p *programState, replica structs.ReplicaID) {
	holders := []structs.ReplicaID{replica}
	for _, other := range p.Holders {
		if other != replica {
			holders = append(holders, other)
		}
	}
	for _, dropped := range holders[min(len(holders), maxHolders):] {
		s.release(dropped, p.Number)
	}
	p.Holders = holders[:min(len(holders), maxHolders)]
	delete(s.releases[replica], p.Number)
	if len(s.releases[replica]) == 0 {
		delete(s.releases, replica)
	}
}
