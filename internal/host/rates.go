package host

import (
	"context"

	"cowslipgw/internal/account"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/structs"
)

// rates takes rate tokens for the entry server.
type rates struct {
	limiter *account.Limiter
}

// Take implements entry.Rates.
func (r rates) Take(ctx context.Context, id structs.AccountID, plan lists.Plan) (account.Decision, error) {
	return r.limiter.Take(ctx, id, account.Limits{Rate: plan.Rate, Burst: plan.Burst})
}

// limitsOf returns an account's rate and burst by the lists in force.
func limitsOf(store *lists.Store) func(structs.AccountID) (account.Limits, bool) {
	return func(id structs.AccountID) (account.Limits, bool) {
		plan, ok := store.Current().PlanOf(id)
		return account.Limits{Rate: plan.Rate, Burst: plan.Burst}, ok
	}
}
