package program

import (
	"fmt"

	"cowslipgw/internal/structs"
)

// applyBegin starts a call and reserves its maximum cost.
func (s *State) applyBegin(op *beginOp) error {
	r, p := s.find(op.Key)
	if r == nil {
		r = &rootProgram{Started: op.At, programs: make(map[structs.ProgramID]*programState)}
		s.roots[rootKey{op.Key.Account, op.Key.Root}] = r
	}
	if p == nil {
		p = &programState{Number: op.Number}
		r.programs[op.Key.Program] = p
		s.numbers[op.Number] = op.Key
	}
	if p.Running != nil {
		return fmt.Errorf("begin of %s while %s runs: %w", op.Call, p.Running.ID, ErrMalformedOp)
	}
	s.counter = op.Counter
	r.Reserved += op.Reserved
	r.Calls++
	p.Window = ownerTime{}
	p.LastUse = op.At
	r.LastUse = op.At
	p.Running = &runningCall{
		ID: op.Call, Origin: op.Origin, Fence: op.Fence,
		Messages: op.Messages, Prompt: op.Prompt, Reserved: op.Reserved, At: op.At,
	}
	return nil
}

// applyAttempt counts the reservation of the previous attempt as spent, since its
// actual cost is unknown, and reserves the same amount again.
func (s *State) applyAttempt(op *attemptOp) error {
	r, p := s.find(op.Key)
	if p == nil || p.Running == nil || p.Running.ID != op.Call {
		return fmt.Errorf("attempt of %s: %w", op.Call, ErrMalformedOp)
	}
	r.Used += p.Running.Reserved
	p.Running.Attempt = op.Attempt
	return nil
}

// applyWindow restarts a dispatch window.
func (s *State) applyWindow(op *windowOp) {
	if _, p := s.find(op.Key); p != nil {
		p.Window = op.Window
	}
}
