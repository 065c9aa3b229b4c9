package owner

import (
	"context"
	"errors"

	"cowslipgw/internal/program"
)

// Open opens an idempotency claim or returns the state of an existing one.
func (s *Service) Open(ctx context.Context, request program.OpenRequest) (program.OpenResult, error) {
	var result program.OpenResult
	err := s.propose(ctx, PartitionOfClaim(request.Claim), func(state *program.State) ([]byte, error) {
		var op []byte
		var err error
		result, op, err = state.DecideOpen(request, s.inView, s.clock())
		return op, err
	})
	return result, err
}

// Close ends a claim. A claim that is held by another call or has expired is left
// unchanged.
func (s *Service) Close(ctx context.Context, request program.CloseRequest) (Empty, error) {
	err := s.propose(ctx, PartitionOfClaim(request.Claim), func(state *program.State) ([]byte, error) {
		return state.DecideClose(request, s.clock())
	})
	if errors.Is(err, program.ErrCallEnded) {
		return Empty{}, nil
	}
	return Empty{}, err
}
