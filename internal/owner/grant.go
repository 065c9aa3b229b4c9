package owner

import (
	"context"

	"cowslipgw/internal/account"
	"cowslipgw/internal/program"
)

// Grant hands out tokens from an account's bucket. Rate and burst come from the owner's
// lists, so that requests of hosts with older lists do not switch the bucket's limits
// back and forth.
func (s *Service) Grant(ctx context.Context, request account.GrantRequest) (account.GrantResult, error) {
	if limits, ok := s.accountLimits(request.Account); ok {
		request.Rate = limits.Rate
		request.Burst = limits.Burst
	}
	var result account.GrantResult
	err := s.propose(ctx, PartitionOfAccount(request.Account), func(state *program.State) ([]byte, error) {
		var op []byte
		var err error
		result, op, err = state.DecideGrant(request, s.inView, s.clock())
		return op, err
	})
	return result, err
}
