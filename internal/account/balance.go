package account

import "cowslipgw/internal/structs"

// Balance is the level of an account's bucket and the number of tokens that hosts
// hold.
type Balance struct {
	Level float64
	Held  int64
}

// Balances calls visit for each bucket.
func (b Buckets) Balances(visit func(structs.AccountID, Balance)) {
	for id, e := range b {
		visit(id, Balance{Level: e.Level, Held: e.held()})
	}
}
