package owner

import (
	"cowslipgw/internal/account"
	"cowslipgw/internal/partition"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// Counts summarizes the partitions that a host serves as their owner.
type Counts struct {
	Programs, Claims int
	// Buckets maps each client account to the balance of its token bucket: the tokens
	// left in the bucket and those granted to hosts.
	Buckets map[structs.AccountID]account.Balance
}

// Counts returns the totals over the partitions that this host owns.
func (s *Service) Counts() Counts {
	counts := Counts{Buckets: make(map[structs.AccountID]account.Balance)}
	s.owned.Visit(func(_ partition.ID, machine partition.StateMachine) {
		state := program.FromStateMachine(machine)
		programs, claims := state.Counts()
		counts.Programs += programs
		counts.Claims += claims
		state.Balances(func(id structs.AccountID, balance account.Balance) {
			counts.Buckets[id] = balance
		})
	})
	return counts
}
