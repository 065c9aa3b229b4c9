package account

import "cowslipgw/internal/structs"

// Balance is what an account's bucket holds and what hosts hold of it.
type Balance struct {
	Level float64
	Held  int64
}

// Balances calls the function for each bucket.
func (b Buckets) Balances(visit func(structs.AccountID, Balance)) {
	for id, e := range b {
		visit(id, Balance{Level: e.Level, Held: e.held()})
	}
}
