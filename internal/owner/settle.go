package owner

import (
	"context"
	"errors"

	"cowslipgw/internal/program"
)

// Empty is the result of an operation that returns no value.
type Empty struct{}

// SettleAnswer is the answer to a settlement.
type SettleAnswer struct {
	// Ended means that the call had been ended as unknown before, for example because
	// its host had left the view. Its answer is not added to the history.
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
		// The program ended with this call or was ended in the meantime, so no history
		// is left.
		return SettleAnswer{}, nil
	}
	if err == nil {
		s.waitQueues.Wake(request.Key)
	}
	return SettleAnswer{}, err
}

// End ends a program.
func (s *Service) End(ctx context.Context, request program.EndRequest) (Empty, error) {
	err := s.propose(ctx, PartitionOfProgram(request.Key), func(state *program.State) ([]byte, error) {
		return state.DecideEnd(request, s.clock())
	})
	if err == nil {
		s.waitQueues.Wake(request.Key)
	}
	return Empty{}, err
}
