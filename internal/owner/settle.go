package owner

import (
	"context"
	"errors"

	"cowslipgw/internal/program"
)

// Empty is a result without content.
type Empty struct{}

// SettleAnswer is the answer to a settlement.
type SettleAnswer struct {
	// Ended means that the call was ended as unknown before, since its host had left the
	// view. Its answer does not enter the history.
	Ended bool
}

// Settle ends a call of a program.
func (s *Service) Settle(ctx context.Context, request program.SettleRequest) (SettleAnswer, error) {
	err := s.propose(ctx, PartitionOfProgram(request.Key), func(state *program.State) ([]byte, error) {
		return state.DecideSettle(request, s.clock())
	})
	if errors.Is(err, program.ErrCallEnded) {
		return SettleAnswer{Ended: true}, nil
	}
	if errors.Is(err, program.ErrProgramNotFound) {
		// The program ended with this call or was ended meanwhile: no history is left.
		return SettleAnswer{}, nil
	}
	if err == nil {
		s.waiting.Wake(request.Key)
	}
	return SettleAnswer{}, err
}

// End ends a program.
func (s *Service) End(ctx context.Context, request program.EndRequest) (Empty, error) {
	err := s.propose(ctx, PartitionOfProgram(request.Key), func(state *program.State) ([]byte, error) {
		return state.DecideEnd(request, s.clock())
	})
	if err == nil {
		s.waiting.Wake(request.Key)
	}
	return Empty{}, err
}
