package owner

import (
	"cowslipgw/internal/account"
	"cowslipgw/internal/partition"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// Counts sum up the partitions that a host serves as their owner.
type Counts struct {
	Programs, Claims int
	// Buckets holds what is left in the buckets of client accounts and what hosts hold.
	Buckets map[structs.AccountID]account.Balance
}

// Counts visits the owned partitions.
func (s *Service) Counts() Counts {
	counts := Counts{Buckets: make(map[structs.AccountID]account.Balance)}
	s.owned.Visit(func(_ partition.ID, machine partition.Machine) {
		state := program.FromMachine(machine)
		programs, claims := state.Counts()
		counts.Programs += programs
		counts.Claims += claims
		state.Balances(func(id structs.AccountID, balance account.Balance) {
			counts.Buckets[id] = balance
		})
	})
	return counts
}
