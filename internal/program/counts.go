package program

import (
	"cowslipgw/internal/account"
	"cowslipgw/internal/structs"
)

// Counts returns the number of programs and of claims.
func (s *State) Counts() (programs, claims int) {
	return len(s.numbers), len(s.claims)
}

// Balances calls visit for each rate bucket of the partition.
func (s *State) Balances(visit func(structs.AccountID, account.Balance)) {
	s.buckets.Balances(visit)
}
