package program

import (
	"fmt"

	"cowslipgw/internal/structs"
)

// DecideSettle ends a call. It returns nil for a call that was settled before,
// ErrCallEnded for one that was ended otherwise, and ErrProgramNotFound if the program
// ended.
func (s *State) DecideSettle(req SettleRequest, clock structs.OwnerClock) ([]byte, error) {
	_, p := s.find(req.Key)
	if p == nil {
		return nil, fmt.Errorf("settle %s: %w", req.Call, ErrProgramNotFound)
	}
	if p.Last == req.Call && !p.Lost {
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

// applySettle ends a call, settles its cost and commits its turn.
func (s *State) applySettle(op *settleOp) error {
	r, p := s.find(op.Key)
	if p == nil || p.Running == nil || p.Running.ID != op.Call {
		return fmt.Errorf("settle of %s: %w", op.Call, ErrMalformedOp)
	}
	ended := p.Running
	r.finish(p, op.Outcome, cost(op), op.At)
	if op.Outcome == structs.OutcomeAnswered {
		// Cached tokens cost the engine nothing, so they are no attained service.
		r.Attained -= min(max(op.Cached, 0), cost(op))
		p.commit(ended, op)
	}
	if op.Replica != "" && op.Outcome != structs.OutcomeNotRun {
		s.hold(p, op.Replica)
	}
	if op.End || p.Ending {
		s.applyEnd(op.Key)
	}
	return nil
}

// cost returns the tokens that a call used, or 0 if the upstream did not tell.
func cost(op *settleOp) int64 {
	return int64(max(op.Usage.TotalTokens, op.Usage.PromptTokens+op.Usage.CompletionTokens, 0))
}

// finish takes the running call off a program and settles its reservation. An unknown
// outcome, and an answer without usage, cost all that was reserved.
func (r *root) finish(p *state, outcome structs.Outcome, used, at int64) {
	ended := p.Running
	p.Running = nil
	p.Last = ended.ID
	p.Lost = false
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

// commit adds the turn to the history.
func (p *state) commit(ended *call, op *settleOp) {
	p.History = append(p.History, ended.Messages...)
	if op.Answer.Role != "" {
		p.History = append(p.History, op.Answer)
	}
	p.Turn++
	if used := cost(op); used > 0 {
		p.Tokens = used
		return
	}
	p.Tokens = ended.Prompt + EstimateTokens([]structs.Message{op.Answer})
}

// hold notes that a replica has cache of the program. A replica that falls off the
// end of the list is told to release it.
func (s *State) hold(p *state, replica structs.ReplicaID) {
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
